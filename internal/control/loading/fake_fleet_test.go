package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// fakeFleet is a fleet of engines that count their orders, as a planner sees them: reports
// lag, answers are lost, orders arrive late, engines crash.
type fakeFleet struct {
	now        time.Time
	spec       *route.Engine
	engines    []*fakeEngine
	lateOrders []lateOrder
	// loadStarts are the instants at which loads from the weight store started.
	loadStarts []time.Time
}

type fakeEngine struct {
	name           ident.ServerName
	incarnation    ident.Incarnation
	acceptedOrders int64
	fencing        ident.FencingNumber
	loaded         []request.Weights
	onDisk         []ident.ModelName
	running        *backend.CountedOrder
	finishesAt     time.Time
	starts         int
	reports        []backend.Report
}

type lateOrder struct {
	at    time.Time
	order backend.CountedOrder
}

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newFakeFleet(engines, models int) *fakeFleet {
	fleet := &fakeFleet{
		now: start,
		spec: &route.Engine{
			Slots:          64,
			Memory:         200 * unit.Gibibyte,
			AdapterSlots:   3,
			LoadsPerSecond: 1.4,
		},
	}
	for i := range models {
		fleet.spec.Models = append(fleet.spec.Models, route.Model{
			Name:               ident.ModelName("m" + string(rune('a'+i))),
			Memory:             unit.Bytes(45+30*(i%2)) * unit.Gibibyte,
			Adapters:           []ident.AdapterName{"a1", "a2", "a3", "a4", "a5"}[:5*(i%2)],
			AdapterMemory:      unit.Gibibyte,
			StoreLoadTime:      8 * time.Second,
			DiskLoadTime:       1700 * time.Millisecond,
			HostMemoryLoadTime: 1300 * time.Millisecond,
		})
	}
	for i := range engines {
		e := &fakeEngine{
			name: ident.ServerName("e" + string(rune('a'+i))),
		}
		e.restart()
		fleet.engines = append(fleet.engines, e)
	}
	return fleet
}

func (e *fakeEngine) restart() {
	e.starts++
	e.incarnation = ident.Incarnation(string(e.name) + string(rune('0'+e.starts)))
	e.acceptedOrders = 0
	e.fencing = 0
	e.loaded = nil
	e.running = nil
	e.reports = nil
}

func (fleet *fakeFleet) model(name ident.ModelName) *route.Model {
	for i := range fleet.spec.Models {
		if fleet.spec.Models[i].Name == name {
			return &fleet.spec.Models[i]
		}
	}
	return nil
}

// usedMemory returns the memory of everything that an engine has or is loading.
func (fleet *fakeFleet) usedMemory(e *fakeEngine) unit.Bytes {
	used := unit.Bytes(0)
	for _, weights := range e.loaded {
		if weights.Adapter != "" {
			used += fleet.model(weights.Model).AdapterMemory
			continue
		}
		used += fleet.model(weights.Model).Memory
	}
	if e.running != nil && e.running.Kind == backend.LoadModel {
		used += fleet.model(e.running.Model).Memory
	}
	return used
}

func (e *fakeEngine) countAdapters() int {
	count := 0
	for _, weights := range e.loaded {
		if weights.Adapter != "" {
			count++
		}
	}
	return count
}

// receiveOrder handles an order that arrives at its engine, in time or late, and returns
// the answer.
func (fleet *fakeFleet) receiveOrder(order backend.CountedOrder) backend.OrderAnswer {
	i := slices.IndexFunc(fleet.engines, func(e *fakeEngine) bool { return e.name == order.Server })
	e := fleet.engines[i]
	weights := request.Weights{
		Model:   order.Model,
		Adapter: order.Adapter,
	}
	switch {
	case order.Fencing < e.fencing:
		return backend.OrderFenced
	case order.AfterOrders != e.acceptedOrders || e.running != nil:
		return backend.OrderConflicts
	}
	e.fencing = order.Fencing
	isLoaded := slices.Contains(e.loaded, weights)
	if (order.Kind == backend.LoadModel || order.Kind == backend.LoadAdapter) == isLoaded {
		return backend.OrderNotNeeded
	}
	e.acceptedOrders++
	switch order.Kind {
	case backend.LoadAdapter:
		e.loaded = append(e.loaded, weights)
	case backend.UnloadAdapter:
		e.unload(weights)
	case backend.LoadModel:
		e.running = &order
		e.finishesAt = fleet.now.Add(fleet.startLoad(e, order.Model))
	case backend.UnloadModel:
		e.running = &order
		e.finishesAt = fleet.now.Add(2 * time.Second)
	}
	return backend.OrderAccepted
}

func (fleet *fakeFleet) startLoad(e *fakeEngine, name ident.ModelName) time.Duration {
	if slices.Contains(e.onDisk, name) {
		return fleet.model(name).DiskLoadTime
	}
	e.onDisk = append(e.onDisk, name)
	fleet.loadStarts = append(fleet.loadStarts, fleet.now)
	return fleet.model(name).StoreLoadTime
}

func (e *fakeEngine) unload(weights request.Weights) {
	e.loaded = slices.DeleteFunc(e.loaded, func(loaded request.Weights) bool {
		return loaded == weights || weights.Adapter == "" && loaded.Model == weights.Model
	})
}

// advance moves the clock: engines finish orders, late orders arrive, reports are taken.
func (fleet *fakeFleet) advance(by time.Duration) {
	fleet.now = fleet.now.Add(by)
	for _, e := range fleet.engines {
		if e.running == nil || fleet.now.Before(e.finishesAt) {
			continue
		}
		weights := request.Weights{
			Model: e.running.Model,
		}
		if e.running.Kind == backend.LoadModel {
			e.loaded = append(e.loaded, weights)
		} else {
			e.unload(weights)
		}
		e.running = nil
	}
	due := fleet.lateOrders
	fleet.lateOrders = nil
	for _, late := range due {
		if fleet.now.Before(late.at) {
			fleet.lateOrders = append(fleet.lateOrders, late)
			continue
		}
		fleet.receiveOrder(late.order)
	}
	for _, e := range fleet.engines {
		e.reports = append(e.reports, fleet.report(e))
		if len(e.reports) > 3 {
			e.reports = e.reports[1:]
		}
	}
}

func (fleet *fakeFleet) report(e *fakeEngine) backend.Report {
	report := backend.Report{
		Server:          e.name,
		Incarnation:     e.incarnation,
		ReportedAt:      fleet.now,
		OrderInProgress: e.running != nil,
		OrdersAccepted:  e.acceptedOrders,
		OnDisk:          slices.Clone(e.onDisk),
	}
	for _, weights := range e.loaded {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   weights.Model,
			Adapter: weights.Adapter,
			Ready:   true,
		})
	}
	return report
}

// servers returns the registered servers.
func (fleet *fakeFleet) servers() []Server {
	var servers []Server
	for _, e := range fleet.engines {
		servers = append(servers, Server{
			Server: backend.Server{
				Name:   e.name,
				Region: "r",
			},
			Incarnation: e.incarnation,
		})
	}
	return servers
}

// runRound runs one planner step with prompt delivery of orders, and reports that lag by at
// most three rounds.
func (fleet *fakeFleet) runRound(p *Planner, token ident.FencingNumber) []backend.CountedOrder {
	fleet.advance(100 * time.Millisecond)
	p.SetServers(fleet.now, fleet.servers())
	for _, e := range fleet.engines {
		p.ApplyReport(&e.reports[0])
	}
	orders := p.Step(fleet.now)
	for i := range orders {
		orders[i].Fencing = token
		p.ApplyAnswer(fleet.now, orders[i].Server, &orders[i], fleet.receiveOrder(orders[i]))
	}
	return orders
}

// countReplicas returns the number of engines that have a model.
func (fleet *fakeFleet) countReplicas(name ident.ModelName) int {
	count := 0
	for _, e := range fleet.engines {
		if slices.Contains(e.loaded, request.Weights{Model: name}) {
			count++
		}
	}
	return count
}
