// Package loading decides which models and adapters the engines of one service
// hold, where each holds few and demand moves within seconds.
//
// A Planner belongs to the one host that may give orders. It hears reports,
// demand and the answers to orders, and gives the next orders. It reads no clock
// and does no I/O, so a new holder's planner comes to the same state from one
// round of reports.
//
// # Usage
//
//	planner := loading.NewPlanner(loading.Options{})
//	planner.Declare(service.Engine)
//	planner.SetServers(servers)
//	planner.Report(report)
//	planner.Ask(now, region, weights, demand)
//	for _, order := range planner.Step(now) {
//		// send it, then:
//		planner.Answered(now, order.Server, &order, answer)
//	}
//
// # Why memory is never overcommitted
//
// Engines count the orders that they accept, and an order names the count at which
// it may take effect. Each order here is decided from a report of just that count,
// and there is one order a server at a time: whatever arrives late, from this
// holder or an earlier one, finds a count that has moved on, or moves it on
// itself, and then the order decided here finds that. So an order never takes
// effect in a state other than the one that it was decided in.
//
// # What is decided, most needed first
//
//  1. A model that no server holds is loaded, in turn with models that have more work
//     than their replicas can do.
//  2. Adapters that are asked for are loaded where their model lies.
//  3. Replicas follow demand: a model gets one where the work, spread over the engines,
//     then lies most evenly, in free memory or where others make way.
//  4. In calm, room is kept free, and idle models get second copies.
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

// Options are the bounds that the deployment sets. Zero fields take the defaults.
type Options struct {
	// Window and Overshoot bound how many loads from the weight store may begin in
	// any span of that length: LoadsPerSecond x Window x Overshoot.
	Window    time.Duration
	Overshoot float64
}

// The defaults of Options.
const (
	defaultWindow    = 5 * time.Second
	defaultOvershoot = 1.0
)

// Bounds on planning.
const (
	// retireNotice is how long before an unload the hosts are told to send
	// requests elsewhere: two rounds of their exchange with the holder.
	retireNotice = 500 * time.Millisecond
	// resendAfter is when an order without an answer is sent again. The same count
	// stands in it, so that at most one of the two takes effect.
	resendAfter = 700 * time.Millisecond
	// reportTrust is how long a report is decided by.
	reportTrust = 1500 * time.Millisecond
	// startTrust is how long an order that was accepted may go without a sign of
	// it in reports, which lag by some hundred milliseconds.
	startTrust = 2 * time.Second
	// reportLag is how long reports may lag behind an accepted order: they are some
	// hundred milliseconds old when they come.
	reportLag = 800 * time.Millisecond
	// coldLoads is how many loads may begin at once over the pace.
	coldLoads = 2
	// unresolvedLoad is how long a load that got no answer may still begin.
	unresolvedLoad = 13 * time.Second
)

// Server is an engine that orders may go to.
type Server struct {
	backend.Server
	Incarnation ident.Incarnation
	Leaving     bool
}

// Planner plans for the engines of one service. It belongs to one goroutine.
type Planner struct {
	options Options
	engine  *route.Engine
	models  map[ident.ModelName]*model
	engines map[ident.ServerName]*engine
	// list has the engines in the order of their names.
	list   []*engine
	demand map[request.Weights]*rate
	// byModel is the demand by model at summedAt.
	byModel  map[ident.ModelName]*modelDemand
	summedAt time.Time
	// goalWork is the goal that follows from it, 0 until it is asked for.
	goalWork float64
	// lies is how the work lies on the engines, nil until it is asked for in a step.
	lies *spread
	// heard tells that requests have come since the planner began.
	heard bool
	// nowhere counts the models that are held nowhere, crowded tells that the engines
	// can't hold all of them together.
	nowhere int
	crowded bool
	// missingSince is when a model was first seen to be held nowhere.
	missingSince map[ident.ModelName]time.Time
	// begun are the instants at which loads from the weight store may have begun.
	begun []time.Time
	// before has the models that engines held when the planner began, as far as was known.
	before map[ident.ServerName]Held
	// begunAt is when the planner took its first step.
	begunAt   time.Time
	decisions []Decision
}

// Decision is one replica that has to make way, and why.
type Decision struct {
	Server ident.ServerName
	Model  ident.ModelName
	// For is the model that needs the room; empty where it is kept free.
	For ident.ModelName
	// Work is the demand for Model, Left what each of the Replicas that stay will
	// have of it, with what else spoke against the server.
	Work     float64
	Left     float64
	Replicas int
}

// TakeDecisions gives the decisions since the last call.
func (p *Planner) TakeDecisions() []Decision {
	taken := p.decisions
	p.decisions = nil
	return taken
}

// model is a declared model.
type model struct {
	spec *route.Model
	// replicas counts the servers that hold the model and keep it, or load it.
	replicas int
	// ready counts those that serve it.
	ready int
	// on has these servers, inRegion how many of them each region has.
	on       []*engine
	inRegion map[ident.Region]int
}

// add counts a server that holds the model, or will.
func (m *model) add(e *engine) {
	m.replicas++
	m.on = append(m.on, e)
	m.inRegion[e.Region]++
}

// remove counts it no longer.
func (m *model) remove(e *engine) {
	m.replicas--
	m.on = slices.DeleteFunc(m.on, func(o *engine) bool { return o == e })
	m.inRegion[e.Region]--
}

// on gives the servers that hold a model, or will; none for one that isn't declared.
func (p *Planner) on(name ident.ModelName) []*engine {
	if m, declared := p.models[name]; declared {
		return m.on
	}
	return nil
}

// served gives the declared models that a server serves.
func (p *Planner) served(e *engine) iter.Seq2[ident.ModelName, *model] {
	return func(yield func(ident.ModelName, *model) bool) {
		for _, name := range e.held {
			if m, declared := p.models[name]; declared && e.serves(name) && !yield(name, m) {
				return
			}
		}
	}
}

// NewPlanner gives a planner that knows nothing.
func NewPlanner(options Options) *Planner {
	options.Window = cmp.Or(options.Window, defaultWindow)
	options.Overshoot = cmp.Or(options.Overshoot, defaultOvershoot)
	return &Planner{
		options: options,
		models:  make(map[ident.ModelName]*model),
		engines: make(map[ident.ServerName]*engine),
		demand:  make(map[request.Weights]*rate),

		missingSince: make(map[ident.ModelName]time.Time),
	}
}

// Declare takes in what the configuration says of the service's engines.
func (p *Planner) Declare(declared *route.Engine) {
	if p.engine == declared {
		return
	}
	p.engine = declared
	p.models = make(map[ident.ModelName]*model, len(declared.Models))
	for i := range declared.Models {
		p.models[declared.Models[i].Name] = &model{
			spec:     &declared.Models[i],
			inRegion: make(map[ident.Region]int),
		}
	}
	for _, e := range p.engines {
		e.changed()
	}
}

// SetServers takes in which servers there are.
func (p *Planner) SetServers(servers []Server) {
	seen := make(map[ident.ServerName]bool, len(servers))
	for _, server := range servers {
		seen[server.Name] = true
		e, known := p.engines[server.Name]
		if !known || e.Incarnation != server.Incarnation || e.Address != server.Address {
			if known && e.reported {
				p.beganAnew(&server)
			}
			e = &engine{
				adapters: make(map[request.Weights]time.Time),
				retiring: make(map[ident.ModelName]time.Time),
				dropping: make(map[ident.ModelName]bool),
				since:    make(map[ident.ModelName]time.Time),
			}
			p.engines[server.Name] = e
		}
		e.Server = server
	}
	for name := range p.engines {
		if !seen[name] {
			delete(p.engines, name)
		}
	}
	p.list = p.list[:0]
	for _, e := range p.engines {
		p.list = append(p.list, e)
	}
	slices.SortFunc(p.list, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
}

// Report takes in an engine's word. One of another life, or from before an order
// that the engine has accepted since, says nothing of what holds now. But where
// reports go on to show less than the answers told, the answers were wrong: an
// engine that was not believed any more would count as dead, and all it holds as
// gone.
func (p *Planner) Report(report *backend.Report) {
	e, known := p.engines[report.Server]
	if !known || report.Incarnation != e.Incarnation {
		return
	}
	if report.OrdersAccepted < e.accepted && report.At.Sub(e.acceptedAt) < reportLag {
		return
	}
	held := heldIn(report)
	p.noteForeign(e, report, held)
	e.report = *report
	e.reported = true
	e.noteHeld(report.At, held.Models)
	e.changed()
	e.accepted = report.OrdersAccepted
	for weights := range e.adapters {
		if !e.hasModel(weights.Model) {
			delete(e.adapters, weights)
		}
	}
	for name := range e.retiring {
		if !e.hasModel(name) {
			delete(e.retiring, name)
		}
	}
}

// Answered takes in what an engine said of the order that it was sent.
func (p *Planner) Answered(now time.Time, server ident.ServerName, order *backend.CountedOrder, answer backend.OrderAnswer) {
	e, known := p.engines[server]
	if !known || e.pending == nil || e.pending.order.ID != order.ID {
		return
	}
	e.pending.unanswered = false
	e.changed()
	switch answer {
	case backend.OrderAccepted, backend.OrderHolds:
		p.accept(now, e, answer)
	case backend.OrderUnknown:
		e.pending.unanswered = true
	default:
		e.pending = nil
		e.waitUntil = now.Add(turnedDownPause)
	}
}

// turnedDownPause is how long a server that turned an order down gets no other:
// until a report shows what has changed.
const turnedDownPause = 250 * time.Millisecond

func (p *Planner) accept(now time.Time, e *engine, answer backend.OrderAnswer) {
	order := &e.pending.order
	weights := e.pending.weights()
	switch order.Kind {
	case backend.LoadAdapter:
		e.adapters[weights] = now.Add(adapterTime)
	case backend.UnloadAdapter:
		delete(e.adapters, weights)
		e.dropResident(weights)
	}
	if answer == backend.OrderHolds {
		e.pending = nil
		e.waitUntil = now.Add(turnedDownPause)
		return
	}
	e.accepted = order.AfterOrders + 1
	e.acceptedAt = now
	e.pending.acceptedAt = now
	if order.Adapter != "" {
		e.pending = nil // engines carry it out beside others
	}
}

// adapterTime is how long an adapter takes to come, with what the network adds.
const adapterTime = 40 * time.Millisecond

// settle ends orders whose effect reports show.
func (p *Planner) settle(now time.Time) {
	for _, e := range p.list {
		order := e.pending
		if order == nil || !e.reported {
			continue
		}
		taken := e.report.OrdersAccepted > order.order.AfterOrders
		switch {
		case taken && !e.report.OrderUnderWay:
			e.pending = nil
			e.changed()
		case !taken && !order.acceptedAt.IsZero() && now.Sub(order.acceptedAt) > startTrust:
			e.pending = nil // the engine has lost the order
			e.changed()
			e.accepted = e.report.OrdersAccepted
		}
	}
}

// Step gives the next orders: new ones, and those to be sent again.
func (p *Planner) Step(now time.Time) []backend.CountedOrder {
	if p.engine == nil {
		return nil
	}
	if p.begunAt.IsZero() {
		p.begunAt = now
	}
	p.settle(now)
	p.forgetBegun(now)
	p.count(now)
	var orders []backend.CountedOrder
	orders = append(orders, p.resend(now)...)
	orders = append(orders, p.loadMissing(now)...)
	orders = append(orders, p.loadAdapters(now)...)
	orders = append(orders, p.followDemand(now)...)
	orders = append(orders, p.prepare(now)...)
	return append(orders, p.unloadRetired(now)...)
}

// resend gives the orders that got no answer once more.
func (p *Planner) resend(now time.Time) []backend.CountedOrder {
	var orders []backend.CountedOrder
	for _, e := range p.list {
		if e.pending == nil || !e.pending.unanswered || now.Sub(e.pending.sentAt) < resendAfter || e.Leaving {
			continue
		}
		e.pending.sentAt = now
		e.pending.unanswered = false
		orders = append(orders, e.pending.order)
	}
	return orders
}

// counts tells that what a server holds is there to be asked for.
func (p *Planner) counts(now time.Time, e *engine) bool {
	return !e.Leaving && e.reported && now.Sub(e.report.At) <= deadAfter
}

// count counts the replicas of each model.
func (p *Planner) count(now time.Time) {
	p.lies = nil
	for _, m := range p.models {
		m.replicas = 0
		m.ready = 0
		m.on = m.on[:0]
		clear(m.inRegion)
	}
	for _, e := range p.list {
		if p.counts(now, e) {
			p.countOn(e)
		}
	}
	p.crowded = p.isCrowded()
	p.nowhere = 0
	for _, m := range p.models {
		if m.replicas == 0 {
			p.nowhere++
		}
	}
}

// countOn counts the replicas on one server.
func (p *Planner) countOn(e *engine) {
	for _, m := range p.served(e) {
		m.add(e)
		m.ready++
	}
	if e.pending == nil || e.pending.order.Kind != backend.LoadModel || e.serves(e.pending.order.Model) {
		return
	}
	if m, declared := p.models[e.pending.order.Model]; declared {
		m.add(e)
	}
}

// order books an order to a server.
func (p *Planner) order(now time.Time, e *engine, kind backend.OrderKind, weights request.Weights) backend.CountedOrder {
	order := backend.CountedOrder{
		Order: backend.Order{
			ID:          ident.OrderID(string(e.Name) + "/" + string(kind) + "/" + now.Format(time.RFC3339Nano)),
			Kind:        kind,
			Incarnation: e.Incarnation,
			Model:       weights.Model,
			Adapter:     weights.Adapter,
		},
		Server:      e.Name,
		AfterOrders: e.accepted,
	}
	e.changed()
	e.pending = &pending{
		order:  order,
		sentAt: now,
	}
	return order
}
