package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

const (
	// reportInterval is between two report requests to one engine, where there are no more
	// than reportEngines engines: above that it grows in proportion, up to slowReportInterval,
	// so that the leader requests 64 reports a second at most up to 64 engines. From
	// reportsPerSecond engines on it grows again: with more reports the leader, and the
	// watchers that pass on what has changed, would use up their processors.
	reportInterval     = 250 * time.Millisecond
	reportEngines      = 16
	slowReportInterval = time.Second
	reportsPerSecond   = 800
	reportTimeout      = 600 * time.Millisecond
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
	c.reportAskedAt = make(map[ident.ServerName]time.Time)
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
	byService := make(map[ident.ServiceName][]loading.Server)
	registrations := c.registry.Servers(now)
	interval := reportIntervalFor(len(registrations))
	for _, registration := range registrations {
		service := c.configuration.Services[registration.Server.Service]
		if service.Engine == nil {
			continue
		}
		byService[service.Name] = append(byService[service.Name], loading.Server{
			Server:      registration.Server,
			Incarnation: registration.Report.Incarnation,
			Leaving:     registration.Report.Leaving || c.saysItLeaves(&registration),
		})
		c.requestReport(now, interval, service.Name, &registration)
	}
	for name, servers := range byService {
		c.planService(now, name, servers)
	}
	if c.term.mayStart() {
		c.updateInventory(now)
	}
}

// saysItLeaves reports whether a server has said in its answers to this host that it is leaving.
func (c *control) saysItLeaves(registration *backend.Registration) bool {
	return c.backpressure.Server(registration.Server.Name, registration.Report.Incarnation).State().IsLeaving
}

// reportIntervalFor returns the time between two report requests to one of so many servers.
func reportIntervalFor(servers int) time.Duration {
	interval := reportInterval * time.Duration(servers) / reportEngines
	interval = min(max(interval, reportInterval), slowReportInterval)
	return max(interval, time.Second*time.Duration(servers)/reportsPerSecond)
}

// updateInventory replaces the inventory, which hosts are sent, by what the leader's planners
// know of the engines.
func (c *control) updateInventory(now time.Time) {
	var engines []loading.Inventory
	for _, planner := range c.planners {
		engines = append(engines, planner.Inventories(now)...)
	}
	before := c.inventory.Cursor()
	c.inventory.Replace(now, c.term.token, engines)
	c.applyEngineUpdates(now, c.inventory.Since(before).Engines)
}

func (c *control) planService(now time.Time, name ident.ServiceName, servers []loading.Server) {
	engine := c.configuration.Services[name].Engine
	planner, known := c.planners[name]
	if !known {
		bounds := &c.options.Settings.Bounds
		planner = loading.NewPlanner(loading.Options{
			Window:    bounds.LoadWindow,
			Overshoot: bounds.LoadOvershoot,
		})
		c.planners[name] = planner
		planner.Configure(engine)
		if !c.term.isFirst {
			past := c.inventory.LoadHistory()
			planner.ResumeRateLimit(now, past)
			c.log.Info("load rate limit resumes from the inventory", zap.String("Service", string(name)), zap.Time("KnownFrom", past.CompleteSince), zap.Int("Loads", len(past.StartTimes)))
		}
	}
	planner.Configure(engine)
	planner.SetServers(servers)
	for weights, demand := range c.pools[name].TakeDemand() {
		planner.AddDemand(now, c.options.Settings.Host.Region, weights, loading.Demand(demand))
	}
	if !c.term.mayStart() {
		return
	}
	for _, order := range planner.Step(now) {
		at := slices.IndexFunc(servers, func(s loading.Server) bool { return s.Name == order.Server })
		c.sendOrder(name, &servers[at], order)
	}
	for _, decision := range planner.TakeRetirements() {
		c.log.Info("replica is retired", zap.String("Server", string(decision.Server)), zap.String("Model", string(decision.Model)),
			zap.String("For", string(decision.ForModel)), zap.Float64("Work", decision.Work), zap.Float64("Left", decision.Score),
			zap.Int("Replicas", decision.Replicas))
	}
}

// applyEngineUpdates applies changes of the leader's inventory of some engines.
func (c *control) applyEngineUpdates(now time.Time, engines []holdings.Engine) {
	c.updateInventoryFreshness(now)
	if len(engines) == 0 {
		return
	}
	c.loadsOutdated = true
	c.poolsOutdated = c.poolsOutdated || slices.ContainsFunc(engines, func(e holdings.Engine) bool { return !e.LoadOnly })
	loads := make([]pacing.ServerLoad, 0, len(engines))
	for i := range engines {
		loads = append(loads, pacing.ServerLoad{
			Server:  engines[i].Server,
			Prompts: engines[i].Running + engines[i].Waiting,
		})
	}
	c.schedulers.queue.UpdateLoads(now, loads)
}

// requestReport requests an engine's report, if it is time to.
func (c *control) requestReport(now time.Time, interval time.Duration, service ident.ServiceName, registration *backend.Registration) {
	server, incarnation := registration.Server, registration.Report.Incarnation
	if planner, known := c.planners[service]; known && planner.HasPendingOrder(server.Name) {
		interval = reportInterval // so that the end of the order is seen soon
	}
	pressure := c.backpressure.Server(server.Name, incarnation)
	if state := pressure.State(); now.Sub(c.reportAskedAt[server.Name]) < interval || state.IsResting(now) {
		return
	}
	c.reportAskedAt[server.Name] = now
	c.tomb.Go(func() error {
		report, err := c.options.Engines.FetchReport(c.context(), &server, incarnation, now.Add(reportTimeout))
		if err != nil {
			c.post(reportFailed{
				server: server.Name,
				err:    err,
			})
			return nil
		}
		c.post(reportReceived{
			service: service,
			report:  report,
		})
		return nil
	})
}

// reportReceived is an engine's report.
type reportReceived struct {
	service ident.ServiceName
	report  backend.Report
}

func (e reportReceived) apply(_ time.Time, c *control) {
	if c.silentEngines[e.report.Server] {
		delete(c.silentEngines, e.report.Server)
		c.log.Info("engine reports again", zap.String("Server", string(e.report.Server)), zap.Int64("OrdersAccepted", e.report.OrdersAccepted))
	}
	if planner, known := c.planners[e.service]; known {
		planner.ApplyReport(&e.report)
	}
}

// reportFailed is a failure to get an engine's report.
type reportFailed struct {
	server ident.ServerName
	err    error
}

func (e reportFailed) apply(_ time.Time, c *control) {
	if !c.silentEngines[e.server] {
		c.silentEngines[e.server] = true
		c.log.Info("no report from engine", zap.String("Server", string(e.server)), zap.Error(e.err))
	}
}

// sendOrder sends an order, unless this host may send none at that very instant, or none to this
// server.
func (c *control) sendOrder(service ident.ServiceName, server *loading.Server, order backend.CountedOrder) {
	term := c.term
	address := server.Address
	pressure := c.backpressure.Server(server.Name, server.Incarnation)
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
