package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

var start = time.Unix(1_700_000_000, 0)

func death(fingerprint ident.Fingerprint, server, incarnation string) Death {
	return Death{
		Fingerprint: fingerprint,
		Life: Life{
			Server:      ident.ServerName(server),
			Incarnation: ident.Incarnation(incarnation),
		},
	}
}

// A caller sends a request again that has killed two engines. The third engine
// must not see it, whichever host the caller goes through.
func TestARequestPresentAtTwoDeathsIsRefusedEverywhere(t *testing.T) {
	var first, second Machine
	require.True(t, first.Step(start, death(7, "gpu-1", "a")))
	require.Equal(t, Alone, first.View().Verdict(7))
	require.True(t, first.Step(start, death(7, "gpu-2", "b")))
	require.Equal(t, Refuse, first.View().Verdict(7))

	require.True(t, second.Step(start, Told{
		Suspects: first.All(),
	}))
	require.Equal(t, Refuse, second.View().Verdict(7))
	require.Equal(t, Serve, second.View().Verdict(8))
	var none *View
	require.Equal(t, Serve, none.Verdict(7))
}

// One engine dies once; three hosts lost requests there and all tell of it,
// again and again. An innocent neighbour must not be refused for that.
func TestADeathToldTwiceCountsOnce(t *testing.T) {
	var here, peer Machine
	here.Step(start, death(7, "gpu-1", "a"))
	peer.Step(start, death(7, "gpu-1", "a"))
	for range 3 {
		require.False(t, here.Step(start, Told{
			Suspects: peer.All(),
		}))
	}
	require.Equal(t, Alone, here.View().Verdict(7))
	require.False(t, here.Step(start, death(7, "gpu-1", "a")))
	require.True(t, here.Step(start, death(7, "gpu-1", "life after")))
	require.Equal(t, Refuse, here.View().Verdict(7))
}

// The guilty request's neighbours are tried alone and answered: they go free.
// An answer that was under way elsewhere must not free a request of two deaths.
func TestAnAnswerClearsOneDeathButNotTwo(t *testing.T) {
	var machine Machine
	machine.Step(start, death(1, "gpu-1", "a"))
	machine.Step(start, death(2, "gpu-1", "a"))
	machine.Step(start, death(2, "gpu-2", "b"))
	require.True(t, machine.Step(start, Cleared{
		Fingerprint: 1,
	}))
	require.False(t, machine.Step(start, Cleared{
		Fingerprint: 2,
	}))
	require.False(t, machine.Step(start, Cleared{
		Fingerprint: 3,
	}))
	require.Equal(t, Serve, machine.View().Verdict(1))
	require.Equal(t, Refuse, machine.View().Verdict(2))
}

// A bad night makes thousands of suspects. Memory and gossip stay bounded, and
// those that go are the ones that would expire first.
func TestSuspectsAreBoundedAndExpire(t *testing.T) {
	var machine Machine
	for i := range maxSuspects + 10 {
		machine.Step(start.Add(time.Duration(i)*time.Millisecond), death(ident.Fingerprint(i), fmt.Sprint("gpu-", i), "a"))
	}
	require.Len(t, machine.All(), maxSuspects)
	require.Equal(t, Serve, machine.View().Verdict(0))
	require.Equal(t, Alone, machine.View().Verdict(maxSuspects+9))

	require.True(t, machine.Step(start.Add(2*keepFor), Cleared{
		Fingerprint: 1,
	}))
	require.Empty(t, machine.All())
}

// A host that slept for an hour tells of suspects that all others have let go.
// Taken in, they would be refused or slowed for another round of gossip.
func TestAnExpiredSuspectIsNotTakenFromAPeer(t *testing.T) {
	var peer, here Machine
	peer.Step(start, death(7, "gpu-1", "a"))
	later := start.Add(keepFor + time.Second)
	require.False(t, here.Step(later, Told{
		Suspects: peer.All(),
	}))
	require.Equal(t, Serve, here.View().Verdict(7))
}
