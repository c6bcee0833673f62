package balance

import (
	"time"

	"cicadaloom/internal/control/locality"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// SpillMode is where requests leave their data centre by a plan (package locality).
type SpillMode string

// The modes. The zero value is SpillOff.
const (
	// SpillOff compares servers by constant costs of the network alone.
	SpillOff SpillMode = ""
	// SpillUneven plans for services whose servers tell how long work takes on their machines
	// at the moment: there the room of data centres changes while their servers stay the same.
	SpillUneven SpillMode = "Uneven"
	// SpillOn plans for all services.
	SpillOn SpillMode = "On"
)

const (
	// planInterval is the time between two updates of a plan.
	planInterval = 100 * time.Millisecond
	// maxLoadAge is how long the load that an answer told counts as known.
	maxLoadAge = 3 * time.Second
)

// spill plans which requests leave the data centre. The pool's mutex guards it.
type spill struct {
	mode    SpillMode
	planner locality.Planner
	planAt  time.Time
}

// SetSpill sets where requests leave their data centre by a plan.
func (p *Pool) SetSpill(mode SpillMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spill.mode = mode
}

// isSpillPlanned reports whether the mode includes the service.
func (p *Pool) isSpillPlanned() bool {
	return p.spill.mode == SpillOn || p.spill.mode == SpillUneven && p.isPaced
}

// Spill is the state of a pool's plan.
type Spill struct {
	// Shares are the shares of the data centres, the own one first; nil without a plan.
	Shares []locality.Share
	// Leaving is the share of requests that leaves.
	Leaving float64
	// Changes counts how often leaving started or ended.
	Changes int
}

// Spill returns the state of the plan.
func (p *Pool) Spill(now time.Time) Spill {
	p.mu.Lock()
	defer p.mu.Unlock()
	planner := &p.spill.planner
	if !planner.IsCurrent(now) {
		return Spill{
			Changes: planner.Changes(),
		}
	}
	return Spill{
		Shares:  planner.Shares(),
		Leaving: planner.Leaving(),
		Changes: planner.Changes(),
	}
}

// destination is the data centre that a request should go to. The zero value stands for none.
type destination struct {
	pool       *Pool
	dataCentre ident.DataCentre
}

// drawDestination draws the data centre that a request without a model should go to.
func (p *Pool) drawDestination(now time.Time, random uint64) destination {
	if !p.isSpillPlanned() || len(p.index.plain) == 0 {
		return destination{}
	}
	if !now.Before(p.spill.planAt) {
		p.spill.planAt = now.Add(planInterval)
		if reading, isKnown := p.readDataCentres(now); isKnown {
			p.spill.planner.Update(now, reading)
		}
	}
	drawn, isPlanned := p.spill.planner.Draw(now, random)
	if !isPlanned {
		return destination{}
	}
	return destination{
		pool:       p,
		dataCentre: drawn,
	}
}

// extraCost changes a server's cost where a request has a destination: the path there counts
// nothing any more, and to go elsewhere must save more than a whole service time, or the choices
// for single requests would undo the shares. Servers elsewhere are never excluded.
func (d destination) extraCost(s *server) time.Duration {
	switch {
	case d.pool == nil:
		return 0
	case s.info.DataCentre == d.dataCentre:
		return -d.pool.networkCost(s)
	default:
		return d.pool.responseTime
	}
}

// readDataCentres sums up the servers without models by data centre. It reports false if the
// plan would rest on nothing: no server of the own data centre has told its load lately,
// although there are some.
func (p *Pool) readDataCentres(now time.Time) (locality.Reading, bool) {
	reading := locality.Reading{
		Own:         p.location.DataCentre,
		ReadAt:      now,
		ServiceTime: p.responseTime,
	}
	at := make(map[ident.DataCentre]int)
	var heard []heardServers
	var ownLoadAt time.Time
	hasOwn := false
	for _, s := range p.index.plain {
		i, known := at[s.info.DataCentre]
		if !known {
			i = len(reading.DataCentres)
			at[s.info.DataCentre] = i
			reading.DataCentres = append(reading.DataCentres, locality.DataCentre{
				Name:          s.info.DataCentre,
				PathCost:      p.networkCost(s),
				IsLoadUnknown: true,
			})
			heard = append(heard, heardServers{})
		}
		centre := &reading.DataCentres[i]
		accepts := !s.isLeaving() && !s.isDown(now)
		slots := float64(max(s.info.Slots, 1))
		if accepts {
			centre.Slots += slots
			if s.info.DataCentre == reading.Own {
				hasOwn = true
				ownLoadAt = latest(ownLoadAt, s.loadAt)
			}
		}
		if now.Sub(s.loadAt) <= maxLoadAge {
			centre.Load += float64(s.inFlight())
			centre.IsLoadUnknown = false
			if accepts {
				heard[i].slots += slots
			}
		} else {
			heard[i].ownElsewhere += float64(s.ownInFlight)
		}
	}
	for i := range heard {
		heard[i].extrapolate(&reading.DataCentres[i])
	}
	if hasOwn {
		reading.ReadAt = ownLoadAt
	}
	return reading, now.Sub(reading.ReadAt) <= maxLoadAge
}

// heardServers is which servers of a data centre have told their load lately: the slots of those that
// accept requests, and the host's own requests at all others.
type heardServers struct {
	slots        float64
	ownElsewhere float64
}

// extrapolate adds the load of the servers that have not told theirs: as busy as those that have. A
// host with few requests hears of a part of many servers only.
func (h *heardServers) extrapolate(centre *locality.DataCentre) {
	if h.slots == 0 {
		centre.Load += h.ownElsewhere
		return
	}
	centre.Load = max(centre.Load*centre.Slots/h.slots, centre.Load+h.ownElsewhere)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isDown reports whether the server has failed more than one send in a row and is ejected. A
// single failure may be the connection's, and the choice for each request goes round it.
func (s *server) isDown(now time.Time) bool {
	return s.failures > 1 && now.Before(s.ejectedUntil)
}

// occupied is how many requests are in flight at an engine, for a scheduler's caller to see
// which regions have room; 0, as if there were room, where no plan is wanted or the load is not
// known.
func (p *Pool) occupied(s *server) int {
	if !p.isSpillPlanned() || !s.isLoadKnown || s.info.Kind != backend.KindEngine {
		return 0
	}
	return s.inFlight()
}
