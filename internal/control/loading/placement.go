package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Thresholds for placing replicas. Work is in engine-seconds per second.
const (
	// minWorkGoal is the least work per replica for which a model gets more replicas: at a
	// seventh of an engine's time, prompts rarely overlap.
	minWorkGoal = 0.15
	// freeEngineFraction is the part of the engines that should have room for another
	// model, or hold one that can be unloaded almost at once.
	freeEngineFraction = 0.75
	// lightWork is the work of a rarely used model: one request every other second.
	lightWork = 0.04
	// riseLookaheadSeconds is how far rising demand is extrapolated: about the time that a
	// load takes.
	riseLookaheadSeconds = 1.5
)

// loadMissingModels loads the models that no engine has, the most needed first. After each
// of them it loads a replica of a model that has more work than its replicas can do.
// Otherwise engines that restart empty would all load models that are requested once in
// three seconds, for 8 s each, while hundreds of requests per second for busy models are
// late.
func (p *Planner) loadMissingModels(now time.Time) []backend.CountedOrder {
	var missing []*model
	for name, m := range p.models {
		if m.replicas > 0 {
			delete(p.missingSince, name)
			continue
		}
		if _, known := p.missingSince[name]; !known {
			p.missingSince[name] = now
		}
		missing = append(missing, m)
	}
	p.sortByNeed(now, missing)
	var orders []backend.CountedOrder
	unloading := p.countEnginesFreeingMemory()
	hasEmptyEngine := p.hasEmptyEngine()
	for _, m := range missing {
		if p.mayPostponeLoad(now, m.spec.Name) {
			continue
		}
		isUnrequested := p.oversubscribed && !p.isRequested(now, m.spec.Name)
		if isUnrequested && !hasEmptyEngine {
			continue
		}
		if order, found := p.placeModel(now, m); found {
			orders = append(orders, order)
			if order, found := p.loadOverloadedModel(now); found {
				orders = append(orders, order)
			}
			continue
		}
		// Memory that is being freed is enough: otherwise each step would retire one more
		// replica until the first is unloaded.
		if unloading > 0 {
			unloading--
			continue
		}
		if !isUnrequested {
			p.retireForMissing(now, m)
		}
	}
	return orders
}

// hasEmptyEngine reports whether some engine has no model and no pending order.
func (p *Planner) hasEmptyEngine() bool {
	return slices.ContainsFunc(p.sortedEngines, func(e *engine) bool { return e.reported && len(e.models) == 0 && e.pending == nil })
}

// loadOverloadedModel loads one more replica of the model with the most work per replica,
// if that is above overloadWork.
func (p *Planner) loadOverloadedModel(now time.Time) (backend.CountedOrder, bool) {
	var busiest *model
	highest := overloadWork
	for _, m := range p.models {
		if m.replicas == 0 {
			continue
		}
		work := p.workPerReplica(now, m)
		if work > highest || busiest != nil && work == highest && m.spec.Name < busiest.spec.Name {
			busiest, highest = m, work
		}
	}
	if busiest == nil {
		return backend.CountedOrder{}, false
	}
	return p.placeModel(now, busiest)
}

// workPerReplica returns the expected work per replica of a model, which must have a
// replica.
func (p *Planner) workPerReplica(now time.Time, m *model) float64 {
	return p.expectedWork(now, m.spec.Name) / float64(m.replicas)
}

// overloadWork is the work per replica above which answers are late: an engine that spends
// more than 0.7 of its time on prefill interrupts most of its streams.
const overloadWork = 0.7

// maxRemainingUnrequested is the highest work per remaining replica at which a model may
// lose a replica to a missing model that nobody requests. After a loss of engines all
// memory is in use; a busy model that is left with a single replica would make hundreds
// of requests late for no benefit.
//
// Once the missing model is requested, the limit is maxRemainingRequested, and it grows by
// remainingIncreasePerSecond for each second that the model is missing: models that would
// be left with far more work than they can do lose a replica only if no other model has
// lost one by then.
const (
	maxRemainingUnrequested    = 0.3
	maxRemainingRequested      = 0.6
	remainingIncreasePerSecond = 0.2
)

// demandLearningTime is how long a new planner collects demand before it treats a model
// without requests as idle. It starts without any demand: every busy model would look idle
// and lose replicas just when the leader has changed.
const demandLearningTime = 2500 * time.Millisecond

// hasLearnedDemand reports whether demandLearningTime has passed.
func (p *Planner) hasLearnedDemand(now time.Time) bool {
	return now.Sub(p.startedAt) >= demandLearningTime
}

// isRequested reports whether a model has had requests recently, or requests wait for it.
func (p *Planner) isRequested(now time.Time, name ident.ModelName) bool {
	return !p.isIdle(now, name)
}

// countEnginesFreeingMemory counts the engines on which a model is being unloaded or
// retired.
func (p *Planner) countEnginesFreeingMemory() int {
	count := 0
	for _, e := range p.sortedEngines {
		if e.isFreeingMemory() {
			count++
		}
	}
	return count
}

// sortByNeed sorts requested models first, then by descending work.
func (p *Planner) sortByNeed(now time.Time, models []*model) {
	priorities := make(map[*model]float64, len(models))
	for _, m := range models {
		priorities[m] = p.expectedWork(now, m.spec.Name)
		if p.isRequested(now, m.spec.Name) {
			priorities[m]++ // waiting requests are not counted as work yet
		}
	}
	slices.SortFunc(models, func(a, b *model) int {
		return cmp.Or(cmp.Compare(priorities[b], priorities[a]), cmp.Compare(a.spec.Name, b.spec.Name))
	})
}

// placeModel loads a model onto an engine with enough free memory. It prefers short load
// times, idle engines, and regions with more demand than replicas.
func (p *Planner) placeModel(now time.Time, m *model) (backend.CountedOrder, bool) {
	var best *engine
	var lowest float64
	for _, e := range p.sortedEngines {
		if !p.canTakeOrder(now, e) || e.hasModel(m.spec.Name) || p.freeMemory(e) < m.spec.Memory || len(e.retiring) > 0 {
			continue
		}
		duration, isAllowed := p.estimateLoad(now, e, m)
		if !isAllowed {
			continue
		}
		cost := duration.Seconds() - p.placementBonus(now, m, e) + busyPenaltySeconds(e)
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return backend.CountedOrder{}, false
	}
	return p.loadModel(now, best, m), true
}

func (p *Planner) loadModel(now time.Time, e *engine, m *model) backend.CountedOrder {
	_, isLocal := p.loadTime(e, m)
	order := p.createOrder(now, e, backend.LoadModel, request.Weights{
		Model: m.spec.Name,
	})
	order.Memory = m.spec.Memory
	if !isLocal {
		e.pending.isFromStore = true
		p.loadStarts = append(p.loadStarts, now)
	}
	m.addReplica(e)
	p.distribution = nil
	return order
}

// busyPenaltySeconds converts an engine's queue into seconds of load time.
func busyPenaltySeconds(e *engine) float64 {
	return float64(e.report.Running+e.report.Waiting) * 0.01
}

// placementBonus returns how much a replica on an engine is preferred, in seconds of load time.
func (p *Planner) placementBonus(now time.Time, m *model, e *engine) float64 {
	return p.regionalBonus(now, m, e) + p.paceBonus(now, m, e)
}

// paceBonus returns how much a replica on an engine is preferred for the engine's pace: a busy
// model on a fast one. It is 0 for an engine without a known pace.
func (p *Planner) paceBonus(now time.Time, m *model, e *engine) float64 {
	if !e.announcedPace.IsKnown() {
		return 0
	}
	work := min(p.expectedWork(now, m.spec.Name)/float64(m.replicas+1), 1)
	return maxPaceBonusSeconds * work * min(max(1-float64(e.announcedPace), -1), 1)
}

// maxPaceBonusSeconds is the load time that may be spent to place a model that keeps an engine busy
// on one that works in no time, or to keep it off one that takes twice as long as usual.
const maxPaceBonusSeconds = 3.0

// regionalBonus returns how much a replica in the engine's region is preferred, in seconds
// of load time: it is positive if the region has a larger part of the model's demand than
// of its replicas.
func (p *Planner) regionalBonus(now time.Time, m *model, e *engine) float64 {
	total, inRegion := 0.0, 0.0
	for region, work := range p.demandFor(now, m.spec.Name).workByRegion {
		total += work
		if region == e.Region {
			inRegion = work
		}
	}
	if total == 0 {
		return 0
	}
	return maxRegionalBonusSeconds * (inRegion/total - float64(m.replicasByRegion[e.Region])/float64(max(m.replicas, 1)))
}

// maxRegionalBonusSeconds is the load time that may be spent to place all of a model's
// replicas in the region of its demand.
const maxRegionalBonusSeconds = 3.0

// workGoal returns the work per replica at which models get another replica: so high that
// all models together have as many replicas as there are engines. The engine's time is the
// limit, not the replica's: two busy models on one engine share it. With one busy model on
// each engine, a model with rising demand can be placed on any engine at once; otherwise an
// engine must first finish the requests of a busy model, which takes four seconds and more.
func (p *Planner) workGoal(now time.Time) float64 {
	p.sumDemand(now)
	if p.cachedWorkGoal > 0 {
		return p.cachedWorkGoal
	}
	total := 0.0
	for name := range p.models {
		total += p.expectedWork(now, name)
	}
	p.cachedWorkGoal = max(total/float64(max(len(p.sortedEngines), 1)), minWorkGoal)
	return p.cachedWorkGoal
}

// targetReplicas returns how many replicas a model should have.
func (p *Planner) targetReplicas(now time.Time, m *model) int {
	replicas := math.Round(p.expectedWork(now, m.spec.Name) / p.workGoal(now))
	return min(max(int(replicas), 1), len(p.sortedEngines))
}

// cheapestReplica is the replica with the lowest retirement cost among those considered.
type cheapestReplica struct {
	engine *engine
	model  *model
	cost   float64
}

// consider takes a replica if its cost is lower. Ties are broken by name, because the map
// order of models is random.
func (c *cheapestReplica) consider(e *engine, v *model, cost float64) {
	if c.engine == nil || cost < c.cost || cost == c.cost && v.spec.Name < c.model.spec.Name {
		c.engine, c.model, c.cost = e, v, cost
	}
}

// tooManyRetiring reports whether a third of the engines are freeing memory, the limit.
func (p *Planner) tooManyRetiring() bool {
	return 3*p.countEnginesFreeingMemory() >= len(p.sortedEngines)
}

// unloadRetired unloads retired models once the hosts have had time to send requests
// elsewhere.
func (p *Planner) unloadRetired(now time.Time) []backend.CountedOrder {
	var orders []backend.CountedOrder
	for _, e := range p.sortedEngines {
		for name, since := range e.retiring {
			notice := retirementNotice
			if p.isIdle(now, name) {
				notice = 0
			}
			if !p.canTakeOrder(now, e) || now.Sub(since) < notice {
				continue
			}
			mayBeLast := e.retiringLast[name] && p.isIdle(now, name)
			if p.countReadyElsewhere(now, e, name) == 0 && !mayBeLast {
				delete(e.retiring, name) // it has become the last replica and has requests
				p.markChanged(e)
				continue
			}
			orders = append(orders, p.createOrder(now, e, backend.UnloadModel, request.Weights{
				Model: name,
			}))
		}
	}
	return orders
}

// countReadyElsewhere counts the other engines that serve a model according to a recent
// report.
func (p *Planner) countReadyElsewhere(now time.Time, except *engine, name ident.ModelName) int {
	count := 0
	for _, e := range p.enginesWith(name) {
		if e != except && !e.Leaving && e.serves(name) && now.Sub(e.report.ReportedAt) < p.maxReportAge() {
			count++
		}
	}
	return count
}
