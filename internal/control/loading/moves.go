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

// Thresholds of moves. Work is in engines' time a second.
const (
	// leastGoal is the least work for each replica that a model is given more
	// replicas for: at a seventh of an engine's time, prompts hardly meet.
	leastGoal = 0.15
	// freeShare is the part of the servers that are to have room for another model, or
	// one that makes way nearly at once.
	freeShare = 0.75
	// lightWork is the work of a model of little use: a request every other second.
	lightWork = 0.04
	// riseAhead is how many seconds of a rise are added to the demand: a load takes
	// as long.
	riseAhead = 1.5
)

// loadMissing loads the models that no server holds, the most wanted first. Each time
// after one of them, a model has its turn that has more work than its replicas can do:
// servers that come back empty would all load models that are asked for once in three
// seconds, for 8 s each, while hundreds of requests a second are late.
func (p *Planner) loadMissing(now time.Time) []backend.CountedOrder {
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
	coming := p.roomComing()
	empty := p.anyEmpty()
	for _, m := range missing {
		if p.mayWait(now, m.spec.Name) {
			continue
		}
		unwanted := p.crowded && !p.asked(now, m.spec.Name)
		if unwanted && !empty {
			continue
		}
		if order, found := p.place(now, m); found {
			orders = append(orders, order)
			if order, found := p.relieve(now); found {
				orders = append(orders, order)
			}
			continue
		}
		// Room that is on its way will do: each step would retire one more replica
		// otherwise, for as long as the first takes.
		if coming > 0 {
			coming--
			continue
		}
		if !unwanted {
			p.makeWay(now, m)
		}
	}
	return orders
}

// anyEmpty tells that an engine holds nothing and loads nothing.
func (p *Planner) anyEmpty() bool {
	return slices.ContainsFunc(p.list, func(e *engine) bool { return e.reported && len(e.held) == 0 && e.pending == nil })
}

// relieve loads one more replica of the model with the most work for each of its own,
// if that is more than they can do.
func (p *Planner) relieve(now time.Time) (backend.CountedOrder, bool) {
	var most *model
	highest := overload
	for _, m := range p.models {
		if m.replicas == 0 {
			continue
		}
		pressure := p.pressure(now, m)
		if pressure > highest || most != nil && pressure == highest && m.spec.Name < most.spec.Name {
			most, highest = m, pressure
		}
	}
	if most == nil {
		return backend.CountedOrder{}, false
	}
	return p.place(now, most)
}

// pressure is the work for each replica of a model that has any.
func (p *Planner) pressure(now time.Time, m *model) float64 {
	return p.expectedWork(now, m.spec.Name) / float64(m.replicas)
}

// overload is the work for each replica at which it can't be done in time: an engine
// that reads prompts for more than 0.7 of its time makes most of its streams pause.
const overload = 0.7

// spareLeft is the work for each replica up to which a model must be left to make way
// for one that is held nowhere and that nobody asks for. After a loss of servers every
// place is taken; a busy model that gave up its last but one then would make hundreds
// of requests late for the sake of none. As soon as somebody asks for the missing one,
// it gets its place, though not from one that would be left with far more work than it
// can do: such a one makes way only after others had time to, leftPerSecond more for each
// second.
const (
	spareLeft     = 0.3
	askedLeft     = 0.6
	leftPerSecond = 0.2
)

// learnTime is how long a new planner listens before it takes a model for one that
// nobody asks for. It begins without any demand: every busy model would look idle, and
// lose the replicas that it needs just when the holder has changed.
const learnTime = 2500 * time.Millisecond

// hasLearned tells that the planner has listened for long enough.
func (p *Planner) hasLearned(now time.Time) bool {
	return now.Sub(p.begunAt) >= learnTime
}

// asked tells that requests for a model have come lately, or wait for it.
func (p *Planner) asked(now time.Time, name ident.ModelName) bool {
	return !p.silent(now, name)
}

// roomComing counts the servers where a replica is on its way out.
func (p *Planner) roomComing() int {
	count := 0
	for _, e := range p.list {
		if e.makesRoom() {
			count++
		}
	}
	return count
}

// sortByNeed puts first what is asked for, then what has most work.
func (p *Planner) sortByNeed(now time.Time, models []*model) {
	works := make(map[*model]float64, len(models))
	for _, m := range models {
		works[m] = p.expectedWork(now, m.spec.Name)
		if p.asked(now, m.spec.Name) {
			works[m]++ // a request that waits has no work yet
		}
	}
	slices.SortFunc(models, func(a, b *model) int {
		return cmp.Or(cmp.Compare(works[b], works[a]), cmp.Compare(a.spec.Name, b.spec.Name))
	})
}

// place loads a model where there is room for it: where the load takes least, then
// where its region has most demand for each replica.
func (p *Planner) place(now time.Time, m *model) (backend.CountedOrder, bool) {
	var best *engine
	var lowest float64
	for _, e := range p.list {
		if !e.open(now) || e.hasModel(m.spec.Name) || p.free(e) < m.spec.Memory || len(e.retiring) > 0 {
			continue
		}
		length, may := p.mayLoad(now, e, m)
		if !may {
			continue
		}
		cost := length.Seconds() - p.regionalNeed(now, m, e) + busyness(e)
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return backend.CountedOrder{}, false
	}
	return p.load(now, best, m), true
}

func (p *Planner) load(now time.Time, e *engine, m *model) backend.CountedOrder {
	_, own := p.loadTime(e, m)
	order := p.order(now, e, backend.LoadModel, request.Weights{
		Model: m.spec.Name,
	})
	order.Memory = m.spec.Memory
	if !own {
		e.pending.cold = true
		p.begun = append(p.begun, now)
	}
	m.add(e)
	p.lies = nil
	return order
}

// busyness is what a server's load counts against a load there, in seconds.
func busyness(e *engine) float64 {
	return float64(e.report.Running+e.report.Waiting) * 0.01
}

// regionalNeed tells how much a model is short of replicas in a server's region,
// in seconds of load time that it is worth.
func (p *Planner) regionalNeed(now time.Time, m *model, e *engine) float64 {
	total, there := 0.0, 0.0
	for region, work := range p.demandFor(now, m.spec.Name).regions {
		total += work
		if region == e.Region {
			there = work
		}
	}
	if total == 0 {
		return 0
	}
	return regionalWeight * (there/total - float64(m.inRegion[e.Region])/float64(max(m.replicas, 1)))
}

// regionalWeight is how many seconds of load time it is worth to have all of a
// model's replicas where its demand is.
const regionalWeight = 3.0

// goal is the work for each replica that models are given replicas for: so much that
// all of them together have as many replicas as there are servers. An engine's time
// is what binds, not the replica's: two busy models on one server share it. Spread so
// that each server has one busy model, a model that rises finds a place on any server
// at once, where otherwise a busy one has to serve its requests to their ends first,
// four seconds and more.
func (p *Planner) goal(now time.Time) float64 {
	p.sumDemand(now)
	if p.goalWork > 0 {
		return p.goalWork
	}
	total := 0.0
	for name := range p.models {
		total += p.expectedWork(now, name)
	}
	p.goalWork = max(total/float64(max(len(p.list), 1)), leastGoal)
	return p.goalWork
}

// target is how many replicas a model should have.
func (p *Planner) target(now time.Time, m *model) int {
	replicas := math.Round(p.expectedWork(now, m.spec.Name) / p.goal(now))
	return min(max(int(replicas), 1), len(p.list))
}

// choice is the cheapest replica so far that could make way.
type choice struct {
	engine *engine
	victim *model
	cost   float64
}

// offer takes a replica if it is cheaper. Names break ties, for the order of models
// is random.
func (c *choice) offer(e *engine, v *model, cost float64) {
	if c.engine == nil || cost < c.cost || cost == c.cost && v.spec.Name < c.victim.spec.Name {
		c.engine, c.victim, c.cost = e, v, cost
	}
}

// tooManyRetire bounds how many replicas retire at once: a third of the servers.
func (p *Planner) tooManyRetire() bool {
	return 3*p.roomComing() >= len(p.list)
}

// unloadRetired unloads what retires, once the hosts have had time to send
// elsewhere.
func (p *Planner) unloadRetired(now time.Time) []backend.CountedOrder {
	var orders []backend.CountedOrder
	for _, e := range p.list {
		for name, since := range e.retiring {
			notice := retireNotice
			if p.silent(now, name) {
				notice = 0
			}
			if !e.open(now) || now.Sub(since) < notice {
				continue
			}
			mayBeLast := e.dropping[name] && p.silent(now, name)
			if p.readyElsewhere(now, e, name) == 0 && !mayBeLast {
				delete(e.retiring, name) // it is the last one now, and asked for
				continue
			}
			orders = append(orders, p.order(now, e, backend.UnloadModel, request.Weights{
				Model: name,
			}))
		}
	}
	return orders
}

// readyElsewhere counts the other servers that serve a model by a fresh report.
func (p *Planner) readyElsewhere(now time.Time, but *engine, name ident.ModelName) int {
	count := 0
	for _, e := range p.on(name) {
		if e != but && !e.Leaving && e.serves(name) && now.Sub(e.report.At) < reportTrust {
			count++
		}
	}
	return count
}
