package orders

import (
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
)

// maxModelLoadBurst is how many model loads may start at once after a pause.
const maxModelLoadBurst = 3

// loadRateLimiter is a token bucket for starts of model loads. Its state is the time
// at which the bucket is full again.
type loadRateLimiter struct {
	fullAt time.Time
}

// available returns the number of loads that may start now.
func (l *loadRateLimiter) available(now time.Time, perSecond float64) int {
	if !l.fullAt.After(now) {
		return maxModelLoadBurst
	}
	used := l.fullAt.Sub(now).Seconds() * perSecond
	return max(0, int(maxModelLoadBurst-used))
}

// takeOne counts one started load.
func (l *loadRateLimiter) takeOne(now time.Time, perSecond float64) {
	if l.fullAt.Before(now) {
		l.fullAt = now
	}
	l.fullAt = l.fullAt.Add(time.Duration(float64(time.Second) / perSecond))
}

// loadBudget returns how many new loads the limits for the weight store allow. Loads
// in doubt on servers that are not counted are ignored: they would use up the
// budget for as long as a crashed server is unavailable.
func (m *Machine) loadBudget(now time.Time) placement.Budget {
	budget := placement.Budget{
		Models:   m.settings.MaxModelLoads,
		Adapters: m.settings.MaxAdapterLoads,
	}
	for _, srv := range m.servers {
		if len(srv.entry.Orders) == 0 || !m.isCounted(now, srv) {
			continue
		}
		for _, o := range srv.ordersInDoubt() {
			switch o.Kind {
			case backend.LoadModel:
				budget.Models--
			case backend.LoadAdapter:
				budget.Adapters--
			case backend.UnloadModel, backend.UnloadAdapter:
			}
		}
	}
	budget.Models = min(budget.Models, m.loadLimiter.available(now, m.settings.ModelLoadsPerSecond))
	return budget
}
