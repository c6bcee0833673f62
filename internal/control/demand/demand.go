// Package demand adds up what callers ask for over all entry hosts, for the host
// that leads the placement.
//
// Each host smooths its own callers' rates and tells the leader those that have
// changed most, a few at a time. The leader keeps what each host has told and
// gives the sums for each data centre.
//
// # Usage
//
//	machine.Step(demand.Asked{Counts: counts, Interval: interval})
//	rates := machine.ToTell(leader)
//	// send them to the leader, then
//	machine.Step(demand.Taken{Leader: leader, Rates: rates})
//	// and there
//	machine.Step(demand.Told{Host: host, DataCentre: dataCentre, Rates: rates})
//	sums := machine.Sums()
package demand

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// MaxRates bounds what a host tells at once.
const MaxRates = 32

const (
	// weight is that of the newest interval in a smoothed rate.
	weight = 0.2
	// leastRate is what counts as no demand, leastChange the part by which a rate
	// has to change before it is told again.
	leastRate   = 0.001
	leastChange = 0.1
)

// Rate is the requests a second for one model.
type Rate struct {
	Model     ident.ModelName
	PerSecond float64
}

// Sum is the demand of one data centre for one model; zero where there is none
// any more.
type Sum struct {
	Rate
	DataCentre ident.DataCentre
}

// Event is something that the machine hears.
type Event interface{ isEvent() }

// Asked counts what this host's callers asked for in an interval.
type Asked struct {
	Counts   map[ident.ModelName]int64
	Interval time.Duration
}

// Taken tells that the leader has taken rates in.
type Taken struct {
	Leader ident.HostID
	Rates  []Rate
}

// Told gives another host's rates, to the leader.
type Told struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Rates      []Rate
}

// Gone tells that a host is no longer alive: its callers are others' now.
type Gone struct {
	Host ident.HostID
}

func (Asked) isEvent() {}
func (Taken) isEvent() {}
func (Told) isEvent()  {}
func (Gone) isEvent()  {}

// Machine keeps this host's rates and those it was told. Host and DataCentre
// must be set.
type Machine struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	own        map[ident.ModelName]float64
	leader     ident.HostID
	told       map[ident.ModelName]float64
	hosts      map[ident.HostID]*share
	summed     map[place]bool
}

type share struct {
	dataCentre ident.DataCentre
	rates      map[ident.ModelName]float64
}

type place struct {
	model      ident.ModelName
	dataCentre ident.DataCentre
}

// Step takes one event.
func (m *Machine) Step(event Event) {
	if m.own == nil {
		m.own = make(map[ident.ModelName]float64)
		m.told = make(map[ident.ModelName]float64)
		m.hosts = make(map[ident.HostID]*share)
		m.summed = make(map[place]bool)
	}
	switch e := event.(type) {
	case Asked:
		m.ask(e)
	case Taken:
		m.lookTo(e.Leader)
		for _, rate := range e.Rates {
			m.told[rate.Model] = rate.PerSecond
			if rate.PerSecond == 0 {
				delete(m.told, rate.Model)
			}
		}
	case Told:
		m.tell(e)
	case Gone:
		delete(m.hosts, e.Host)
	}
}

func (m *Machine) ask(e Asked) {
	for model := range e.Counts {
		m.own[model] += 0
	}
	for model, smoothed := range m.own {
		asked := float64(e.Counts[model]) / e.Interval.Seconds()
		smoothed += weight * (asked - smoothed)
		m.own[model] = smoothed
		if smoothed < leastRate {
			delete(m.own, model)
		}
	}
}

// lookTo forgets what was told to another leader: the new one knows nothing.
func (m *Machine) lookTo(leader ident.HostID) {
	if m.leader != leader {
		m.leader = leader
		clear(m.told)
	}
}

func (m *Machine) tell(e Told) {
	known, found := m.hosts[e.Host]
	if !found {
		known = &share{
			rates: make(map[ident.ModelName]float64),
		}
		m.hosts[e.Host] = known
	}
	known.dataCentre = e.DataCentre
	for _, rate := range e.Rates {
		if rate.PerSecond > 0 && !math.IsInf(rate.PerSecond, 0) {
			known.rates[rate.Model] = rate.PerSecond
		} else {
			delete(known.rates, rate.Model)
		}
	}
}

// ToTell gives the rates that a leader should be told next: those that differ
// most from what it knows.
func (m *Machine) ToTell(leader ident.HostID) []Rate {
	m.lookTo(leader)
	var rates []Rate
	for model, rate := range m.own {
		if told := m.told[model]; told == 0 || math.Abs(rate-told) > leastChange*told {
			rates = append(rates, Rate{
				Model:     model,
				PerSecond: rate,
			})
		}
	}
	for model := range m.told {
		if _, still := m.own[model]; !still {
			rates = append(rates, Rate{
				Model: model,
			})
		}
	}
	change := func(rate Rate) float64 {
		return math.Abs(rate.PerSecond - m.told[rate.Model])
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(change(b), change(a)), cmp.Compare(a.Model, b.Model))
	})
	return rates[:min(len(rates), MaxRates)]
}

// Sums gives the demand of all data centres, this host's own callers among it,
// with a zero for each that was in the sums before and is no more.
func (m *Machine) Sums() []Sum {
	sums := make(map[place]float64)
	add := func(dataCentre ident.DataCentre, rates map[ident.ModelName]float64) {
		for model, rate := range rates {
			sums[place{
				model:      model,
				dataCentre: dataCentre,
			}] += rate
		}
	}
	add(m.DataCentre, m.own)
	for host, known := range m.hosts {
		if host != m.Host {
			add(known.dataCentre, known.rates)
		}
	}
	for at := range m.summed {
		sums[at] += 0
	}
	var result []Sum
	for at, rate := range sums {
		m.summed[at] = true
		if rate == 0 {
			delete(m.summed, at)
		}
		result = append(result, Sum{
			Rate: Rate{
				Model:     at.model,
				PerSecond: rate,
			},
			DataCentre: at.dataCentre,
		})
	}
	slices.SortFunc(result, func(a, b Sum) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return result
}
