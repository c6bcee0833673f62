package orders

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cicadaloom/internal/domain/store"
)

// retryReadPlan reads the plan again after a read has failed.
func (m *Machine) retryReadPlan(now time.Time) []Command {
	if m.phase != phaseReading || now.Before(m.nextPlanAt) {
		return nil
	}
	m.nextPlanAt = now.Add(m.settings.MinPlanInterval)
	if m.awaitedSequence != 0 {
		return nil
	}
	return m.readPlan()
}

// onPlanRead takes over the plan as read. Only then does this host lead.
func (m *Machine) onPlanRead(now time.Time, event PlanRead) []Command {
	if m.phase != phaseReading || event.Sequence != m.awaitedSequence {
		return nil
	}
	m.awaitedSequence = 0
	m.nextPlanAt = now.Add(m.settings.MinPlanInterval)
	if event.Failed {
		return nil
	}
	for i := range event.Entries {
		read := &event.Entries[i]
		if read.Key == TermKey && read.Revision != m.term.Revision {
			m.stepDown(now)
			return m.revokeLease()
		}
	}
	if !m.applyPlan(now, event.Entries) {
		return nil
	}
	m.phase = phaseLeading
	m.leadingSince = now
	m.syncDeliveries(now)
	return nil
}

// applyPlan replaces all entries by those of the plan. It returns false if a page
// can't be decoded: with a partial plan the leader would forget orders in doubt.
func (m *Machine) applyPlan(now time.Time, entries []store.Entry) bool {
	for _, srv := range m.servers {
		srv.entry = entry{
			Server: srv.entry.Server,
		}
		srv.page = ""
	}
	clear(m.pageRevisions)
	m.head = head{}
	for i := range entries {
		if !m.applyPlanEntry(now, &entries[i]) {
			return false
		}
	}
	for _, srv := range m.servers {
		clear(srv.settled)
		if srv.report != nil && !srv.hasCurrentReport() {
			srv.report = nil
		}
		srv.applySettledOrders()
	}
	return true
}

func (m *Machine) applyPlanEntry(now time.Time, stored *store.Entry) bool {
	if stored.Key == HeadKey {
		documents, err := decodeHead(stored.Value)
		if err != nil {
			return false
		}
		m.head = head{
			Documents: documents,
			Revision:  stored.Revision,
		}
		return true
	}
	if !strings.HasPrefix(stored.Key, PageKeyPrefix) {
		return true
	}
	entries, err := decodePage(stored.Value)
	if err != nil {
		return false
	}
	m.pageRevisions[stored.Key] = stored.Revision
	for i := range entries {
		srv := m.ensureServer(now, entries[i].Server)
		srv.entry = entries[i]
		srv.page = stored.Key
	}
	return true
}

func sortedKeys[K ~string, V any](from map[K]V) []K {
	return slices.Sorted(maps.Keys(from))
}
