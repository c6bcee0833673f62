package orders

import (
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

func (m *Machine) ensureServer(now time.Time, name ident.ServerName) *server {
	srv, found := m.servers[name]
	if found {
		return srv
	}
	srv = &server{
		firstSeenAt:     now,
		firstReportedAt: make(map[placement.Weights]time.Time),
		settled:         make(map[ident.OrderID]backend.OrderResult),
		entry: entry{
			Server: name,
		},
	}
	m.servers[name] = srv
	index, _ := slices.BinarySearch(m.serverNames, name)
	m.serverNames = slices.Insert(m.serverNames, index, name)
	return srv
}

func (m *Machine) onServers(now time.Time, event Servers) {
	for _, srv := range m.servers {
		srv.listed = false
	}
	for _, info := range event.Servers {
		if info.Kind != backend.KindEngine {
			continue
		}
		srv := m.ensureServer(now, info.Name)
		srv.info = info
		srv.listed = true
	}
}

func (m *Machine) onReport(event Report) {
	srv := m.ensureServer(event.ReceivedAt, event.Report.Server)
	if !srv.acceptsReport(event.Report) {
		return
	}
	if srv.report != nil && srv.report.Incarnation != event.Report.Incarnation {
		// Orders settled in an earlier incarnation are not settled in this one: an
		// engine that ignores fencing would carry them out again.
		clear(srv.settled)
	}
	srv.report = event.Report
	srv.receivedAt = event.ReceivedAt
	srv.applySettledOrders()
	srv.trackResidents()
}

// trackResidents records when each resident was first reported.
func (s *server) trackResidents() {
	for i := range s.report.Residents {
		weights := weightsOf(&s.report.Residents[i])
		if _, found := s.firstReportedAt[weights]; !found {
			s.firstReportedAt[weights] = s.receivedAt
		}
	}
	if len(s.firstReportedAt) == len(s.report.Residents) {
		return
	}
	maps.DeleteFunc(s.firstReportedAt, func(weights placement.Weights, _ time.Time) bool {
		return !s.hasResident(weights)
	})
}

func (m *Machine) hasFreshReport(now time.Time, s *server) bool {
	return s.hasCurrentReport() && now.Sub(s.receivedAt) <= m.settings.MaxReportAge
}

// isUsable reports whether a server may get orders: it is listed as live, does not
// report that it is leaving, and has a fresh report.
func (m *Machine) isUsable(now time.Time, s *server) bool {
	return s.listed && s.info.State == backend.StateLive && m.hasFreshReport(now, s) && !s.report.Leaving
}

// isCounted reports whether a server's residents count as replicas. A silent server
// counts for ServerTimeout, so that a lost report or a new leader causes no moves.
func (m *Machine) isCounted(now time.Time, s *server) bool {
	if !s.listed {
		return m.hasFreshReport(now, s) && !s.report.Leaving // the list may lag behind the report
	}
	if s.info.State != backend.StateLive {
		return false
	}
	if s.report != nil && s.report.Leaving {
		return false
	}
	lastContact := s.firstSeenAt
	if s.receivedAt.After(lastContact) {
		lastContact = s.receivedAt
	}
	if m.leadingSince.After(lastContact) && s.report == nil {
		lastContact = m.leadingSince
	}
	return now.Sub(lastContact) <= m.settings.ServerTimeout
}

// placementInput builds the input of placement.Plan.
func (m *Machine) placementInput(now time.Time) *placement.Input {
	input := &placement.Input{
		Now:      now,
		Settings: m.settings.Placement,
		Models:   m.models,
		Servers:  make([]placement.Server, 0, len(m.serverNames)),
		Rates:    m.regionalRates(),
		Budget:   m.loadBudget(now),
	}
	for _, name := range m.serverNames {
		srv := m.servers[name]
		if m.isCounted(now, srv) {
			input.Servers = append(input.Servers, m.placementServer(now, srv))
		}
	}
	return input
}

func (m *Machine) placementServer(now time.Time, s *server) placement.Server {
	seen := placement.Server{
		Name:       s.entry.Server,
		DataCentre: s.info.DataCentre,
		Region:     s.info.Region,
		Usable:     m.isUsable(now, s),
	}
	inDoubt := s.ordersInDoubt()
	if s.hasCurrentReport() {
		seen.Memory = s.report.Memory
		seen.Reserved = s.reservedMemory(inDoubt)
		seen.Residents = s.reportedResidents(m.hasFreshReport(now, s))
	} else {
		seen.Residents = s.recordedResidents()
	}
	for i := range inDoubt {
		seen.Residents = applyInDoubtOrder(seen.Residents, &inDoubt[i], now)
	}
	return seen
}

func (s *server) reportedResidents(fresh bool) []placement.Resident {
	residents := make([]placement.Resident, 0, len(s.report.Residents)+2)
	for i := range s.report.Residents {
		resident := &s.report.Residents[i]
		weights := weightsOf(resident)
		residents = append(residents, placement.Resident{
			Weights:     weights,
			Memory:      resident.Memory,
			Ready:       resident.Ready && fresh,
			FirstSeenAt: s.firstReportedAt[weights],
		})
	}
	return residents
}

// recordedResidents returns the residents that the plan records for a server whose
// report is missing or older than the plan.
func (s *server) recordedResidents() []placement.Resident {
	residents := make([]placement.Resident, 0, len(s.entry.Models))
	for _, weights := range s.entry.Models {
		residents = append(residents, placement.Resident{
			Weights: weights,
		})
	}
	return residents
}

// applyInDoubtOrder marks the resident that the order loads or unloads, and adds it
// if it is missing.
func applyInDoubtOrder(residents []placement.Resident, o *order, now time.Time) []placement.Resident {
	weights := o.weights()
	index := slices.IndexFunc(residents, func(resident placement.Resident) bool {
		return resident.Weights == weights
	})
	if index < 0 {
		index = len(residents)
		residents = append(residents, placement.Resident{
			Weights:     weights,
			FirstSeenAt: now,
		})
		if o.isLoad() {
			residents[index].Memory = o.Memory
		}
	}
	residents[index].Loading = residents[index].Loading || o.isLoad()
	residents[index].Unloading = residents[index].Unloading || !o.isLoad()
	return residents
}
