package orders

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// recentKept is how many moves the state for operators shows.
const recentKept = 64

// dispatch is an order on its way, from its intent's writing to its settling.
type dispatch struct {
	server ident.ServerName
	order  backend.Order
	sendAt time.Time
	tries  int
}

// renewDispatches makes dispatches match the orders of the written plan. Orders
// that were under way keep their next sending.
func (m *Machine) renewDispatches(now time.Time) {
	renewed := make(map[ident.OrderID]*dispatch, len(m.dispatches))
	for name, known := range m.servers {
		for i := range known.entry.Orders {
			o := &known.entry.Orders[i]
			current, found := m.dispatches[o.ID]
			if !found {
				current = &dispatch{
					server: name,
					order:  o.Order,
					sendAt: now,
				}
			}
			renewed[o.ID] = current
		}
	}
	m.dispatches = renewed
}

// send sends what is due. An order that no report settles is sent again under
// its id, for it may have been lost; the engine carries out an id once.
func (m *Machine) send(now time.Time) []Command {
	if m.phase != phaseLeading {
		return nil
	}
	var due []*dispatch
	for _, d := range m.dispatches {
		if !d.sendAt.After(now) {
			due = append(due, d)
		}
	}
	slices.SortFunc(due, func(a, b *dispatch) int {
		return cmp.Compare(a.order.ID, b.order.ID)
	})
	var commands []Command
	for _, d := range due {
		d.sendAt = now.Add(m.settings.ResendAfter)
		known := m.servers[d.server]
		if !m.usable(now, known) || !known.waits(d.order.ID) {
			continue
		}
		d.tries++
		commands = append(commands, SendOrder{
			Server:   d.server,
			Address:  known.info.Address,
			Order:    d.order,
			Deadline: d.sendAt,
		})
	}
	return commands
}

// waits tells whether an order of the written plan is still in doubt.
func (s *server) waits(id ident.OrderID) bool {
	for i := range s.entry.Orders {
		if s.entry.Orders[i].ID == id {
			return s.inDoubt(&s.entry.Orders[i])
		}
	}
	return false
}

// note counts moves whose intent is written.
func (m *Machine) note(noted []NotedMove) []Command {
	commands := make([]Command, 0, len(noted))
	for _, move := range noted {
		m.moves[move.Move.Reason]++
		commands = append(commands, Note{
			Move: move,
		})
	}
	m.recent = append(m.recent, noted...)
	m.recent = slices.Clone(m.recent[max(0, len(m.recent)-recentKept):])
	return commands
}
