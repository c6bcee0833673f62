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

// world is a fleet of engines that count their orders, as planners meet them:
// reports lag, answers get lost, orders come late, engines crash.
type world struct {
	now     time.Time
	declare *route.Engine
	engines []*worldEngine
	late    []lateOrder
	// begun are the instants at which loads from the weight store began.
	begun []time.Time
}

type worldEngine struct {
	name        ident.ServerName
	incarnation ident.Incarnation
	accepted    int64
	fence       ident.FencingNumber
	held        []request.Weights
	disk        []ident.ModelName
	busyWith    *backend.CountedOrder
	doneAt      time.Time
	lives       int
	reports     []backend.Report
}

type lateOrder struct {
	at    time.Time
	order backend.CountedOrder
}

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newWorld(engines, models int) *world {
	w := &world{
		now: start,
		declare: &route.Engine{
			Slots:          64,
			Memory:         200 * unit.Gibibyte,
			AdapterPlaces:  3,
			LoadsPerSecond: 1.4,
		},
	}
	for i := range models {
		w.declare.Models = append(w.declare.Models, route.Model{
			Name:          ident.ModelName("m" + string(rune('a'+i))),
			Memory:        unit.Bytes(45+30*(i%2)) * unit.Gibibyte,
			Adapters:      []ident.AdapterName{"a1", "a2", "a3", "a4", "a5"}[:5*(i%2)],
			AdapterMemory: unit.Gibibyte,
			LoadTime:      8 * time.Second,
			DiskTime:      1700 * time.Millisecond,
			WarmTime:      1300 * time.Millisecond,
		})
	}
	for i := range engines {
		e := &worldEngine{
			name: ident.ServerName("e" + string(rune('a'+i))),
		}
		e.restart()
		w.engines = append(w.engines, e)
	}
	return w
}

func (e *worldEngine) restart() {
	e.lives++
	e.incarnation = ident.Incarnation(string(e.name) + string(rune('0'+e.lives)))
	e.accepted = 0
	e.fence = 0
	e.held = nil
	e.busyWith = nil
	e.reports = nil
}

func (w *world) model(name ident.ModelName) *route.Model {
	for i := range w.declare.Models {
		if w.declare.Models[i].Name == name {
			return &w.declare.Models[i]
		}
	}
	return nil
}

// used is the memory of what an engine holds or loads.
func (w *world) used(e *worldEngine) unit.Bytes {
	used := unit.Bytes(0)
	for _, weights := range e.held {
		if weights.Adapter != "" {
			used += w.model(weights.Model).AdapterMemory
			continue
		}
		used += w.model(weights.Model).Memory
	}
	if e.busyWith != nil && e.busyWith.Kind == backend.LoadModel {
		used += w.model(e.busyWith.Model).Memory
	}
	return used
}

func (e *worldEngine) adapters() int {
	count := 0
	for _, weights := range e.held {
		if weights.Adapter != "" {
			count++
		}
	}
	return count
}

// take is an order's arrival at an engine, in time or late.
func (w *world) take(order backend.CountedOrder) backend.OrderAnswer {
	index := slices.IndexFunc(w.engines, func(e *worldEngine) bool { return e.name == order.Server })
	e := w.engines[index]
	weights := request.Weights{
		Model:   order.Model,
		Adapter: order.Adapter,
	}
	switch {
	case order.Fencing < e.fence:
		return backend.OrderFenced
	case order.AfterOrders != e.accepted || e.busyWith != nil:
		return backend.OrderConflicts
	}
	e.fence = order.Fencing
	holds := slices.Contains(e.held, weights)
	if (order.Kind == backend.LoadModel || order.Kind == backend.LoadAdapter) == holds {
		return backend.OrderHolds
	}
	e.accepted++
	switch order.Kind {
	case backend.LoadAdapter:
		e.held = append(e.held, weights)
	case backend.UnloadAdapter:
		e.drop(weights)
	case backend.LoadModel:
		e.busyWith = &order
		e.doneAt = w.now.Add(w.loadTime(e, order.Model))
	case backend.UnloadModel:
		e.busyWith = &order
		e.doneAt = w.now.Add(2 * time.Second)
	}
	return backend.OrderAccepted
}

func (w *world) loadTime(e *worldEngine, name ident.ModelName) time.Duration {
	if slices.Contains(e.disk, name) {
		return w.model(name).DiskTime
	}
	e.disk = append(e.disk, name)
	w.begun = append(w.begun, w.now)
	return w.model(name).LoadTime
}

func (e *worldEngine) drop(weights request.Weights) {
	e.held = slices.DeleteFunc(e.held, func(h request.Weights) bool {
		return h == weights || weights.Adapter == "" && h.Model == weights.Model
	})
}

// advance moves time on: engines finish orders, late orders arrive, reports age.
func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	for _, e := range w.engines {
		if e.busyWith == nil || w.now.Before(e.doneAt) {
			continue
		}
		weights := request.Weights{
			Model: e.busyWith.Model,
		}
		if e.busyWith.Kind == backend.LoadModel {
			e.held = append(e.held, weights)
		} else {
			e.drop(weights)
		}
		e.busyWith = nil
	}
	due := w.late
	w.late = nil
	for _, late := range due {
		if w.now.Before(late.at) {
			w.late = append(w.late, late)
			continue
		}
		w.take(late.order)
	}
	for _, e := range w.engines {
		e.reports = append(e.reports, w.report(e))
		if len(e.reports) > 3 {
			e.reports = e.reports[1:]
		}
	}
}

func (w *world) report(e *worldEngine) backend.Report {
	report := backend.Report{
		Server:         e.name,
		Incarnation:    e.incarnation,
		At:             w.now,
		OrderUnderWay:  e.busyWith != nil,
		OrdersAccepted: e.accepted,
		OnDisk:         slices.Clone(e.disk),
	}
	for _, weights := range e.held {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   weights.Model,
			Adapter: weights.Adapter,
			Ready:   true,
		})
	}
	return report
}

// servers gives what the registry says of the fleet.
func (w *world) servers() []Server {
	var servers []Server
	for _, e := range w.engines {
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

// round is one step of a planner with orderly engines and reports.
func (w *world) round(p *Planner, token ident.FencingNumber) []backend.CountedOrder {
	w.advance(100 * time.Millisecond)
	p.SetServers(w.servers())
	for _, e := range w.engines {
		p.Report(&e.reports[0])
	}
	orders := p.Step(w.now)
	for i := range orders {
		orders[i].Fencing = token
		p.Answered(w.now, orders[i].Server, &orders[i], w.take(orders[i]))
	}
	return orders
}

// holding gives the engines that hold a model.
func (w *world) holding(name ident.ModelName) int {
	count := 0
	for _, e := range w.engines {
		if slices.Contains(e.held, request.Weights{Model: name}) {
			count++
		}
	}
	return count
}
