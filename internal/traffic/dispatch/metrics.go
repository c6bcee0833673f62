package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/routing"
)

// Names of the metrics; docs/OPERATING.md explains them.
const (
	metricRequests   = `cicadaloom_requests_total{team=%q,class=%q,target=%q,result=%q}`
	metricFailures   = `cicadaloom_failures_total{code=%q,run=%q}`
	metricFirstToken = `cicadaloom_first_token_seconds{target=%q}`
	metricAttempts   = `cicadaloom_attempts_total{target=%q}`
	metricLost       = `cicadaloom_attempts_lost_total{server=%q}`
)

// Metrics counts requests and attempts. The zero value counts nothing.
type Metrics struct {
	Set *metrics.Set
}

func (m Metrics) countRequest(key burn.Key, result burn.Result) {
	if m.Set != nil {
		m.Set.GetOrCreateCounter(fmt.Sprintf(metricRequests, key.Team, key.Class, key.Model, result)).Inc()
	}
}

func (m Metrics) countFailure(failure *Failure) {
	if m.Set != nil {
		m.Set.GetOrCreateCounter(fmt.Sprintf(metricFailures, failure.Code, failure.Outcome)).Inc()
	}
}

func (m Metrics) observeFirstToken(target *routing.Target, elapsed time.Duration) {
	if m.Set != nil {
		m.Set.GetOrCreateHistogram(fmt.Sprintf(metricFirstToken, target.Label())).Update(elapsed.Seconds())
	}
}

func (m Metrics) countAttempt(target *routing.Target) {
	if m.Set != nil {
		m.Set.GetOrCreateCounter(fmt.Sprintf(metricAttempts, target.Label())).Inc()
	}
}

func (m Metrics) countLostAttempt(choice routing.Choice) {
	if m.Set != nil {
		m.Set.GetOrCreateCounter(fmt.Sprintf(metricLost, choice.Replica.Server)).Inc()
	}
}
