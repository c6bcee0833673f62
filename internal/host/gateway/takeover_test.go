package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
)

// newUnfencedFleet starts hosts on engines that take the orders of earlier holders. The
// first host is the holder and has given an order.
func newUnfencedFleet(t *testing.T, names ...string) *fleet {
	f := newFleet(t)
	f.unfenced = true
	f.serve("models", "one")
	f.keyValue.write("configuration", engineConfiguration())
	for _, name := range names {
		f.start(name)
		f.eventually(func() bool { return len(f.holders()) == 1 }, "the first host holds")
	}
	f.eventually(func() bool { return len(f.engines.given()) > 0 }, "an order is given")
	return f
}

// wants has the holder give another order: a server comes that holds nothing.
func (f *fleet) wants(server string) {
	f.keyValue.delete("servers/one")
	f.serve("models", server)
}

// requireApart checks that no two holders' orders came within the time that they must
// be apart.
func (f *fleet) requireApart() {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	var last backend.CountedOrder
	var lastAt time.Time
	for i, order := range f.engines.orders {
		if i > 0 && order.Holder != last.Holder {
			require.GreaterOrEqual(f.t, f.engines.times[i].Sub(lastAt), holdersApart)
		}
		last, lastAt = order, f.engines.times[i]
	}
}

// The holder is stopped as planned while demand moves. Another host takes over, and gave
// no order for as long as the first might have held on to its lease, though the first
// still runs and can say that it stopped.
func TestATakeoverFromAHolderThatAnswersWaitsForItsLastOrderOnly(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b")
	b, first := f.hosts["b"], f.hosts["a"].holding.Load()
	next := &tenure{
		token:  first.token + 1,
		former: "a",
	}
	next.from.Store(steadyClock() + int64(time.Hour))
	b.followFormer(next)
	require.True(t, first.ended.Load(), "a has ended its term before it answers")
	require.LessOrEqual(t, next.beginsIn(), holdersApart+orderWay)
}

// The holder stops as planned and says so. The other goes on, but not before the time
// between holders is over, or engines would take the two for one that has lost its key.
func TestHoldersAreApartOverAPlannedStop(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b")
	f.wants("two")
	f.stop("a")
	f.eventually(func() bool {
		orders := f.engines.given()
		return orders[len(orders)-1].Holder == "b"
	}, "b gives an order")
	f.requireApart()
}

// The service turns the holder away, and gives its key to another host at once: the
// first does not know, and gives orders for as long as its lease would have lasted. By
// the question for its last order it hears of the other, and stops.
func TestAHolderThatHearsOfALaterOneEndsItsTerm(t *testing.T) {
	f := newUnfencedFleet(t, "a", "b")
	first, b := f.hosts["a"].holding.Load(), f.hosts["b"]
	f.keyValue.goAway("a", true)
	f.keyValue.delete("servers-ours/holder")
	f.eventually(func() bool { return b.holding.Load() != nil }, "b claims the key")
	f.eventually(first.ended.Load, "a ends its term")
	f.wants("two")
	f.eventually(func() bool {
		orders := f.engines.given()
		return orders[len(orders)-1].Holder == "b"
	}, "b gives an order")
	f.requireApart()
}

// All hosts lose power. The last holder begins anew and finds itself named as such: it
// waits for its own orders under way, not for a holder that might be elsewhere.
func TestTheLastHolderTakesOverFromItselfAtOnce(t *testing.T) {
	f := newUnfencedFleet(t, "a")
	f.stop("a")
	f.wants("two")
	f.start("a")
	f.eventually(func() bool { return f.hosts["a"].holding.Load() != nil }, "a claims the key")
	require.LessOrEqual(t, f.hosts["a"].holding.Load().beginsIn(), orderLimit+orderWay)
	f.eventually(func() bool { return len(f.engines.given()) > 1 }, "an order is given")
}

// A former holder that can't be asked may go on until its lease is over: nothing may be
// done sooner.
func TestATakeoverFromASilentHolderWaitsForItsLease(t *testing.T) {
	f := newUnfencedFleet(t, "a")
	g := f.hosts["a"]
	held := &tenure{
		former: "gone",
	}
	require.Equal(t, holdersApart+holderLease, g.takeoverPause(held))
	held.from.Store(steadyClock() + int64(time.Second))
	before := held.from.Load()
	_, told := g.askFormer("gone", held)
	require.False(t, told)
	require.Equal(t, before, held.from.Load())
}
