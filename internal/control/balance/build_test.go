package balance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

func engineOf(build ident.Build, name ident.ServerName) ServerInfo {
	info := engine(name, "n1", "north")
	info.Build = build
	return info
}

func criteriaFor(build ident.Build) Criteria {
	criteria := newCriteria(1)
	criteria.Build = build
	return criteria
}

// Guards against a request that goes to another build than the one it needs, however it is chosen.
func TestRequestGoesToItsBuildOnly(t *testing.T) {
	pool := newPool(engineOf("v1", "a"), engineOf("v2", "b"), engineOf("v2", "c"))
	for random := range uint64(50) {
		criteria := criteriaFor("v2")
		criteria.Random = random
		ticket, verdict := pool.Take(start, criteria)
		require.Equal(t, Found, verdict)
		require.Equal(t, ident.Build("v2"), ticket.Build)
		ticket.Done(start, Left)
	}
	candidates, _ := pool.Candidates(start, criteriaFor("v2"))
	require.Len(t, candidates, 2)
	require.Nil(t, pool.TakeReserved(start, criteriaFor("v2"), pacing.Reservation{
		Server: "a",
	}))
}

// Guards against a request that waits for a build that no server runs with the weights loaded.
func TestBuildThatIsGoneIsToldFromOneThatIsBusy(t *testing.T) {
	empty := engineOf("v2", "b")
	empty.Holds = nil
	pool := newPool(engineOf("v1", "a"), empty)
	_, verdict := pool.Take(start, criteriaFor("v2"))
	require.Equal(t, NoneRuns, verdict)
	ticket, _ := pool.Take(start, criteriaFor("v1"))
	ticket.Done(start, Unreached)
	_, verdict = pool.Take(start, criteriaFor("v1"))
	require.Equal(t, NoneTakes, verdict)
	leaving := engineOf("v1", "a")
	leaving.Leaving = true
	pool.SetServers([]ServerInfo{leaving, empty})
	_, verdict = pool.Take(start, criteriaFor("v1"))
	require.Equal(t, NoneRuns, verdict)
}

// Guards against a ticket that is used after its server has come back with other software.
func TestTicketOfEarlierBuildIsNotCurrent(t *testing.T) {
	pool := newPool(engineOf("v1", "a"))
	ticket, _ := pool.Take(start, newCriteria(1))
	require.True(t, ticket.IsCurrent())
	require.False(t, ticket.WasReplaced())
	pool.SetServers([]ServerInfo{engineOf("v2", "a")})
	require.False(t, ticket.IsCurrent())
	require.True(t, ticket.WasReplaced())
}

// Guards against a stream that can't be resumed since its server's entry was removed before the first
// event.
func TestServerWithoutEntryWasNotReplaced(t *testing.T) {
	pool := newPool(engineOf("v1", "a"))
	ticket, _ := pool.Take(start, newCriteria(1))
	pool.SetServers(nil)
	require.False(t, ticket.IsCurrent(), "it gets no new requests")
	require.False(t, ticket.WasReplaced())
}
