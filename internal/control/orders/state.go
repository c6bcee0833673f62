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

// State is a copy of what operators want to see. Followers know the leader and
// the replicas; the rest is the leader's.
type State struct {
	Leading bool
	Leader  ident.HostID
	Fencing ident.FencingNumber
	Models  []ModelState
	Blocked []placement.Blocked
	Doubts  []Doubt
	// OversizedPage is a plan page beyond the service's limit: nothing is
	// planned until Settings.Pages grows.
	OversizedPage string
	// Recent has the newest moves, the newest last; Moves counts them all since
	// this host started.
	Recent []NotedMove
	Moves  map[placement.Reason]int
}

// ModelState counts the replicas of a declared model.
type ModelState struct {
	Model   ident.ModelName
	Version ident.Version
	Want    int
	// Ready counts those of the declared version, ReadyOther those of others.
	Ready      int
	ReadyOther int
	Loading    int
}

// Doubt is an order that may still take effect.
type Doubt struct {
	Server    ident.ServerName
	Order     backend.Order
	WrittenAt time.Time
	// Tries is how often this host has sent it.
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
		Doubts:        m.doubtStates(),
		OversizedPage: m.oversized,
		Recent:        slices.Clone(m.recent),
		Moves:         maps.Clone(m.moves),
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
	for _, known := range m.servers {
		if !m.counts(now, known) || !known.current() {
			continue
		}
		for i := range known.report.Residents {
			countReplica(states, &known.report.Residents[i])
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

func (m *Machine) doubtStates() []Doubt {
	var doubts []Doubt
	for _, name := range m.names {
		for _, o := range m.servers[name].doubts() {
			doubt := Doubt{
				Server:    name,
				Order:     o.Order,
				WrittenAt: o.WrittenAt,
			}
			if sent := m.dispatches[o.ID]; sent != nil {
				doubt.Tries = sent.tries
			}
			doubts = append(doubts, doubt)
		}
	}
	return doubts
}
