package loading

import (
	"cmp"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Thresholds of moves.
const (
	// worthALoad is the work for each replica, in tokens a second, below which a
	// model gets no further one: about a twentieth of what an engine reads.
	worthALoad = 900
	// gainOverLoss is how much more work for each replica the model that gets a
	// place must have than the one that loses it is left with. Below it, two models
	// of like demand would take turns at the same place.
	gainOverLoss = 1.5
)

// loadMissing loads the models that no server holds, the most wanted first.
func (p *Planner) loadMissing(now time.Time) []backend.Order {
	var missing []*model
	for _, m := range p.models {
		if m.replicas == 0 {
			missing = append(missing, m)
		}
	}
	p.sortByWork(now, missing)
	var orders []backend.Order
	for _, m := range missing {
		if order, found := p.place(now, m); found {
			orders = append(orders, order)
			continue
		}
		p.makeWay(now, m, 0)
	}
	return orders
}

func (p *Planner) sortByWork(now time.Time, models []*model) {
	works := make(map[*model]float64, len(models))
	for _, m := range models {
		works[m] = p.work(now, m.spec.Name)
	}
	slices.SortFunc(models, func(a, b *model) int {
		return cmp.Or(cmp.Compare(works[b], works[a]), cmp.Compare(a.spec.Name, b.spec.Name))
	})
}

// place loads a model where there is room for it: where the load takes least, then
// where its region has most demand for each replica.
func (p *Planner) place(now time.Time, m *model) (backend.Order, bool) {
	var best *engine
	var lowest float64
	for _, e := range p.list {
		if !e.open(now) || e.hasModel(m.spec.Name) || p.free(e) < m.spec.Memory || len(e.retiring) > 0 {
			continue
		}
		length, own := p.loadTime(e, m)
		if !own && !p.mayBegin(now) {
			continue
		}
		cost := length.Seconds() - p.regionalNeed(m, e) + busyness(e)
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return backend.Order{}, false
	}
	return p.load(now, best, m), true
}

func (p *Planner) load(now time.Time, e *engine, m *model) backend.Order {
	_, own := p.loadTime(e, m)
	order := p.order(now, e, backend.LoadModel, request.Weights{
		Model: m.spec.Name,
	})
	order.Memory = m.spec.Memory
	if !own {
		e.pending.cold = true
		p.begun = append(p.begun, now)
	}
	m.replicas++
	return order
}

// busyness is what a server's load counts against a load there, in seconds.
func busyness(e *engine) float64 {
	return float64(e.report.Running+e.report.Waiting) * 0.01
}

// regionalNeed tells how much a model is short of replicas in a server's region,
// in seconds of load time that it is worth.
func (p *Planner) regionalNeed(m *model, e *engine) float64 {
	total, there := 0.0, 0.0
	for _, r := range p.regions() {
		work := p.regionalWork(m.spec.Name, r)
		total += work
		if r == e.Region {
			there = work
		}
	}
	if total == 0 {
		return 0
	}
	replicas, near := 0, 0
	for _, other := range p.list {
		if other.serves(m.spec.Name) || other.isLoading(m.spec.Name) {
			replicas++
			if other.Region == e.Region {
				near++
			}
		}
	}
	return regionalWeight * (there/total - float64(near)/float64(max(replicas, 1)))
}

// regionalWeight is how many seconds of load time it is worth to have all of a
// model's replicas where its demand is.
const regionalWeight = 3.0

func (p *Planner) regions() []ident.Region {
	var regions []ident.Region
	for _, e := range p.list {
		if !slices.Contains(regions, e.Region) {
			regions = append(regions, e.Region)
		}
	}
	return regions
}

// followDemand gives the places to spare, and those that are worth a change, to
// the models with the most work for each replica.
func (p *Planner) followDemand(now time.Time) []backend.Order {
	wanted := make([]*model, 0, len(p.models))
	pressure := make(map[*model]float64, len(p.models))
	for _, m := range p.models {
		if m.replicas == 0 || m.replicas >= len(p.list) {
			continue
		}
		if pressure[m] = p.work(now, m.spec.Name) / float64(m.replicas); pressure[m] >= worthALoad {
			wanted = append(wanted, m)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int {
		return cmp.Or(cmp.Compare(pressure[b], pressure[a]), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	var orders []backend.Order
	for _, m := range wanted {
		if order, found := p.place(now, m); found {
			orders = append(orders, order)
			continue
		}
		p.makeWay(now, m, pressure[m])
	}
	return orders
}

// makeWay has one replica retire for a model that has no room. With no pressure
// the model is held nowhere, and any model with another replica may make way.
func (p *Planner) makeWay(now time.Time, m *model, pressure float64) {
	var best *engine
	var victim *model
	var lowest float64
	for _, e := range p.list {
		if !e.open(now) || e.hasModel(m.spec.Name) || len(e.retiring) > 0 {
			continue
		}
		length, own := p.loadTime(e, m)
		if !own && !p.mayBegin(now) {
			continue
		}
		for _, v := range p.models {
			if !e.serves(v.spec.Name) || v.ready < 2 || p.free(e)+v.spec.Memory < m.spec.Memory {
				continue
			}
			left := p.work(now, v.spec.Name) / float64(v.replicas-1)
			if pressure > 0 && pressure < gainOverLoss*left+worthALoad {
				continue
			}
			cost := left + tokensASecond*(length.Seconds()-p.regionalNeed(m, e)+busyness(e))
			if best == nil || cost < lowest || cost == lowest && v.spec.Name < victim.spec.Name {
				best, victim, lowest = e, v, cost
			}
		}
	}
	if best == nil || p.retiringFor(m) {
		return
	}
	best.retiring[victim.spec.Name] = now
	victim.replicas--
	victim.ready--
}

// tokensASecond turns a second of load time into work for each replica.
const tokensASecond = 300

// retiringFor bounds how many replicas retire at once: a third of the servers.
func (p *Planner) retiringFor(*model) bool {
	count := 0
	for _, e := range p.list {
		if len(e.retiring) > 0 || e.pending != nil && e.pending.order.Kind == backend.UnloadModel {
			count++
		}
	}
	return 3*count >= len(p.list)
}

// unloadRetired unloads what retires, once the hosts have had time to send
// elsewhere.
func (p *Planner) unloadRetired(now time.Time) []backend.Order {
	var orders []backend.Order
	for _, e := range p.list {
		for name, since := range e.retiring {
			if !e.open(now) || now.Sub(since) < retireNotice {
				continue
			}
			if p.readyElsewhere(now, e, name) == 0 {
				delete(e.retiring, name) // it is the last one now
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
	for _, e := range p.list {
		if e != but && !e.Leaving && e.serves(name) && now.Sub(e.report.At) < reportTrust {
			count++
		}
	}
	return count
}
