package loading

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Thresholds of replicas that follow demand. Loads are in engines' time a second, gains
// and losses in their squares. They answer demand that moves to another model within six
// seconds, while servers crash and leave.
const (
	// leastGain is what a move must gain: an engine that is a fifth of its time less
	// busy than the others. Below it, chance alone moves replicas to and fro.
	leastGain = 0.04
	// leastDifference is by how much an engine must be less busy than those that have the
	// model, to be looked at.
	leastDifference = 0.15
	// gainOverLoss is how much more a model must gain by a place than the one that loses
	// it loses. Below it, two models of like demand would take turns at the same place.
	gainOverLoss = 1.5
	// horizon is how long a placement lasts, until demand moves again: a load that takes
	// as long is worth half.
	horizon = 4 * time.Second
	// makeWayTime is what each replica that makes way adds to a load: an order, its end
	// and the report of it. drainTime is what it adds where its model is asked for: an
	// unload waits for the answers that run there, which take some 2 s.
	makeWayTime = 600 * time.Millisecond
	drainTime   = 2 * time.Second
	// regionalShare is how much more a move is worth for each second that its region is
	// worth (see regionalNeed).
	regionalShare = 0.1
	// lastLoss is what the last replica of a model that nobody asks for counts: another
	// model must be short by half an engine's time. mostDropped is the part of the models
	// that may be held nowhere so.
	lastLoss    = 0.2
	mostDropped = 0.2
	// mostMoves bounds the moves of one step: the next one is due in a moment, and a step
	// must not hold up the reports and the lease.
	mostMoves = 8
)

// followDemand gives replicas to the models whose engines have most to do, where they
// take most of it over: in free room, or where others make way.
func (p *Planner) followDemand(now time.Time) []backend.CountedOrder {
	var orders []backend.CountedOrder
	for range mostMoves {
		best, found := p.bestMove(now)
		if !found {
			break
		}
		if len(best.victims) == 0 {
			orders = append(orders, p.load(now, best.engine, best.model))
			continue
		}
		for _, v := range best.victims {
			p.retire(now, best.engine, v.model, best.model.spec.Name, best.value)
		}
	}
	p.keepFree(now)
	return orders
}

// move is a replica that a model may get on an engine, the replicas that make way for
// it, and what all of it is worth.
type move struct {
	model   *model
	engine  *engine
	victims []victim
	value   float64
}

// spot is an engine that a model may get a replica on.
type spot struct {
	engine *engine
	load   float64
	free   unit.Bytes
	// victims are the replicas there that may make way; none where too many do already.
	victims []victim
}

// bestMove finds the move that is worth most, if one is worth it.
func (p *Planner) bestMove(now time.Time) (move, bool) {
	lies := p.spreadNow(now)
	wanted := p.wanted(lies)
	highest := highestLevel(lies, wanted)
	mayRetire := !p.tooManyRetire()
	best := move{
		value: leastGain,
	}
	for _, e := range p.list {
		if highest-lies.load[e] < leastDifference || !e.open(now) || len(e.retiring) > 0 || !p.mayHelp(lies, wanted, e) {
			continue
		}
		here := spot{
			engine: e,
			load:   lies.load[e],
			free:   p.free(e),
		}
		if mayRetire {
			here.victims = p.victims(now, e, lies)
		}
		for _, m := range wanted {
			if one, possible := p.moveTo(now, &here, m, lies.shares[m.spec.Name]); possible && one.value > best.value {
				best = one
			}
		}
	}
	return best, best.model != nil
}

// wanted gives the models that are asked for and have a replica, in the order of names.
// One that is held nowhere is loaded by loadMissing.
func (p *Planner) wanted(lies *spread) []*model {
	var wanted []*model
	for name, m := range p.models {
		if m.replicas > 0 && lies.shares[name].work >= lightWork {
			wanted = append(wanted, m)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	return wanted
}

// highestLevel gives the load of the engines of the model that has most to do.
func highestLevel(lies *spread, wanted []*model) float64 {
	highest := 0.0
	for _, m := range wanted {
		highest = max(highest, lies.shares[m.spec.Name].level)
	}
	return highest
}

// mayHelp tells that an engine is less busy than those of some model that it lacks.
func (p *Planner) mayHelp(lies *spread, wanted []*model, e *engine) bool {
	return slices.ContainsFunc(wanted, func(m *model) bool {
		return e.mayTake(m, lies.shares[m.spec.Name], lies.load[e])
	})
}

// mayTake tells that an engine with a load lacks a model and is less busy than those that
// have it.
func (e *engine) mayTake(m *model, lies *share, load float64) bool {
	return lies.level-load >= leastDifference && !e.hasModel(m.spec.Name) && !e.isLoading(m.spec.Name)
}

// moveTo gives what a replica of a model on an engine is worth, if it is possible.
func (p *Planner) moveTo(now time.Time, here *spot, m *model, lies *share) (move, bool) {
	if !here.engine.mayTake(m, lies, here.load) {
		return move{}, false
	}
	length, may := p.mayLoad(now, here.engine, m)
	if !may {
		return move{}, false
	}
	one := move{
		model:  m,
		engine: here.engine,
	}
	gain := lies.gain(here.load)
	if here.free < m.spec.Memory {
		victims, found := pick(here.victims, m, m.spec.Memory-here.free)
		if !found {
			return move{}, false
		}
		one.victims = victims
		lost, work := total(victims)
		eased := here.load - work
		gain = lies.gain(eased) + here.load*here.load - eased*eased - gainOverLoss*lost
		length += makeWayTime * time.Duration(len(victims))
		if work > 0 {
			length += drainTime
		}
	}
	one.value = gain / (1 + length.Seconds()/horizon.Seconds()) * (1 + regionalShare*p.regionalNeed(now, m, here.engine))
	return one, true
}

// victim is a replica that may make way, what it does, and what is lost with it.
type victim struct {
	model *model
	work  float64
	loss  float64
}

// victims gives the replicas on an engine that may make way, the least loss first: those
// that others stand in for, and the last ones of models that nobody asks for.
func (p *Planner) victims(now time.Time, e *engine, lies *spread) []victim {
	var all []victim
	for name, v := range p.served(e) {
		one := lies.shares[name]
		work := one.on(e)
		loss := one.loss(work)
		if v.ready < 2 {
			if !p.mayDrop(now, e, v) {
				continue
			}
			loss = lastLoss
		}
		if one.work >= lightWork && !p.hasLearned(now) {
			continue
		}
		all = append(all, victim{
			model: v,
			work:  work,
			loss:  loss,
		})
	}
	sortByLoss(all)
	return all
}

// sortByLoss puts the least loss first, and large models before small ones.
func sortByLoss(all []victim) {
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(b.model.spec.Memory, a.model.spec.Memory), cmp.Compare(a.model.spec.Name, b.model.spec.Name))
	})
}

// pick chooses victims that give so much memory for a model, with the least loss, and
// without those that the others make needless.
func pick(all []victim, m *model, need unit.Bytes) ([]victim, bool) {
	var chosen []victim
	for _, v := range all {
		if need <= 0 {
			break
		}
		if v.model != m {
			chosen = append(chosen, v)
			need -= v.model.spec.Memory
		}
	}
	if need > 0 {
		return nil, false
	}
	return slices.DeleteFunc(chosen, func(v victim) bool {
		needless := need+v.model.spec.Memory <= 0
		if needless {
			need += v.model.spec.Memory
		}
		return needless
	}), true
}

// total adds up what is lost with some replicas, and the work that they do.
func total(victims []victim) (float64, float64) {
	lost, work := 0.0, 0.0
	for _, v := range victims {
		lost += v.loss
		work += v.work
	}
	return lost, work
}

// mayDrop tells that the last replica of a model may go: nobody has asked for the model
// for a while, and the engine keeps its weights at hand, so that it is back within a
// second if somebody does. After a loss of engines those left would be full of models that
// nobody asks for, while others have several times what they can do.
func (p *Planner) mayDrop(now time.Time, e *engine, v *model) bool {
	if now.Sub(p.begunAt) < max(silentAfter, learnTime) || !p.silent(now, v.spec.Name) || v.replicas > 1 {
		return false
	}
	if p.crowded {
		return true // most models are held nowhere anyway
	}
	_, own := p.loadTime(e, v)
	return own && p.nowhere < int(mostDropped*float64(len(p.models)))
}

// mayWait tells that a model that is held nowhere need not be loaded now: nobody asks for
// it, and others are short.
func (p *Planner) mayWait(now time.Time, name ident.ModelName) bool {
	return p.hasLearned(now) && p.silent(now, name) && p.short(now)
}

// short tells that some model has more work than its engines do with ease.
func (p *Planner) short(now time.Time) bool {
	for _, one := range p.spreadNow(now).shares {
		if one.work >= lightWork && one.level > ease {
			return true
		}
	}
	return false
}

// ease is the load up to which an engine answers without much waiting, below overload.
const ease = 0.6
