package orders

import (
	"testing"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

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
