package orders

import (
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
)

// paceBurst is how many model loads may start at once after a pause.
const paceBurst = 3

// pace lets model loads start at a steady rate. The state is the instant at
// which the allowance is full again.
type pace struct {
	fullAt time.Time
}

// allowed is how many loads may start now.
func (p *pace) allowed(now time.Time, perSecond float64) int {
	if !p.fullAt.After(now) {
		return paceBurst
	}
	owed := p.fullAt.Sub(now).Seconds() * perSecond
	return max(0, int(paceBurst-owed))
}

// take counts one started load.
func (p *pace) take(now time.Time, perSecond float64) {
	if p.fullAt.Before(now) {
		p.fullAt = now
	}
	p.fullAt = p.fullAt.Add(time.Duration(float64(time.Second) / perSecond))
}

// loadBudget is what the weight store's pace leaves for new loads. Loads in
// doubt on servers that do not count are not under way: they would use up the
// budget for as long as a dead server stays away.
func (m *Machine) loadBudget(now time.Time) placement.Budget {
	budget := placement.Budget{
		Models:   m.settings.ModelsInTransit,
		Adapters: m.settings.AdaptersInTransit,
	}
	for _, known := range m.servers {
		if len(known.entry.Orders) == 0 || !m.counts(now, known) {
			continue
		}
		for _, o := range known.doubts() {
			switch o.Kind {
			case backend.LoadModel:
				budget.Models--
			case backend.LoadAdapter:
				budget.Adapters--
			case backend.UnloadModel, backend.UnloadAdapter:
			}
		}
	}
	budget.Models = min(budget.Models, m.pace.allowed(now, m.settings.ModelStartsPerSecond))
	return budget
}
