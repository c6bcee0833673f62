package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
)

const (
	// reportEvery is between two reports asked of one engine, where there are no more
	// than paceEngines: with more of them it grows in proportion, up to mostReportEvery,
	// so that the holder asks 64 times a second at most up to 64 engines.
	reportEvery     = 250 * time.Millisecond
	paceEngines     = 16
	mostReportEvery = time.Second
	reportLimit     = 600 * time.Millisecond
	// orderLimit is how long an order may go without an answer.
	orderLimit = 900 * time.Millisecond
)

// tenureBegun tells that this host is the holder.
type tenureBegun struct {
	tenure *tenure
}

func (m tenureBegun) apply(now time.Time, c *control) {
	c.tenure = m.tenure
	c.planners = make(map[ident.ServiceName]*loading.Planner)
	c.asking = make(map[ident.ServerName]time.Time)
	c.plan(now)
}

// tenureEnded tells that it no longer is.
type tenureEnded struct{}

func (tenureEnded) apply(_ time.Time, c *control) {
	c.tenure = nil
	c.planners = nil
}

// plan asks engines for reports and gives the orders that are due.
func (c *control) plan(now time.Time) {
	if c.tenure == nil || c.configuration == nil {
		return
	}
	byService := make(map[ident.ServiceName][]loading.Server)
	registrations := c.registry.Servers(now)
	every := reportEvery * time.Duration(len(registrations)) / paceEngines
	every = min(max(every, reportEvery), mostReportEvery)
	for _, registration := range registrations {
		service := c.configuration.Services[registration.Server.Service]
		if service.Engine == nil {
			continue
		}
		byService[service.Name] = append(byService[service.Name], loading.Server{
			Server:      registration.Server,
			Incarnation: registration.Report.Incarnation,
			Leaving:     registration.Report.Leaving,
		})
		c.askReport(now, every, service.Name, &registration)
	}
	for name, servers := range byService {
		c.planService(now, name, servers)
	}
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
		planner.Declare(engine)
		if !c.tenure.first {
			planner.BeginPaced(now)
		}
	}
	planner.Declare(engine)
	planner.SetServers(servers)
	for weights, demand := range c.pools[name].TakeDemand() {
		planner.Ask(now, c.options.Settings.Host.Region, weights, loading.Demand(demand))
	}
	if !c.tenure.begun() {
		return
	}
	for _, order := range planner.Step(now) {
		at := slices.IndexFunc(servers, func(s loading.Server) bool { return s.Name == order.Server })
		c.give(name, servers[at].Address, order)
	}
	for _, decision := range planner.TakeDecisions() {
		c.log.Info("replica retires", zap.String("Server", string(decision.Server)), zap.String("Model", string(decision.Model)),
			zap.String("For", string(decision.For)), zap.Float64("Work", decision.Work), zap.Float64("Left", decision.Left),
			zap.Int("Replicas", decision.Replicas))
	}
	c.hearHoldings(now, planner.Holdings(now))
}

// hearHoldings takes the holder's word into the pools.
func (c *control) hearHoldings(now time.Time, holdings []loading.Holding) {
	for _, holding := range holdings {
		c.holdings[holding.Server] = heard{
			Holding: holding,
			at:      now,
		}
	}
	c.dirty = true
	loads := make([]pacing.Load, 0, len(holdings))
	for i := range holdings {
		loads = append(loads, pacing.Load{
			Server: holdings[i].Server,
			Load:   holdings[i].Running + holdings[i].Waiting,
		})
	}
	c.pacers.queue.Heard(now, loads)
}

func (c *control) engineWords(now time.Time) []gatewaypeer.Engine {
	var words []gatewaypeer.Engine
	if !c.tenure.begun() {
		return nil
	}
	for service, planner := range c.planners {
		for _, holding := range planner.Holdings(now) {
			words = append(words, gatewaypeer.Engine{
				Service: service,
				Holding: holding,
			})
		}
	}
	return words
}

// askReport asks an engine for its report, if it is time to.
func (c *control) askReport(now time.Time, every time.Duration, service ident.ServiceName, registration *backend.Registration) {
	server, life := registration.Server, registration.Report.Incarnation
	if now.Sub(c.asking[server.Name]) < every {
		return
	}
	c.asking[server.Name] = now
	c.tomb.Go(func() error {
		report, err := c.options.Engines.Report(c.context(), &server, life, now.Add(reportLimit))
		if err != nil {
			c.post(reportFailed{
				server: server.Name,
				err:    err,
			})
			return nil
		}
		c.post(reported{
			service: service,
			report:  report,
		})
		return nil
	})
}

// reported brings an engine's report.
type reported struct {
	service ident.ServiceName
	report  backend.Report
}

func (m reported) apply(_ time.Time, c *control) {
	if c.unheard[m.report.Server] {
		delete(c.unheard, m.report.Server)
		c.log.Info("engine reports again", zap.String("Server", string(m.report.Server)), zap.Int64("OrdersAccepted", m.report.OrdersAccepted))
	}
	if planner, known := c.planners[m.service]; known {
		planner.Report(&m.report)
	}
}

// reportFailed tells that an engine gave no report.
type reportFailed struct {
	server ident.ServerName
	err    error
}

func (m reportFailed) apply(_ time.Time, c *control) {
	if !c.unheard[m.server] {
		c.unheard[m.server] = true
		c.log.Info("engine gives no report", zap.String("Server", string(m.server)), zap.Error(m.err))
	}
}

// give sends an order, unless this host may give none at that very instant.
func (c *control) give(service ident.ServiceName, address string, order backend.CountedOrder) {
	t := c.tenure
	order.Holder = c.options.Settings.Host.Name
	order.Fencing = t.token
	c.tomb.Go(func() error {
		answer, err := backend.OrderConflicts, error(nil)
		c.lastOrder.Store(bootClock()) // first, so that who asks after the end of the term hears of it
		if t.mayOrder() {
			answer, err = c.options.Engines.Order(c.context(), address, &order, time.Now().Add(orderLimit))
		}
		c.log.Info("order", zap.String("Server", string(order.Server)), zap.String("Kind", string(order.Kind)),
			zap.String("Model", string(order.Model)), zap.String("Adapter", string(order.Adapter)),
			zap.Int64("AfterOrders", order.AfterOrders), zap.Int64("Token", int64(order.Fencing)),
			zap.String("Answer", string(answer)), zap.Error(err))
		if answer == backend.OrderFenced {
			t.ended.Store(true)
		}
		c.post(answered{
			service: service,
			order:   order,
			answer:  answer,
		})
		return nil
	})
}

// answered brings an engine's answer to an order.
type answered struct {
	service ident.ServiceName
	order   backend.CountedOrder
	answer  backend.OrderAnswer
}

func (m answered) apply(now time.Time, c *control) {
	if planner, known := c.planners[m.service]; known {
		planner.Answered(now, m.order.Server, &m.order, m.answer)
		c.plan(now)
	}
}
