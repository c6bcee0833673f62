package orders

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// maxRecentMoves is the number of moves that State.Recent lists.
const maxRecentMoves = 64

// delivery is the sending of one order: it starts when the order is recorded in
// the plan and ends when the order is removed from it.
type delivery struct {
	server     ident.ServerName
	order      backend.Order
	nextSendAt time.Time
	tries      int
}

// syncDeliveries makes deliveries match the orders of the written plan. Orders
// that are already being sent keep their next send time.
func (m *Machine) syncDeliveries(now time.Time) {
	renewed := make(map[ident.OrderID]*delivery, len(m.deliveries))
	for name, srv := range m.servers {
		for i := range srv.entry.Orders {
			o := &srv.entry.Orders[i]
			current, found := m.deliveries[o.ID]
			if !found {
				current = &delivery{
					server:     name,
					order:      o.Order,
					nextSendAt: now,
				}
			}
			renewed[o.ID] = current
		}
	}
	m.deliveries = renewed
}

// sendDueOrders sends the orders that are due. An order that no report has settled
// is sent again under the same id because it may have been lost; the engine
// carries out each id once.
func (m *Machine) sendDueOrders(now time.Time) []Command {
	if m.phase != phaseLeading {
		return nil
	}
	var due []*delivery
	for _, d := range m.deliveries {
		if !d.nextSendAt.After(now) {
			due = append(due, d)
		}
	}
	slices.SortFunc(due, func(a, b *delivery) int {
		return cmp.Compare(a.order.ID, b.order.ID)
	})
	var commands []Command
	for _, d := range due {
		d.nextSendAt = now.Add(m.settings.ResendInterval)
		srv := m.servers[d.server]
		if !m.isUsable(now, srv) || !srv.hasInDoubt(d.order.ID) {
			continue
		}
		d.tries++
		commands = append(commands, SendOrder{
			Server:   d.server,
			Address:  srv.info.Address,
			Order:    d.order,
			Deadline: d.nextSendAt,
		})
	}
	return commands
}

// hasInDoubt reports whether the written plan has the order and it is in doubt.
func (s *server) hasInDoubt(id ident.OrderID) bool {
	for i := range s.entry.Orders {
		if s.entry.Orders[i].ID == id {
			return s.isInDoubt(&s.entry.Orders[i])
		}
	}
	return false
}

// recordMoves counts the moves whose orders are now recorded in the plan and
// reports them.
func (m *Machine) recordMoves(planned []RecordedMove) []Command {
	commands := make([]Command, 0, len(planned))
	for _, move := range planned {
		m.moveCounts[move.Move.Reason]++
		commands = append(commands, RecordMove{
			Move: move,
		})
	}
	m.recentMoves = append(m.recentMoves, planned...)
	m.recentMoves = slices.Clone(m.recentMoves[max(0, len(m.recentMoves)-maxRecentMoves):])
	return commands
}
