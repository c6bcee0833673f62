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

func failure(n int, team ident.TeamName) Decision {
	return Decision{
		Kind:    KindFailure,
		At:      noon.Add(time.Duration(n) * time.Second),
		Team:    team,
		Request: ident.RequestID(fmt.Sprint("req-", n)),
	}
}

// An overload refuses thousands of requests. The move that caused it, and the
// newest refusals, can still be asked about.
func TestAStormPushesOutOnlyItsOwnKind(t *testing.T) {
	log := NewLog("entry-1")
	log.Add(Decision{
		Kind:  KindMove,
		At:    noon,
		Order: "ord-1",
	})
	for n := range 3 * maxFailures {
		log.Add(failure(n, "kerlouan"))
	}
	require.Len(t, log.Find(Query{ID: "ord-1", AllTeams: true}), 1)
	require.Len(t, log.failures.items, maxFailures)
	oldest := 2 * maxFailures
	require.Len(t, log.Find(Query{ID: fmt.Sprint("req-", oldest), Team: "kerlouan"}), 1)
	require.Empty(t, log.Find(Query{ID: fmt.Sprint("req-", oldest-1), Team: "kerlouan"}))
}

// A team sees its own; what has no team only who knows its id.
func TestTeamsSeeTheirOwn(t *testing.T) {
	log := NewLog("entry-1")
	log.Add(failure(1, "kerlouan"))
	log.Add(failure(2, "nour"))
	log.Add(failure(3, ""))
	require.Len(t, log.Find(Query{Team: "nour"}), 1)
	require.Len(t, log.Find(Query{AllTeams: true}), 3)
	require.Empty(t, log.Find(Query{ID: "req-1", Team: "nour"}))
	require.Len(t, log.Find(Query{ID: "req-3", Team: "nour"}), 1)
	require.EqualValues(t, "entry-1", log.Find(Query{ID: "req-2", Team: "nour"})[0].Host)
}

// However much is added, a query gives the newest, in order, within its limit.
func TestNewestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := NewLog("entry-1")
		log.failures.most = rapid.IntRange(1, 20).Draw(t, "most")
		added := rapid.IntRange(0, 60).Draw(t, "added")
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		for n := range added {
			log.Add(failure(n, "kerlouan"))
		}
		found := log.Find(Query{AllTeams: true, Limit: limit})
		require.Len(t, found, min(added, limit, log.failures.most))
		for i := range found {
			require.Equal(t, failure(added-1-i, "kerlouan").Request, found[i].Request)
		}
	})
}

func TestTextsAreBounded(t *testing.T) {
	log := NewLog("entry-1")
	long := failure(1, "kerlouan")
	long.Message = strings.Repeat("é", maxText)
	long.Target = long.Message
	log.Add(long)
	found := log.Find(Query{AllTeams: true})[0]
	require.Equal(t, strings.Repeat("é", maxText/2), found.Message)
	require.Equal(t, found.Message, found.Target)
	var none *Log
	none.Add(long)
	require.Empty(t, none.Find(Query{}))
}

// What a failed request costs beside the failure itself, the ring being full.
func BenchmarkAdd(b *testing.B) {
	log := NewLog("entry-1")
	one := failure(1, "kerlouan")
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
		log.Add(failure(n, "kerlouan"))
	}
	for b.Loop() {
		log.Find(Query{ID: "req-0", AllTeams: true})
	}
}
