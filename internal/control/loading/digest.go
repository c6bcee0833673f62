package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Holding is what requests may ask of one server, as the holder knows it.
type Holding struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Holds       []request.Weights
	Retiring    []ident.ModelName
	Running     int
	Waiting     int
}

// Holdings gives what each server that has reported holds.
func (p *Planner) Holdings(now time.Time) []Holding {
	holdings := make([]Holding, 0, len(p.list))
	for _, e := range p.list {
		if e.reported {
			holdings = append(holdings, e.holding(now))
		}
	}
	return holdings
}

func (e *engine) holding(now time.Time) Holding {
	holding := Holding{
		Server:      e.Name,
		Incarnation: e.Incarnation,
		Running:     e.report.Running,
		Waiting:     e.report.Waiting,
		Holds:       e.report.Holds(),
	}
	for weights, from := range e.adapters {
		if now.Before(from) || slices.Contains(holding.Holds, weights) {
			continue
		}
		holding.Holds = append(holding.Holds, weights)
	}
	for name := range e.retiring {
		holding.Retiring = append(holding.Retiring, name)
	}
	if e.pending != nil && e.isUnloading(e.pending.order.Model) && !slices.Contains(holding.Retiring, e.pending.order.Model) {
		holding.Retiring = append(holding.Retiring, e.pending.order.Model)
	}
	return holding
}
