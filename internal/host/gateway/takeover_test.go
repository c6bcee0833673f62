package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/takeover"
	"cicadaloom/internal/domain/backend"
)

// newUnfencedFleet starts hosts with engines that accept the orders of earlier leaders. The
// first host is the leader and has sent an order.
func newUnfencedFleet(t *testing.T, names ...string) *fleet {
	f := newFleet(t)
	f.unfenced = true
	f.serve("models", "one")
	f.keyValue.write("configuration", engineConfiguration())
	for _, name := range names {
		f.start(name)
		f.eventually(func() bool { return len(f.leaders()) == 1 }, "the first host holds")
	}
	f.eventually(func() bool { return len(f.engines.sentOrders()) > 0 }, "an order is sent")
	return f
}

// causeOrder makes the leader send another order: a server without models is added.
func (f *fleet) causeOrder(server string) {
	f.keyValue.delete("servers/one")
	f.serve("models", server)
}

// requireApart checks that the orders of different leaders are at least leaderSeparation apart.
func (f *fleet) requireApart() {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	var last backend.CountedOrder
	var lastAt time.Time
	for i, order := range f.engines.orders {
		if i > 0 && order.Leader != last.Leader {
			require.GreaterOrEqual(f.t, f.engines.times[i].Sub(lastAt), leaderSeparation)
		}
		last, lastAt = order, f.engines.times[i]
	}
}

// After a planned stop the former leader still runs and can report that its term has ended.
// The next leader must wait only until orders are leaderSeparation apart, not for as long as
// the former one might have kept its lease.
func TestTakeoverFromReachableLeaderWaitsForItsLastOrderOnly(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b")
	b, first := f.hosts["b"], f.hosts["a"].activeTerm.Load()
	next := &leaderTerm{
		token:        first.token + 1,
		formerLeader: "a",
		claim: takeover.Claim{
			At:           bootTime(),
			Former:       first.token,
			FormerSeenAt: bootTime(),
		},
	}
	next.firstOrderNanos.Store(steadyNanos() + int64(time.Hour))
	b.awaitFormerLeader(next)
	require.True(t, first.ended.Load(), "a has ended its term before it answers")
	require.LessOrEqual(t, next.untilFirstOrder(), leaderSeparation+orderTransitTime)
	require.Positive(t, next.untilFirstOrder())
}

// The leader stops as planned and reports it. The next one must still wait for the minimum
// time between leaders, or engines would see the orders of two leaders at once.
func TestLeadersAreApartAcrossPlannedStop(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b")
	f.causeOrder("two")
	f.stop("a")
	f.eventually(func() bool {
		orders := f.engines.sentOrders()
		return orders[len(orders)-1].Leader == "b"
	}, "b sends an order")
	f.requireApart()
}

// The key-value service rejects the leader, and gives its key to another host at once: the
// first does not notice, and would send orders for as long as its lease might last. The
// question for its last order tells it of the next leader, and it stops.
func TestLeaderEndsTermWhenLaterOneIsKnown(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b")
	first, b := f.hosts["a"].activeTerm.Load(), f.hosts["b"]
	f.keyValue.setUnavailable("a", true)
	f.keyValue.delete("servers-ours/holder")
	f.eventually(func() bool { return b.activeTerm.Load() != nil }, "b claims the key")
	f.eventually(first.ended.Load, "a ends its term")
	f.causeOrder("two")
	f.eventually(func() bool {
		orders := f.engines.sentOrders()
		return orders[len(orders)-1].Leader == "b"
	}, "b sends an order")
	f.requireApart()
}

// All hosts lose power. The last leader restarts and finds itself named as such: it waits
// for its own orders in flight, not for a leader that might run elsewhere.
func TestRestartedLeaderWaitsForItsOwnOrdersOnly(t *testing.T) {
	f := newUnfencedFleet(t, "a")
	f.stop("a")
	f.causeOrder("two")
	f.start("a")
	f.eventually(func() bool { return f.hosts["a"].activeTerm.Load() != nil }, "a claims the key")
	require.LessOrEqual(t, f.hosts["a"].activeTerm.Load().untilFirstOrder(), orderTimeout+orderTransitTime)
	f.eventually(func() bool { return len(f.engines.sentOrders()) > 1 }, "an order is sent")
}

// A former leader that can't be reached may go on until its lease is over: the next one must
// not start sooner.
func TestTakeoverFromUnreachableLeaderWaitsForItsLease(t *testing.T) {
	f := newUnfencedFleet(t, "a")
	g := f.hosts["a"]
	term := &leaderTerm{
		formerLeader: "gone",
		claim: takeover.Claim{
			At:     bootTime(),
			Former: 1,
		},
	}
	g.startWait(term)
	require.InDelta(t, leaderSeparation+leaderLeaseDuration, term.untilFirstOrder(), float64(100*time.Millisecond))
	require.Equal(t, term.claim.At.Add(leaderLeaseDuration).UnixNano(), term.earlierUntilNanos.Load())
	term.firstOrderNanos.Store(steadyNanos() + int64(time.Second))
	before := term.firstOrderNanos.Load()
	_, known := g.askFormerLeader("gone", term)
	require.False(t, known)
	require.Equal(t, before, term.firstOrderNanos.Load())
}

// Guards against a leader that is stopped before its first order, and with which the wait for the
// leader before it is forgotten.
func TestWaitIsInheritedFromLeaderThatNeverOrdered(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b", "c")
	b, c, first := f.hosts["b"], f.hosts["c"], f.hosts["a"].activeTerm.Load()
	settings := b.takeoverSettings()
	second := &leaderTerm{
		token: first.token + 1,
	}
	second.setEarlierUntil(&settings, bootTime().Add(leaderLeaseDuration/2))
	b.ownTerm.Store(second)
	third := &leaderTerm{
		token:        first.token + 2,
		formerLeader: "b",
		claim: takeover.Claim{
			At:     bootTime(),
			Former: second.token,
		},
	}
	c.startWait(third)
	c.awaitFormerLeader(third)
	require.WithinDuration(t, second.earlierUntil(), third.earlierUntil(), leaderLeaseDuration/4)
	require.Greater(t, third.untilFirstOrder(), leaderSeparation)
}

// Guards against orders of a host that was asked for its last one before it knew that it had
// acquired the key.
func TestTermThatBeginsAfterLaterOneIsKnownEndsAtOnce(t *testing.T) {
	c := &control{
		Gateway: newUnfencedFleet(t, "a").hosts["a"],
	}
	c.endOutdatedTerm(8)
	late := &leaderTerm{
		token: 7,
	}
	termStarted{
		term: late,
	}.apply(time.Now(), c)
	require.True(t, late.ended.Load())
	require.Nil(t, c.term)
}

// Guards against a host that takes over from its own earlier process and forgets what that one
// was waiting for; once it has settled, only its own orders count.
func TestOwnEarlierTermIsTrustedOnceSettled(t *testing.T) {
	f := newUnfencedFleet(t, "a")
	first := f.hosts["a"].activeTerm.Load()
	f.eventually(func() bool {
		return f.hosts["a"].settledTerm.Load() == int64(first.token)
	}, "the first leader of all has settled")
	former := *f.hosts["a"].lastTerm.Load()
	claim := f.hosts["a"].describeClaim(&former)
	require.True(t, claim.IsOwn)
	claim.Last = takeover.Term{}
	settings := f.hosts["a"].takeoverSettings()
	require.True(t, settings.EarlierUntil(&claim).IsZero())
	claim.Settled = 0
	require.Equal(t, former.seenAt.Add(leaderLeaseDuration), settings.EarlierUntil(&claim))
}

// Where engines refuse the orders of earlier leaders, a new leader waits no longer than before and
// nothing is written about settled terms.
func TestFencedLeaderDoesNotWaitForOthers(t *testing.T) {
	f := newFleet(t)
	f.serve("models", "one")
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.eventually(func() bool { return len(f.engines.sentOrders()) > 0 }, "an order is sent")
	g := f.hosts["a"]
	g.settle(g.activeTerm.Load())
	require.Empty(t, f.keyValue.value("servers-ours/"+settledPath))
	next := &leaderTerm{
		formerLeader: "gone",
		claim: takeover.Claim{
			At:     bootTime(),
			Former: 1,
		},
	}
	g.startWait(next)
	require.LessOrEqual(t, next.untilFirstOrder(), fencedTakeoverDelay)
	require.Equal(t, next.claim.At.Add(leaderLeaseDuration).UnixNano(), next.earlierUntilNanos.Load())
}
