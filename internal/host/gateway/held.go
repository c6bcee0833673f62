package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/traffic/relay"
)

// heldShare is the part of the host's memory that bodies of requests and answers may take. The rest
// is for control state, connections, and garbage.
const heldShare = 0.25

// newHeldBytes returns the budget of a host with so much memory, and registers its metrics. Without
// a setting there is no bound.
func newHeldBytes(memory unit.Bytes, set *metrics.Set) *heldbytes.Budget {
	budget := heldbytes.New(unit.Bytes(float64(memory)*heldShare), relay.MaxAnswerBytes)
	set.NewGauge("cicadaloom_held_bytes", func() float64 { return float64(budget.Stats().Held) })
	set.NewGauge("cicadaloom_held_bytes_peak", func() float64 { return float64(budget.Stats().Peak) })
	set.NewGauge("cicadaloom_held_bytes_limit", func() float64 { return float64(budget.Stats().Limit) })
	return budget
}
