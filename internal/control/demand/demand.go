// Package demand sums the request rates of callers over all entry hosts, for the
// host that leads the placement.
//
// Each host smooths the request rates of its own callers and sends the leader those
// that differ most from what the leader knows, a few at a time. The leader keeps the
// rates of each host and sums them by data centre.
//
// Machine is a deterministic state machine that the control loop of every host runs.
// It starts no goroutines and is not safe for concurrent use.
//
// # Usage
//
//	machine.Step(demand.RequestCounts{Counts: counts, Interval: interval})
//	rates := machine.RatesToSend(leader)
//	// send the rates to the leader, then
//	machine.Step(demand.RatesAccepted{Leader: leader, Rates: rates})
//	// and on the leader
//	machine.Step(demand.HostRates{Host: host, DataCentre: dataCentre, Rates: rates})
//	sums := machine.Sums()
package demand

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// MaxRatesPerMessage bounds the rates that a host sends at once.
const MaxRatesPerMessage = 32

const (
	// newestIntervalWeight is the weight of the newest interval in a smoothed rate.
	newestIntervalWeight = 0.2
	// A smoothed rate below minRatePerSecond counts as no demand and is dropped. A
	// rate is sent again once it differs from the acknowledged rate by more than
	// minRelativeChange of that rate.
	minRatePerSecond  = 0.001
	minRelativeChange = 0.1
)

// Rate is the number of requests per second for one model.
type Rate struct {
	Model     ident.ModelName
	PerSecond float64
}

// Sum is the demand of one data centre for one model; its rate is zero once the
// demand has ended.
type Sum struct {
	Rate
	DataCentre ident.DataCentre
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// RequestCounts counts the requests of this host's callers in an interval.
type RequestCounts struct {
	Counts   map[ident.ModelName]int64
	Interval time.Duration
}

// RatesAccepted reports that the leader has accepted rates from this host.
type RatesAccepted struct {
	Leader ident.HostID
	Rates  []Rate
}

// HostRates has the rates of another host. The leader receives it.
type HostRates struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Rates      []Rate
}

// HostGone reports that a host is no longer alive. Its callers now use other hosts,
// which count them.
type HostGone struct {
	Host ident.HostID
}

func (RequestCounts) isEvent() {}
func (RatesAccepted) isEvent() {}
func (HostRates) isEvent()     {}
func (HostGone) isEvent()      {}

// Machine keeps this host's rates and those received from others. Host and
// DataCentre must be set.
type Machine struct {
	Host         ident.HostID
	DataCentre   ident.DataCentre
	ownRates     map[ident.ModelName]float64
	leader       ident.HostID
	acknowledged map[ident.ModelName]float64
	hosts        map[ident.HostID]*hostEntry
	reportedSums map[sumKey]bool
}

type hostEntry struct {
	dataCentre ident.DataCentre
	rates      map[ident.ModelName]float64
}

type sumKey struct {
	model      ident.ModelName
	dataCentre ident.DataCentre
}

// Step handles one event.
func (m *Machine) Step(event Event) {
	if m.ownRates == nil {
		m.ownRates = make(map[ident.ModelName]float64)
		m.acknowledged = make(map[ident.ModelName]float64)
		m.hosts = make(map[ident.HostID]*hostEntry)
		m.reportedSums = make(map[sumKey]bool)
	}
	switch e := event.(type) {
	case RequestCounts:
		m.updateOwnRates(e)
	case RatesAccepted:
		m.setLeader(e.Leader)
		for _, rate := range e.Rates {
			m.acknowledged[rate.Model] = rate.PerSecond
			if rate.PerSecond == 0 {
				delete(m.acknowledged, rate.Model)
			}
		}
	case HostRates:
		m.updateHostRates(e)
	case HostGone:
		delete(m.hosts, e.Host)
	}
}

func (m *Machine) updateOwnRates(e RequestCounts) {
	for model := range e.Counts {
		m.ownRates[model] += 0
	}
	for model, smoothed := range m.ownRates {
		perSecond := float64(e.Counts[model]) / e.Interval.Seconds()
		smoothed += newestIntervalWeight * (perSecond - smoothed)
		m.ownRates[model] = smoothed
		if smoothed < minRatePerSecond {
			delete(m.ownRates, model)
		}
	}
}

// setLeader discards the acknowledged rates if the leader changes: a new leader has
// received none.
func (m *Machine) setLeader(leader ident.HostID) {
	if m.leader != leader {
		m.leader = leader
		clear(m.acknowledged)
	}
}

func (m *Machine) updateHostRates(e HostRates) {
	entry, found := m.hosts[e.Host]
	if !found {
		entry = &hostEntry{
			rates: make(map[ident.ModelName]float64),
		}
		m.hosts[e.Host] = entry
	}
	entry.dataCentre = e.DataCentre
	for _, rate := range e.Rates {
		if rate.PerSecond > 0 && !math.IsInf(rate.PerSecond, 0) {
			entry.rates[rate.Model] = rate.PerSecond
		} else {
			delete(entry.rates, rate.Model)
		}
	}
}

// RatesToSend returns the rates to send to the leader next: those that differ most from
// the rates that it has acknowledged.
func (m *Machine) RatesToSend(leader ident.HostID) []Rate {
	m.setLeader(leader)
	var rates []Rate
	for model, rate := range m.ownRates {
		if known := m.acknowledged[model]; known == 0 || math.Abs(rate-known) > minRelativeChange*known {
			rates = append(rates, Rate{
				Model:     model,
				PerSecond: rate,
			})
		}
	}
	for model := range m.acknowledged {
		if _, current := m.ownRates[model]; !current {
			rates = append(rates, Rate{
				Model: model,
			})
		}
	}
	change := func(rate Rate) float64 {
		return math.Abs(rate.PerSecond - m.acknowledged[rate.Model])
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(change(b), change(a)), cmp.Compare(a.Model, b.Model))
	})
	return rates[:min(len(rates), MaxRatesPerMessage)]
}

// Sums returns the demand of all data centres, including this host's own callers.
// Demand that an earlier call returned and that has ended since is returned once
// more, with rate zero.
func (m *Machine) Sums() []Sum {
	sums := make(map[sumKey]float64)
	add := func(dataCentre ident.DataCentre, rates map[ident.ModelName]float64) {
		for model, rate := range rates {
			sums[sumKey{
				model:      model,
				dataCentre: dataCentre,
			}] += rate
		}
	}
	add(m.DataCentre, m.ownRates)
	for host, entry := range m.hosts {
		if host != m.Host {
			add(entry.dataCentre, entry.rates)
		}
	}
	for key := range m.reportedSums {
		sums[key] += 0
	}
	var result []Sum
	for key, rate := range sums {
		m.reportedSums[key] = true
		if rate == 0 {
			delete(m.reportedSums, key)
		}
		result = append(result, Sum{
			Rate: Rate{
				Model:     key.model,
				PerSecond: rate,
			},
			DataCentre: key.dataCentre,
		})
	}
	slices.SortFunc(result, func(a, b Sum) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return result
}
