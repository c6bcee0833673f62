package loop

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/orders"
)

// newElectionWithLeader returns a fleet that has had a leader for some time.
func newElectionWithLeader(t *testing.T, hosts int, usesHints bool) *election {
	e := newElection(t, hosts, usesHints)
	e.advanceBy(electionWarmUpTime)
	require.NotNil(t, e.leader())
	return e
}

const (
	electionWarmUpTime  = 30 * time.Second
	electionMeasureTime = time.Minute
)

// electionCost has the reads of the leader key a second while the leader runs and
// in the time from its crash, the most in one step, and the time to the next leader.
type electionCost struct {
	calmReadsPerSecond, takeoverReadsPerSecond float64
	maxReadsInStep                             int
	takeover                                   time.Duration
}

func (e *election) measure() electionCost {
	e.advanceBy(electionWarmUpTime)
	e.leaderReads = 0
	e.advanceBy(electionMeasureTime)
	cost := electionCost{
		calmReadsPerSecond: float64(e.leaderReads) / electionMeasureTime.Seconds(),
	}
	leader := e.leader()
	require.NotNil(e.t, leader)
	leader.crashed = true
	e.leaderReads = 0
	cost.takeover = e.waitForTakeover(takeoverBound)
	e.advanceBy(electionWarmUpTime - cost.takeover)
	cost.takeoverReadsPerSecond = float64(e.leaderReads) / electionWarmUpTime.Seconds()
	cost.maxReadsInStep = e.maxReadsInStep
	return cost
}

// Reads of the leader key must not grow with the fleet: if each host read it at
// every poll, these calls would become a good part of all that the key-value
// service accepts. With hints two hosts do, and the others take turns.
func TestLeaderReadsDoNotGrowWithFleet(t *testing.T) {
	const maxCalmReadsPerSecond, maxTakeoverReadsPerSecond, maxReadsInStep = 1.4, 4.5, 4
	_, measured := os.LookupEnv("CICADALOOM_MEASURE")
	for _, hosts := range []int{7, 46, largeFleetHosts} {
		for _, usesHints := range []bool{false, true} {
			e := newElection(t, hosts, usesHints)
			if hosts == largeFleetHosts && !measured {
				e.observer = newObserver()
			}
			cost := e.measure()
			t.Logf("%d hosts, with hints %v: %+v", hosts, usesHints, cost)
			if !usesHints {
				require.Greater(t, cost.calmReadsPerSecond, 0.3*float64(hosts-1), "without hints every host reads the leader key at every poll")
				continue
			}
			require.LessOrEqual(t, cost.calmReadsPerSecond, maxCalmReadsPerSecond)
			require.LessOrEqual(t, cost.takeoverReadsPerSecond, maxTakeoverReadsPerSecond)
			require.LessOrEqual(t, cost.maxReadsInStep, maxReadsInStep)
		}
	}
}

// The leader crashes at any moment of the polls. Nothing is loaded or unloaded
// until another leads, so this must not take longer than the lease and one poll,
// the bound when every host polls.
func TestTakeoverWithinLeaseAndPoll(t *testing.T) {
	const crashes = 30
	for _, usesHints := range []bool{false, true} {
		var sum, longest time.Duration
		for crash := range crashes {
			e := newElectionWithLeader(t, 7, usesHints)
			e.advanceBy(time.Duration(crash) * electionStep * 2)
			e.leader().crashed = true
			duration := e.waitForTakeover(takeoverBound)
			sum += duration
			longest = max(longest, duration)
		}
		t.Logf("7 hosts, with hints %v: takeover %s on the mean, %s at most, of %d crashes", usesHints, sum/crashes, longest, crashes)
	}
}

// TestMeasureTakeover crashes the leaders of a large fleet one after the other.
func TestMeasureTakeover(t *testing.T) {
	if os.Getenv("CICADALOOM_MEASURE") == "" {
		t.Skip("set CICADALOOM_MEASURE to measure")
	}
	const crashes = 30
	for _, usesHints := range []bool{false, true} {
		e := newElection(t, largeFleetHosts, usesHints)
		e.observer = newObserver()
		e.advanceBy(electionWarmUpTime)
		var sum, longest time.Duration
		for crash := range crashes {
			e.advanceBy(leaseTTL + time.Duration(crash)*electionStep*2)
			e.leader().crashed = true
			duration := e.waitForTakeover(takeoverBound)
			sum += duration
			longest = max(longest, duration)
		}
		t.Logf("%d hosts, with hints %v: takeover %s on the mean, %s at most, of %d crashes", largeFleetHosts, usesHints, sum/crashes, longest, crashes)
	}
}

// Hints go on naming a crashed leader: a lagging peer sends such hints, and so does
// a leader that is cut off from all hosts but this one. The regular pollers must
// read the key all the same.
func TestStaleLeaderHintDoesNotDelayTakeover(t *testing.T) {
	for _, hosts := range []int{3, 7, 46} {
		e := newElectionWithLeader(t, hosts, true)
		e.hintsFrozen = true
		e.leader().crashed = true
		t.Logf("%d hosts: takeover %s", hosts, e.waitForTakeover(takeoverBound))
	}
}

// A rack fails with the leader and both regular pollers in it. For some seconds
// the other hosts rely on these to poll; the next host in turn must find the key free.
func TestTakeoverWhenRegularPollersCrashWithLeader(t *testing.T) {
	const pollerTurn = 2 * time.Second
	for _, hintsFrozen := range []bool{false, true} {
		e := newElectionWithLeader(t, 46, true)
		pollers := e.regularPollers()
		require.Len(t, pollers, orders.RegularPollers)
		e.hintsFrozen = hintsFrozen
		e.leader().crashed = true
		for _, poller := range pollers {
			poller.crashed = true
		}
		t.Logf("frozen hints %v: takeover %s", hintsFrozen, e.waitForTakeover(leaseTTL+pollerTurn))
	}
}

// The leader runs on but has lost its lease, as when only its connection to the
// key-value service is cut. Its peers must learn that it no longer leads, and one of
// them must take over.
func TestLeaderThatLosesLeaseIsReplaced(t *testing.T) {
	e := newElectionWithLeader(t, 7, true)
	former := e.leader()
	e.revoke(former.lease)
	e.advanceBy(takeoverBound)
	require.NotNil(t, e.leader())
	e.advanceBy(electionWarmUpTime)
	leader := e.leader()
	for _, host := range e.hosts {
		require.Equal(t, leader.members.Self.Host, host.orders.Leader(), "every host knows the new leader")
		require.Equal(t, host == leader, host.orders.IsLeading())
	}
}

// The key-value service is down for minutes. No host leads any more and all know
// it. Their reads of the leader key must not reach the service all at once when it
// is back.
func TestLeaderReadsStayFewDuringOutage(t *testing.T) {
	const maxReadsPerSecond, maxReadsInStep = 4.5, 4
	e := newElectionWithLeader(t, 46, true)
	e.keyValueDown = true
	e.advanceBy(electionWarmUpTime)
	require.Nil(t, e.leader())
	e.leaderReads, e.maxReadsInStep = 0, 0
	e.advanceBy(electionMeasureTime)
	e.keyValueDown = false
	duration := e.waitForTakeover(orders.DefaultLeaderPollInterval)
	t.Logf("%d reads in %s of an outage, at most %d in 100 ms; a leader %s after it", e.leaderReads, electionMeasureTime, e.maxReadsInStep, duration)
	require.LessOrEqual(t, float64(e.leaderReads), maxReadsPerSecond*electionMeasureTime.Seconds())
	require.LessOrEqual(t, e.maxReadsInStep, maxReadsInStep)
}
