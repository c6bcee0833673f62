package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// State is a copy of the machine's state for operators. A follower has the leader
// and the replicas; only the leader has the rest.
type State struct {
	Leading bool
	Leader  ident.HostID
	Fencing ident.FencingNumber
	Models  []ModelState
	Blocked []placement.Blocked
	Doubts  []InDoubtOrder
	// OversizedPage is the key of a plan page beyond the service's size limit:
	// nothing is planned until Settings.Pages is increased.
	OversizedPage string
	// Recent has the newest moves, the newest last; Moves counts all moves since
	// this host started.
	Recent []RecordedMove
	Moves  map[placement.Reason]int
}

// ModelState counts the replicas of a declared model.
type ModelState struct {
	Model   ident.ModelName
	Version ident.Version
	Want    int
	// Ready counts ready replicas of the declared version, ReadyOther those of
	// other versions.
	Ready      int
	ReadyOther int
	Loading    int
}

// InDoubtOrder is an order that may still take effect.
type InDoubtOrder struct {
	Server    ident.ServerName
	Order     backend.Order
	WrittenAt time.Time
	// Tries is how many times this host has sent the order.
	Tries int
}

// State returns a copy that the caller may keep.
func (m *Machine) State(now time.Time) State {
	return State{
		Leading:       m.phase == phaseLeading,
		Leader:        m.leader,
		Fencing:       m.term.Fencing,
		Models:        m.modelStates(now),
		Blocked:       slices.Clone(m.blocked),
		Doubts:        m.ordersInDoubt(),
		OversizedPage: m.oversizedPage,
		Recent:        slices.Clone(m.recentMoves),
		Moves:         maps.Clone(m.moveCounts),
	}
}

func (m *Machine) modelStates(now time.Time) []ModelState {
	states := make([]ModelState, len(m.models))
	for i := range m.models {
		states[i] = ModelState{
			Model:   m.models[i].Name,
			Version: m.models[i].Version,
			Want:    max(1, m.models[i].Replicas),
		}
	}
	for _, srv := range m.servers {
		if !m.isCounted(now, srv) || !srv.hasCurrentReport() {
			continue
		}
		for i := range srv.report.Residents {
			countReplica(states, &srv.report.Residents[i])
		}
	}
	return states
}

func countReplica(states []ModelState, resident *backend.Resident) {
	if resident.Adapter != "" {
		return
	}
	index, found := slices.BinarySearchFunc(states, resident.Model, func(state ModelState, name ident.ModelName) int {
		return cmp.Compare(state.Model, name)
	})
	switch {
	case !found:
	case !resident.Ready:
		states[index].Loading++
	case resident.Version == states[index].Version:
		states[index].Ready++
	default:
		states[index].ReadyOther++
	}
}

func (m *Machine) ordersInDoubt() []InDoubtOrder {
	var inDoubt []InDoubtOrder
	for _, name := range m.serverNames {
		for _, o := range m.servers[name].ordersInDoubt() {
			state := InDoubtOrder{
				Server:    name,
				Order:     o.Order,
				WrittenAt: o.WrittenAt,
			}
			if current := m.deliveries[o.ID]; current != nil {
				state.Tries = current.tries
			}
			inDoubt = append(inDoubt, state)
		}
	}
	return inDoubt
}
