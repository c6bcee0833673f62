package orders

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The leader is stopped as planned. It revokes its lease, so another host leads after
// its next poll instead of after the lease's expiry, and the first host, which still
// serves requests in flight, does not lead again.
func TestResignedLeaderIsReplacedAtNextPoll(t *testing.T) {
	sim := newSimulation(2, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, true))
	sim.runPasses(10)
	first := sim.leader()
	require.NotNil(t, first)
	sim.sendEvent(first, Resign{})
	require.False(t, first.machine.IsLeading())
	require.Contains(t, first.queue, RevokeLease{
		Lease: first.lease,
	})
	sim.runPasses(10)
	second := sim.leader()
	require.NotNil(t, second)
	require.NotSame(t, first, second)
	require.True(t, first.machine.NextTick().After(sim.now), "nothing stays due at a host that has resigned")
	require.Equal(t, second.machine.leader, first.machine.leader, "it still knows who leads")
}

// A drain is reverted. The host must not lead beside the current leader, but must be
// available when that one resigns.
func TestRejoinedHostLeadsOnlyAfterLeaderResigns(t *testing.T) {
	sim := newSimulation(2, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, true))
	sim.runPasses(10)
	first := sim.leader()
	sim.sendEvent(first, Resign{})
	sim.runPasses(10)
	second := sim.leader()
	require.NotSame(t, first, second)
	sim.sendEvent(first, Rejoin{})
	sim.runPasses(10)
	require.Same(t, second, sim.leader())
	require.False(t, first.machine.IsLeading())
	sim.sendEvent(second, Resign{})
	sim.runPasses(10)
	require.Same(t, first, sim.leader())
}
