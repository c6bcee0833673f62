package orders

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

func newDocument(models ...document.Model) *document.Document {
	return &document.Document{
		Team:   "kerlouan",
		Models: models,
	}
}

func newModel(name ident.ModelName, version ident.Version, memory unit.Bytes, replicas int) document.Model {
	return document.Model{
		Name:        name,
		Version:     version,
		Memory:      memory,
		Replicas:    replicas,
		MaxReplicas: replicas,
	}
}

// In a new fleet, the first host that finds no leader loads every declared model on
// distinct servers, and then the plan has no order in doubt.
func TestDeclaredModelsBecomeReady(t *testing.T) {
	sim := newSimulation(3, newDocument(
		newModel("briefing", "1", 40, 2),
		newModel("dispatch", "1", 10, 3),
	), newEngine(0, 60, true), newEngine(1, 60, false), newEngine(2, 60, true))
	sim.runPasses(40)
	require.Len(t, sim.enginesWithReady("briefing", "1"), 2)
	require.Len(t, sim.enginesWithReady("dispatch", "1"), 3)
	leader := sim.leader()
	require.NotNil(t, leader)
	state := leader.machine.State(sim.now)
	require.Empty(t, state.Doubts)
	require.Empty(t, state.Blocked)
	require.Equal(t, 5, sim.moves)
}

// requireNoOvercommit checks that no engine uses more memory than it has or got a
// duplicate or conflicting order.
func (sim *simulation) requireNoOvercommit(t *testing.T) {
	for _, e := range sim.engines {
		require.LessOrEqual(t, e.report().MemoryUsed(), e.memory)
		require.Empty(t, e.duplicateLoads)
		require.Empty(t, e.conflictingOrders)
	}
}

// A load of "drift" is delayed in the network. Its team removes the model, and
// "wide" would fit if the load were lost. If the leader assumed that, the load would
// arrive late and the engine would run out of memory. Instead the order stays in
// doubt and is sent again under its id, and "wide" waits.
func TestDelayedLoadKeepsMemoryReservedAfterModelIsRemoved(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, false))
	sim.afterPass = func() { sim.requireNoOvercommit(t) }
	sim.isHeldBack = func(sentOrder) bool { return true }
	sim.runPasses(10)
	require.NotEmpty(t, sim.inFlight)
	sim.declareModels(newModel("wide", "1", 50, 1))
	sim.runPasses(40)
	state := sim.leader().machine.State(sim.now)
	require.Len(t, state.Doubts, 1)
	require.EqualValues(t, "drift", state.Doubts[0].Order.Model)
	require.Equal(t, placement.BlockedNoRoom, state.Blocked[0].Blocker)
	sim.isHeldBack = nil
	sim.runPasses(40)
	require.Len(t, sim.enginesWithReady("wide", "1"), 1)
	require.Empty(t, sim.enginesWithReady("drift", ""))
}

// A leader writes the order of a load and pauses before it sends it. Its successor
// sends the same id, the model is loaded and unloaded, and another one uses the
// memory. Then the old leader resumes, still trusting its lease, and sends: the
// engine knows the id, and the leader's next write fails on the term key.
func TestPausedLeaderCausesNoDuplicateLoadOrWrite(t *testing.T) {
	for _, checks := range []bool{true, false} {
		sim := newSimulation(2, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, checks))
		sim.afterPass = func() { sim.requireNoOvercommit(t) }
		for _, h := range sim.hosts {
			h.trustsLease = true
		}
		sim.isHeldBack = func(sentOrder) bool { return true }
		sim.runPasses(10)
		held := sim.inFlight
		sim.inFlight = nil
		former, successor := sim.replaceLeader()
		sim.isHeldBack = nil
		sim.runPasses(20)
		require.Len(t, sim.enginesWithReady("drift", "1"), 1)
		sim.declareModels(newModel("wide", "1", 50, 1))
		sim.runPasses(40)
		require.Len(t, sim.enginesWithReady("wide", "1"), 1)
		sim.inFlight = held
		former.frozen = false
		require.True(t, former.machine.IsLeading())
		sim.runPasses(20)
		require.False(t, former.machine.IsLeading())
		require.True(t, successor.machine.IsLeading())
		require.Len(t, sim.enginesWithReady("wide", "1"), 1)
		require.Empty(t, sim.enginesWithReady("drift", ""))
	}
}

// A leader can't reach the service to renew its lease, which expires by its own
// clock. A successor may already lead, so it must stop at once.
func TestLeaderStepsDownWhenLeaseExpires(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, true))
	sim.isHeldBack = func(sentOrder) bool { return true }
	sim.runPasses(10)
	leader := sim.leader()
	require.Empty(t, leader.queue)
	sim.now = sim.now.Add(time.Minute)
	sim.sendEvent(leader, Tick{})
	require.False(t, leader.machine.IsLeading())
	for _, command := range leader.queue {
		_, sends := command.(SendOrder)
		require.False(t, sends)
	}
}

// A leader pauses when it is about to write. Its successor has written nothing yet,
// so the pages and the head are as the old leader knows them: only the term differs.
func TestDeposedLeaderPlanWriteIsRejected(t *testing.T) {
	sim := newSimulation(2, newDocument(), newEngine(0, 60, true))
	sim.runPasses(10)
	sim.leader().queue = nil
	sim.hosts[1].frozen = sim.leader() == sim.hosts[0]
	sim.hosts[0].frozen = !sim.hosts[1].frozen
	sim.declareModels(newModel("drift", "1", 40, 1))
	sim.now = sim.now.Add(time.Second)
	sim.sendEvent(sim.leader(), Tick{})
	require.NotEmpty(t, sim.leader().queue)
	for _, h := range sim.hosts {
		h.frozen = false
	}
	former, _ := sim.replaceLeader()
	write, found := former.queue[len(former.queue)-1].(WritePlan)
	require.True(t, found)
	require.False(t, sim.kv.swap(write.Swap).Swapped)
}

// An engine that checks fencing has started a load when its leader changes and the
// model is removed. The new leader's fencing number invalidates older orders, but
// this one is in progress: an unload now would conflict with it.
func TestOrderInProgressGetsNoConflictingOrder(t *testing.T) {
	sim := newSimulation(2, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, true))
	sim.afterPass = func() { sim.requireNoOvercommit(t) }
	sim.enginesStalled = true
	sim.runPasses(10)
	sim.replaceLeader()
	sim.declareModels(newModel("briefing", "1", 10, 1))
	sim.runPasses(20)
	require.Len(t, sim.engines[0].inProgress, 2)
	sim.enginesStalled = false
	sim.runPasses(20)
	require.Empty(t, sim.enginesWithReady("drift", ""))
	require.Len(t, sim.enginesWithReady("briefing", "1"), 1)
}

// An order of a deposed leader is lost. The successor's first order brings the engine
// a greater fencing number. If the engine checks it, the lost order can't take
// effect after the next report; if not, the order could still arrive and its memory
// must stay reserved.
func TestGreaterFencingNumberEndsDoubtOnlyWhereItIsChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		sim := newSimulation(2, newDocument(newModel("drift", "1", 20, 1)), newEngine(0, 60, checks))
		sim.afterPass = func() { sim.requireNoOvercommit(t) }
		lost := func(f sentOrder) bool { return f.order.Model == "drift" }
		sim.isHeldBack = lost
		sim.runPasses(10)
		sim.replaceLeader()
		sim.declareModels(newModel("briefing", "1", 30, 1))
		sim.runPasses(20)
		require.Len(t, sim.enginesWithReady("briefing", "1"), 1)
		inDoubt := sim.leader().machine.State(sim.now).Doubts
		if checks {
			require.Empty(t, inDoubt)
		} else {
			require.Len(t, inDoubt, 1)
		}
		sim.isHeldBack = nil
		sim.runPasses(20)
		require.Empty(t, sim.enginesWithReady("drift", ""))
	}
}

// An engine that ignores fencing restarts while a load is being sent to it. The load
// may reach the new incarnation, so it counts there until that incarnation settles
// it.
func TestLoadInDoubtOutlivesRestartOfEngineThatIgnoresFencing(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, false))
	sim.afterPass = func() { sim.requireNoOvercommit(t) }
	sim.isHeldBack = func(sentOrder) bool { return true }
	sim.runPasses(10)
	sim.engines[0].restart()
	sim.declareModels(newModel("wide", "1", 50, 1))
	sim.runPasses(20)
	require.Len(t, sim.leader().machine.State(sim.now).Doubts, 1)
	require.Empty(t, sim.engines[0].residents)
	sim.isHeldBack = nil
	sim.runPasses(40)
	require.Len(t, sim.enginesWithReady("wide", "1"), 1)
}

// A load is settled, and the engine restarts before the plan is written without it.
// It ignores fencing: a repeated copy would be carried out again, so the order is in
// doubt again.
func TestSettledOrderStillInPlanIsInDoubtAfterRestart(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, false))
	sim.runPasses(6)
	sim.faultFor = func(command Command) fault {
		if _, write := command.(WritePlan); write {
			return faultRefused
		}
		return faultNone
	}
	sim.runPasses(1)
	require.Len(t, sim.enginesWithReady("drift", "1"), 1)
	require.Empty(t, sim.leader().machine.State(sim.now).Doubts)
	sim.engines[0].restart()
	sim.isHeldBack = func(sentOrder) bool { return true }
	sim.runPasses(4)
	require.Len(t, sim.leader().machine.State(sim.now).Doubts, 1)
}

// A server crashes and this is not yet known: its last report shows a ready replica.
// A version change must not unload the other replica because of that report.
func TestStaleReportDoesNotCountAsReadyReplica(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 2)), newEngine(0, 50, true), newEngine(1, 50, true))
	sim.runPasses(20)
	sim.engines[0].reportsStopped = true
	sim.engines[0].restart()
	sim.runPasses(22)
	sim.afterPass = func() { require.NotEmpty(t, sim.enginesWithReady("briefing", "")) }
	sim.declareModels(newModel("briefing", "2", 40, 2))
	sim.runPasses(60)
}

// The answers of plan writes are lost, with the write done, not done, or done late.
// The leader reads the plan and continues; no load is done twice.
func TestLostSwapAnswerCausesNoDuplicateLoad(t *testing.T) {
	for _, f := range []fault{faultAnswerLost, faultNotWritten, faultWrittenLate} {
		sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 2)), newEngine(0, 60, true), newEngine(1, 60, false))
		sim.afterPass = func() { sim.requireNoOvercommit(t) }
		failed := 0
		sim.faultFor = func(command Command) fault {
			if _, write := command.(WritePlan); write && failed < 2 {
				failed++
				return f
			}
			return faultNone
		}
		sim.runPasses(30)
		require.Equal(t, 2, failed)
		require.Len(t, sim.enginesWithReady("briefing", "1"), 2)
	}
}

// The unload of one replica is written, the answer is lost, and the write has not
// landed. That server is briefly missing from the list, so the next write unloads
// the other replica, on another page. If the first write landed now, no replica
// would be ready. The head key makes it fail.
func TestLatePlanWriteFailsOnHeadKey(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("briefing", "1", 40, 2)), newEngine(0, 50, true), newEngine(3, 50, true))
	sim.runPasses(20)
	sim.faultFor = func(command Command) fault {
		if _, write := command.(WritePlan); write && len(sim.lateSwaps) == 0 {
			sim.engines[0].unlisted = true
			sim.sendServersAndDocuments()
			return faultWrittenLate
		}
		return faultNone
	}
	sim.isHeldBack = func(f sentOrder) bool { return f.order.Kind == backend.LoadModel }
	sim.afterPass = func() { require.NotEmpty(t, sim.enginesWithReady("briefing", "")) }
	sim.declareModels(newModel("briefing", "2", 40, 2))
	sim.runPasses(10)
	require.Len(t, sim.lateSwaps, 1)
	require.Empty(t, sim.engines[1].residents, "the other replica is dropped")
	require.False(t, sim.kv.swap(sim.lateSwaps[0]).Swapped)
	sim.engines[0].unlisted = false
	sim.sendServersAndDocuments()
	sim.runPasses(20)
	sim.isHeldBack = nil
	sim.runPasses(60)
	require.Len(t, sim.enginesWithReady("briefing", "2"), 2)
}

// The leader loads "drift", settles the order, and is deposed. Its successor gets
// only a delayed report, from when the engine was empty. By that report and the
// plan's orders the memory is free; only the entry's AsOf shows that there is a newer
// report to wait for.
func TestNewLeaderWaitsForReportAsNewAsThePlan(t *testing.T) {
	sim := newSimulation(2, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, true))
	sim.afterPass = func() { sim.requireNoOvercommit(t) }
	old := sim.engines[0].report()
	follower := sim.hosts[1]
	sim.missesReports = func(h *fakeHost) bool { return h == follower }
	sim.runPasses(30)
	require.Len(t, sim.enginesWithReady("drift", "1"), 1)
	_, successor := sim.replaceLeader()
	require.Equal(t, follower, successor)
	sim.declareModels(newModel("drift", "1", 40, 1), newModel("wide", "1", 50, 1))
	moves := sim.moves
	sim.sendReport(follower, old)
	sim.runPasses(10)
	require.Equal(t, moves, sim.moves)
}

// An empty fleet loads many models. The weight store serves ten model loads at once
// and about one and a half per second, and adapter loads slow down beyond 80 at
// once. More at once would delay every load.
func TestLoadsRespectWeightStoreRateLimit(t *testing.T) {
	var models []document.Model
	for i := range 40 {
		model := newModel(ident.ModelName(fmt.Sprintf("m-%d", i)), "1", 10, 1)
		for j := range 5 {
			model.Adapters = append(model.Adapters, document.Adapter{
				Name:    ident.AdapterName(fmt.Sprintf("a-%d-%d", i, j)),
				Version: "1",
				Memory:  1,
			})
		}
		models = append(models, model)
	}
	var engines []*fakeEngine
	for i := range 12 {
		engines = append(engines, newEngine(i, 100, i%2 == 0))
	}
	sim := newSimulation(1, newDocument(models...), engines...)
	sent := make(map[ident.OrderID]bool)
	heldKind := backend.LoadModel
	sim.isHeldBack = func(f sentOrder) bool {
		if f.order.Kind == backend.LoadModel {
			sent[f.order.ID] = true
		}
		return f.order.Kind == heldKind
	}
	sim.afterPass = func() {
		seconds := sim.now.Sub(epoch).Seconds()
		require.LessOrEqual(t, float64(len(sent)), maxModelLoadBurst+DefaultModelLoadsPerSecond*seconds)
	}
	sim.runPasses(40)
	require.Len(t, sent, DefaultMaxModelLoads)
	heldKind = ""
	sim.runPasses(20)
	heldKind = backend.LoadAdapter
	sim.runPasses(80)
	inDoubt := sim.leader().machine.State(sim.now).Doubts
	require.Len(t, inDoubt, DefaultMaxAdapterLoads)
	heldKind = ""
	sim.runPasses(80)
	require.Empty(t, sim.leader().machine.State(sim.now).Doubts)
	require.Len(t, sent, 40)
}

// Guards against a host that tries again and again to become the leader although its lease is gone.
func TestElectionWithoutLeaseIsNotRepeatedAtOnce(t *testing.T) {
	machine := Machine{
		lease: 3,
		term: term{
			Fencing:  2,
			Revision: 6,
		},
	}
	lost := func(revision ident.Revision, fencing ident.FencingNumber) []Command {
		return machine.onElectionLost([]store.Entry{
			{
				Key: LeaderKey,
			},
			{
				Key:      TermKey,
				Revision: revision,
				Value:    encodeTerm(fencing),
			},
		})
	}
	require.Empty(t, lost(6, 2))
	require.Len(t, lost(8, 3), 1, "the term was another one")
	require.Empty(t, lost(8, 3))
}
