package loading

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// keepMemoryFree retires a surplus replica if too few engines have room for another model,
// so that memory is free before a model needs it.
func (p *Planner) keepMemoryFree(now time.Time) {
	if !p.hasLearnedDemand(now) {
		return
	}
	needed := p.largestModelMemory()
	if p.countEnginesWithRoom(now, needed) >= freeEngineFraction*float64(len(p.sortedEngines)) || p.tooManyRetiring() {
		return
	}
	var cheapest cheapestReplica
	for _, e := range p.sortedEngines {
		if !p.canTakeOrder(now, e) || len(e.retiring) > 0 || p.hasRoom(now, e, needed) {
			continue
		}
		for _, v := range p.servedModels(e) {
			if p.hasSurplusReplica(now, v) && p.freeMemory(e)+v.spec.Memory >= needed {
				cost := p.workPerRemainingReplica(now, v) + workPerLoadSecond*busyPenaltySeconds(e)
				cheapest.consider(e, v, cost)
			}
		}
	}
	if cheapest.engine != nil {
		p.retire(now, cheapest.engine, cheapest.model, "", cheapest.cost)
	}
}

// countEnginesWithRoom counts the engines that have the needed memory free or are freeing
// memory.
func (p *Planner) countEnginesWithRoom(now time.Time, needed unit.Bytes) float64 {
	count := 0.0
	for _, e := range p.sortedEngines {
		if !e.Leaving && (p.hasRoom(now, e, needed) || e.isFreeingMemory()) {
			count++
		}
	}
	return count
}

// hasRoom reports whether an engine has the needed memory free, or a light model that can
// be unloaded almost at once.
func (p *Planner) hasRoom(now time.Time, e *engine, needed unit.Bytes) bool {
	return p.freeMemory(e) >= needed || p.holdsLightModel(now, e)
}

// isFreeingMemory reports whether a model on the engine is being unloaded or retired.
func (e *engine) isFreeingMemory() bool {
	return len(e.retiring) > 0 || e.pending != nil && e.pending.order.Kind == backend.UnloadModel
}

// hasSurplusReplica reports whether a model has more replicas than its target and no rising
// demand.
func (p *Planner) hasSurplusReplica(now time.Time, v *model) bool {
	return v.ready > max(p.targetReplicas(now, v), 1) && !p.isRising(now, v.spec.Name)
}

// workPerRemainingReplica returns the work per replica of a model if it loses one. Before
// the first request the number of replicas stands in for demand: the models with the most
// replicas are expected to be the busiest.
func (p *Planner) workPerRemainingReplica(now time.Time, v *model) float64 {
	if !p.receivedRequests {
		return minWorkGoal * float64(v.replicas) / float64(max(v.replicas-1, 1))
	}
	return p.expectedWork(now, v.spec.Name) / float64(max(v.replicas-1, 1))
}

// isIdle reports whether a model has had no requests for idleAfter. Its replicas can be
// unloaded at once, as no answers are in progress.
func (p *Planner) isIdle(now time.Time, name ident.ModelName) bool {
	return now.Sub(p.demandFor(now, name).lastRequestAt) >= idleAfter
}

// idleAfter is how long a model must be without requests to count as idle: longer than most
// of its answers take.
const idleAfter = 4 * time.Second

// holdsLightModel reports whether an engine has a rarely used model that other engines have
// too, so that it can be unloaded almost at once.
func (p *Planner) holdsLightModel(now time.Time, e *engine) bool {
	return slices.ContainsFunc(e.models, func(name ident.ModelName) bool {
		m, declared := p.models[name]
		return declared && m.ready > 1 && e.serves(name) && p.expectedWork(now, name) < lightWork
	})
}

// preloadIdleModels loads further replicas of idle models into free memory, to be ready for
// sudden demand. Only models with adapters get them, because they serve more callers than
// others. These replicas are retired first when another model needs the memory, but an
// engine takes no other order while it loads one (8.6 s from the weight store): so they are
// loaded only while demand is steady and no model lacks replicas.
func (p *Planner) preloadIdleModels(now time.Time) []backend.CountedOrder {
	if !p.isDemandSteady(now) || p.hasReplicaShortage(now) {
		return nil
	}
	var idle []*model
	for _, m := range p.models {
		if len(m.spec.Adapters) > 0 && m.replicas > 0 && m.replicas < preloadReplicas && p.expectedWork(now, m.spec.Name) < lightWork {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.replicas, b.replicas), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	var orders []backend.CountedOrder
	maxFree := p.maxFreeMemory(now)
	for _, m := range idle {
		if m.spec.Memory > maxFree {
			continue
		}
		if len(p.loadStarts) > int(preloadRateFraction*float64(p.maxLoadsInWindow())) {
			break
		}
		if order, found := p.placeModel(now, m); found {
			orders = append(orders, order)
		}
	}
	return orders
}

// maxFreeMemory returns the most free memory of an engine that can take an order.
func (p *Planner) maxFreeMemory(now time.Time) unit.Bytes {
	maxFree := unit.Bytes(0)
	for _, e := range p.sortedEngines {
		if p.canTakeOrder(now, e) && len(e.retiring) == 0 {
			maxFree = max(maxFree, p.freeMemory(e))
		}
	}
	return maxFree
}

// preloadRateFraction is the part of the load rate limit that preloading may use. Models
// with rising demand need the rest: otherwise a model with six engines' worth of work waits
// for the rate limit, used up by preloads of idle models, next to a free engine.
const preloadRateFraction = 0.5

// preloadReplicas is how many replicas an idle model with adapters should have.
const preloadReplicas = 3

// largestModelMemory returns the memory of the largest declared model.
func (p *Planner) largestModelMemory() unit.Bytes {
	largest := unit.Bytes(0)
	for _, m := range p.models {
		largest = max(largest, m.spec.Memory)
	}
	return largest
}

// retire marks a replica for unloading in favour of a model, or of none in particular if
// forModel is empty.
func (p *Planner) retire(now time.Time, e *engine, v *model, forModel ident.ModelName, score float64) {
	p.markChanged(e)
	e.retiring[v.spec.Name] = now
	e.retiringLast[v.spec.Name] = v.ready == 1
	v.removeReplica(e)
	v.ready--
	if v.replicas == 0 {
		p.missingModelCount++
	}
	p.distribution = nil
	p.retirements = append(p.retirements, Retirement{
		Server:   e.Name,
		Model:    v.spec.Name,
		ForModel: forModel,
		Work:     p.expectedWork(now, v.spec.Name),
		Score:    score,
		Replicas: v.replicas,
	})
}
