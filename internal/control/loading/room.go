package loading

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// keepFree retires replicas that their models can do without, so that there is
// room before a model needs it.
func (p *Planner) keepFree(now time.Time) {
	if !p.hasLearned(now) {
		return
	}
	room := p.largest()
	if p.countRoom(now, room) >= freeShare*float64(len(p.list)) || p.tooManyRetire() {
		return
	}
	var best choice
	for _, e := range p.list {
		if !e.open(now) || len(e.retiring) > 0 || p.hasRoom(now, e, room) {
			continue
		}
		for _, v := range p.served(e) {
			if p.canDoWithout(now, v) && p.free(e)+v.spec.Memory >= room {
				cost := p.left(now, v) + workForTime*busyness(e)
				best.offer(e, v, cost)
			}
		}
	}
	if best.engine != nil {
		p.retire(now, best.engine, best.victim, "", best.cost)
	}
}

// countRoom counts the servers that have room for a model, or will in a moment.
func (p *Planner) countRoom(now time.Time, room unit.Bytes) float64 {
	count := 0.0
	for _, e := range p.list {
		if !e.Leaving && (p.hasRoom(now, e, room) || e.makesRoom()) {
			count++
		}
	}
	return count
}

// hasRoom tells that a server has room for a model, or nearly so.
func (p *Planner) hasRoom(now time.Time, e *engine, room unit.Bytes) bool {
	return p.free(e) >= room || p.holdsLight(now, e)
}

// makesRoom tells that a replica is on its way out.
func (e *engine) makesRoom() bool {
	return len(e.retiring) > 0 || e.pending != nil && e.pending.order.Kind == backend.UnloadModel
}

// canDoWithout tells that a model has more replicas than it should, and doesn't rise.
func (p *Planner) canDoWithout(now time.Time, v *model) bool {
	return v.ready > max(p.target(now, v), 1) && !p.rises(now, v.spec.Name)
}

// left is the work for each replica that a model is left with after losing one.
// Before any request has come, the replicas that were placed tell what will be asked
// for: the busiest models have most of them.
func (p *Planner) left(now time.Time, v *model) float64 {
	if !p.heard {
		return leastGoal * float64(v.replicas) / float64(max(v.replicas-1, 1))
	}
	return p.expectedWork(now, v.spec.Name) / float64(max(v.replicas-1, 1))
}

// silent tells that a model's requests have ceased: a replica of it makes way at
// once, as nothing runs there.
func (p *Planner) silent(now time.Time, name ident.ModelName) bool {
	return now.Sub(p.demandFor(now, name).lastAsk) >= silentAfter
}

// silentAfter is how long a model must not have been asked for to count as silent:
// longer than most of its answers take.
const silentAfter = 4 * time.Second

// holdsLight tells that a server holds a model of little use that others hold as
// well: it can make way nearly at once.
func (p *Planner) holdsLight(now time.Time, e *engine) bool {
	return slices.ContainsFunc(e.held, func(name ident.ModelName) bool {
		m, declared := p.models[name]
		return declared && m.ready > 1 && e.serves(name) && p.expectedWork(now, name) < lightWork
	})
}

// prepare loads second replicas of models that nobody asks for now into memory that
// is free, so that a sudden demand finds them: those with adapters first, which
// serve more callers than others. They make way at once for whatever is asked for, but
// a server that loads one takes no other order for as long as that takes (8.6 s from the
// weight store): so this is for times when demand stays where it is.
func (p *Planner) prepare(now time.Time) []backend.CountedOrder {
	if !p.steady(now) || p.short(now) {
		return nil
	}
	var idle []*model
	for _, m := range p.models {
		if len(m.spec.Adapters) > 0 && m.replicas > 0 && m.replicas < prepared && p.expectedWork(now, m.spec.Name) < lightWork {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.replicas, b.replicas), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	var orders []backend.CountedOrder
	room := p.mostRoom(now)
	for _, m := range idle {
		if m.spec.Memory > room {
			continue
		}
		if len(p.begun) > int(preparedPace*float64(p.paceLimit())) {
			break
		}
		if order, found := p.place(now, m); found {
			orders = append(orders, order)
		}
	}
	return orders
}

// mostRoom is the most memory that an engine has free which takes an order.
func (p *Planner) mostRoom(now time.Time) unit.Bytes {
	most := unit.Bytes(0)
	for _, e := range p.list {
		if e.open(now) && len(e.retiring) == 0 {
			most = max(most, p.free(e))
		}
	}
	return most
}

// preparedPace is the part of the weight store's pace that second copies may use up. What
// rises needs the rest: a model with six engines' work waited for the pace, which second
// copies of idle ones had used up, beside an engine that was free.
const preparedPace = 0.5

// prepared is how many replicas a model is kept ready with that nobody asks for.
const prepared = 3

// largest is the memory of the largest declared model.
func (p *Planner) largest() unit.Bytes {
	largest := unit.Bytes(0)
	for _, m := range p.models {
		largest = max(largest, m.spec.Memory)
	}
	return largest
}

// retire has a replica make way for a model, or for none in particular.
func (p *Planner) retire(now time.Time, e *engine, v *model, reason ident.ModelName, left float64) {
	e.retiring[v.spec.Name] = now
	e.dropping[v.spec.Name] = v.ready == 1
	v.remove(e)
	v.ready--
	if v.replicas == 0 {
		p.nowhere++
	}
	p.lies = nil
	p.decisions = append(p.decisions, Decision{
		Server:   e.Name,
		Model:    v.spec.Name,
		For:      reason,
		Work:     p.expectedWork(now, v.spec.Name),
		Left:     left,
		Replicas: v.replicas,
	})
}
