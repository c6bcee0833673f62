package orders

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/cespare/xxhash/v2"
)

const (
	// pagesPerWrite keeps a swap well below the 128 operations of the service.
	pagesPerWrite = 48
	// pageLimit is the greatest value that the service takes.
	pageLimit = 1 << 20
	// settleDelay is how long settled orders wait for a write to go with.
	settleDelay = 2 * time.Second
	// forgetAfter is how long a server that is gone stays in the plan.
	forgetAfter = time.Hour
)

// draft is the next state of some entries, to be written in one swap. Nothing
// of it counts before the swap is known to be done.
type draft struct {
	entries map[ident.ServerName]*entry
	pages   map[string]bool
	noted   []NotedMove
}

// plan writes the next moves down, one swap at a time and at most every
// PlanEvery, so that writes do not grow with the fleet.
func (m *Machine) plan(now time.Time) []Command {
	if m.phase != phaseLeading || now.Before(m.planAt) {
		return nil
	}
	m.planAt = now.Add(m.settings.PlanEvery)
	if m.pending != nil || !m.mayPlan(now) {
		return nil
	}
	m.forget(now)
	d := &draft{
		entries: make(map[ident.ServerName]*entry),
		pages:   make(map[string]bool),
	}
	result := placement.Plan(m.input(now))
	m.blocked = result.Blocked
	for i := range result.Moves {
		m.add(now, d, &result.Moves[i])
	}
	m.addSettled(now, d)
	if len(d.entries) == 0 {
		return nil
	}
	return m.write(d)
}

// mayPlan holds a leader back that knows less than the plan was made from: with
// older documents it would put back a version that an accepted change replaced.
// It also waits for the first reports, so as not to load what is there.
func (m *Machine) mayPlan(now time.Time) bool {
	if m.docsAt == 0 || m.docsAt < m.head.Documents {
		return false
	}
	if now.Sub(m.ledAt) >= m.settings.FreshFor {
		return true
	}
	for _, known := range m.servers {
		if known.listed && known.info.State == backend.StateLive && !known.current() {
			return false
		}
	}
	return true
}

// forget drops servers that are long gone and have no order in doubt. They go
// from their pages when these are next written.
func (m *Machine) forget(now time.Time) {
	m.names = slices.DeleteFunc(m.names, func(name ident.ServerName) bool {
		known := m.servers[name]
		heard := known.seenAt
		if known.receivedAt.After(heard) {
			heard = known.receivedAt
		}
		if known.listed || len(known.entry.Orders) > 0 || now.Sub(heard) < forgetAfter {
			return false
		}
		delete(m.servers, name)
		return true
	})
}

// add turns a move into an order in the draft, if the rules admit it.
func (m *Machine) add(now time.Time, d *draft, move *placement.Move) {
	known := m.servers[move.Server]
	if known == nil || !m.usable(now, known) {
		return
	}
	draftEntry := m.draftEntry(d, known)
	if draftEntry == nil || !m.admits(known, draftEntry, move) {
		return
	}
	m.counter++
	next := order{
		Order: backend.Order{
			ID:          ident.OrderID(fmt.Sprintf("ord-%d-%d", m.term.Fencing, m.counter)),
			Fencing:     m.term.Fencing,
			Incarnation: draftEntry.Incarnation,
			Kind:        move.Kind,
			Model:       move.Weights.Model,
			Adapter:     move.Weights.Adapter,
			Version:     move.Weights.Version,
			Memory:      move.Memory,
		},
		WrittenAt: now,
	}
	draftEntry.Orders = append(draftEntry.Orders, next)
	if move.Kind == backend.LoadModel {
		m.pace.take(now, m.settings.ModelStartsPerSecond)
	}
	d.noted = append(d.noted, NotedMove{
		Order: next.ID,
		At:    now,
		Move:  *move,
	})
}

// admits guards a server's memory and weights. A load goes in only where it
// fits beside everything that is there or may yet come: else a late load would
// meet a full server. Weights with an order in doubt get no second one: a late
// load would come after the unload that should have followed it, or a late
// unload would take away what was loaded since.
func (m *Machine) admits(known *server, draftEntry *entry, move *placement.Move) bool {
	if len(draftEntry.Orders) >= m.settings.OrdersPerServer {
		return false
	}
	for i := range draftEntry.Orders {
		if draftEntry.Orders[i].weights() == move.Weights {
			return false
		}
	}
	if move.Kind != backend.LoadModel && move.Kind != backend.LoadAdapter {
		return true
	}
	return known.reserved(draftEntry.Orders)+move.Memory <= known.report.Memory
}

// draftEntry returns the draft's entry of a server, taking it in with its page.
func (m *Machine) draftEntry(d *draft, known *server) *entry {
	if taken, found := d.entries[known.entry.Server]; found {
		return taken
	}
	page := m.pageOf(known)
	if !d.pages[page] && len(d.pages) >= pagesPerWrite {
		return nil
	}
	d.pages[page] = true
	revised := known.revise()
	d.entries[known.entry.Server] = &revised
	return &revised
}

// pageOf is the page that has the server, or the one that its name falls to.
func (m *Machine) pageOf(known *server) string {
	if known.page != "" {
		return known.page
	}
	number := xxhash.Sum64String(string(known.entry.Server)) % uint64(m.settings.Pages)
	return PageKey + strconv.FormatUint(number, 10)
}

// addSettled takes servers in whose settled orders have waited long enough, or
// that can go along with pages that are written anyway.
func (m *Machine) addSettled(now time.Time, d *draft) {
	for _, name := range m.names {
		known := m.servers[name]
		if !known.news() {
			continue
		}
		if d.pages[m.pageOf(known)] || known.settledLong(now) {
			m.draftEntry(d, known)
		}
	}
}

func (s *server) settledLong(now time.Time) bool {
	for i := range s.entry.Orders {
		o := &s.entry.Orders[i]
		if !s.inDoubt(o) && now.Sub(o.WrittenAt) >= settleDelay {
			return true
		}
	}
	return false
}

// write makes the swap of a draft.
func (m *Machine) write(d *draft) []Command {
	swap := store.Swap{
		Compares: []store.Compare{
			{
				Key:      TermKey,
				Revision: m.term.Revision,
			},
			{
				Key:      HeadKey,
				Revision: m.head.Revision,
			},
		},
		Puts: []store.Put{{
			Key:   HeadKey,
			Value: encodeHead(m.docsAt),
		}},
	}
	contents := m.contents(d)
	m.oversized = ""
	for _, page := range sortedKeys(d.pages) {
		value := encodePage(contents[page])
		if len(value) > pageLimit {
			m.oversized = page
			return nil
		}
		swap.Compares = append(swap.Compares, store.Compare{
			Key:      page,
			Revision: m.pages[page],
		})
		swap.Puts = append(swap.Puts, store.Put{
			Key:   page,
			Value: value,
		})
	}
	m.pending = d
	return []Command{WritePlan{
		Sequence: m.nextSequence(),
		Swap:     swap,
	}}
}

// contents lists the entries of the draft's pages, changed or not.
func (m *Machine) contents(d *draft) map[string][]*entry {
	contents := make(map[string][]*entry, len(d.pages))
	for _, name := range m.names {
		known := m.servers[name]
		page := m.pageOf(known)
		if !d.pages[page] {
			continue
		}
		if changed, found := d.entries[name]; found {
			contents[page] = append(contents[page], changed)
		} else if known.page != "" {
			contents[page] = append(contents[page], &known.entry)
		}
	}
	return contents
}

func (m *Machine) onWriteAnswered(now time.Time, event SwapAnswered) []Command {
	written := m.pending
	m.pending = nil
	switch event.Outcome {
	case SwapDone:
		return m.written(now, written, event.Result.Revision)
	case SwapConflict:
		if m.termMoved(event.Result.Current) {
			m.stepDown(now)
			return m.dropLease()
		}
		return m.readPlan()
	case SwapUnknown:
		// It may be written, now or later. What is read decides what is sent;
		// should the write land after that, the next one fails on the head.
		return m.readPlan()
	case SwapUnavailable:
	}
	return nil
}

func (m *Machine) termMoved(current []store.Entry) bool {
	return slices.ContainsFunc(current, func(entry store.Entry) bool {
		return entry.Key == TermKey && entry.Revision != m.term.Revision
	})
}

// written takes the draft over: from here on its orders may be sent.
func (m *Machine) written(now time.Time, d *draft, revision ident.Revision) []Command {
	m.head = head{
		Documents: m.docsAt,
		Revision:  revision,
	}
	for page := range d.pages {
		m.pages[page] = revision
	}
	for name, changed := range d.entries {
		known := m.servers[name]
		known.page = m.pageOf(known)
		known.entry = *changed
		clear(known.settled)
		known.settle()
	}
	m.renewDispatches(now)
	return m.note(d.noted)
}
