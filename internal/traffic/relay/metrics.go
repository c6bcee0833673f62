package relay

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// Metrics counts requests and sends. Request metrics are labelled only by the kind and
// priority of the route, since there may be hundreds of routes.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set: set,
	}
}

func labels(r *route.Route) string {
	if r == nil {
		return `kind="None",priority="0"`
	}
	return `kind="` + string(r.Kind) + `",priority="` + strconv.Itoa(r.Priority) + `"`
}

func (m *Metrics) recordAnswer(r *route.Route, status int, took time.Duration) {
	m.set.GetOrCreateCounter(`cicadaloom_requests_total{` + labels(r) + `,status="` + strconv.Itoa(status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`cicadaloom_request_seconds{` + labels(r) + `}`).Update(took.Seconds())
}

func (m *Metrics) recordFirstEvent(r *route.Route, took time.Duration) {
	m.set.GetOrCreateHistogram(`cicadaloom_first_event_seconds{` + labels(r) + `}`).Update(took.Seconds())
}

func (m *Metrics) recordSend(service ident.ServiceName, result balance.Result) {
	m.set.GetOrCreateCounter(`cicadaloom_sends_total{service="` + string(service) + `",result="` + string(result) + `"}`).Inc()
}
