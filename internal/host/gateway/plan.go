package gateway

import (
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

const (
	// planInterval is between two plans, urgentPlanInterval where a request waits for one.
	// maxPlanShare is the fraction of the time that plans may take, so that reports and hosts'
	// messages never wait for long. A plan that took long because its machine was suspended
	// delays the next by no more than maxPlanInterval.
	planInterval       = tickInterval - 10*time.Millisecond
	urgentPlanInterval = 50 * time.Millisecond
	maxPlanShare       = 0.2
	maxPlanInterval    = 500 * time.Millisecond
	// orderTimeout is how long an order may go without an answer.
	orderTimeout = 900 * time.Millisecond
)

// termStarted reports that this host has become the leader.
type termStarted struct {
	term *leaderTerm
}

func (e termStarted) apply(now time.Time, c *control) {
	c.term = e.term
	c.planners = make(map[ident.ServiceName]*loading.Planner)
	c.engines = engineList{
		isOutdated: true,
	}
	c.isPlanUrgent = true
}

// termEnded reports that this host is no longer the leader.
type termEnded struct{}

func (termEnded) apply(_ time.Time, c *control) {
	c.term = nil
	c.planners = nil
}

// isPlanDue tells whether it is time for the next plan.
func (c *control) isPlanDue(now time.Time) bool {
	interval := planInterval
	if c.isPlanUrgent {
		interval = urgentPlanInterval
	}
	interval = min(max(interval, time.Duration(float64(c.lastPlanDuration)/maxPlanShare)), maxPlanInterval)
	return c.term != nil && c.configuration != nil && now.Sub(c.lastPlanAt) >= interval
}

// plan requests reports from engines and sends the orders that are due, if it is time to.
func (c *control) plan(now time.Time) {
	if !c.isPlanDue(now) {
		return
	}
	c.lastPlanAt = now
	c.isPlanUrgent = false
	c.planAll(now)
	c.lastPlanDuration = time.Since(now)
	c.gauges.planSeconds.Update(c.lastPlanDuration.Seconds())
}

func (c *control) planAll(now time.Time) {
	c.updateEngineList(now)
	for name := range c.engines.byService {
		c.preparePlanner(now, name)
	}
	c.requestReports(now)
	c.receivePaces(now, c.takePaces())
	for name := range c.engines.byService {
		c.planService(now, name)
	}
	if c.term.mayStart() {
		c.updateInventory(now)
	}
}

// updateInventory updates the inventory, which hosts are sent, by what the leader's planners
// know of the engines.
func (c *control) updateInventory(now time.Time) {
	var changed []loading.Inventory
	var removed []ident.ServerName
	for _, planner := range c.planners {
		plannerChanged, plannerRemoved := planner.TakeInventoryChanges(now)
		changed = append(changed, plannerChanged...)
		removed = append(removed, plannerRemoved...)
	}
	before := c.inventory.Cursor()
	c.inventory.Record(now, c.term.token, changed, removed)
	c.applyEngineUpdates(now, before, c.inventory.Since(before).Engines)
	for _, name := range removed {
		c.outdatedServers[name] = struct{}{}
	}
}

// preparePlanner passes the configuration and the list of engines on to a service's planner.
func (c *control) preparePlanner(now time.Time, name ident.ServiceName) {
	planner, known := c.planners[name]
	if !known {
		bounds := &c.options.Settings.Bounds
		planner = loading.NewPlanner(loading.Options{
			Window:    bounds.LoadWindow,
			Overshoot: bounds.LoadOvershoot,
		})
		c.planners[name] = planner
		planner.Configure(c.configuration.Services[name].Engine)
		if !c.term.isFirst {
			past := c.inventory.LoadHistory()
			planner.ResumeRateLimit(now, past)
			c.log.Info("load rate limit resumes from the inventory", zap.String("Service", string(name)), zap.Time("KnownFrom", past.CompleteSince), zap.Int("Loads", len(past.StartTimes)))
		}
	}
	planner.Configure(c.configuration.Services[name].Engine)
	planner.SetReportInterval(c.engines.schedule.Interval())
	if !c.engines.isPassed[name] {
		c.engines.isPassed[name] = true
		planner.SetServers(now, c.engines.servers(name))
	}
}

func (c *control) planService(now time.Time, name ident.ServiceName) {
	planner := c.planners[name]
	for weights, demand := range c.pools[name].TakeDemand() {
		planner.AddDemand(now, c.options.Settings.Host.Region, weights, loading.Demand(demand))
	}
	if !c.term.mayStart() {
		return
	}
	for _, order := range planner.Step(now) {
		c.sendOrder(name, c.engines.byName[order.Server], order)
	}
	for _, decision := range planner.TakeRetirements() {
		c.log.Info("replica is retired", zap.String("Server", string(decision.Server)), zap.String("Model", string(decision.Model)),
			zap.String("For", string(decision.ForModel)), zap.Float64("Work", decision.Work), zap.Float64("Left", decision.Score),
			zap.Int("Replicas", decision.Replicas))
	}
}

// applyEngineUpdates applies changes of the leader's inventory of some engines since a cursor.
func (c *control) applyEngineUpdates(now time.Time, before holdings.Cursor, engines []holdings.Engine) {
	c.updateInventoryFreshness(now)
	if c.inventory.Cursor().FencingNumber != before.FencingNumber {
		c.poolsOutdated = true // what an earlier leader knew is gone
	}
	if len(engines) == 0 {
		return
	}
	loads := make([]pacing.ServerLoad, 0, len(engines))
	for i := range engines {
		c.outdatedServers[engines[i].Server] = struct{}{}
		loads = append(loads, pacing.ServerLoad{
			Server:  engines[i].Server,
			Prompts: engines[i].Running + engines[i].Waiting,
		})
	}
	c.schedulers.queue.UpdateLoads(now, loads)
}

// sendOrder sends an order, unless this host may send none at that very instant, or none to this
// server.
func (c *control) sendOrder(service ident.ServiceName, e *listedEngine, order backend.CountedOrder) {
	term := c.term
	address, pressure := e.Address, e.pressure
	order.Leader = c.options.Settings.Host.Name
	order.Fencing = term.token
	c.tomb.Go(func() error {
		answer, err := backend.OrderConflicts, error(nil)
		// Stored before the order is sent, so that what a new leader is told covers it.
		c.lastOrderBootNanos.Store(bootNanos())
		switch state := pressure.State(); {
		case !term.mayOrder():
		case state.IsResting(time.Now()):
			// An earlier copy of the order may have arrived.
			answer = backend.OrderUnknown
		default:
			answer, err = c.options.Engines.SendOrder(c.context(), address, &order, time.Now().Add(orderTimeout))
		}
		c.log.Info("order", zap.String("Server", string(order.Server)), zap.String("Kind", string(order.Kind)),
			zap.String("Model", string(order.Model)), zap.String("Adapter", string(order.Adapter)),
			zap.Int64("AfterOrders", order.AfterOrders), zap.Int64("Token", int64(order.Fencing)),
			zap.String("Answer", string(answer)), zap.Error(err))
		if answer == backend.OrderFenced {
			term.ended.Store(true)
		}
		c.post(orderAnswered{
			service: service,
			order:   order,
			answer:  answer,
		})
		return nil
	})
}

// orderAnswered is an engine's answer to an order.
type orderAnswered struct {
	service ident.ServiceName
	order   backend.CountedOrder
	answer  backend.OrderAnswer
}

func (e orderAnswered) apply(now time.Time, c *control) {
	if planner, known := c.planners[e.service]; known {
		planner.ApplyAnswer(now, e.order.Server, &e.order, e.answer)
		c.isPlanUrgent = true
	}
}
