package orders

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cicadaloom/internal/domain/store"
)

// retryRead reads the plan again after a failed reading.
func (m *Machine) retryRead(now time.Time) []Command {
	if m.phase != phaseReading || now.Before(m.planAt) {
		return nil
	}
	m.planAt = now.Add(m.settings.PlanEvery)
	if m.waiting != 0 {
		return nil
	}
	return m.readPlan()
}

// onPlanRead takes the plan over as it stands. Only then does this host lead.
func (m *Machine) onPlanRead(now time.Time, event PlanRead) []Command {
	if m.phase != phaseReading || event.Sequence != m.waiting {
		return nil
	}
	m.waiting = 0
	m.planAt = now.Add(m.settings.PlanEvery)
	if event.Failed {
		return nil
	}
	for i := range event.Entries {
		read := &event.Entries[i]
		if read.Key == TermKey && read.Revision != m.term.Revision {
			m.stepDown(now)
			return m.dropLease()
		}
	}
	if !m.adopt(now, event.Entries) {
		return nil
	}
	m.phase = phaseLeading
	m.ledAt = now
	m.renewDispatches(now)
	return nil
}

// adopt replaces all entries by those read. A page that cannot be read leaves
// the host without the plan: leading on would forget orders in doubt.
func (m *Machine) adopt(now time.Time, read []store.Entry) bool {
	for _, known := range m.servers {
		known.entry = entry{
			Server: known.entry.Server,
		}
		known.page = ""
	}
	clear(m.pages)
	m.head = head{}
	for i := range read {
		if !m.adoptKey(now, &read[i]) {
			return false
		}
	}
	for _, known := range m.servers {
		clear(known.settled)
		if known.report != nil && !known.current() {
			known.report = nil
		}
		known.settle()
	}
	return true
}

func (m *Machine) adoptKey(now time.Time, read *store.Entry) bool {
	if read.Key == HeadKey {
		documents, err := decodeHead(read.Value)
		if err != nil {
			return false
		}
		m.head = head{
			Documents: documents,
			Revision:  read.Revision,
		}
		return true
	}
	if !strings.HasPrefix(read.Key, PageKey) {
		return true
	}
	entries, err := decodePage(read.Value)
	if err != nil {
		return false
	}
	m.pages[read.Key] = read.Revision
	for i := range entries {
		known := m.server(now, entries[i].Server)
		known.entry = entries[i]
		known.page = read.Key
	}
	return true
}

func sortedKeys[K ~string, V any](from map[K]V) []K {
	return slices.Sorted(maps.Keys(from))
}
