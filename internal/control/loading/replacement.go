package loading

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Thresholds for retiring replicas in favour of requested models that no engine has and
// that fit nowhere.
const (
	// usableMemoryFraction is the part of the engines' memory that all declared models
	// together may need: the rest is lost to fragmentation or needed for second replicas.
	usableMemoryFraction = 0.75
	// replacementDemandRatio is how many times as many requests a model must have as one
	// that loses its last replica to it, and minResidence how long that replica must have
	// been loaded. Otherwise two models of similar demand would keep displacing each other.
	replacementDemandRatio = 2.0
	minResidence           = 4 * time.Second
	// idleLossHalvingTime is how long a model must be without requests for the loss of its
	// last replica to count half as much as right after its last request.
	idleLossHalvingTime = 10 * time.Second
	// storeReloadLoss is added to the loss of a replica if the engine keeps no local copy
	// of its weights.
	storeReloadLoss = 0.05
)

// isOversubscribed reports whether the declared models need more memory than the engines
// have. If so, models without requests are loaded only onto empty engines: elsewhere they
// would displace requested models.
func (p *Planner) isOversubscribed() bool {
	needed, available := 0.0, 0.0
	for _, m := range p.models {
		needed += float64(m.spec.Memory)
	}
	for _, e := range p.sortedEngines {
		if !e.Leaving {
			available += float64(p.engineSpec.Memory)
		}
	}
	return needed > usableMemoryFraction*available
}

// replacement is the replicas that may be retired on an engine to load another model.
type replacement struct {
	engine  *engine
	victims []victim
	cost    float64
}

// retireForMissing retires replicas in favour of a model that no engine has and that fits
// nowhere, where the loss is lowest and the load is quickest.
func (p *Planner) retireForMissing(now time.Time, m *model) {
	if p.tooManyRetiring() {
		return
	}
	var best replacement
	for _, e := range p.sortedEngines {
		if candidate, isPossible := p.evaluateReplacement(now, e, m); isPossible && (best.engine == nil || candidate.cost < best.cost) {
			best = candidate
		}
	}
	for _, v := range best.victims {
		p.retire(now, best.engine, v.model, m.spec.Name, best.cost)
	}
}

func (p *Planner) evaluateReplacement(now time.Time, e *engine, m *model) (replacement, bool) {
	if !p.canTakeOrder(now, e) || e.hasModel(m.spec.Name) || len(e.retiring) > 0 {
		return replacement{}, false
	}
	duration, isAllowed := p.estimateLoad(now, e, m)
	if !isAllowed {
		return replacement{}, false
	}
	victims, found := chooseVictims(p.replacementVictims(now, e, m), m, m.spec.Memory-p.freeMemory(e))
	if !found {
		return replacement{}, false
	}
	loss, work := sumVictims(victims)
	duration += unloadOverhead * time.Duration(len(victims)-1)
	if work > 0 {
		duration += drainTime
	}
	return replacement{
		engine:  e,
		victims: victims,
		cost:    loss + workPerLoadSecond*(duration.Seconds()-p.placementBonus(now, m, e)+busyPenaltySeconds(e)),
	}, true
}

// replacementVictims returns the replicas on an engine that may be retired in favour of m,
// which no engine has, the least loss first.
func (p *Planner) replacementVictims(now time.Time, e *engine, m *model) []victim {
	var victims []victim
	for name, v := range p.servedModels(e) {
		if loss, isAllowed := p.mayReplace(now, e, v, m); isAllowed {
			victims = append(victims, victim{
				model: v,
				work:  p.currentDistribution(now).shares[name].workOn(e),
				loss:  loss,
			})
		}
	}
	sortByLoss(victims)
	return victims
}

// mayReplace reports whether a replica of v on an engine may be retired in favour of m,
// which no engine has, and what its loss costs.
func (p *Planner) mayReplace(now time.Time, e *engine, v, m *model) (float64, bool) {
	switch {
	case v.ready >= 2:
		return p.workPerRemainingReplica(now, v), p.mayLoseReplica(now, v, m.spec.Name)
	case !p.isRequested(now, m.spec.Name) || v.replicas > 1:
		return 0, false
	case p.mayRetireLast(now, e, v):
		return p.lastReplicaLossOn(now, e, v), true
	default:
		return lastReplicaLoss + p.workPerRemainingReplica(now, v), p.isRarer(now, e, v, m)
	}
}

// lastReplicaLossOn returns the loss of the last replica of an idle model. It decreases
// with the time since the last request, and is lower if the engine can load the model again
// without the weight store.
func (p *Planner) lastReplicaLossOn(now time.Time, e *engine, v *model) float64 {
	loss := lastReplicaLoss * idleLossHalvingTime.Seconds() / (idleLossHalvingTime + now.Sub(p.lastRequestTime(now, v.spec.Name))).Seconds()
	if _, isLocal := p.loadTime(e, v); !isLocal {
		loss += storeReloadLoss
	}
	return loss
}

// isRarer reports whether v, which has occasional requests, may lose its last replica to m,
// which has many more.
func (p *Planner) isRarer(now time.Time, e *engine, v, m *model) bool {
	return p.oversubscribed && p.hasLearnedDemand(now) && now.Sub(e.loadedSince[v.spec.Name]) >= minResidence &&
		p.demandFor(now, m.spec.Name).requestRate > replacementDemandRatio*p.demandFor(now, v.spec.Name).requestRate
}

// mayLoseReplica reports whether v, which has other replicas, may lose one to a model that
// no engine has.
func (p *Planner) mayLoseReplica(now time.Time, v *model, missing ident.ModelName) bool {
	if p.isRequested(now, missing) {
		waited := now.Sub(p.missingSince[missing]).Seconds()
		return p.workPerRemainingReplica(now, v) <= maxRemainingRequested+remainingIncreasePerSecond*waited
	}
	return p.hasLearnedDemand(now) && p.workPerRemainingReplica(now, v) <= maxRemainingUnrequested
}

// workPerLoadSecond converts seconds of load time into work per replica, to compare costs.
const workPerLoadSecond = 0.015
