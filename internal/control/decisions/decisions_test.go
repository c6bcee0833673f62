package decisions

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func newFailure(n int, team ident.TeamName) Decision {
	return Decision{
		Kind:    KindFailure,
		At:      noon.Add(time.Duration(n) * time.Second),
		Team:    team,
		Request: ident.RequestID(fmt.Sprint("req-", n)),
	}
}

// An overload refuses thousands of requests. The move that caused it, and the newest
// refusals, must still be found.
func TestManyFailuresEvictOnlyFailures(t *testing.T) {
	log := NewLog("entry-1")
	log.Add(Decision{
		Kind:  KindMove,
		At:    noon,
		Order: "ord-1",
	})
	for n := range 3 * maxFailures {
		log.Add(newFailure(n, "kerlouan"))
	}
	require.Len(t, log.Find(Query{ID: "ord-1", AllTeams: true}), 1)
	require.Len(t, log.failures.items, maxFailures)
	oldest := 2 * maxFailures
	require.Len(t, log.Find(Query{ID: fmt.Sprint("req-", oldest), Team: "kerlouan"}), 1)
	require.Empty(t, log.Find(Query{ID: fmt.Sprint("req-", oldest-1), Team: "kerlouan"}))
}

// A team sees its own decisions, and those without a team if it gives their id.
func TestFindShowsTeamsTheirOwnDecisions(t *testing.T) {
	log := NewLog("entry-1")
	log.Add(newFailure(1, "kerlouan"))
	log.Add(newFailure(2, "nour"))
	log.Add(newFailure(3, ""))
	require.Len(t, log.Find(Query{Team: "nour"}), 1)
	require.Len(t, log.Find(Query{AllTeams: true}), 3)
	require.Empty(t, log.Find(Query{ID: "req-1", Team: "nour"}))
	require.Len(t, log.Find(Query{ID: "req-3", Team: "nour"}), 1)
	require.EqualValues(t, "entry-1", log.Find(Query{ID: "req-2", Team: "nour"})[0].Host)
}

// However many decisions are added, a query returns the newest, in order, within its
// limit.
func TestFindReturnsNewestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := NewLog("entry-1")
		log.failures.capacity = rapid.IntRange(1, 20).Draw(t, "most")
		added := rapid.IntRange(0, 60).Draw(t, "added")
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		for n := range added {
			log.Add(newFailure(n, "kerlouan"))
		}
		found := log.Find(Query{AllTeams: true, Limit: limit})
		require.Len(t, found, min(added, limit, log.failures.capacity))
		for i := range found {
			require.Equal(t, newFailure(added-1-i, "kerlouan").Request, found[i].Request)
		}
	})
}

func TestTextsAreBounded(t *testing.T) {
	log := NewLog("entry-1")
	long := newFailure(1, "kerlouan")
	long.Message = strings.Repeat("é", maxTextBytes)
	long.Target = long.Message
	log.Add(long)
	found := log.Find(Query{AllTeams: true})[0]
	require.Equal(t, strings.Repeat("é", maxTextBytes/2), found.Message)
	require.Equal(t, found.Message, found.Target)
	var none *Log
	none.Add(long)
	require.Empty(t, none.Find(Query{}))
}

// BenchmarkAdd measures the cost that the log adds to a failed request once the ring
// is full.
func BenchmarkAdd(b *testing.B) {
	log := NewLog("entry-1")
	one := newFailure(1, "kerlouan")
	for range maxFailures {
		log.Add(one)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			log.Add(one)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	log := NewLog("entry-1")
	for n := range maxFailures {
		log.Add(newFailure(n, "kerlouan"))
	}
	for b.Loop() {
		log.Find(Query{ID: "req-0", AllTeams: true})
	}
}
