package orders

import (
	"testing"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

// A new version is declared. With enough memory it is loaded beside the old one;
// otherwise one replica at a time is replaced. Callers must find a ready replica of
// the old or the new version at every instant.
func TestVersionChangeKeepsAReplicaReady(t *testing.T) {
	for _, memory := range []unit.Bytes{100, 50} {
		sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 2)), newEngine(0, memory, true), newEngine(1, memory, false))
		sim.runPasses(20)
		least := 2
		sim.afterPass = func() {
			sim.requireNoOvercommit(t)
			least = min(least, len(sim.enginesWithReady("briefing", "")))
		}
		sim.declareModels(newModel("briefing", "2", 40, 2))
		sim.runPasses(60)
		require.Len(t, sim.enginesWithReady("briefing", "2"), 2)
		require.Empty(t, sim.enginesWithReady("briefing", "1"))
		if memory == 100 {
			require.Equal(t, 2, least, "beside each other where there is room")
		} else {
			require.Equal(t, 1, least, "one at a time where there is none")
		}
	}
}

// The only replica fills its server: the change is blocked with a reason instead of
// making the model unavailable while the new version loads.
func TestVersionChangeOfLastReplicaWithoutRoomIsBlocked(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 1)), newEngine(0, 50, true))
	sim.runPasses(20)
	sim.afterPass = func() { require.Len(t, sim.enginesWithReady("briefing", "1"), 1) }
	sim.declareModels(newModel("briefing", "2", 40, 1))
	sim.runPasses(60)
	state := sim.leader().machine.State(sim.now)
	require.Len(t, state.Blocked, 1)
	require.Equal(t, placement.BlockedLastReplica, state.Blocked[0].Blocker)
}

// A change is accepted and carried out. Then a host that has not received it becomes
// leader. Planning from its older documents would restore the old version.
func TestLeaderWithOlderDocumentsChangesNothing(t *testing.T) {
	sim := newSimulation(2, newDocument(newModel("briefing", "1", 40, 1)), newEngine(0, 100, true))
	sim.runPasses(20)
	former := sim.leader()
	for _, h := range sim.hosts {
		h.frozen = h != former
	}
	sim.declareModels(newModel("briefing", "2", 40, 1))
	sim.runPasses(30)
	require.Len(t, sim.enginesWithReady("briefing", "2"), 1)
	for _, h := range sim.hosts {
		h.frozen = false
	}
	moves := sim.moves
	sim.replaceLeader()
	sim.runPasses(40)
	require.Equal(t, moves, sim.moves)
	require.Len(t, sim.enginesWithReady("briefing", "2"), 1)
}

// A server is taken out of service. Its models must become ready elsewhere, and it
// must not get any more orders.
func TestLeavingServerIsReplacedAndGetsNoOrders(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 1)), newEngine(0, 60, true), newEngine(1, 60, true))
	sim.runPasses(20)
	leaving := sim.enginesWithReady("briefing", "1")[0]
	leaving.info.State = backend.StateLeaving
	sim.sendServersAndDocuments()
	sim.isHeldBack = func(f sentOrder) bool {
		require.NotEqual(t, leaving.info.Name, f.server)
		return false
	}
	sim.runPasses(20)
	require.Len(t, sim.enginesWithReady("briefing", "1"), 2)
}

// A server crashes with its replicas. They are loaded elsewhere after ServerTimeout,
// and the orders of the crashed server do not use up the load budget.
func TestSilentServerIsReplaced(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 1)), newEngine(0, 60, true), newEngine(1, 60, true))
	sim.runPasses(20)
	silent := sim.enginesWithReady("briefing", "1")[0]
	silent.reportsStopped = true
	sim.runPasses(60)
	require.Len(t, sim.enginesWithReady("briefing", "1"), 2)
}
