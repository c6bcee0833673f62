package loading

import (
	"math"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Time constants of the exponential averages of demand. Demand for a model can rise from
// nothing to a third of the traffic in about six seconds: the short average follows a rise
// within one second. The long average lets a model keep its replicas through a lull of a
// second or two.
const (
	shortTimeConstant = 1200 * time.Millisecond
	longTimeConstant  = 5 * time.Second
)

// Demand is the demand for one set of weights that one host has counted since its last
// report to the leader.
type Demand struct {
	Requests int64
	// Missed are the requests whose weights no engine had, Waiting those that still wait.
	Missed  int64
	Waiting int64
	// Work is the prefill time of all prompts on one engine, in seconds.
	Work float64
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	return Demand{
		Requests: d.Requests + other.Requests,
		Missed:   d.Missed + other.Missed,
		Waiting:  d.Waiting + other.Waiting,
		Work:     d.Work + other.Work,
	}
}

// smoothedDemand holds the moving averages of the demand for one set of weights.
type smoothedDemand struct {
	updatedAt time.Time
	// shortWork and longWork are averages of prefill work in engine-seconds per second: 1
	// keeps one engine busy. requestRate is an average over the long time constant, in
	// requests per second.
	shortWork   float64
	longWork    float64
	requestRate float64
	// isMissing is set while requests arrive for weights that no engine has.
	isMissing     bool
	lastRequestAt time.Time
	workByRegion  map[ident.Region]float64
}

// AddDemand adds the demand that one host has reported.
func (p *Planner) AddDemand(now time.Time, region ident.Region, weights request.Weights, demand Demand) {
	smoothed, known := p.demand[weights]
	if !known {
		smoothed = &smoothedDemand{
			updatedAt:    now,
			workByRegion: make(map[ident.Region]float64),
		}
		p.demand[weights] = smoothed
	}
	p.demandByModel = nil
	p.receivedRequests = p.receivedRequests || demand.Requests > 0
	smoothed.decay(now)
	smoothed.shortWork += demand.Work / shortTimeConstant.Seconds()
	smoothed.longWork += demand.Work / longTimeConstant.Seconds()
	smoothed.requestRate += float64(demand.Requests) / longTimeConstant.Seconds()
	smoothed.workByRegion[region] += demand.Work / longTimeConstant.Seconds()
	if demand.Requests > 0 || demand.Waiting > 0 {
		smoothed.lastRequestAt = now
	}
	if demand.Missed > 0 || demand.Waiting > 0 {
		smoothed.isMissing = true
	}
}

func (d *smoothedDemand) decay(now time.Time) {
	elapsedSeconds := now.Sub(d.updatedAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	d.updatedAt = now
	d.shortWork *= math.Exp(-elapsedSeconds / shortTimeConstant.Seconds())
	longFactor := math.Exp(-elapsedSeconds / longTimeConstant.Seconds())
	d.longWork *= longFactor
	d.requestRate *= longFactor
	for region := range d.workByRegion {
		d.workByRegion[region] *= longFactor
	}
}

// modelDemand is the demand for a model including all its adapters.
type modelDemand struct {
	// shortWork and longWork are in engine-seconds per second, over the two time constants.
	shortWork float64
	longWork  float64
	// requestRate is in requests per second.
	requestRate   float64
	lastRequestAt time.Time
	workByRegion  map[ident.Region]float64
}

// sumDemand sums the demand by model. The result is cached for the instant, because a step
// reads it for each pair of model and engine.
func (p *Planner) sumDemand(now time.Time) {
	if p.demandSummedAt.Equal(now) && p.demandByModel != nil {
		return
	}
	p.demandSummedAt = now
	p.cachedWorkGoal = 0
	p.demandByModel = make(map[ident.ModelName]*modelDemand, len(p.models))
	for weights, smoothed := range p.demand {
		smoothed.decay(now)
		sum, known := p.demandByModel[weights.Model]
		if !known {
			sum = &modelDemand{
				workByRegion: make(map[ident.Region]float64),
			}
			p.demandByModel[weights.Model] = sum
		}
		sum.shortWork += smoothed.shortWork
		sum.longWork += smoothed.longWork
		sum.requestRate += smoothed.requestRate
		if smoothed.lastRequestAt.After(sum.lastRequestAt) {
			sum.lastRequestAt = smoothed.lastRequestAt
		}
		for region, work := range smoothed.workByRegion {
			sum.workByRegion[region] += work
		}
	}
}

// noDemand is the demand for a model without requests.
var noDemand modelDemand

// demandFor returns the demand for a model.
func (p *Planner) demandFor(now time.Time, name ident.ModelName) *modelDemand {
	p.sumDemand(now)
	if sum, known := p.demandByModel[name]; known {
		return sum
	}
	return &noDemand
}

// lastRequestTime returns when a model was last requested, or when the planner started if
// there has been no request since.
func (p *Planner) lastRequestTime(now time.Time, name ident.ModelName) time.Time {
	at := p.demandFor(now, name).lastRequestAt
	if at.Before(p.startedAt) {
		return p.startedAt
	}
	return at
}

// expectedWork returns the work for a model including all its adapters, in engine-seconds
// per second. For rising demand it extrapolates by riseLookaheadSeconds.
func (p *Planner) expectedWork(now time.Time, name ident.ModelName) float64 {
	d := p.demandFor(now, name)
	if d.shortWork <= d.longWork {
		return max(d.shortWork, d.longWork*longWorkFraction)
	}
	// In a steady rise the two averages differ by the slope times the difference of their
	// time constants.
	rise := (d.shortWork - d.longWork) / (longTimeConstant - shortTimeConstant).Seconds()
	return d.shortWork + rise*riseLookaheadSeconds
}

// isRising reports whether the demand for a model is growing.
func (p *Planner) isRising(now time.Time, name ident.ModelName) bool {
	d := p.demandFor(now, name)
	return d.shortWork > d.longWork
}

// isDemandSteady reports whether little of the total work is rising.
func (p *Planner) isDemandSteady(now time.Time) bool {
	p.sumDemand(now)
	rise, total := 0.0, 0.0
	for _, d := range p.demandByModel {
		rise += max(d.shortWork-d.longWork, 0)
		total += d.longWork
	}
	return rise <= steadyRiseFraction*total+lightWork
}

// steadyRiseFraction is the part of the work that may be rising while demand counts as
// steady. Chance alone makes a tenth of it rise; a model that takes over another's demand
// makes a third of it rise within two seconds.
const steadyRiseFraction = 0.2

// longWorkFraction is the weight of the long average relative to the short one: a model
// whose demand has just ended keeps half of its replicas for the length of a lull.
const longWorkFraction = 0.6
