package loop

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadaloom/internal/peer/meter"
)

// gauges are the metrics that the control goroutine updates.
type gauges struct {
	liveHosts     *metrics.Gauge
	servers       *metrics.Gauge
	revision      *metrics.Gauge
	leading       *metrics.Gauge
	suspects      *metrics.Gauge
	ordersInDoubt *metrics.Gauge
	busySeconds   *metrics.FloatCounter
	messages      *metrics.Counter
}

func newGauges(set *metrics.Set, l *Loop) gauges {
	set.NewGauge("cicadaloom_control_messages_dropped", func() float64 { return float64(l.dropped.Load()) })
	set.NewGauge("cicadaloom_control_inbox", func() float64 { return float64(len(l.inbox)) })
	return gauges{
		liveHosts:     set.NewGauge("cicadaloom_live_hosts", nil),
		servers:       set.NewGauge("cicadaloom_backend_servers", nil),
		revision:      set.NewGauge("cicadaloom_documents_revision", nil),
		leading:       set.NewGauge("cicadaloom_leading", nil),
		suspects:      set.NewGauge("cicadaloom_suspects", nil),
		ordersInDoubt: set.NewGauge("cicadaloom_orders_in_doubt", nil),
		busySeconds:   set.NewFloatCounter("cicadaloom_control_busy_seconds_total"),
		messages:      set.NewCounter("cicadaloom_control_messages_total"),
	}
}

// newMeter counts the bytes of control calls to one kind of peer.
func newMeter(set *metrics.Set, peer string) *meter.Meter {
	return &meter.Meter{
		In:  set.GetOrCreateCounter(`cicadaloom_control_bytes_total{direction="in",peer="` + peer + `"}`),
		Out: set.GetOrCreateCounter(`cicadaloom_control_bytes_total{direction="out",peer="` + peer + `"}`),
	}
}

// Meter implements entryhost.Metered.
func (l *Loop) Meter() *meter.Meter {
	return l.pool.Meter
}

// updateGauges updates the gauges, once an exchange interval.
func (c *control) updateGauges(now time.Time) {
	state := c.orders.State(now)
	c.gauges.liveHosts.Set(float64(len(c.membership.LiveHosts(now))))
	c.gauges.servers.Set(float64(len(c.servers)))
	c.gauges.revision.Set(float64(c.documents.Revision()))
	c.gauges.suspects.Set(float64(len(c.suspectMachine.All())))
	c.gauges.ordersInDoubt.Set(float64(len(state.Doubts)))
	leading := 0.0
	if state.Leading {
		leading = 1
	}
	c.gauges.leading.Set(leading)
}
