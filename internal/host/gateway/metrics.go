package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadaloom/internal/control/balance"
)

// gauges are the metrics that the control goroutine updates once a second.
type gauges struct {
	updatedAt     time.Time
	configuration *metrics.Gauge
	hosts         *metrics.Gauge
	servers       *metrics.Gauge
	leading       *metrics.Gauge
	waiting       *metrics.Gauge
	storeAge      *metrics.Gauge
	// shedShare is the share of new connections that are shed, processorWait how long a goroutine
	// last waited for the processor.
	shedShare     *metrics.Gauge
	processorWait *metrics.Gauge
	// cutOff is 1 while this host takes itself for cut off from servers, tunnels how many
	// connections to servers it has open for peers.
	cutOff  *metrics.Gauge
	tunnels *metrics.Gauge
	// refusedSuspects is how many requests and parts of prompts are refused since servers crash
	// under them.
	refusedSuspects *metrics.Gauge
	// fastServers to unpacedServers count the servers by their lasting pace.
	fastServers    *metrics.Gauge
	usualServers   *metrics.Gauge
	slowServers    *metrics.Gauge
	unpacedServers *metrics.Gauge
	// planSeconds is how long plans take.
	planSeconds *metrics.Histogram
}

func newGauges(set *metrics.Set) gauges {
	return gauges{
		configuration:   set.NewGauge("cicadaloom_configuration_version", nil),
		hosts:           set.NewGauge("cicadaloom_known_hosts", nil),
		servers:         set.NewGauge("cicadaloom_backend_servers", nil),
		leading:         set.NewGauge("cicadaloom_holds_orders", nil),
		waiting:         set.NewGauge("cicadaloom_prompts_waiting", nil),
		storeAge:        set.NewGauge("cicadaloom_store_age_seconds", nil),
		shedShare:       set.NewGauge("cicadaloom_connections_shed_share", nil),
		processorWait:   set.NewGauge("cicadaloom_processor_wait_seconds", nil),
		cutOff:          set.NewGauge("cicadaloom_cut_off_from_servers", nil),
		tunnels:         set.NewGauge("cicadaloom_tunnels_for_peers", nil),
		refusedSuspects: set.NewGauge("cicadaloom_refused_suspects", nil),
		fastServers:     set.NewGauge(`cicadaloom_servers_by_pace{pace="fast"}`, nil),
		usualServers:    set.NewGauge(`cicadaloom_servers_by_pace{pace="usual"}`, nil),
		slowServers:     set.NewGauge(`cicadaloom_servers_by_pace{pace="slow"}`, nil),
		unpacedServers:  set.NewGauge(`cicadaloom_servers_by_pace{pace="unknown"}`, nil),
		planSeconds:     set.NewHistogram("cicadaloom_plan_seconds"),
	}
}

func (g *gauges) update(now time.Time, c *control) {
	g.updatedAt = now
	if c.configuration != nil {
		g.configuration.Set(float64(c.configuration.Version))
	}
	g.hosts.Set(float64(len(c.hosts)))
	g.servers.Set(float64(c.registry.Len()))
	g.leading.Set(flag(c.term != nil))
	g.cutOff.Set(flag(c.tunnels.paths.IsCutOff()))
	g.tunnels.Set(float64(c.tunnels.count()))
	g.refusedSuspects.Set(float64(c.suspects.CountRefused()))
	g.updatePaces(now, c)
	g.waiting.Set(float64(c.schedulers.queue.Len()))
	g.shedShare.Set(c.processor.detector.Share())
	g.processorWait.Set(c.processor.detector.Wait().Seconds())
	if answeredAt := c.storeAnsweredAt(); !answeredAt.IsZero() {
		g.storeAge.Set(now.Sub(answeredAt).Seconds())
	}
}

func (g *gauges) updatePaces(now time.Time, c *control) {
	var counts balance.PaceCounts
	for _, pool := range c.pools {
		counts = counts.Add(pool.CountPaces(now))
	}
	g.fastServers.Set(float64(counts.Fast))
	g.usualServers.Set(float64(counts.Usual))
	g.slowServers.Set(float64(counts.Slow))
	g.unpacedServers.Set(float64(counts.Unknown))
}

// flag returns 1 for true and 0 for false.
func flag(isSet bool) float64 {
	if isSet {
		return 1
	}
	return 0
}
