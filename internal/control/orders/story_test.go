package orders

import (
	"testing"

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

// Two orders of a deposed leader are lost. The successor's first order gives
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

// A new version is declared. With room it comes up beside the old one; without,
// one replica gives way at a time. Callers must find a ready replica of the old
// or the new version at every instant.
func TestVersionChangeKeepsAReplicaReady(t *testing.T) {
	for _, memory := range []unit.Bytes{100, 50} {
		w := newWorld(1, oneDocument(declare("briefing", "1", 40, 2)), newEngine(0, memory, true), newEngine(1, memory, false))
		w.calm(20)
		least := 2
		w.watch = func() {
			w.noOvercommit(t)
			least = min(least, len(w.readyAt("briefing", "")))
		}
		w.declare(declare("briefing", "2", 40, 2))
		w.calm(60)
		require.Len(t, w.readyAt("briefing", "2"), 2)
		require.Empty(t, w.readyAt("briefing", "1"))
		if memory == 100 {
			require.Equal(t, 2, least, "beside each other where there is room")
		} else {
			require.Equal(t, 1, least, "one at a time where there is none")
		}
	}
}

// The only replica fills its server: the change is refused with its reason
// rather than taking the model away for the time of a load.
func TestVersionChangeOfLastReplicaWithoutRoomIsBlocked(t *testing.T) {
	w := newWorld(1, oneDocument(declare("briefing", "1", 40, 1)), newEngine(0, 50, true))
	w.calm(20)
	w.watch = func() { require.Len(t, w.readyAt("briefing", "1"), 1) }
	w.declare(declare("briefing", "2", 40, 1))
	w.calm(60)
	state := w.leader().machine.State(w.now)
	require.Len(t, state.Blocked, 1)
	require.Equal(t, placement.BlockedLastReplica, state.Blocked[0].Why)
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

// A follower heard an engine last when it was empty. The leader loads "drift"
// there, settles it, and is deposed. By the follower's report and the plan's
// orders the server is empty; only the plan's mark of the newest report tells
// that there is a newer one to wait for.
func TestNewLeaderWaitsForReportAsNewAsThePlan(t *testing.T) {
	w := newWorld(2, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.watch = func() { w.noOvercommit(t) }
	w.pass()
	follower := w.hosts[1]
	if w.leader() == follower {
		follower = w.hosts[0]
	}
	w.deaf = func(h *fakeHost) bool { return h == follower }
	w.calm(30)
	require.Len(t, w.readyAt("drift", "1"), 1)
	_, successor := w.depose()
	require.Equal(t, follower, successor)
	w.declare(declare("drift", "1", 40, 1), declare("wide", "1", 50, 1))
	w.calm(60)
	require.Empty(t, w.flights)
	require.Len(t, w.readyAt("drift", "1"), 1)
}

// A change is accepted and in place. Then a host takes over that has not heard
// of it. Planning from its older documents would put the old version back.
func TestLeaderWithOlderDocumentsChangesNothing(t *testing.T) {
	w := newWorld(2, oneDocument(declare("briefing", "1", 40, 1)), newEngine(0, 100, true))
	w.calm(20)
	former := w.leader()
	for _, h := range w.hosts {
		h.frozen = h != former
	}
	w.declare(declare("briefing", "2", 40, 1))
	w.calm(30)
	require.Len(t, w.readyAt("briefing", "2"), 1)
	for _, h := range w.hosts {
		h.frozen = false
	}
	moves := w.moves
	w.depose()
	w.calm(40)
	require.Equal(t, moves, w.moves)
	require.Len(t, w.readyAt("briefing", "2"), 1)
}

// A server is taken out of service. Its models must be ready elsewhere, and it
// must get no order any more.
func TestLeavingServerIsReplacedAndLeftAlone(t *testing.T) {
	w := newWorld(1, oneDocument(declare("briefing", "1", 40, 1)), newEngine(0, 60, true), newEngine(1, 60, true))
	w.calm(20)
	leaving := w.readyAt("briefing", "1")[0]
	leaving.info.State = backend.StateLeaving
	w.tellAll()
	w.hold = func(f flight) bool {
		require.NotEqual(t, leaving.info.Name, f.server)
		return false
	}
	w.calm(20)
	require.Len(t, w.readyAt("briefing", "1"), 2)
}

// A server dies with its replicas. They come up elsewhere once its silence is
// long enough, and the dead server's orders do not use up the pace.
func TestDeadServerIsReplaced(t *testing.T) {
	w := newWorld(1, oneDocument(declare("briefing", "1", 40, 1)), newEngine(0, 60, true), newEngine(1, 60, true))
	w.calm(20)
	dead := w.readyAt("briefing", "1")[0]
	dead.silent = true
	w.calm(60)
	require.Len(t, w.readyAt("briefing", "1"), 2)
}
