package orders

import (
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

func (m *Machine) server(now time.Time, name ident.ServerName) *server {
	known, found := m.servers[name]
	if found {
		return known
	}
	known = &server{
		seenAt:  now,
		since:   make(map[placement.Weights]time.Time),
		settled: make(map[ident.OrderID]backend.OrderResult),
		entry: entry{
			Server: name,
		},
	}
	m.servers[name] = known
	index, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Insert(m.names, index, name)
	return known
}

func (m *Machine) onServers(now time.Time, event Servers) {
	for _, known := range m.servers {
		known.listed = false
	}
	for _, info := range event.Servers {
		if info.Kind != backend.KindEngine {
			continue
		}
		known := m.server(now, info.Name)
		known.info = info
		known.listed = true
	}
}

func (m *Machine) onReport(event Report) {
	known := m.server(event.ReceivedAt, event.Report.Server)
	if !known.accepts(event.Report) {
		return
	}
	if known.report != nil && known.report.Incarnation != event.Report.Incarnation {
		// What was settled in an earlier life says nothing on this one: an engine
		// that ignores fencing would carry the order out again.
		clear(known.settled)
	}
	known.report = event.Report
	known.receivedAt = event.ReceivedAt
	known.settle()
	known.noteResidents()
}

// noteResidents keeps since when each resident is known.
func (s *server) noteResidents() {
	for i := range s.report.Residents {
		weights := weightsOf(&s.report.Residents[i])
		if _, found := s.since[weights]; !found {
			s.since[weights] = s.receivedAt
		}
	}
	if len(s.since) == len(s.report.Residents) {
		return
	}
	maps.DeleteFunc(s.since, func(weights placement.Weights, _ time.Time) bool {
		return !s.shows(weights)
	})
}

func (m *Machine) fresh(now time.Time, s *server) bool {
	return s.current() && now.Sub(s.receivedAt) <= m.settings.FreshFor
}

// usable tells whether a server may get orders: listed live, not leaving by its
// own word, and with a fresh report.
func (m *Machine) usable(now time.Time, s *server) bool {
	return s.listed && s.info.State == backend.StateLive && m.fresh(now, s) && !s.report.Leaving
}

// counts tells whether a server's residents count as replicas. A silent one
// counts for a while, so that a lost report or a new leader moves nothing.
func (m *Machine) counts(now time.Time, s *server) bool {
	if !s.listed {
		return m.fresh(now, s) && !s.report.Leaving // the list lags
	}
	if s.info.State != backend.StateLive {
		return false
	}
	if s.report != nil && s.report.Leaving {
		return false
	}
	heard := s.seenAt
	if s.receivedAt.After(heard) {
		heard = s.receivedAt
	}
	if m.ledAt.After(heard) && s.report == nil {
		heard = m.ledAt
	}
	return now.Sub(heard) <= m.settings.DeadAfter
}

// input builds what the placement looks at.
func (m *Machine) input(now time.Time) *placement.Input {
	input := &placement.Input{
		Now:      now,
		Settings: m.settings.Placement,
		Models:   m.models,
		Servers:  make([]placement.Server, 0, len(m.names)),
		Rates:    m.rates(),
		Budget:   m.loadBudget(now),
	}
	for _, name := range m.names {
		known := m.servers[name]
		if m.counts(now, known) {
			input.Servers = append(input.Servers, m.view(now, known))
		}
	}
	return input
}

func (m *Machine) view(now time.Time, s *server) placement.Server {
	view := placement.Server{
		Name:       s.entry.Server,
		DataCentre: s.info.DataCentre,
		Region:     s.info.Region,
		Usable:     m.usable(now, s),
	}
	doubts := s.doubts()
	if s.current() {
		view.Memory = s.report.Memory
		view.Reserved = s.reserved(doubts)
		view.Residents = s.reported(m.fresh(now, s))
	} else {
		view.Residents = s.intended()
	}
	for i := range doubts {
		view.Residents = withDoubt(view.Residents, &doubts[i], now)
	}
	return view
}

func (s *server) reported(fresh bool) []placement.Resident {
	residents := make([]placement.Resident, 0, len(s.report.Residents)+2)
	for i := range s.report.Residents {
		resident := &s.report.Residents[i]
		weights := weightsOf(resident)
		residents = append(residents, placement.Resident{
			Weights: weights,
			Memory:  resident.Memory,
			Ready:   resident.Ready && fresh,
			Since:   s.since[weights],
		})
	}
	return residents
}

// intended is the plan's word on a server that has not reported yet.
func (s *server) intended() []placement.Resident {
	residents := make([]placement.Resident, 0, len(s.entry.Models))
	for _, weights := range s.entry.Models {
		residents = append(residents, placement.Resident{
			Weights: weights,
		})
	}
	return residents
}

// withDoubt marks the resident that an order in doubt is about, or adds it.
func withDoubt(residents []placement.Resident, o *order, now time.Time) []placement.Resident {
	weights := o.weights()
	index := slices.IndexFunc(residents, func(resident placement.Resident) bool {
		return resident.Weights == weights
	})
	if index < 0 {
		index = len(residents)
		residents = append(residents, placement.Resident{
			Weights: weights,
			Since:   now,
		})
		if o.loads() {
			residents[index].Memory = o.Memory
		}
	}
	residents[index].Loading = residents[index].Loading || o.loads()
	residents[index].Unloading = residents[index].Unloading || !o.loads()
	return residents
}
