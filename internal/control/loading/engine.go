package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// engine is the planner's state of one backend server.
type engine struct {
	Server
	// index is the engine's position in the order of names.
	index    int
	report   backend.Report
	reported bool
	// listedAt is when the engine was first listed.
	listedAt time.Time
	// acceptedOrders is the number of orders that the engine has accepted, from its reports
	// and its answers. The last answer of that kind came at acceptedAt.
	acceptedOrders int64
	acceptedAt     time.Time
	// confirmedAdapters has the adapters that answers to orders confirm, with the
	// instant from which requests may use each.
	confirmedAdapters map[request.Weights]time.Time
	pending           *pendingOrder
	// pace is what the engine's answers say on all hosts, announcedPace the lasting pace that
	// hosts have been told.
	pace          pace.Tracker
	announcedPace pace.Reading
	retiring      map[ident.ModelName]time.Time
	// retiringLast has the models in retiring for which this is the last replica. They may
	// be unloaded while no requests come for them.
	retiringLast map[ident.ModelName]bool
	// models are the models of the last report; loadedSince is when each was first
	// reported.
	models      []ident.ModelName
	loadedSince map[ident.ModelName]time.Time
	// cachedAdapters is the result of possibleAdapters, nil if it must be computed again.
	// cachedFreeMemory is the result of freeMemory, valid if isFreeMemoryCached is set.
	cachedAdapters     map[request.Weights]bool
	cachedFreeMemory   unit.Bytes
	isFreeMemoryCached bool
	// pausedUntil is the instant before which the engine gets no order, because it refused
	// one and reports do not show the reason yet.
	pausedUntil time.Time
}

// pendingOrder is the one unsettled order to an engine.
type pendingOrder struct {
	order  backend.CountedOrder
	sentAt time.Time
	// acceptedAt is when the engine accepted the order, zero before.
	acceptedAt  time.Time
	unanswered  bool
	isFromStore bool
}

const (
	// reportTimeout is how long, at least, an engine may go without a report before its models
	// count as lost and are loaded elsewhere.
	reportTimeout = 2 * time.Second
	// lostReportTime is how long a report may be overdue: it may have been lost, and is then
	// requested again.
	lostReportTime = time.Second
)

// HasPendingOrder reports whether an engine has an unsettled order.
func (p *Planner) HasPendingOrder(server ident.ServerName) bool {
	e, known := p.engines[server]
	return known && e.pending != nil
}

// canTakeOrder reports whether the engine's state is known exactly enough to decide an
// order for it: its report is recent and counts all accepted orders, and none is in
// progress.
func (p *Planner) canTakeOrder(now time.Time, e *engine) bool {
	return e.reported && !e.Leaving && e.pending == nil && !e.report.OrderInProgress && !now.Before(e.pausedUntil) &&
		now.Sub(e.report.ReportedAt) < p.maxReportAge() && e.report.OrdersAccepted == e.acceptedOrders
}

// serves reports whether the engine has a model that is neither retiring nor being
// unloaded.
func (e *engine) serves(name ident.ModelName) bool {
	if _, isRetiring := e.retiring[name]; isRetiring {
		return false
	}
	return e.hasModel(name) && !e.isUnloading(name)
}

func (e *engine) hasModel(name ident.ModelName) bool {
	return slices.Contains(e.models, name)
}

// setModels sets the models that the engine has.
func (e *engine) setModels(at time.Time, models []ident.ModelName) {
	e.models = models
	for _, name := range models {
		if _, known := e.loadedSince[name]; !known {
			e.loadedSince[name] = at
		}
	}
	for name := range e.loadedSince {
		if !e.hasModel(name) {
			delete(e.loadedSince, name)
		}
	}
}

// markChanged drops the values that are derived from an engine's state.
func (p *Planner) markChanged(e *engine) {
	e.cachedAdapters = nil
	e.isFreeMemoryCached = false
	p.changedEngines[e.Name] = struct{}{}
}

func (e *engine) isLoading(name ident.ModelName) bool {
	return e.pending != nil && e.pending.order.Kind == backend.LoadModel && e.pending.order.Model == name
}

func (e *engine) isUnloading(name ident.ModelName) bool {
	return e.pending != nil && e.pending.order.Kind == backend.UnloadModel && e.pending.order.Model == name
}

func (e *engine) removeResident(weights request.Weights) {
	e.report.Residents = slices.DeleteFunc(slices.Clone(e.report.Residents), func(r backend.Resident) bool {
		return r.Model == weights.Model && r.Adapter == weights.Adapter
	})
}

// freeMemory returns the engine's memory that is neither in use nor reserved by an
// unsettled order.
func (p *Planner) freeMemory(e *engine) unit.Bytes {
	if !e.isFreeMemoryCached {
		e.cachedFreeMemory = p.computeFreeMemory(e)
		e.isFreeMemoryCached = true
	}
	return e.cachedFreeMemory
}

func (p *Planner) computeFreeMemory(e *engine) unit.Bytes {
	free := p.engineSpec.Memory
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
	for weights := range e.possibleAdapters() {
		if m, declared := p.models[weights.Model]; declared {
			free -= m.spec.AdapterMemory
		}
	}
	return free
}

// possibleAdapters returns the adapters that the engine has, is loading, or may have
// because of an unsettled order.
func (e *engine) possibleAdapters() map[request.Weights]bool {
	if e.cachedAdapters != nil {
		return e.cachedAdapters
	}
	all := make(map[request.Weights]bool)
	for _, list := range [][]backend.Resident{e.report.Residents, e.report.LoadingAdapters} {
		for i := range list {
			if list[i].Adapter != "" {
				all[list[i].Weights()] = true
			}
		}
	}
	for weights := range e.confirmedAdapters {
		all[weights] = true
	}
	if e.pending != nil && e.pending.order.Kind == backend.LoadAdapter {
		all[e.pending.weights()] = true
	}
	e.cachedAdapters = all
	return all
}

// weights returns the weights that the order loads or unloads.
func (p *pendingOrder) weights() request.Weights {
	return request.Weights{
		Model:   p.order.Model,
		Adapter: p.order.Adapter,
	}
}
