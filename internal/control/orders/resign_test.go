package orders

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The leading host is stopped as planned. It gives the lease back, another host
// leads at its next look rather than when the lease lapses, and the first, which
// still serves what is in flight, does not lead again.
func TestResignedLeaderIsFollowedAtOnce(t *testing.T) {
	w := newWorld(2, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.calm(10)
	first := w.leader()
	require.NotNil(t, first)
	w.tell(first, Resign{})
	require.False(t, first.machine.Leading())
	require.Contains(t, first.queue, DropLease{
		Lease: first.lease,
	})
	w.calm(10)
	second := w.leader()
	require.NotNil(t, second)
	require.NotSame(t, first, second)
	require.True(t, first.machine.NextTick().After(w.now), "nothing stays due at a host that has resigned")
	require.Equal(t, second.machine.leader, first.machine.leader, "it still knows who leads")
}

// A drain is taken back. The host must not lead beside the one that does, and
// has to be there when that one goes.
func TestRejoinedHostLeadsWhenItsTurnComes(t *testing.T) {
	w := newWorld(2, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.calm(10)
	first := w.leader()
	w.tell(first, Resign{})
	w.calm(10)
	second := w.leader()
	require.NotSame(t, first, second)
	w.tell(first, Rejoin{})
	w.calm(10)
	require.Same(t, second, w.leader())
	require.False(t, first.machine.Leading())
	w.tell(second, Resign{})
	w.calm(10)
	require.Same(t, first, w.leader())
}
