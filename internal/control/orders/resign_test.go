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
}
