package gateway

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
)

// changeDeadline is the time within which all hosts must know of a change. It also bounds
// how long a host whose watchers fail takes to notice it and to ask the service itself.
const changeDeadline = 4 * time.Second

// startLargeRegion starts a data centre with more than smallRegionHosts hosts, and waits
// until all but the watchers get their view from these.
func startLargeRegion(t *testing.T) (*fleet, []string) {
	t.Parallel() // the test mostly waits
	f := newFleet(t)
	f.serve("old", "one")
	f.serve("old", "two")
	f.keyValue.write("configuration", configuration(4, "old"))
	var names []string
	for i := range smallRegionHosts + 3 {
		name := "h" + strconv.Itoa(i)
		names = append(names, name)
		f.start(name)
	}
	f.eventually(func() bool {
		return f.agreeOnWatchers(names) && len(f.followers()) == len(names)-watchersPerDataCentre
	}, "all but the watchers follow these")
	return f, names
}

// agreeOnWatchers tells that each host knows all the others, so that all select the same
// watchers.
func (f *fleet) agreeOnWatchers(names []string) bool {
	watchers := 0
	for _, name := range names {
		host := f.hosts[name]
		if host.knownHostCount.Load() != int64(len(names)) {
			return false
		}
		if host.watchers.Load().isEmpty() {
			watchers++
		}
	}
	return watchers == watchersPerDataCentre
}

// followers returns the hosts that get a fresh view of the service from watchers.
func (f *fleet) followers() []string {
	var names []string
	for name, host := range f.hosts {
		if host.hasFreshWatcher() {
			names = append(names, name)
		}
	}
	return names
}

// haveState tells that hosts use a version of the configuration, and so many servers.
func (f *fleet) haveState(names []string, version route.Version, servers int) bool {
	for _, name := range names {
		routes, pool := f.hosts[name].Routes(), f.hosts[name].Pool("old")
		if routes == nil || routes.Configuration().Version != version || pool == nil || countUsedServers(pool) != servers {
			return false
		}
	}
	return true
}

// countUsedServers counts the servers that a pool sends requests to.
func countUsedServers(pool *balance.Pool) int {
	seen := make(map[ident.ServerName]bool)
	for dice := range uint64(40) {
		ticket, verdict := pool.Take(time.Now(), balance.Criteria{
			Random: dice,
		})
		if verdict == balance.Found {
			seen[ticket.Server] = true
			ticket.Done(time.Now(), balance.Left)
		}
	}
	return len(seen)
}

// kill ends a host without a planned stop: its entry and its leases stay.
func (f *fleet) kill(name string) {
	host := f.hosts[name]
	delete(f.hosts, name)
	host.tomb.Kill(nil)
	host.close(context.Background())
	require.NoError(f.t, host.tomb.Wait())
}

// If each of 295 hosts follows the service, their calls cost as much as half of the requests
// served. With few watchers the other hosts must learn as soon of a new configuration and of
// a removed server, and call the service next to never.
func TestHostsOfLargeRegionFollowWatchers(t *testing.T) {
	f, names := startLargeRegion(t)
	f.eventually(func() bool { return f.haveState(names, 4, 2) }, "all know")
	time.Sleep(longPollDuration + maxViewAge) // until the watchers' first long polls, which have the longer duration, are over
	f.keyValue.takeCalls()
	time.Sleep(changeDeadline) // without changes
	f.keyValue.write("configuration", configuration(5, "old"))
	f.keyValue.delete("servers/two")
	require.Eventually(t, func() bool { return f.haveState(names, 5, 1) }, changeDeadline, 10*time.Millisecond)
	calls := f.keyValue.takeCalls()
	for _, name := range f.followers() {
		require.LessOrEqual(t, calls[name], 2, "the polls in flight when it began to follow")
	}
}

// The key-value service rejects both watchers of a data centre, or they lose their
// connection to it. They still answer, with an old view. The others must notice, and learn
// of a change in time.
func TestWatchersWithoutStoreAreNotFollowed(t *testing.T) {
	f, names := startLargeRegion(t)
	var others []string
	for _, name := range names {
		if f.hosts[name].watchers.Load().isEmpty() {
			f.keyValue.setUnavailable(name, true)
		} else {
			others = append(others, name)
		}
	}
	require.Len(t, others, len(names)-watchersPerDataCentre)
	f.keyValue.write("configuration", configuration(6, "old"))
	f.keyValue.delete("servers/two")
	require.Eventually(t, func() bool { return f.haveState(others, 6, 1) }, changeDeadline, 10*time.Millisecond)
	require.Eventually(t, func() bool { return f.haveState(names, 6, 1) }, 2*changeDeadline, 10*time.Millisecond, "the watchers get the change from peers")
}

// The key-value service is unavailable for seconds. If each of hundreds of hosts that
// follow watchers calls it every second, these calls are in vain and are counted. Such hosts
// have to call seldom, and still learn in time of changes once the service is back.
func TestFollowersPollSeldomInOutage(t *testing.T) {
	const outage = 8 * time.Second
	f, names := startLargeRegion(t)
	followers := f.followers()
	require.Len(t, followers, len(names)-watchersPerDataCentre)
	f.keyValue.setUnavailable("", true)
	f.keyValue.takeCalls()
	time.Sleep(outage)
	calls := f.keyValue.takeCalls()
	const prefixes = 2
	total := 0
	for _, name := range followers {
		total += calls[name]
	}
	most := outage.Seconds() / followerRetryDelay.Seconds() // by one host, on average, for each prefix
	require.LessOrEqual(t, float64(total), prefixes*most*float64(len(names)-watchersPerDataCentre))
	f.keyValue.write("configuration", configuration(8, "old"))
	f.keyValue.setUnavailable("", false)
	require.Eventually(t, func() bool { return f.haveState(names, 8, 2) }, changeDeadline, 10*time.Millisecond)
}

// Both watchers are killed at once, and their entries stay until their leases expire. The
// others must learn of a change in time all the same.
func TestChangesArriveAfterAllWatchersCrash(t *testing.T) {
	f, names := startLargeRegion(t)
	var others []string
	for _, name := range names {
		if f.hosts[name].watchers.Load().isEmpty() {
			f.kill(name)
		} else {
			others = append(others, name)
		}
	}
	f.keyValue.write("configuration", configuration(7, "old"))
	f.keyValue.delete("servers/two")
	require.Eventually(t, func() bool { return f.haveState(others, 7, 1) }, changeDeadline, 10*time.Millisecond)
}

// startLargeRegionWithEngine starts a large region with an engine. It returns a host that follows
// watchers, and a request for a model that the engine doesn't hold yet.
func startLargeRegionWithEngine(t *testing.T) (*fleet, []string, *Gateway, balance.Criteria) {
	f, names := startLargeRegion(t)
	f.serve("models", "three")
	newer := engineConfiguration()
	newer.Version = 5
	f.keyValue.write("configuration", newer)
	f.eventually(func() bool { return len(f.leaders()) == 1 }, "somebody leads")
	asked := balance.Criteria{
		Weights: request.Weights{
			Model: "n",
		},
	}
	at := f.hosts[f.followers()[0]]
	f.eventually(func() bool { return at.Pool("models") != nil }, "the service is known")
	return f, names, at, asked
}

// The leader gets the hosts' demand through watchers, and the hosts get its inventory
// through them: a model with demand at a host that never calls the leader is loaded, and
// all hosts know of it.
func TestWatchersRelayDemandAndInventory(t *testing.T) {
	f, names, at, asked := startLargeRegionWithEngine(t)
	defer at.Pool("models").CountWaiting(asked.Weights)()
	f.eventually(func() bool {
		at.ReportMissingWeights()
		for _, name := range names {
			pool := f.hosts[name].Pool("models")
			if pool == nil {
				return false
			}
			if _, verdict := pool.Candidates(time.Now(), asked); verdict != balance.Found {
				return false
			}
		}
		return true
	}, "it is loaded, and all know")
}

// Guards against a fleet that loses power at once and fills the link to the service's region for
// seconds, since each host reads all entries, or those of all hosts: hosts read the entries of the
// watchers, which still exist, and call these. The watchers are the last to start: the others must
// not give up on them, and must serve at once when they are ready.
func TestRestartedFleetReadsThroughWatchers(t *testing.T) {
	const startSpread = 600 * time.Millisecond
	const serveDeadline = time.Second
	f, names := startLargeRegion(t)
	var watchers, others []string
	for _, name := range names {
		if f.hosts[name].watchers.Load().isEmpty() {
			watchers = append(watchers, name)
		} else {
			others = append(others, name)
		}
	}
	f.eventually(func() bool { return f.countWatcherEntries() == watchersPerDataCentre }, "the watchers are listed")
	for _, name := range names {
		f.kill(name)
	}
	f.keyValue.forgetLists()
	for _, name := range others {
		f.start(name)
	}
	time.Sleep(startSpread)
	for _, name := range watchers {
		f.start(name)
	}
	require.Eventually(t, func() bool { return f.haveState(names, 4, 2) }, serveDeadline, 10*time.Millisecond)
	require.LessOrEqual(t, f.keyValue.countListedBy("servers"), watchersPerDataCentre+1)
	require.LessOrEqual(t, f.keyValue.countListedBy("configuration"), watchersPerDataCentre+1)
	require.Equal(t, len(names), f.keyValue.countListedBy("servers-ours/watchers/north-1/"))
	require.Zero(t, f.keyValue.countListedBy("servers-ours/hosts/north-1/"))
}

// countWatcherEntries counts the entries of watchers.
func (f *fleet) countWatcherEntries() int {
	f.keyValue.mu.Lock()
	defer f.keyValue.mu.Unlock()
	count := 0
	for key := range f.keyValue.entries {
		if strings.HasPrefix(key, "servers-ours/watchers/north-1/") {
			count++
		}
	}
	return count
}

// Guards against the entry of a watcher that is none any more, which starting hosts would ask.
func TestFormerWatcherIsNotListed(t *testing.T) {
	f, names := startLargeRegion(t)
	f.eventually(func() bool { return f.countWatcherEntries() == watchersPerDataCentre }, "the watchers are listed")
	for _, name := range names[smallRegionHosts:] {
		f.stop(name)
	}
	require.Eventually(t, func() bool { return f.countWatcherEntries() == 0 }, 2*hostLeaseDuration, 10*time.Millisecond, "a small region has no watchers")
}

// Guards against hosts that each learn an engine's pace alone, from a few answers a minute.
func TestHostsShareLastingPace(t *testing.T) {
	f, names, at, asked := startLargeRegionWithEngine(t)
	defer at.Pool("models").CountWaiting(asked.Weights)()
	f.eventually(func() bool {
		at.ReportMissingWeights()
		ticket, verdict := at.Pool("models").Take(time.Now(), asked)
		if verdict != balance.Found {
			return false
		}
		ticket.UpdateLoad(time.Now(), balance.Load{
			Pace: 2,
		})
		ticket.Done(time.Now(), balance.Left)
		return true
	}, "one host reads the pace")
	f.eventually(func() bool {
		for _, name := range names {
			pool := f.hosts[name].Pool("models")
			if pool == nil || pool.LevelOf(time.Now(), "three") != 2 {
				return false
			}
		}
		return true
	}, "all know the level")
}
