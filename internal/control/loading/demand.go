package loading

import (
	"math"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Spans over which demand is averaged. Demand for a model goes from nothing to a
// third of the traffic in about six seconds, so the short span sees a rise within
// one; the long one keeps a lull of a second or two from taking a model's places.
const (
	shortSpan = 1200 * time.Millisecond
	longSpan  = 5 * time.Second
)

// Demand is what one host has been asked for since it last told.
type Demand struct {
	Requests int64
	Missed   int64
	Waiting  int64
	// Work is how long one engine takes to read all of the prompts, in seconds.
	Work float64
}

// Plus adds up the demand of two hosts.
func (d Demand) Plus(other Demand) Demand {
	return Demand{
		Requests: d.Requests + other.Requests,
		Missed:   d.Missed + other.Missed,
		Waiting:  d.Waiting + other.Waiting,
		Work:     d.Work + other.Work,
	}
}

// rate is the smoothed demand for one set of weights.
type rate struct {
	at time.Time
	// short and long are engines' time a second: 1 keeps one engine busy with reading
	// prompts. requests is a long average, a second.
	short    float64
	long     float64
	requests float64
	// missed is set while somebody asks for weights that no server holds.
	missed  bool
	lastAsk time.Time
	regions map[ident.Region]float64
}

// Ask takes in the demand that one host tells.
func (p *Planner) Ask(now time.Time, region ident.Region, weights request.Weights, demand Demand) {
	r, known := p.demand[weights]
	if !known {
		r = &rate{
			at:      now,
			regions: make(map[ident.Region]float64),
		}
		p.demand[weights] = r
	}
	p.byModel = nil
	p.heard = p.heard || demand.Requests > 0
	r.decay(now)
	r.short += demand.Work / shortSpan.Seconds()
	r.long += demand.Work / longSpan.Seconds()
	r.requests += float64(demand.Requests) / longSpan.Seconds()
	r.regions[region] += demand.Work / longSpan.Seconds()
	if demand.Requests > 0 || demand.Waiting > 0 {
		r.lastAsk = now
	}
	if demand.Missed > 0 || demand.Waiting > 0 {
		r.missed = true
	}
}

func (r *rate) decay(now time.Time) {
	passed := now.Sub(r.at).Seconds()
	if passed <= 0 {
		return
	}
	r.at = now
	r.short *= math.Exp(-passed / shortSpan.Seconds())
	long := math.Exp(-passed / longSpan.Seconds())
	r.long *= long
	r.requests *= long
	for region := range r.regions {
		r.regions[region] *= long
	}
}

// modelDemand is the demand for a model with all its adapters.
type modelDemand struct {
	// short and long are engines' time a second over the two spans.
	short float64
	long  float64
	// requests is an average, a second.
	requests float64
	lastAsk  time.Time
	regions  map[ident.Region]float64
}

// sumDemand adds the demand up by model, once for an instant: a step looks at it for
// each pair of model and server.
func (p *Planner) sumDemand(now time.Time) {
	if p.summedAt.Equal(now) && p.byModel != nil {
		return
	}
	p.summedAt = now
	p.goalWork = 0
	p.byModel = make(map[ident.ModelName]*modelDemand, len(p.models))
	for weights, r := range p.demand {
		r.decay(now)
		sum, known := p.byModel[weights.Model]
		if !known {
			sum = &modelDemand{
				regions: make(map[ident.Region]float64),
			}
			p.byModel[weights.Model] = sum
		}
		sum.short += r.short
		sum.long += r.long
		sum.requests += r.requests
		if r.lastAsk.After(sum.lastAsk) {
			sum.lastAsk = r.lastAsk
		}
		for region, work := range r.regions {
			sum.regions[region] += work
		}
	}
}

// noDemand is that for a model which nobody has asked for.
var noDemand modelDemand

// demandFor gives the demand for a model.
func (p *Planner) demandFor(now time.Time, name ident.ModelName) *modelDemand {
	p.sumDemand(now)
	if sum, known := p.byModel[name]; known {
		return sum
	}
	return &noDemand
}

// lastAsked is when a model was last asked for, or when the planner began if nobody has
// since.
func (p *Planner) lastAsked(now time.Time, name ident.ModelName) time.Time {
	at := p.demandFor(now, name).lastAsk
	if at.Before(p.begunAt) {
		return p.begunAt
	}
	return at
}

// expectedWork is the demand for a model with all its adapters, in engines' time a
// second: what it is now, or what it will be in a moment if it rises.
func (p *Planner) expectedWork(now time.Time, name ident.ModelName) float64 {
	d := p.demandFor(now, name)
	if d.short <= d.long {
		return max(d.short, d.long*longPart)
	}
	// The averages of a steady rise lie as far apart as it grows in the difference of
	// their spans.
	rise := (d.short - d.long) / (longSpan - shortSpan).Seconds()
	return d.short + rise*riseAhead
}

// rises tells that a model is asked for more than it was.
func (p *Planner) rises(now time.Time, name ident.ModelName) bool {
	d := p.demandFor(now, name)
	return d.short > d.long
}

// steady tells that demand stays where it is.
func (p *Planner) steady(now time.Time) bool {
	p.sumDemand(now)
	rise, total := 0.0, 0.0
	for _, d := range p.byModel {
		rise += max(d.short-d.long, 0)
		total += d.long
	}
	return rise <= steadyRise*total+lightWork
}

// steadyRise is the part of the work that may rise where demand is steady: chance makes
// a tenth of it rise, a model that takes another's demand a third within two seconds.
const steadyRise = 0.2

// longPart is what the long average counts beside the short one: a model whose
// demand has just ended keeps half of its places for the length of a lull.
const longPart = 0.6
