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

// A server makes a report, restarts with empty memory and makes another, and the
// first report arrives last over a slow connection. If it were applied, requests
// would go to a server that has lost the model.
func TestLateReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	f := newTestFleet(2, 1, 2, 0)
	before := *f.reports[engineName(0)]
	before.ReportedAt = f.now.Add(time.Second)
	f.now = f.now.Add(2 * time.Second)
	f.reports[engineName(0)].Incarnation = "inc-second"
	f.reports[engineName(0)].Residents = nil
	f.sendReport(engineName(0))
	require.Equal(t, []ident.ServerName{engineName(1)}, f.firstTarget().serverNames())

	f.machine.Step(f.now, ReportReceived{
		Report: before,
	})
	require.Equal(t, []ident.ServerName{engineName(1)}, f.firstTarget().serverNames())
}

// The platform's list lags and shows a server as live, while its own report, or a
// peer, says that it is leaving. Without that, requests go to a server that is
// about to stop. The state holds for that incarnation only: a restarted server
// takes requests again.
func TestLeavingServerListedLiveGetsNoRequests(t *testing.T) {
	f := newTestFleet(2, 1, 2, 0)
	f.machine.Step(f.now, ServerLeaving{
		Server:      engineName(0),
		Incarnation: "inc-of-a-life-long-ago",
	})
	require.Len(t, f.firstTarget().Replicas, 2)
	f.machine.Step(f.now, ServerLeaving{
		Server:      engineName(0),
		Incarnation: f.reports[engineName(0)].Incarnation,
	})
	f.sendServerList()
	f.sendReports()
	require.Equal(t, []ident.ServerName{engineName(1)}, f.firstTarget().serverNames())

	f.now = f.now.Add(time.Second)
	f.reports[engineName(0)].Incarnation = "inc-second"
	f.sendReport(engineName(0))
	require.Len(t, f.firstTarget().Replicas, 2)

	f.now = f.now.Add(time.Second)
	f.reports[engineName(0)].Leaving = true
	f.sendReport(engineName(0))
	require.Equal(t, []ident.ServerName{engineName(1)}, f.firstTarget().serverNames())
	require.Len(t, f.machine.LeavingServers(), 1)
}

// A server hangs, while the list and its last report say that it is well, so that
// each request sent there times out and is lost. After a few losses it is ejected;
// after the ejection it is tried again, and one answer resets its failures.
func TestHangingServerIsEjectedAndTriedAgain(t *testing.T) {
	f := newTestFleet(2, 1, 2, 0)
	target := f.firstTarget()
	tracker := target.Replicas[0].LoadTracker
	for range failuresToEject {
		tracker.StartRequest(f.now)
		tracker.RecordFailure(f.now)
	}
	require.Equal(t, 0, f.countChoices(target, engineName(0)))
	require.Equal(t, 0, f.countChoices(f.firstTarget(), engineName(0)), "a new table forgets nothing")

	f.now = f.now.Add(minEjection)
	require.Positive(t, f.countChoices(target, engineName(0)))
	tracker.StartRequest(f.now)
	tracker.RecordFailure(f.now)
	f.now = f.now.Add(minEjection)
	require.Equal(t, 0, f.countChoices(target, engineName(0)), "the next pause is longer")
	f.now = f.now.Add(minEjection)
	tracker.StartRequest(f.now)
	tracker.RecordAnswer(f.now, Timing{})
	tracker.StartRequest(f.now)
	tracker.RecordFailure(f.now)
	require.Positive(t, f.countChoices(target, engineName(0)))
}

// countChoices returns how many of 200 requests go to a server.
func (f *testFleet) countChoices(target *Target, server ident.ServerName) int {
	count := 0
	for i := range 200 {
		choice, err := (LeastCost{}).Choose(target, &Request{
			Now:        f.now,
			Random:     splitmix.Mix(uint64(i)),
			PrefixHash: uint64(i),
		})
		if err == nil && choice.Replica.Server == server {
			count++
		}
	}
	return count
}

// The document names a new version from one instant on, while the engines load it
// much later, one by one. The model would be unreachable meanwhile, if the version
// before did not keep answering until the new one has its minimum number of
// replicas.
func TestVersionChangeKeepsModelReachable(t *testing.T) {
	f := newTestFleet(3, 1, 3, 0)
	f.doc.Models[0].Version = "2"
	f.doc.Models[0].Replicas = 2
	f.sendDocuments()
	require.Len(t, f.firstTarget().Replicas, 3)

	for i, versions := range [][]ident.Version{{"1", "1", "2"}, {"2", "2"}, {"2", "2", "2"}} {
		f.now = f.now.Add(time.Second)
		f.reports[engineName(i)].Residents[0].Version = "2"
		f.sendReport(engineName(i))
		var versionsInTable []ident.Version
		for _, replica := range f.firstTarget().Replicas {
			versionsInTable = append(versionsInTable, replica.Version)
		}
		slices.Sort(versionsInTable)
		require.Equal(t, versions, versionsInTable)
	}
}

// A new replica would be overloaded: its queue looks empty to all hosts at once,
// while its caches are cold. During the slow start it gets less than its share,
// then all of it.
func TestNewReplicaGetsFewerRequestsInSlowStart(t *testing.T) {
	f := newTestFleet(3, 1, 3, 0)
	f.now = f.now.Add(time.Minute)
	f.sendReports()
	f.now = f.now.Add(time.Second)
	f.reports[engineName(0)].Incarnation = "inc-second"
	f.sendReport(engineName(0))
	require.Less(t, f.countChoices(f.firstTarget(), engineName(0)), 40)
	f.now = f.now.Add(slowStartDuration)
	require.Greater(t, f.countChoices(f.firstTarget(), engineName(0)), 40)
}

// A request that fails everywhere must not be retried for ever, nor sent to one
// server twice: it goes to a server once, and to MaxTried servers in all.
func TestRequestTriesEachServerOnce(t *testing.T) {
	f := newTestFleet(3, 1, 3, 0)
	request := Request{
		Now:    f.now,
		Random: 7,
	}
	seen := make(map[ident.ServerName]bool)
	for range 3 {
		choice, err := (LeastCost{}).Choose(f.firstTarget(), &request)
		require.NoError(t, err)
		require.False(t, seen[choice.Replica.Server])
		seen[choice.Replica.Server] = true
		request.Tried[request.NumTried] = choice.Replica.Server
		request.NumTried++
	}
	_, err := (LeastCost{}).Choose(f.firstTarget(), &request)
	require.ErrorIs(t, err, ErrNoReplica)
	require.Len(t, request.Tried, MaxTried)
}

// A replica looks idle in the same lagging report to all hosts, and would be
// flooded if all sent their next requests there. Seven hosts with the same reports
// must spread a burst that arrives before the next report.
func TestHostsWithSameReportsSpreadRequests(t *testing.T) {
	const hosts, perHost, servers = 7, 8, 12
	counts := make(map[ident.ServerName]int)
	for h := range hosts {
		f := newTestFleet(servers, 1, servers, 0)
		for i := range servers {
			f.reports[engineName(i)].Running = 4 + i%4
		}
		f.reports[engineName(5)].Running = 0
		f.sendReports()
		for i := range perHost {
			random := splitmix.Mix(uint64(h*perHost + i))
			choice, err := (LeastCost{}).Choose(f.firstTarget(), &Request{
				Now:        f.now,
				Random:     random,
				PrefixHash: splitmix.Mix(random),
			})
			require.NoError(t, err)
			choice.Replica.LoadTracker.StartRequest(f.now)
			counts[choice.Replica.Server]++
		}
	}
	require.LessOrEqual(t, counts[engineName(5)], hosts*perHost/3, "%v", counts)
	require.GreaterOrEqual(t, len(counts), servers/2, "%v", counts)
}

// An entry host on the platform's list gets no requests, and neither does a server
// that is not on the list.
func TestOnlyKnownBackendServersAreTargets(t *testing.T) {
	f := newTestFleet(1, 1, 1, 0)
	f.machine.Step(f.now, ReportReceived{
		Report: backend.Report{
			Server: "nobody",
		},
	})
	f.servers = append(f.servers, backend.Server{
		Name:  "entry-1",
		Kind:  backend.KindEntry,
		State: backend.StateLive,
	})
	f.sendServerList()
	require.Len(t, f.firstTarget().Replicas, 1)
}

// A server that has restarted with empty memory refuses at once, so it looks idle
// and attracts requests until its next report. Its refusal of one model counts
// until then, and for that model only.
func TestServerMissingModelGetsNoRequestsForIt(t *testing.T) {
	f := newTestFleet(2, 2, 2, 0)
	target := f.firstTarget()
	target.Replicas[0].MarkMissing(f.now)
	require.Equal(t, 0, f.countChoices(target, engineName(0)))
	other, _ := f.machine.Table().Target(modelName(1))
	require.Positive(t, f.countChoices(other, engineName(0)))
	f.now = f.now.Add(missingDuration)
	require.Positive(t, f.countChoices(target, engineName(0)))
}

// If prefixes moved between replicas each time a server is added or removed, all prompts
// would miss the prefix caches. Only the prefixes of a removed server may move.
func TestRemovedServerMovesOnlyItsPrefixes(t *testing.T) {
	f := newTestFleet(12, 1, 12, 0)
	before := f.firstTarget()
	f.servers = f.servers[:11]
	f.sendServerList()
	after := f.firstTarget()
	moved := 0
	for prefix := range uint64(1000) {
		preferredBefore := before.Replicas[before.preferredReplica(splitmix.Mix(prefix), 0, 12)].Server
		if preferredBefore == engineName(11) {
			moved++
			continue
		}
		require.Equal(t, preferredBefore, after.Replicas[after.preferredReplica(splitmix.Mix(prefix), 0, 11)].Server)
	}
	require.InDelta(t, 1000/12, moved, 40)
}
