// Package loading decides which models and adapters the engines of one service load. An
// engine's memory holds only a few models, and demand shifts between models within seconds.
//
// The main type is Planner. The leader, the one host that may send orders to engines, runs
// one Planner for each service: it passes in the list of engines, their reports, the demand
// counted by all hosts, and the answers to orders, and it sends the orders that Step
// returns. A Planner reads no clock and does no I/O; one round of reports is enough for a
// new leader's planner to know the state of the engines. It has no locks and starts no
// goroutines: all calls must come from one goroutine.
//
// Other types are Inventory, what is loaded on one engine, for routing requests; and
// LoadHistory and LoadedModels, with which hosts track the loads of the current leader, so
// that the next one respects the load rate limit of the weight store.
//
// # Usage
//
//	planner := loading.NewPlanner(loading.Options{})
//	planner.Configure(service.Engine)
//	planner.SetServers(servers)
//	planner.ApplyReport(report)
//	planner.AddDemand(now, region, weights, demand)
//	for _, order := range planner.Step(now) {
//		// send it, then:
//		planner.ApplyAnswer(now, order.Server, &order, answer)
//	}
//
// # Why memory is never overcommitted
//
// Engines count the orders that they accept, and each order names the count at which it may
// take effect. The planner decides an order from a report with exactly that count, and has
// at most one unsettled order for each engine. If an older order, of this leader or an
// earlier one, arrives late, either the count has already passed its number, or the order
// raises the count and the newer order is refused. So an order never takes effect in a
// state other than the one for which it was decided.
//
// # Priorities
//
//  1. Models without a replica are loaded, alternating with models that have more work than
//     their replicas can do.
//  2. Requested adapters are loaded onto engines that serve their model.
//  3. Replicas follow demand: a model gets a replica where this balances the engines best, in
//     free memory or in memory of replicas that are retired for it.
//  4. While demand is steady, memory is kept free, and idle models get spare replicas.
package loading

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
)

// Options are limits set by the deployment. Zero fields select the defaults.
type Options struct {
	// Window and Overshoot limit the loads from the weight store: within any span of length
	// Window, at most LoadsPerSecond x Window x Overshoot may start.
	Window    time.Duration
	Overshoot float64
}

// Defaults of Options.
const (
	defaultWindow    = 5 * time.Second
	defaultOvershoot = 1.0
)

// Timing and limits of orders.
const (
	// retirementNotice is how long before an unload the hosts are notified to send requests
	// elsewhere: two rounds of their exchange with the leader.
	retirementNotice = 500 * time.Millisecond
	// resendAfter is when an unanswered order is sent again. It names the same count, so at
	// most one of the two takes effect.
	resendAfter = 700 * time.Millisecond
	// A report is not used for decisions once it is older than the time between two reports
	// plus reportDelay, and than minMaxReportAge.
	minMaxReportAge = 1500 * time.Millisecond
	reportDelay     = 500 * time.Millisecond
	// orderStartTimeout is how long reports may show no sign of an accepted order before it
	// counts as lost. Reports lag by some hundred milliseconds.
	orderStartTimeout = 2 * time.Second
	// maxReportLag is how long a report with a lower order count than the answers is
	// ignored as out of date. Reports are some hundred milliseconds old when they arrive.
	maxReportLag = 800 * time.Millisecond
	// loadBurst is how many loads may start at once above the rate limit.
	loadBurst = 2
	// unansweredLoadTime is how long after its order was sent an unanswered load may still
	// start.
	unansweredLoadTime = 13 * time.Second
)

// Server is an engine that may receive orders.
type Server struct {
	backend.Server
	Incarnation ident.Incarnation
	Leaving     bool
	// Residents are the weights that the engine's entry names. They count until the first
	// report.
	Residents []backend.Resident
}

// Planner plans the loads and unloads on the engines of one service. It must be used from
// one goroutine only.
type Planner struct {
	options    Options
	engineSpec *route.Engine
	// reportInterval is the time between two reports of an engine.
	reportInterval time.Duration
	models         map[ident.ModelName]*model
	engines        map[ident.ServerName]*engine
	// sortedEngines has the engines sorted by name.
	sortedEngines []*engine
	demand        map[request.Weights]*smoothedDemand
	// demandByModel is the demand by model, summed at demandSummedAt.
	demandByModel  map[ident.ModelName]*modelDemand
	demandSummedAt time.Time
	// cachedWorkGoal is the result of workGoal for that demand, 0 until it is computed.
	cachedWorkGoal float64
	// distribution is the result of currentDistribution, nil until it is computed in a
	// step.
	distribution *workDistribution
	// isPaced is set once an engine has named its pace.
	isPaced bool
	// receivedRequests is set once a host has reported requests.
	receivedRequests bool
	// missingModelCount is the number of models without a replica. oversubscribed is the
	// result of isOversubscribed.
	missingModelCount int
	oversubscribed    bool
	// missingSince is when each model without a replica was first seen to have none.
	missingSince map[ident.ModelName]time.Time
	// loadStarts are the instants at which loads from the weight store may have started.
	loadStarts []time.Time
	// modelsBefore are the models that engines had when the planner was created, nil if
	// unknown.
	modelsBefore map[ident.ServerName]LoadedModels
	// startedAt is when the planner took its first step.
	startedAt   time.Time
	retirements []Retirement
	// changedEngines are the engines whose inventory may have changed since
	// TakeInventoryChanges, and those that have gone.
	changedEngines map[ident.ServerName]struct{}
}

// Retirement is the decision to unload one replica, and its reason.
type Retirement struct {
	Server ident.ServerName
	Model  ident.ModelName
	// ForModel is the model that needs the memory; empty if the memory is to be kept free.
	ForModel ident.ModelName
	// Work is the expected work for Model. Score is the value by which the replica was
	// chosen: the work for each remaining replica plus penalties, or the value of the move
	// that needs the memory. Replicas is the number of remaining replicas.
	Work     float64
	Score    float64
	Replicas int
}

// TakeRetirements returns the retirements decided since the last call.
func (p *Planner) TakeRetirements() []Retirement {
	taken := p.retirements
	p.retirements = nil
	return taken
}

// model is a model that the configuration declares.
type model struct {
	spec *route.Model
	// replicas is the number of engines that have the model and keep it, or are loading it.
	replicas int
	// ready is the number of engines that serve it.
	ready int
	// engines are the engines counted by replicas; replicasByRegion has their number by
	// region.
	engines          []*engine
	replicasByRegion map[ident.Region]int
}

// addReplica counts a replica on an engine that has the model or is loading it.
func (m *model) addReplica(e *engine) {
	m.replicas++
	m.engines = append(m.engines, e)
	m.replicasByRegion[e.Region]++
}

// removeReplica reverts addReplica.
func (m *model) removeReplica(e *engine) {
	m.replicas--
	m.engines = slices.DeleteFunc(m.engines, func(other *engine) bool { return other == e })
	m.replicasByRegion[e.Region]--
}

// enginesWith returns the engines that have a model or are loading it; none for a model
// that is not declared.
func (p *Planner) enginesWith(name ident.ModelName) []*engine {
	if m, declared := p.models[name]; declared {
		return m.engines
	}
	return nil
}

// servedModels iterates over the declared models that an engine serves.
func (p *Planner) servedModels(e *engine) iter.Seq2[ident.ModelName, *model] {
	return func(yield func(ident.ModelName, *model) bool) {
		for _, name := range e.models {
			if m, declared := p.models[name]; declared && e.serves(name) && !yield(name, m) {
				return
			}
		}
	}
}

// NewPlanner returns a planner without configuration, engines or demand.
func NewPlanner(options Options) *Planner {
	options.Window = cmp.Or(options.Window, defaultWindow)
	options.Overshoot = cmp.Or(options.Overshoot, defaultOvershoot)
	return &Planner{
		options: options,
		models:  make(map[ident.ModelName]*model),
		engines: make(map[ident.ServerName]*engine),
		demand:  make(map[request.Weights]*smoothedDemand),

		missingSince:   make(map[ident.ModelName]time.Time),
		changedEngines: make(map[ident.ServerName]struct{}),
	}
}

// Configure sets the configuration of the service's engines.
func (p *Planner) Configure(declared *route.Engine) {
	if p.engineSpec == declared {
		return
	}
	p.engineSpec = declared
	p.models = make(map[ident.ModelName]*model, len(declared.Models))
	for i := range declared.Models {
		p.models[declared.Models[i].Name] = &model{
			spec:             &declared.Models[i],
			replicasByRegion: make(map[ident.Region]int),
		}
	}
	for _, e := range p.engines {
		p.markChanged(e)
	}
}

// SetReportInterval sets the time between two reports of an engine: in a large fleet each
// engine reports less often, and counts as lost later.
func (p *Planner) SetReportInterval(interval time.Duration) {
	p.reportInterval = interval
}

// maxReportAge is the age above which a report is not used for decisions. An order that was
// decided on an older report still takes effect only in the state for which it was decided.
func (p *Planner) maxReportAge() time.Duration {
	return max(minMaxReportAge, p.reportInterval+reportDelay)
}

// SetServers sets the list of engines, at an instant.
func (p *Planner) SetServers(now time.Time, servers []Server) {
	seen := make(map[ident.ServerName]bool, len(servers))
	for _, server := range servers {
		seen[server.Name] = true
		e, known := p.engines[server.Name]
		if !known || e.Incarnation != server.Incarnation || e.Address != server.Address {
			if known && e.reported {
				p.recordRestart(&server)
			}
			e = &engine{
				confirmedAdapters: make(map[request.Weights]time.Time),
				retiring:          make(map[ident.ModelName]time.Time),
				retiringLast:      make(map[ident.ModelName]bool),
				loadedSince:       make(map[ident.ModelName]time.Time),
				listedAt:          now,
			}
			p.engines[server.Name] = e
			p.changedEngines[server.Name] = struct{}{}
		}
		e.Server = server
		if !e.reported {
			e.setModels(now, modelsOf(server.Residents))
		}
	}
	for name := range p.engines {
		if !seen[name] {
			delete(p.engines, name)
			p.changedEngines[name] = struct{}{}
		}
	}
	p.sortedEngines = p.sortedEngines[:0]
	for _, e := range p.engines {
		p.sortedEngines = append(p.sortedEngines, e)
	}
	slices.SortFunc(p.sortedEngines, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	for i, e := range p.sortedEngines {
		e.index = i
	}
	p.distribution = nil
}

// ApplyReport applies an engine's report. Reports of another incarnation are ignored, and
// so are reports that do not yet count an order that the engine has accepted. If reports
// keep a lower count than the answers for longer than maxReportLag, the answers were wrong
// and the report is applied: an engine whose reports were ignored for good would count as
// lost with all its models.
func (p *Planner) ApplyReport(report *backend.Report) {
	e, known := p.engines[report.Server]
	if !known || report.Incarnation != e.Incarnation {
		return
	}
	if report.OrdersAccepted < e.acceptedOrders && report.ReportedAt.Sub(e.acceptedAt) < maxReportLag {
		return
	}
	loaded := modelsInReport(report)
	p.countForeignLoads(e, report, loaded)
	e.report = *report
	e.reported = true
	e.setModels(report.ReportedAt, loaded.Models)
	p.markChanged(e)
	e.acceptedOrders = report.OrdersAccepted
	for weights := range e.confirmedAdapters {
		if !e.hasModel(weights.Model) {
			delete(e.confirmedAdapters, weights)
		}
	}
	for name := range e.retiring {
		if !e.hasModel(name) {
			delete(e.retiring, name)
		}
	}
}

// ApplyAnswer applies an engine's answer to an order.
func (p *Planner) ApplyAnswer(now time.Time, server ident.ServerName, order *backend.CountedOrder, answer backend.OrderAnswer) {
	e, known := p.engines[server]
	if !known || e.pending == nil || e.pending.order.ID != order.ID {
		return
	}
	e.pending.unanswered = false
	p.markChanged(e)
	switch answer {
	case backend.OrderAccepted, backend.OrderNotNeeded:
		p.handleAccepted(now, e, answer)
	case backend.OrderUnknown:
		e.pending.unanswered = true
	default:
		e.pending = nil
		e.pausedUntil = now.Add(refusedOrderPause)
	}
}

// refusedOrderPause is how long an engine gets no further order after it refused one, so
// that a report can show what has changed.
const refusedOrderPause = 250 * time.Millisecond

func (p *Planner) handleAccepted(now time.Time, e *engine, answer backend.OrderAnswer) {
	order := &e.pending.order
	weights := e.pending.weights()
	switch order.Kind {
	case backend.LoadAdapter:
		e.confirmedAdapters[weights] = now.Add(adapterLoadTime)
	case backend.UnloadAdapter:
		delete(e.confirmedAdapters, weights)
		e.removeResident(weights)
	}
	if answer == backend.OrderNotNeeded {
		e.pending = nil
		e.pausedUntil = now.Add(refusedOrderPause)
		return
	}
	e.acceptedOrders = order.AfterOrders + 1
	e.acceptedAt = now
	e.pending.acceptedAt = now
	if order.Adapter != "" {
		e.pending = nil // engines load and unload adapters alongside other orders
	}
}

// adapterLoadTime is how long an adapter load takes, including the network round trip.
const adapterLoadTime = 40 * time.Millisecond

// settleOrders ends the pending orders whose effect reports show, and those that were lost.
func (p *Planner) settleOrders(now time.Time) {
	for _, e := range p.sortedEngines {
		pending := e.pending
		if pending == nil || !e.reported {
			continue
		}
		isAccepted := e.report.OrdersAccepted > pending.order.AfterOrders
		switch {
		case isAccepted && !e.report.OrderInProgress:
			e.pending = nil
			p.markChanged(e)
		case !isAccepted && !pending.acceptedAt.IsZero() && now.Sub(pending.acceptedAt) > orderStartTimeout:
			e.pending = nil // the engine has lost the order
			p.markChanged(e)
			e.acceptedOrders = e.report.OrdersAccepted
		}
	}
}

// Step returns the orders to send now: new ones, and unanswered ones to send again.
func (p *Planner) Step(now time.Time) []backend.CountedOrder {
	if p.engineSpec == nil {
		return nil
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.settleOrders(now)
	p.expireLoadStarts(now)
	p.countReplicas(now)
	var orders []backend.CountedOrder
	orders = append(orders, p.resendUnanswered(now)...)
	orders = append(orders, p.loadMissingModels(now)...)
	orders = append(orders, p.loadAdapters(now)...)
	orders = append(orders, p.rebalance(now)...)
	orders = append(orders, p.preloadIdleModels(now)...)
	return append(orders, p.unloadRetired(now)...)
}

// resendUnanswered returns the orders that have had no answer for resendAfter.
func (p *Planner) resendUnanswered(now time.Time) []backend.CountedOrder {
	var orders []backend.CountedOrder
	for _, e := range p.sortedEngines {
		if e.pending == nil || !e.pending.unanswered || now.Sub(e.pending.sentAt) < resendAfter || e.Leaving {
			continue
		}
		e.pending.sentAt = now
		e.pending.unanswered = false
		orders = append(orders, e.pending.order)
	}
	return orders
}

// isAvailable reports whether the engine's models can serve requests. Until its first report
// those of its entry count: a new leader would otherwise load again what the engines have that
// it has not asked yet.
func (p *Planner) isAvailable(now time.Time, e *engine) bool {
	seenAt := e.report.ReportedAt
	if !e.reported {
		seenAt = e.listedAt
	}
	return !e.Leaving && now.Sub(seenAt) <= max(reportTimeout, p.reportInterval+lostReportTime)
}

// countReplicas counts the replicas of each model.
func (p *Planner) countReplicas(now time.Time) {
	p.distribution = nil
	for _, m := range p.models {
		m.replicas = 0
		m.ready = 0
		m.engines = m.engines[:0]
		clear(m.replicasByRegion)
	}
	for _, e := range p.sortedEngines {
		if p.isAvailable(now, e) {
			p.countReplicasOn(e)
		}
	}
	p.oversubscribed = p.isOversubscribed()
	p.missingModelCount = 0
	for _, m := range p.models {
		if m.replicas == 0 {
			p.missingModelCount++
		}
	}
}

// countReplicasOn counts the replicas on one engine.
func (p *Planner) countReplicasOn(e *engine) {
	for _, m := range p.servedModels(e) {
		m.addReplica(e)
		m.ready++
	}
	if e.pending == nil || e.pending.order.Kind != backend.LoadModel || e.serves(e.pending.order.Model) {
		return
	}
	if m, declared := p.models[e.pending.order.Model]; declared {
		m.addReplica(e)
	}
}

// createOrder creates an order and records it as the engine's pending order.
func (p *Planner) createOrder(now time.Time, e *engine, kind backend.OrderKind, weights request.Weights) backend.CountedOrder {
	order := backend.CountedOrder{
		Order: backend.Order{
			ID:          ident.OrderID(string(e.Name) + "/" + string(kind) + "/" + now.Format(time.RFC3339Nano)),
			Kind:        kind,
			Incarnation: e.Incarnation,
			Model:       weights.Model,
			Adapter:     weights.Adapter,
		},
		Server:      e.Name,
		AfterOrders: e.acceptedOrders,
	}
	p.markChanged(e)
	e.pending = &pendingOrder{
		order:  order,
		sentAt: now,
	}
	return order
}
