package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Holding is what the leader knows of one engine: the weights that requests may use there,
// the models that are about to be unloaded, and the numbers of running and waiting requests.
type Holding struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Holds       []request.Weights
	Retiring    []ident.ModelName
	Running     int
	Waiting     int
}

// Holdings returns what is loaded on each engine that has reported.
func (p *Planner) Holdings(now time.Time) []Holding {
	inventories := make([]Holding, 0, len(p.sortedEngines))
	for _, e := range p.sortedEngines {
		if e.reported {
			inventories = append(inventories, e.inventory(now))
		}
	}
	return inventories
}

func (e *engine) inventory(now time.Time) Holding {
	inventory := Holding{
		Server:      e.Name,
		Incarnation: e.Incarnation,
		Running:     e.report.Running,
		Waiting:     e.report.Waiting,
		Holds:       e.report.Holds(),
	}
	for weights, readyAt := range e.confirmedAdapters {
		if now.Before(readyAt) || slices.Contains(inventory.Holds, weights) {
			continue
		}
		inventory.Holds = append(inventory.Holds, weights)
	}
	for name := range e.retiring {
		inventory.Retiring = append(inventory.Retiring, name)
	}
	if e.pending != nil && e.isUnloading(e.pending.order.Model) && !slices.Contains(inventory.Retiring, e.pending.order.Model) {
		inventory.Retiring = append(inventory.Retiring, e.pending.order.Model)
	}
	return inventory
}
