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
	// maxPagesPerWrite keeps a swap well below the service's limit of 128 operations.
	maxPagesPerWrite = 48
	// maxPageBytes is the largest value that the service accepts.
	maxPageBytes = 1 << 20
	// settledWriteDelay is the age from which a settled order gets a plan write of
	// its own that removes it, if no other write of its page has done so before.
	settledWriteDelay = 2 * time.Second
	// removeServerAfter is how long a server that is gone stays in the plan.
	removeServerAfter = time.Hour
)

// draft is the next state of some plan entries, to be written in one swap. None
// of it takes effect before the swap is known to have succeeded.
type draft struct {
	entries map[ident.ServerName]*entry
	pages   map[string]bool
	moves   []RecordedMove
}

// planAndWrite plans the next moves and writes their orders to the plan, one swap
// at a time and at most one per MinPlanInterval, so that the number of writes
// does not grow with the fleet.
func (m *Machine) planAndWrite(now time.Time) []Command {
	if m.phase != phaseLeading || now.Before(m.nextPlanAt) {
		return nil
	}
	m.nextPlanAt = now.Add(m.settings.MinPlanInterval)
	if m.pendingDraft != nil || !m.canPlan(now) {
		return nil
	}
	m.removeGoneServers(now)
	d := &draft{
		entries: make(map[ident.ServerName]*entry),
		pages:   make(map[string]bool),
	}
	result := placement.Plan(m.placementInput(now))
	m.blocked = result.Blocked
	for i := range result.Moves {
		m.addMove(now, d, &result.Moves[i])
	}
	m.addSettledEntries(now, d)
	if len(d.entries) == 0 && !m.mayLandLate {
		return nil
	}
	return m.writeDraft(d)
}

// canPlan reports whether the leader knows at least as much as the plan was made
// from. With older documents it would restore a version that an accepted change
// has replaced. It also waits for the first reports, so as not to load models that
// are already loaded.
func (m *Machine) canPlan(now time.Time) bool {
	if m.documentsRevision == 0 || m.documentsRevision < m.head.Documents {
		return false
	}
	if now.Sub(m.leadingSince) >= m.settings.MaxReportAge {
		return true
	}
	for _, srv := range m.servers {
		if srv.listed && srv.info.State == backend.StateLive && !srv.hasCurrentReport() {
			return false
		}
	}
	return true
}

// removeGoneServers removes servers that are long gone and have no order in the
// plan. Their entries disappear from their pages when these are next written.
func (m *Machine) removeGoneServers(now time.Time) {
	m.serverNames = slices.DeleteFunc(m.serverNames, func(name ident.ServerName) bool {
		srv := m.servers[name]
		lastContact := srv.firstSeenAt
		if srv.receivedAt.After(lastContact) {
			lastContact = srv.receivedAt
		}
		if srv.listed || len(srv.entry.Orders) > 0 || now.Sub(lastContact) < removeServerAfter {
			return false
		}
		delete(m.servers, name)
		return true
	})
}

// addMove adds the order for a move to the draft, if the server is usable and
// allowsOrder permits it.
func (m *Machine) addMove(now time.Time, d *draft, move *placement.Move) {
	srv := m.servers[move.Server]
	if srv == nil || !m.isUsable(now, srv) {
		return
	}
	draftEntry := m.entryInDraft(d, srv)
	if draftEntry == nil || !m.allowsOrder(srv, draftEntry, move) {
		return
	}
	m.orderCounter++
	next := order{
		Order: backend.Order{
			ID:          ident.OrderID(fmt.Sprintf("ord-%d-%d", m.term.Fencing, m.orderCounter)),
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
		m.loadLimiter.takeOne(now, m.settings.ModelLoadsPerSecond)
	}
	d.moves = append(d.moves, RecordedMove{
		Order: next.ID,
		At:    now,
		Move:  *move,
	})
}

// allowsOrder protects a server's memory and weights. A load is allowed only if it
// fits beside everything that is loaded or may still be loaded: otherwise a
// delayed load would reach a full server. Weights with an order in doubt get no
// second order: a delayed load would arrive after the unload that should have
// followed it, or a delayed unload would remove weights that were loaded since.
func (m *Machine) allowsOrder(srv *server, draftEntry *entry, move *placement.Move) bool {
	if len(draftEntry.Orders) >= m.settings.MaxOrdersPerServer {
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
	return srv.reservedMemory(draftEntry.Orders)+move.Memory <= srv.report.Memory
}

// entryInDraft returns the draft's entry for a server, after adding the entry and
// its page to the draft if they are missing. It returns nil if the draft has no
// room for another page.
func (m *Machine) entryInDraft(d *draft, srv *server) *entry {
	if existing, found := d.entries[srv.entry.Server]; found {
		return existing
	}
	page := m.pageOf(srv)
	if !d.pages[page] && len(d.pages) >= maxPagesPerWrite {
		return nil
	}
	d.pages[page] = true
	revised := srv.revisedEntry()
	d.entries[srv.entry.Server] = &revised
	return &revised
}

// pageOf returns the key of the page that has the server, or of the page that the
// hash of its name selects.
func (m *Machine) pageOf(srv *server) string {
	if srv.page != "" {
		return srv.page
	}
	number := xxhash.Sum64String(string(srv.entry.Server)) % uint64(m.settings.Pages)
	return PageKeyPrefix + strconv.FormatUint(number, 10)
}

// addSettledEntries adds servers that have an old enough settled order, or whose page
// is written anyway, so that their settled orders are removed from the plan.
func (m *Machine) addSettledEntries(now time.Time, d *draft) {
	for _, name := range m.serverNames {
		srv := m.servers[name]
		if !srv.hasRemovableOrders() {
			continue
		}
		if d.pages[m.pageOf(srv)] || srv.hasLongSettledOrder(now) {
			m.entryInDraft(d, srv)
		}
	}
}

func (s *server) hasLongSettledOrder(now time.Time) bool {
	for i := range s.entry.Orders {
		o := &s.entry.Orders[i]
		if !s.isInDoubt(o) && now.Sub(o.WrittenAt) >= settledWriteDelay {
			return true
		}
	}
	return false
}

// writeDraft returns the command that swaps the draft's pages in.
func (m *Machine) writeDraft(d *draft) []Command {
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
			Value: encodeHead(m.documentsRevision),
		}},
	}
	contents := m.pageContents(d)
	m.oversizedPage = ""
	for _, page := range sortedKeys(d.pages) {
		value := encodePage(contents[page])
		if len(value) > maxPageBytes {
			m.oversizedPage = page
			return nil
		}
		swap.Compares = append(swap.Compares, store.Compare{
			Key:      page,
			Revision: m.pageRevisions[page],
		})
		swap.Puts = append(swap.Puts, store.Put{
			Key:   page,
			Value: value,
		})
	}
	m.pendingDraft = d
	return []Command{WritePlan{
		Sequence: m.nextSequence(),
		Swap:     swap,
	}}
}

// pageContents lists all entries of the draft's pages, changed and unchanged.
func (m *Machine) pageContents(d *draft) map[string][]*entry {
	contents := make(map[string][]*entry, len(d.pages))
	for _, name := range m.serverNames {
		srv := m.servers[name]
		page := m.pageOf(srv)
		if !d.pages[page] {
			continue
		}
		if changed, found := d.entries[name]; found {
			contents[page] = append(contents[page], changed)
		} else if srv.page != "" {
			contents[page] = append(contents[page], &srv.entry)
		}
	}
	return contents
}

func (m *Machine) onWriteAnswered(now time.Time, event SwapAnswered) []Command {
	draft := m.pendingDraft
	m.pendingDraft = nil
	switch event.Outcome {
	case SwapDone:
		m.mayLandLate = false
		return m.applyDraft(now, draft, event.Result.Revision)
	case SwapConflict:
		m.mayLandLate = false
		if m.hasTermChanged(event.Result.Current) {
			m.stepDown(now)
			return m.revokeLease()
		}
		return m.readPlan()
	case SwapUnknown:
		// The plan that is read next decides which orders are sent; if the write lands
		// after that read, the next write fails on the head key.
		m.mayLandLate = true
		return m.readPlan()
	case SwapUnavailable:
	}
	return nil
}

func (m *Machine) hasTermChanged(current []store.Entry) bool {
	return slices.ContainsFunc(current, func(entry store.Entry) bool {
		return entry.Key == TermKey && entry.Revision != m.term.Revision
	})
}

// applyDraft makes the written draft the current plan: from here on its orders may
// be sent.
func (m *Machine) applyDraft(now time.Time, d *draft, revision ident.Revision) []Command {
	m.head = head{
		Documents: m.documentsRevision,
		Revision:  revision,
	}
	for page := range d.pages {
		m.pageRevisions[page] = revision
	}
	for name, changed := range d.entries {
		srv := m.servers[name]
		srv.page = m.pageOf(srv)
		srv.entry = *changed
		clear(srv.settled)
		srv.applySettledOrders()
	}
	m.syncDeliveries(now)
	return m.recordMoves(d.moves)
}
