package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// engine is what the planner knows of one server.
type engine struct {
	Server
	report   backend.Report
	reported bool
	// accepted is the count of accepted orders, by reports and by answers, the last of
	// which came at acceptedAt.
	accepted   int64
	acceptedAt time.Time
	// adapters has the adapters that answers prove to be there, with the instant
	// from which requests may ask for them.
	adapters map[request.Weights]time.Time
	pending  *pending
	retiring map[ident.ModelName]time.Time
	// dropping has the models among them whose last replica this is, as nobody asks for
	// them.
	dropping map[ident.ModelName]bool
	// held are the models that the last report shows, since when each was first seen.
	held  []ident.ModelName
	since map[ident.ModelName]time.Time
	// known are the adapters that allAdapters found, nil when they may have changed, and
	// room is the memory that free found, if it is measured.
	known    map[request.Weights]bool
	room     unit.Bytes
	measured bool
	// waitUntil holds back orders after one was turned down, until reports are new.
	waitUntil time.Time
}

// pending is the one order to a server that isn't settled.
type pending struct {
	order  backend.CountedOrder
	sentAt time.Time
	// acceptedAt is set once the engine has taken the order.
	acceptedAt time.Time
	unanswered bool
	cold       bool
}

// deadAfter is how long an engine may give no report before its models count as
// gone and are loaded elsewhere.
const deadAfter = 2 * time.Second

// HasOrder tells that an order to a server isn't settled.
func (p *Planner) HasOrder(server ident.ServerName) bool {
	e, known := p.engines[server]
	return known && e.pending != nil
}

// open tells whether an order may be decided for a server now.
func (e *engine) open(now time.Time) bool {
	return e.reported && !e.Leaving && e.pending == nil && !e.report.OrderUnderWay && !now.Before(e.waitUntil) &&
		now.Sub(e.report.At) < reportTrust && e.report.OrdersAccepted == e.accepted
}

// serves tells whether a server holds a model and keeps it.
func (e *engine) serves(name ident.ModelName) bool {
	if _, goes := e.retiring[name]; goes {
		return false
	}
	return e.hasModel(name) && !e.isUnloading(name)
}

func (e *engine) hasModel(name ident.ModelName) bool {
	return slices.Contains(e.held, name)
}

// noteHeld takes in the models that the engine holds.
func (e *engine) noteHeld(at time.Time, models []ident.ModelName) {
	e.held = models
	for _, name := range models {
		if _, known := e.since[name]; !known {
			e.since[name] = at
		}
	}
	for name := range e.since {
		if !e.hasModel(name) {
			delete(e.since, name)
		}
	}
}

// changed has what is worked out of the server's state worked out anew.
func (e *engine) changed() {
	e.known = nil
	e.measured = false
}

func (e *engine) isLoading(name ident.ModelName) bool {
	return e.pending != nil && e.pending.order.Kind == backend.LoadModel && e.pending.order.Model == name
}

func (e *engine) isUnloading(name ident.ModelName) bool {
	return e.pending != nil && e.pending.order.Kind == backend.UnloadModel && e.pending.order.Model == name
}

func (e *engine) dropResident(weights request.Weights) {
	e.report.Residents = slices.DeleteFunc(slices.Clone(e.report.Residents), func(r backend.Resident) bool {
		return r.Model == weights.Model && r.Adapter == weights.Adapter
	})
}

// free is the memory of a server that nothing has and no order may yet take.
func (p *Planner) free(e *engine) unit.Bytes {
	if !e.measured {
		e.room = p.measureFree(e)
		e.measured = true
	}
	return e.room
}

func (p *Planner) measureFree(e *engine) unit.Bytes {
	free := p.engine.Memory
	for i := range e.report.Residents {
		resident := &e.report.Residents[i]
		if m, declared := p.models[resident.Model]; declared && resident.Adapter == "" {
			free -= m.spec.Memory
		}
	}
	if e.pending != nil && e.pending.order.Kind == backend.LoadModel && !e.hasModel(e.pending.order.Model) {
		if m, declared := p.models[e.pending.order.Model]; declared {
			free -= m.spec.Memory
		}
	}
	for weights := range e.allAdapters() {
		if m, declared := p.models[weights.Model]; declared {
			free -= m.spec.AdapterMemory
		}
	}
	return free
}

// allAdapters gives the adapters that are on a server, on their way there, or may
// be.
func (e *engine) allAdapters() map[request.Weights]bool {
	if e.known != nil {
		return e.known
	}
	all := make(map[request.Weights]bool)
	for _, list := range [][]backend.Resident{e.report.Residents, e.report.Coming} {
		for i := range list {
			if list[i].Adapter != "" {
				all[list[i].Weights()] = true
			}
		}
	}
	for weights := range e.adapters {
		all[weights] = true
	}
	if e.pending != nil && e.pending.order.Kind == backend.LoadAdapter {
		all[e.pending.weights()] = true
	}
	e.known = all
	return all
}

// weights gives what the order is about.
func (p *pending) weights() request.Weights {
	return request.Weights{
		Model:   p.order.Model,
		Adapter: p.order.Adapter,
	}
}
