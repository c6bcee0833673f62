package loading

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Thresholds for moving replicas to where the demand is. Utilization is in engine-seconds
// per second, gains and losses are in its squares. The values suit demand that shifts to
// another model within six seconds while engines crash and leave.
const (
	// minGain is the least value of a move: that of an engine which is a fifth of its time
	// less busy than the others. With a lower threshold, chance alone moves replicas back
	// and forth.
	minGain = 0.04
	// minUtilizationGap is how much less busy an engine must be than those that have the
	// model, to be considered.
	minUtilizationGap = 0.15
	// gainToLossRatio is the factor by which a replica's gain for one model must exceed the
	// loss for the model that frees the memory. With a lower ratio, two models of
	// similar demand would keep displacing each other.
	gainToLossRatio = 1.5
	// placementHorizon is how long a placement is of use before demand shifts again: a load
	// that takes as long has half its value.
	placementHorizon = 4 * time.Second
	// unloadOverhead is the time that each retired replica adds to a load: the order, its
	// completion and the report of it. drainTime is added if the retired model is in use:
	// an unload waits for the answers in progress, which take some 2 s.
	unloadOverhead = 600 * time.Millisecond
	drainTime      = 2 * time.Second
	// regionalGainPerSecond is the relative increase of a move's value for each second of
	// placementBonus.
	regionalGainPerSecond = 0.1
	// lastReplicaLoss is the loss counted for the last replica of an idle model: another
	// model must lack half an engine's time to displace it. maxMissingFraction bounds the
	// part of the models that may be without a replica for this reason.
	lastReplicaLoss    = 0.2
	maxMissingFraction = 0.2
	// maxMovesPerStep bounds the moves of one step. The next step follows soon, and a long
	// step would delay reports and the renewal of the lease.
	maxMovesPerStep = 8
)

// rebalance adds replicas for the models whose engines are busiest, on the engines that
// take over the most work: in free memory, or in memory of replicas that it retires.
func (p *Planner) rebalance(now time.Time) []backend.CountedOrder {
	var orders []backend.CountedOrder
	for range maxMovesPerStep {
		best, found := p.bestMove(now)
		if !found {
			break
		}
		if len(best.victims) == 0 {
			orders = append(orders, p.loadModel(now, best.engine, best.model))
			continue
		}
		for _, v := range best.victims {
			p.retire(now, best.engine, v.model, best.model.spec.Name, best.value)
		}
	}
	p.keepMemoryFree(now)
	return orders
}

// move is a replica that a model may get on an engine, the replicas that are retired for
// it, and the value of the whole.
type move struct {
	model   *model
	engine  *engine
	victims []victim
	value   float64
}

// moveTarget is an engine that a model may get a replica on.
type moveTarget struct {
	engine      *engine
	utilization float64
	freeMemory  unit.Bytes
	// victims are the replicas on the engine that may be retired; none while too many are
	// retiring already.
	victims []victim
}

// bestMove returns the move of the highest value, if any exceeds minGain.
func (p *Planner) bestMove(now time.Time) (move, bool) {
	distribution := p.currentDistribution(now)
	requested := p.requestedModels(distribution)
	highestLevel := maxLevel(distribution, requested)
	mayRetire := !p.tooManyRetiring()
	best := move{
		value: minGain,
	}
	for _, e := range p.sortedEngines {
		if highestLevel-distribution.utilization[e.index] < minUtilizationGap || !p.canTakeOrder(now, e) || len(e.retiring) > 0 || !p.canTakeAnyModel(distribution, requested, e) {
			continue
		}
		target := moveTarget{
			engine:      e,
			utilization: distribution.utilization[e.index],
			freeMemory:  p.freeMemory(e),
		}
		if mayRetire {
			target.victims = p.findVictims(now, e, distribution)
		}
		for _, m := range requested {
			if candidate, isPossible := p.evaluateMove(now, &target, m, distribution.shares[m.spec.Name]); isPossible && candidate.value > best.value {
				best = candidate
			}
		}
	}
	return best, best.model != nil
}

// requestedModels returns the models that have requests and a replica, sorted by name.
// Models without a replica are left to loadMissingModels.
func (p *Planner) requestedModels(distribution *workDistribution) []*model {
	var requested []*model
	for name, m := range p.models {
		if m.replicas > 0 && distribution.shares[name].work >= lightWork {
			requested = append(requested, m)
		}
	}
	slices.SortFunc(requested, func(a, b *model) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	return requested
}

// maxLevel returns the highest level of the requested models.
func maxLevel(distribution *workDistribution, requested []*model) float64 {
	highest := 0.0
	for _, m := range requested {
		highest = max(highest, distribution.shares[m.spec.Name].level)
	}
	return highest
}

// canTakeAnyModel reports whether the engine lacks a requested model and is less busy than
// the engines that have it.
func (p *Planner) canTakeAnyModel(distribution *workDistribution, requested []*model, e *engine) bool {
	return slices.ContainsFunc(requested, func(m *model) bool {
		return e.canTake(m, distribution.shares[m.spec.Name], distribution.utilization[e.index])
	})
}

// canTake reports whether the engine, at the given utilization, lacks the model and is less
// busy than the engines that have it.
func (e *engine) canTake(m *model, share *modelShare, utilization float64) bool {
	return share.level-utilization >= minUtilizationGap && !e.hasModel(m.spec.Name) && !e.isLoading(m.spec.Name)
}

// evaluateMove returns the move that gives a model a replica on an engine, if it is
// possible.
func (p *Planner) evaluateMove(now time.Time, target *moveTarget, m *model, share *modelShare) (move, bool) {
	if !target.engine.canTake(m, share, target.utilization) {
		return move{}, false
	}
	duration, isAllowed := p.estimateLoad(now, target.engine, m)
	if !isAllowed {
		return move{}, false
	}
	candidate := move{
		model:  m,
		engine: target.engine,
	}
	gain := share.gain(target.utilization)
	if target.freeMemory < m.spec.Memory {
		victims, found := chooseVictims(target.victims, m, m.spec.Memory-target.freeMemory)
		if !found {
			return move{}, false
		}
		candidate.victims = victims
		loss, work := sumVictims(victims)
		utilizationLeft := target.utilization - work
		gain = share.gain(utilizationLeft) + target.utilization*target.utilization - utilizationLeft*utilizationLeft - gainToLossRatio*loss
		duration += unloadOverhead * time.Duration(len(victims))
		if work > 0 {
			duration += drainTime
		}
	}
	candidate.value = gain / (1 + duration.Seconds()/placementHorizon.Seconds()) * (1 + regionalGainPerSecond*p.placementBonus(now, m, target.engine))
	return candidate, true
}

// victim is a replica that may be retired, the work that it does, and what its loss costs.
type victim struct {
	model *model
	work  float64
	loss  float64
}

// findVictims returns the replicas on an engine that may be retired, the least loss first:
// those of models with other replicas, and the last ones of idle models.
func (p *Planner) findVictims(now time.Time, e *engine, distribution *workDistribution) []victim {
	var victims []victim
	for name, v := range p.servedModels(e) {
		share := distribution.shares[name]
		work := share.workOn(e)
		loss := share.loss(work)
		if v.ready < 2 {
			if !p.mayRetireLast(now, e, v) {
				continue
			}
			loss = lastReplicaLoss
		}
		if share.work >= lightWork && !p.hasLearnedDemand(now) {
			continue
		}
		victims = append(victims, victim{
			model: v,
			work:  work,
			loss:  loss,
		})
	}
	sortByLoss(victims)
	return victims
}

// sortByLoss sorts by ascending loss, and large models before small ones.
func sortByLoss(victims []victim) {
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(b.model.spec.Memory, a.model.spec.Memory), cmp.Compare(a.model.spec.Name, b.model.spec.Name))
	})
}

// chooseVictims chooses the victims with the least loss that together free the needed
// memory for a model, and leaves out those that turn out not to be needed. The candidates
// are sorted by loss.
func chooseVictims(candidates []victim, m *model, needed unit.Bytes) ([]victim, bool) {
	var chosen []victim
	for _, v := range candidates {
		if needed <= 0 {
			break
		}
		if v.model != m {
			chosen = append(chosen, v)
			needed -= v.model.spec.Memory
		}
	}
	if needed > 0 {
		return nil, false
	}
	return slices.DeleteFunc(chosen, func(v victim) bool {
		isNeedless := needed+v.model.spec.Memory <= 0
		if isNeedless {
			needed += v.model.spec.Memory
		}
		return isNeedless
	}), true
}

// sumVictims returns the sums of the victims' losses and work.
func sumVictims(victims []victim) (float64, float64) {
	loss, work := 0.0, 0.0
	for _, v := range victims {
		loss += v.loss
		work += v.work
	}
	return loss, work
}

// mayRetireLast reports whether the last replica of a model may be retired: the model is
// idle, and the engine keeps a copy of its weights, so that it can be loaded again within a
// second. Otherwise, after a loss of engines, the remaining ones stay full of idle models
// while other models have several times the work that they can do.
func (p *Planner) mayRetireLast(now time.Time, e *engine, v *model) bool {
	if now.Sub(p.startedAt) < max(idleAfter, demandLearningTime) || !p.isIdle(now, v.spec.Name) || v.replicas > 1 {
		return false
	}
	if p.oversubscribed {
		return true // most models have no replica anyway
	}
	_, isLocal := p.loadTime(e, v)
	return isLocal && p.missingModelCount < int(maxMissingFraction*float64(len(p.models)))
}

// mayPostponeLoad reports whether a model without a replica need not be loaded now, because
// it is idle and other models lack replicas.
func (p *Planner) mayPostponeLoad(now time.Time, name ident.ModelName) bool {
	return p.hasLearnedDemand(now) && p.isIdle(now, name) && p.hasReplicaShortage(now)
}

// hasReplicaShortage reports whether some model lacks replicas: all engines that have it are
// above queueingUtilization.
func (p *Planner) hasReplicaShortage(now time.Time) bool {
	for _, share := range p.currentDistribution(now).shares {
		if share.work >= lightWork && share.level > queueingUtilization {
			return true
		}
	}
	return false
}

// queueingUtilization is the utilization above which prompts queue noticeably at an engine;
// it is below overloadWork.
const queueingUtilization = 0.6
