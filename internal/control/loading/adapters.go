package loading

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

const (
	// adapterRate is how many requests a second one replica of an adapter takes
	// before it gets another.
	adapterRate = 3.0
	// adapterRest is how long an adapter must not have been asked for before it
	// makes way for another.
	adapterRest = 500 * time.Millisecond
)

// loadAdapters loads the adapters that are asked for and lie too seldom where
// their model does. What is missing altogether comes first.
func (p *Planner) loadAdapters(now time.Time) []backend.CountedOrder {
	var wanted []request.Weights
	for weights, r := range p.demand {
		if weights.Adapter != "" && (r.missed || r.requests > adapterRate) {
			wanted = append(wanted, weights)
		}
	}
	slices.SortFunc(wanted, func(a, b request.Weights) int {
		return cmp.Or(cmp.Compare(p.demand[b].requests, p.demand[a].requests),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	var orders []backend.CountedOrder
	for _, weights := range wanted {
		r := p.demand[weights]
		r.decay(now)
		have := p.adapterReplicas(weights)
		if have > int(r.requests/adapterRate) {
			r.missed = false
			continue
		}
		if order, found := p.placeAdapter(now, weights); found {
			orders = append(orders, order)
		}
	}
	return orders
}

// adapterReplicas counts the servers that hold an adapter, or will in a moment.
func (p *Planner) adapterReplicas(weights request.Weights) int {
	count := 0
	for _, e := range p.on(weights.Model) {
		if !e.Leaving && e.serves(weights.Model) && e.allAdapters()[weights] {
			count++
		}
	}
	return count
}

// placeAdapter loads an adapter on the server with its model that has most places
// free; where none has, the adapter that was not asked for the longest makes way.
func (p *Planner) placeAdapter(now time.Time, weights request.Weights) (backend.CountedOrder, bool) {
	var best *engine
	var lowest float64
	for _, e := range p.on(weights.Model) {
		if !e.open(now) || !e.serves(weights.Model) || e.allAdapters()[weights] {
			continue
		}
		cost := float64(len(e.allAdapters())) + busyness(e)*10
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return backend.CountedOrder{}, false
	}
	spec := p.models[weights.Model].spec
	if len(best.allAdapters()) < p.engine.AdapterPlaces && p.free(best) >= spec.AdapterMemory {
		return p.order(now, best, backend.LoadAdapter, weights), true
	}
	return p.evictAdapter(now, weights.Model)
}

// evictAdapter unloads the adapter that was not asked for the longest, from the servers
// with a model that take an order.
func (p *Planner) evictAdapter(now time.Time, model ident.ModelName) (backend.CountedOrder, bool) {
	var from *engine
	var oldest request.Weights
	var oldestAt time.Time
	for _, e := range p.on(model) {
		if !e.open(now) || !e.serves(model) {
			continue
		}
		for weights := range e.allAdapters() {
			asked := p.adapterAsked(weights)
			if now.Sub(asked) < adapterRest {
				continue
			}
			if from == nil || asked.Before(oldestAt) || asked.Equal(oldestAt) && weights.Adapter < oldest.Adapter {
				from, oldest, oldestAt = e, weights, asked
			}
		}
	}
	if from == nil {
		return backend.CountedOrder{}, false
	}
	return p.order(now, from, backend.UnloadAdapter, oldest), true
}

func (p *Planner) adapterAsked(weights request.Weights) time.Time {
	if r, known := p.demand[weights]; known {
		return r.lastAsk
	}
	return time.Time{}
}
