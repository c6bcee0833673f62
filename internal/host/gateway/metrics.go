package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// gauges are what the control shows to metrics.
type gauges struct {
	shownAt       time.Time
	configuration *metrics.Gauge
	hosts         *metrics.Gauge
	servers       *metrics.Gauge
	holds         *metrics.Gauge
	waiting       *metrics.Gauge
	storeAge      *metrics.Gauge
	// planned has how long plans take, in seconds.
	planned *metrics.Histogram
}

func newGauges(set *metrics.Set) gauges {
	return gauges{
		configuration: set.NewGauge("cicadaloom_configuration_version", nil),
		hosts:         set.NewGauge("cicadaloom_known_hosts", nil),
		servers:       set.NewGauge("cicadaloom_backend_servers", nil),
		holds:         set.NewGauge("cicadaloom_holds_orders", nil),
		waiting:       set.NewGauge("cicadaloom_prompts_waiting", nil),
		storeAge:      set.NewGauge("cicadaloom_store_age_seconds", nil),
		planned:       set.NewHistogram("cicadaloom_plan_seconds"),
	}
}

func (g *gauges) show(now time.Time, c *control) {
	g.shownAt = now
	if c.configuration != nil {
		g.configuration.Set(float64(c.configuration.Version))
	}
	g.hosts.Set(float64(len(c.hosts)))
	g.servers.Set(float64(len(c.registry.Servers(now))))
	holds := 0.0
	if c.tenure != nil {
		holds = 1
	}
	g.holds.Set(holds)
	g.waiting.Set(float64(c.pacers.queue.Waiting()))
	if heard := c.storeHeard(); !heard.IsZero() {
		g.storeAge.Set(now.Sub(heard).Seconds())
	}
}
