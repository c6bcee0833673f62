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
	// requestRatePerAdapterReplica is how many requests per second one replica of an
	// adapter takes before the adapter gets another replica.
	requestRatePerAdapterReplica = 3.0
	// adapterIdleTime is how long an adapter must go without requests before it may be
	// unloaded for another one.
	adapterIdleTime = 500 * time.Millisecond
)

// loadAdapters loads adapters that are requested and have too few replicas, onto engines
// that serve their model. The adapter with the most requests comes first.
func (p *Planner) loadAdapters(now time.Time) []backend.CountedOrder {
	var requested []request.Weights
	for weights, smoothed := range p.demand {
		if weights.Adapter != "" && (smoothed.isMissing || smoothed.requestRate > requestRatePerAdapterReplica) {
			requested = append(requested, weights)
		}
	}
	slices.SortFunc(requested, func(a, b request.Weights) int {
		return cmp.Or(cmp.Compare(p.demand[b].requestRate, p.demand[a].requestRate),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	var orders []backend.CountedOrder
	for _, weights := range requested {
		smoothed := p.demand[weights]
		smoothed.decay(now)
		replicas := p.countAdapterReplicas(weights)
		if replicas > int(smoothed.requestRate/requestRatePerAdapterReplica) {
			smoothed.isMissing = false
			continue
		}
		if order, found := p.placeAdapter(now, weights); found {
			orders = append(orders, order)
		}
	}
	return orders
}

// countAdapterReplicas counts the engines that have an adapter or are loading it.
func (p *Planner) countAdapterReplicas(weights request.Weights) int {
	count := 0
	for _, e := range p.enginesWith(weights.Model) {
		if !e.Leaving && e.serves(weights.Model) && e.possibleAdapters()[weights] {
			count++
		}
	}
	return count
}

// placeAdapter loads an adapter onto the engine with its model that has the fewest adapters
// and the shortest queue. If that engine has no free adapter slot or too little memory, the
// least recently requested adapter is unloaded instead.
func (p *Planner) placeAdapter(now time.Time, weights request.Weights) (backend.CountedOrder, bool) {
	var best *engine
	var lowest float64
	for _, e := range p.enginesWith(weights.Model) {
		if !p.canTakeOrder(now, e) || !e.serves(weights.Model) || e.possibleAdapters()[weights] {
			continue
		}
		cost := float64(len(e.possibleAdapters())) + busyPenaltySeconds(e)*10
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return backend.CountedOrder{}, false
	}
	spec := p.models[weights.Model].spec
	if len(best.possibleAdapters()) < p.engineSpec.AdapterSlots && p.freeMemory(best) >= spec.AdapterMemory {
		return p.createOrder(now, best, backend.LoadAdapter, weights), true
	}
	return p.evictAdapter(now, weights.Model)
}

// evictAdapter unloads the least recently requested adapter of a model, from the engines
// that serve the model and can take an order.
func (p *Planner) evictAdapter(now time.Time, model ident.ModelName) (backend.CountedOrder, bool) {
	var from *engine
	var oldest request.Weights
	var oldestAt time.Time
	for _, e := range p.enginesWith(model) {
		if !p.canTakeOrder(now, e) || !e.serves(model) {
			continue
		}
		for weights := range e.possibleAdapters() {
			lastRequest := p.adapterLastRequest(weights)
			if now.Sub(lastRequest) < adapterIdleTime {
				continue
			}
			if from == nil || lastRequest.Before(oldestAt) || lastRequest.Equal(oldestAt) && weights.Adapter < oldest.Adapter {
				from, oldest, oldestAt = e, weights, lastRequest
			}
		}
	}
	if from == nil {
		return backend.CountedOrder{}, false
	}
	return p.createOrder(now, from, backend.UnloadAdapter, oldest), true
}

func (p *Planner) adapterLastRequest(weights request.Weights) time.Time {
	if smoothed, known := p.demand[weights]; known {
		return smoothed.lastRequestAt
	}
	return time.Time{}
}
