package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

// A crew's briefing goes to a server that has lost the model: the server took a
// report, restarted with empty memory and took another, and the first report
// comes last, from a slow connection. It must not bring the earlier life back.
func TestLateReportOfAnEarlierLife(t *testing.T) {
	w := newWorld(2, 1, 2, 0)
	before := *w.reports[engineName(0)]
	before.At = w.now.Add(time.Second)
	w.now = w.now.Add(2 * time.Second)
	w.reports[engineName(0)].Incarnation = "inc-second"
	w.reports[engineName(0)].Residents = nil
	w.tellReport(engineName(0))
	require.Equal(t, []ident.ServerName{engineName(1)}, w.target().names())

	w.machine.Step(w.now, Reported{
		Report: before,
	})
	require.Equal(t, []ident.ServerName{engineName(1)}, w.target().names())
}

// Requests go to a server that is about to stop: the platform's list lags and
// shows it live, while its own report, or a peer, says that it leaves. The word
// holds for that life only: the server that comes back takes work again.
func TestLeavingServerStillListedLive(t *testing.T) {
	w := newWorld(2, 1, 2, 0)
	w.machine.Step(w.now, ServerLeaving{
		Server:      engineName(0),
		Incarnation: "inc-of-a-life-long-ago",
	})
	require.Len(t, w.target().Replicas, 2)
	w.machine.Step(w.now, ServerLeaving{
		Server:      engineName(0),
		Incarnation: w.reports[engineName(0)].Incarnation,
	})
	w.tellList()
	w.tellReports()
	require.Equal(t, []ident.ServerName{engineName(1)}, w.target().names())

	w.now = w.now.Add(time.Second)
	w.reports[engineName(0)].Incarnation = "inc-second"
	w.tellReport(engineName(0))
	require.Len(t, w.target().Replicas, 2)

	w.now = w.now.Add(time.Second)
	w.reports[engineName(0)].Leaving = true
	w.tellReport(engineName(0))
	require.Equal(t, []ident.ServerName{engineName(1)}, w.target().names())
	require.Len(t, w.machine.Leaving(), 1)
}

// Every request to one server takes a whole patience and is then lost: it
// hangs, and the list and its last report say that it is well. After a few
// losses it gets none; after the pause it is tried again, and one answer
// brings it back for good.
func TestHangingServerIsEjectedAndTriedAgain(t *testing.T) {
	w := newWorld(2, 1, 2, 0)
	target := w.target()
	gauge := target.Replicas[0].Gauge
	for range failuresToEject {
		gauge.Begin(w.now)
		gauge.Failed(w.now)
	}
	require.Equal(t, 0, w.picks(target, engineName(0)))
	require.Equal(t, 0, w.picks(w.target(), engineName(0)), "a new table forgets nothing")

	w.now = w.now.Add(ejectFor)
	require.Positive(t, w.picks(target, engineName(0)))
	gauge.Begin(w.now)
	gauge.Failed(w.now)
	w.now = w.now.Add(ejectFor)
	require.Equal(t, 0, w.picks(target, engineName(0)), "the next pause is longer")
	w.now = w.now.Add(ejectFor)
	gauge.Begin(w.now)
	gauge.Answered(w.now, Timing{})
	gauge.Begin(w.now)
	gauge.Failed(w.now)
	require.Positive(t, w.picks(target, engineName(0)))
}

// picks counts how many of many requests go to a server.
func (w *world) picks(target *Target, server ident.ServerName) int {
	count := 0
	for i := range 200 {
		choice, err := (LeastCost{}).Choose(target, &Request{
			Now:    w.now,
			Dice:   splitmix.Mix(uint64(i)),
			Prefix: uint64(i),
		})
		if err == nil && choice.Replica.Server == server {
			count++
		}
	}
	return count
}

// A model is unreachable while its version changes: the document names the new
// one from one instant on, and the engines have it much later, one by one. The
// version before goes on answering until the new one has its least number.
func TestVersionChangeKeepsTheModelReachable(t *testing.T) {
	w := newWorld(3, 1, 3, 0)
	w.doc.Models[0].Version = "2"
	w.doc.Models[0].Replicas = 2
	w.tellDocuments()
	require.Len(t, w.target().Replicas, 3)

	for i, versions := range [][]ident.Version{{"1", "1", "2"}, {"2", "2"}, {"2", "2", "2"}} {
		w.now = w.now.Add(time.Second)
		w.reports[engineName(i)].Residents[0].Version = "2"
		w.tellReport(engineName(i))
		var got []ident.Version
		for _, replica := range w.target().Replicas {
			got = append(got, replica.Version)
		}
		slices.Sort(got)
		require.Equal(t, versions, got)
	}
}

// A new replica drowns: its queue looks empty to all hosts at once, while its
// caches are cold. In its first seconds it gets less than its part, then all.
func TestSlowStart(t *testing.T) {
	w := newWorld(3, 1, 3, 0)
	w.now = w.now.Add(time.Minute)
	w.tellReports()
	w.now = w.now.Add(time.Second)
	w.reports[engineName(0)].Incarnation = "inc-second"
	w.tellReport(engineName(0))
	require.Less(t, w.picks(w.target(), engineName(0)), 40)
	w.now = w.now.Add(slowStart)
	require.Greater(t, w.picks(w.target(), engineName(0)), 40)
}

// A request that fails everywhere goes round the fleet for ever, or to one
// server twice. It goes to a server once, and to MaxTried in all.
func TestMaxTried(t *testing.T) {
	w := newWorld(3, 1, 3, 0)
	request := Request{
		Now:  w.now,
		Dice: 7,
	}
	seen := make(map[ident.ServerName]bool)
	for range 3 {
		choice, err := (LeastCost{}).Choose(w.target(), &request)
		require.NoError(t, err)
		require.False(t, seen[choice.Replica.Server])
		seen[choice.Replica.Server] = true
		request.Tried[request.NumTried] = choice.Replica.Server
		request.NumTried++
	}
	_, err := (LeastCost{}).Choose(w.target(), &request)
	require.ErrorIs(t, err, ErrNoReplica)
	require.Len(t, request.Tried, MaxTried)
}

// One replica is flooded in turn: it looks idle in the same lagging report to
// all hosts, and all send their next requests there. Seven hosts with the same
// reports must spread a burst that comes before the next one.
func TestHostsWithTheSameReportsSpread(t *testing.T) {
	const hosts, perHost, servers = 7, 8, 12
	counts := make(map[ident.ServerName]int)
	for h := range hosts {
		w := newWorld(servers, 1, servers, 0)
		for i := range servers {
			w.reports[engineName(i)].Running = 4 + i%4
		}
		w.reports[engineName(5)].Running = 0
		w.tellReports()
		for i := range perHost {
			dice := splitmix.Mix(uint64(h*perHost + i))
			choice, err := (LeastCost{}).Choose(w.target(), &Request{
				Now:    w.now,
				Dice:   dice,
				Prefix: splitmix.Mix(dice),
			})
			require.NoError(t, err)
			choice.Replica.Gauge.Begin(w.now)
			counts[choice.Replica.Server]++
		}
	}
	require.LessOrEqual(t, counts[engineName(5)], hosts*perHost/3, "%v", counts)
	require.GreaterOrEqual(t, len(counts), servers/2, "%v", counts)
}

// A host of another kind on the list, such as an entry host, takes no requests,
// and neither does a server that nobody has heard of.
func TestOnlyKnownBackendServersAreTargets(t *testing.T) {
	w := newWorld(1, 1, 1, 0)
	w.machine.Step(w.now, Reported{
		Report: backend.Report{
			Server: "nobody",
		},
	})
	w.servers = append(w.servers, backend.Server{
		Name:  "entry-1",
		Kind:  backend.KindEntry,
		State: backend.StateLive,
	})
	w.tellList()
	require.Len(t, w.target().Replicas, 1)
}

// Every second request is refused by a server that has restarted with empty
// memory: it refuses at once, so it looks idle and draws the requests, until its
// next report. Its own word on one model counts until then, and for that model only.
func TestServerThatLostTheModelDrawsNoRequests(t *testing.T) {
	w := newWorld(2, 2, 2, 0)
	target := w.target()
	target.Replicas[0].Absent(w.now)
	require.Equal(t, 0, w.picks(target, engineName(0)))
	other, _ := w.machine.Table().Target(modelName(1))
	require.Positive(t, w.picks(other, engineName(0)))
	w.now = w.now.Add(absentFor)
	require.Positive(t, w.picks(target, engineName(0)))
}

// All prompts are computed anew each time a server comes or goes: every prefix
// has found another home. Only the prefixes of that server may move.
func TestOnlyTheHomesOfAGoneServerMove(t *testing.T) {
	w := newWorld(12, 1, 12, 0)
	before := w.target()
	w.servers = w.servers[:11]
	w.tellList()
	after := w.target()
	gone := 0
	for prefix := range uint64(1000) {
		was := before.Replicas[before.home(splitmix.Mix(prefix), 0, 12)].Server
		if was == engineName(11) {
			gone++
			continue
		}
		require.Equal(t, was, after.Replicas[after.home(splitmix.Mix(prefix), 0, 11)].Server)
	}
	require.InDelta(t, 1000/12, gone, 40)
}
