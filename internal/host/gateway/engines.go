package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/polling"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// reportTimeout is how long an engine may take to report.
const reportTimeout = 600 * time.Millisecond

// engineList lists the engines that the leader plans for. It is built anew only when their
// entries, the configuration or an engine's own word that it leaves have changed it.
type engineList struct {
	isOutdated bool
	byName     map[ident.ServerName]*listedEngine
	byService  map[ident.ServiceName][]*listedEngine
	// isPassed lists the services whose planner has received this list.
	isPassed map[ident.ServiceName]bool
	schedule polling.Schedule
}

// listedEngine is an engine of the list. Leaving is set if its entry or its answers say so.
type listedEngine struct {
	loading.Server
	service  ident.ServiceName
	pressure *backpressure.Server
}

// isNewlyLeaving reports whether the engine has said that it leaves since it was listed.
func (e *listedEngine) isNewlyLeaving() bool {
	return !e.Leaving && e.pressure.State().IsLeaving
}

// updateEngineList lists the engines again if they have changed.
func (c *control) updateEngineList(now time.Time) {
	c.collectServerChanges(now)
	if !c.engines.isOutdated && !c.engines.hasNewlyLeaving() {
		return
	}
	c.engines.isOutdated = false
	c.engines.byName = make(map[ident.ServerName]*listedEngine)
	c.engines.byService = make(map[ident.ServiceName][]*listedEngine)
	c.engines.isPassed = make(map[ident.ServiceName]bool)
	var names []ident.ServerName
	for _, registration := range c.registry.Servers(now) {
		service := c.configuration.Services[registration.Server.Service]
		if service.Engine == nil {
			continue
		}
		e := c.listEngine(&registration)
		c.engines.byName[e.Name] = e
		c.engines.byService[service.Name] = append(c.engines.byService[service.Name], e)
		names = append(names, e.Name)
	}
	c.engines.schedule.SetEngines(names)
}

func (c *control) listEngine(registration *backend.Registration) *listedEngine {
	pressure := c.backpressure.ServerOf(registration.Server.Service, registration.Server.Name, registration.Report.Incarnation)
	return &listedEngine{
		Server: loading.Server{
			Server:      registration.Server,
			Incarnation: registration.Report.Incarnation,
			Leaving:     registration.Report.Leaving || pressure.State().IsLeaving,
			Residents:   registration.Report.Residents,
		},
		service:  registration.Server.Service,
		pressure: pressure,
	}
}

func (l *engineList) hasNewlyLeaving() bool {
	for _, engines := range l.byService {
		if slices.ContainsFunc(engines, (*listedEngine).isNewlyLeaving) {
			return true
		}
	}
	return false
}

// servers returns a service's engines for its planner.
func (l *engineList) servers(service ident.ServiceName) []loading.Server {
	servers := make([]loading.Server, 0, len(l.byService[service]))
	for _, e := range l.byService[service] {
		servers = append(servers, e.Server)
	}
	return servers
}

// requestReports requests the reports that are due.
func (c *control) requestReports(now time.Time) {
	for _, name := range c.engines.schedule.TakeDue(now, c.hasPendingOrder) {
		if e := c.engines.byName[name]; !e.pressure.State().IsResting(now) {
			c.requestReport(now, e)
		}
	}
}

func (c *control) hasPendingOrder(name ident.ServerName) bool {
	planner, known := c.planners[c.engines.byName[name].service]
	return known && planner.HasPendingOrder(name)
}

func (c *control) requestReport(now time.Time, e *listedEngine) {
	c.tomb.Go(func() error {
		report, err := c.options.Engines.FetchReport(c.context(), &e.Server.Server, e.Incarnation, now.Add(reportTimeout))
		if err != nil {
			c.post(reportFailed{
				server: e.Name,
				err:    err,
			})
			return nil
		}
		c.post(reportReceived{
			service:     e.service,
			requestedAt: now,
			report:      report,
		})
		return nil
	})
}

// reportReceived is an engine's report.
type reportReceived struct {
	service     ident.ServiceName
	requestedAt time.Time
	report      backend.Report
}

func (e reportReceived) apply(now time.Time, c *control) {
	if engine, known := c.engines.byName[e.report.Server]; known && e.report.MaxRefusals > 0 {
		engine.pressure.RecordBrittleness(e.requestedAt, now, e.report.MaxRefusals)
	}
	if c.engines.schedule.RecordAnswer(e.report.Server) {
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
	if c.engines.schedule.RecordSilence(e.server) {
		c.log.Info("no report from engine", zap.String("Server", string(e.server)), zap.Error(e.err))
	}
}
