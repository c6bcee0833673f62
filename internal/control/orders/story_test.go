package orders

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

func oneDocument(models ...document.Model) *document.Document {
	return &document.Document{
		Team:   "kerlouan",
		Models: models,
	}
}

func declare(name ident.ModelName, version ident.Version, memory unit.Bytes, replicas int) document.Model {
	return document.Model{
		Name:        name,
		Version:     version,
		Memory:      memory,
		Replicas:    replicas,
		MaxReplicas: replicas,
	}
}

// A fresh fleet: the first host that finds no leader loads every declared
// model on distinct servers, and the plan holds no doubt after that.
func TestDeclaredModelsBecomeReady(t *testing.T) {
	w := newWorld(3, oneDocument(
		declare("briefing", "1", 40, 2),
		declare("dispatch", "1", 10, 3),
	), newEngine(0, 60, true), newEngine(1, 60, false), newEngine(2, 60, true))
	w.calm(40)
	require.Len(t, w.readyAt("briefing", "1"), 2)
	require.Len(t, w.readyAt("dispatch", "1"), 3)
	leader := w.leader()
	require.NotNil(t, leader)
	state := leader.machine.State(w.now)
	require.Empty(t, state.Doubts)
	require.Empty(t, state.Blocked)
	require.Equal(t, 5, w.moves)
}

// noOvercommit checks after each pass that no engine holds more than it can.
func (w *world) noOvercommit(t *testing.T) {
	for _, e := range w.engines {
		require.LessOrEqual(t, e.report().Taken(), e.memory)
		require.Empty(t, e.doubled)
		require.Empty(t, e.crossed)
	}
}

// A load of "drift" hangs in the network. Its team takes the model back, and
// "wide" would fit if the load were dead. Had the leader thought so, the load
// would come late and the engine run out of memory. The order stays in doubt
// instead, is repeated under its id, and "wide" waits.
func TestLateLoadAfterItsModelIsGone(t *testing.T) {
	w := newWorld(1, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, false))
	w.watch = func() { w.noOvercommit(t) }
	w.hold = func(flight) bool { return true }
	w.calm(10)
	require.NotEmpty(t, w.flights)
	w.declare(declare("wide", "1", 50, 1))
	w.calm(40)
	state := w.leader().machine.State(w.now)
	require.Len(t, state.Doubts, 1)
	require.EqualValues(t, "drift", state.Doubts[0].Order.Model)
	require.Equal(t, placement.BlockedNoRoom, state.Blocked[0].Why)
	w.hold = nil
	w.calm(40)
	require.Len(t, w.readyAt("wide", "1"), 1)
	require.Empty(t, w.readyAt("drift", ""))
}

// A leader writes the intent of a load and freezes before it sends it. Its
// successor sends the same id, the model comes, goes, and another takes the
// memory. Then the old leader wakes, sure of its lease, and sends: the engine
// knows the id, and the leader's next write fails on the term key.
func TestPausedLeaderIsHarmless(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(2, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, checks))
		w.watch = func() { w.noOvercommit(t) }
		for _, h := range w.hosts {
			h.slowClock = true
		}
		w.hold = func(flight) bool { return true }
		w.calm(10)
		held := w.flights
		w.flights = nil
		former, successor := w.depose()
		w.hold = nil
		w.calm(20)
		require.Len(t, w.readyAt("drift", "1"), 1)
		w.declare(declare("wide", "1", 50, 1))
		w.calm(40)
		require.Len(t, w.readyAt("wide", "1"), 1)
		w.flights = held
		former.frozen = false
		require.True(t, former.machine.Leading())
		w.calm(20)
		require.False(t, former.machine.Leading())
		require.True(t, successor.machine.Leading())
		require.Len(t, w.readyAt("wide", "1"), 1)
		require.Empty(t, w.readyAt("drift", ""))
	}
}

// A leader cannot reach the service to keep its lease, and knows it by its own
// clock. Its successor may be at work, so it stops at once.
func TestLeaderStopsWhenItsLeaseIsOver(t *testing.T) {
	w := newWorld(1, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.hold = func(flight) bool { return true }
	w.calm(10)
	leader := w.leader()
	require.Empty(t, leader.queue)
	w.now = w.now.Add(time.Minute)
	w.tell(leader, Tick{})
	require.False(t, leader.machine.Leading())
	for _, command := range leader.queue {
		_, sends := command.(SendOrder)
		require.False(t, sends)
	}
}

// A leader is about to write when it freezes. Its successor has written nothing
// yet, so pages and head are as the old leader knew them: only the term differs.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	w := newWorld(2, oneDocument(), newEngine(0, 60, true))
	w.calm(10)
	w.leader().queue = nil
	w.hosts[1].frozen = w.leader() == w.hosts[0]
	w.hosts[0].frozen = !w.hosts[1].frozen
	w.declare(declare("drift", "1", 40, 1))
	w.now = w.now.Add(time.Second)
	w.tell(w.leader(), Tick{})
	require.NotEmpty(t, w.leader().queue)
	for _, h := range w.hosts {
		h.frozen = false
	}
	former, _ := w.depose()
	write, found := former.queue[len(former.queue)-1].(WritePlan)
	require.True(t, found)
	require.False(t, w.kv.swap(write.Swap).Swapped)
}

// An engine that checks fencing has begun a load when its leader changes and
// the model is taken back. The new leader's number makes older orders dead, yet
// this one is at work: an unload now would cross it.
func TestOrderUnderWayIsNotCrossed(t *testing.T) {
	w := newWorld(2, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.watch = func() { w.noOvercommit(t) }
	w.stalled = true
	w.calm(10)
	w.depose()
	w.declare(declare("briefing", "1", 10, 1))
	w.calm(20)
	require.Len(t, w.engines[0].working, 2)
	w.stalled = false
	w.calm(20)
	require.Empty(t, w.readyAt("drift", ""))
	require.Len(t, w.readyAt("briefing", "1"), 1)
}

// An order of a deposed leader is lost. The successor's first order gives
// the engine a greater fencing number. Where the engine checks it, the lost
// order is dead by the next report; where it does not, it could still come, and
// its memory must stay reserved.
func TestGreaterFencingNumberEndsDoubtOnlyWhereItIsChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(2, oneDocument(declare("drift", "1", 20, 1)), newEngine(0, 60, checks))
		w.watch = func() { w.noOvercommit(t) }
		lost := func(f flight) bool { return f.order.Model == "drift" }
		w.hold = lost
		w.calm(10)
		w.depose()
		w.declare(declare("briefing", "1", 30, 1))
		w.calm(20)
		require.Len(t, w.readyAt("briefing", "1"), 1)
		doubts := w.leader().machine.State(w.now).Doubts
		if checks {
			require.Empty(t, doubts)
		} else {
			require.Len(t, doubts, 1)
		}
		w.hold = nil
		w.calm(20)
		require.Empty(t, w.readyAt("drift", ""))
	}
}

// An engine that ignores fencing restarts while a load is on its way to it. The
// load reaches the new life, so it counts there until that life settles it.
func TestLoadInDoubtOutlivesRestartOfEngineThatIgnoresFencing(t *testing.T) {
	w := newWorld(1, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, false))
	w.watch = func() { w.noOvercommit(t) }
	w.hold = func(flight) bool { return true }
	w.calm(10)
	w.engines[0].restart()
	w.declare(declare("wide", "1", 50, 1))
	w.calm(20)
	require.Len(t, w.leader().machine.State(w.now).Doubts, 1)
	require.Empty(t, w.engines[0].residents)
	w.hold = nil
	w.calm(40)
	require.Len(t, w.readyAt("wide", "1"), 1)
}

// A load is settled, and before the plan is written without it the engine
// restarts. It ignores fencing: a repeated copy would be carried out again, so
// the order is in doubt again.
func TestSettledOrderStillInPlanIsInDoubtAfterRestart(t *testing.T) {
	w := newWorld(1, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, false))
	w.calm(6)
	w.fails = func(command Command) fault {
		if _, write := command.(WritePlan); write {
			return faultRefuse
		}
		return faultNone
	}
	w.calm(1)
	require.Len(t, w.readyAt("drift", "1"), 1)
	require.Empty(t, w.leader().machine.State(w.now).Doubts)
	w.engines[0].restart()
	w.hold = func(flight) bool { return true }
	w.calm(4)
	require.Len(t, w.leader().machine.State(w.now).Doubts, 1)
}

// A server dies and nobody has noticed: its last report says ready. A change of
// version must not drop the other replica on that word.
func TestStaleReportVouchesForNothing(t *testing.T) {
	w := newWorld(1, oneDocument(declare("briefing", "1", 40, 2)), newEngine(0, 50, true), newEngine(1, 50, true))
	w.calm(20)
	w.engines[0].silent = true
	w.engines[0].restart()
	w.calm(22)
	w.watch = func() { require.NotEmpty(t, w.readyAt("briefing", "")) }
	w.declare(declare("briefing", "2", 40, 2))
	w.calm(60)
}

// The answer of a plan write is lost, once written and once not. The leader
// reads what is there and goes on; no load is done twice.
func TestLostSwapAnswer(t *testing.T) {
	for _, f := range []fault{faultAnswer, faultLost, faultLate} {
		w := newWorld(1, oneDocument(declare("briefing", "1", 40, 2)), newEngine(0, 60, true), newEngine(1, 60, false))
		w.watch = func() { w.noOvercommit(t) }
		failed := 0
		w.fails = func(command Command) fault {
			if _, write := command.(WritePlan); write && failed < 2 {
				failed++
				return f
			}
			return faultNone
		}
		w.calm(30)
		require.Equal(t, 2, failed)
		require.Len(t, w.readyAt("briefing", "1"), 2)
	}
}

// The unload of one replica is written, the answer is lost, and the write has
// not landed. The list loses that server for a moment, so the next write drops
// the other replica, on another page. Should the first one land now, nothing
// would be ready. It must fail: this is what the head key is for.
func TestWriteThatLandsLateFailsOnTheHead(t *testing.T) {
	w := newWorld(1, oneDocument(declare("briefing", "1", 40, 2)), newEngine(0, 50, true), newEngine(3, 50, true))
	w.calm(20)
	w.fails = func(command Command) fault {
		if _, write := command.(WritePlan); write && len(w.late) == 0 {
			w.engines[0].unlisted = true
			w.tellAll()
			return faultLate
		}
		return faultNone
	}
	w.hold = func(f flight) bool { return f.order.Kind == backend.LoadModel }
	w.watch = func() { require.NotEmpty(t, w.readyAt("briefing", "")) }
	w.declare(declare("briefing", "2", 40, 2))
	w.calm(10)
	require.Len(t, w.late, 1)
	require.Empty(t, w.engines[1].residents, "the other replica is dropped")
	require.False(t, w.kv.swap(w.late[0]).Swapped)
	w.engines[0].unlisted = false
	w.tellAll()
	w.calm(20)
	w.hold = nil
	w.calm(60)
	require.Len(t, w.readyAt("briefing", "2"), 2)
}

// The leader loads "drift", settles it, and is deposed. Its successor gets only
// a late report, from when the engine was empty. By that and by the plan's
// orders the memory is free; only the plan's mark of the newest report tells
// that there is a newer one to wait for.
func TestNewLeaderWaitsForReportAsNewAsThePlan(t *testing.T) {
	w := newWorld(2, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.watch = func() { w.noOvercommit(t) }
	old := w.engines[0].report()
	follower := w.hosts[1]
	w.deaf = func(h *fakeHost) bool { return h == follower }
	w.calm(30)
	require.Len(t, w.readyAt("drift", "1"), 1)
	_, successor := w.depose()
	require.Equal(t, follower, successor)
	w.declare(declare("drift", "1", 40, 1), declare("wide", "1", 50, 1))
	moves := w.moves
	w.report(follower, old)
	w.calm(10)
	require.Equal(t, moves, w.moves)
}

// A cold fleet with many models: the weight store serves ten model loads at
// once and about one and a half a second, and adapters slow down beyond 80.
// More at once would make every load late.
func TestLoadsKeepTheWeightStoresPace(t *testing.T) {
	var models []document.Model
	for i := range 40 {
		model := declare(ident.ModelName(fmt.Sprintf("m-%d", i)), "1", 10, 1)
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
	w := newWorld(1, oneDocument(models...), engines...)
	sent := make(map[ident.OrderID]bool)
	held := backend.LoadModel
	w.hold = func(f flight) bool {
		if f.order.Kind == backend.LoadModel {
			sent[f.order.ID] = true
		}
		return f.order.Kind == held
	}
	w.watch = func() {
		seconds := w.now.Sub(epoch).Seconds()
		require.LessOrEqual(t, float64(len(sent)), paceBurst+DefaultModelStartsPerSecond*seconds)
	}
	w.calm(40)
	require.Len(t, sent, DefaultModelsInTransit)
	held = ""
	w.calm(20)
	held = backend.LoadAdapter
	w.calm(80)
	doubts := w.leader().machine.State(w.now).Doubts
	require.Len(t, doubts, DefaultAdaptersInTransit)
	held = ""
	w.calm(80)
	require.Empty(t, w.leader().machine.State(w.now).Doubts)
	require.Len(t, sent, 40)
}
