package loop

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/orders"
)

// led is a fleet that has had a leader for some time.
func led(t *testing.T, hosts int, hinted bool) *election {
	e := newElection(t, hosts, hinted)
	e.passes(electionWarmUp)
	require.NotNil(t, e.leader())
	return e
}

const (
	electionWarmUp  = 30 * time.Second
	electionMeasure = time.Minute
)

// electionCost is looks a second while all is well and in the time from the
// leader's death, the most in a step, and the time to the next leader.
type electionCost struct {
	calm, after float64
	most        int
	takeover    time.Duration
}

func (e *election) measure() electionCost {
	e.passes(electionWarmUp)
	e.reads = 0
	e.passes(electionMeasure)
	cost := electionCost{
		calm: float64(e.reads) / electionMeasure.Seconds(),
	}
	leader := e.leader()
	require.NotNil(e.t, leader)
	leader.dead = true
	e.reads = 0
	cost.takeover = e.takeover(takeoverBound)
	e.passes(electionWarmUp - cost.takeover)
	cost.after = float64(e.reads) / electionWarmUp.Seconds()
	cost.most = e.mostInStep
	return cost
}

// What the platform would see: calls of the key-value service for the leader
// key that grow with the fleet until they are a good part of all that it takes.
// Each host looked at every poll; now two do, and the others take turns.
func TestLooksAtTheLeaderDoNotGrowWithTheFleet(t *testing.T) {
	const mostCalm, mostAfter, mostAtOnce = 1.4, 4.5, 4
	_, measured := os.LookupEnv("CICADALOOM_MEASURE")
	for _, hosts := range []int{7, 46, targetHosts} {
		for _, hinted := range []bool{false, true} {
			e := newElection(t, hosts, hinted)
			if hosts == targetHosts && !measured {
				e.observer = newObserver()
			}
			cost := e.measure()
			t.Logf("%d hosts, hinted %v: %+v", hosts, hinted, cost)
			if !hinted {
				require.Greater(t, cost.calm, 0.3*float64(hosts-1), "the fleet that this is measured against")
				continue
			}
			require.LessOrEqual(t, cost.calm, mostCalm)
			require.LessOrEqual(t, cost.after, mostAfter)
			require.LessOrEqual(t, cost.most, mostAtOnce)
		}
	}
}

// The leader dies at any moment of the polls. Nothing is loaded or unloaded
// until another leads, so this must not take longer than the lease and one poll,
// the bound while all hosts looked.
func TestTakeoverIsNotSlowerThanLeaseAndPoll(t *testing.T) {
	const deaths = 30
	for _, hinted := range []bool{false, true} {
		var sum, most time.Duration
		for death := range deaths {
			e := led(t, 7, hinted)
			e.passes(time.Duration(death) * electionStep * 2)
			e.leader().dead = true
			took := e.takeover(takeoverBound)
			sum += took
			most = max(most, took)
		}
		t.Logf("7 hosts, hinted %v: takeover %s on the mean, %s at most, of %d deaths", hinted, sum/deaths, most, deaths)
	}
}

// TestMeasureTakeover lets one leader of a large fleet die after the other.
func TestMeasureTakeover(t *testing.T) {
	if os.Getenv("CICADALOOM_MEASURE") == "" {
		t.Skip("set CICADALOOM_MEASURE to measure")
	}
	const deaths = 30
	for _, hinted := range []bool{false, true} {
		e := newElection(t, targetHosts, hinted)
		e.observer = newObserver()
		e.passes(electionWarmUp)
		var sum, most time.Duration
		for death := range deaths {
			e.passes(leaseTTL + time.Duration(death)*electionStep*2)
			e.leader().dead = true
			took := e.takeover(takeoverBound)
			sum += took
			most = max(most, took)
		}
		t.Logf("%d hosts, hinted %v: takeover %s on the mean, %s at most, of %d deaths", targetHosts, hinted, sum/deaths, most, deaths)
	}
}

// A lagging peer goes on telling of a leader that is dead, as one that is cut
// off from all but this host would. The lookers look all the same.
func TestAWordOfADeadLeaderDoesNotDelayTakeover(t *testing.T) {
	for _, hosts := range []int{3, 7, 46} {
		e := led(t, hosts, true)
		e.stuck = true
		e.leader().dead = true
		t.Logf("%d hosts: takeover %s", hosts, e.takeover(takeoverBound))
	}
}

// A rack goes with the leader and both lookers in it. Everybody else believes
// for some seconds that these look; the next turn finds the key free.
func TestTakeoverWhenTheLookersDieWithTheLeader(t *testing.T) {
	const turns = 2 * time.Second
	for _, stuck := range []bool{false, true} {
		e := led(t, 46, true)
		lookers := e.lookers()
		require.Len(t, lookers, orders.Lookers)
		e.stuck = stuck
		e.leader().dead = true
		for _, looker := range lookers {
			looker.dead = true
		}
		t.Logf("stuck words %v: takeover %s", stuck, e.takeover(leaseTTL+turns))
	}
}

// The leader lives and has lost its lease, as when only its way to the key-value
// service is cut. Its peers hear that it leads no more, and one of them leads.
func TestALeaderThatLosesItsLeaseIsFollowed(t *testing.T) {
	e := led(t, 7, true)
	former := e.leader()
	e.drop(former.lease)
	e.passes(takeoverBound)
	require.NotNil(t, e.leader())
	e.passes(electionWarmUp)
	leader := e.leader()
	for _, host := range e.hosts {
		require.Equal(t, leader.members.Self.Host, host.orders.Leader(), "all know who leads now")
		require.Equal(t, host == leader, host.orders.Leading())
	}
}

// The key-value service is away for minutes. No host leads any more and all know
// it: their looks must not fall upon the service together when it is back.
func TestLooksStayFewWhileNobodyCanLead(t *testing.T) {
	const mostLooks, mostAtOnce = 4.5, 4
	e := led(t, 46, true)
	e.down = true
	e.passes(electionWarmUp)
	require.Nil(t, e.leader())
	e.reads, e.mostInStep = 0, 0
	e.passes(electionMeasure)
	e.down = false
	took := e.takeover(orders.DefaultLeaderPoll)
	t.Logf("%d looks in %s of an outage, at most %d in 100 ms; a leader %s after it", e.reads, electionMeasure, e.mostInStep, took)
	require.LessOrEqual(t, float64(e.reads), mostLooks*electionMeasure.Seconds())
	require.LessOrEqual(t, e.mostInStep, mostAtOnce)
}
