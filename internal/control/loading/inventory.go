package loading

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Inventory is what the leader knows of one engine: the weights that requests may use there,
// the models that are about to be unloaded, and the numbers of running and waiting requests.
type Inventory struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	Weights     []request.Weights
	Retiring    []ident.ModelName
	Running     int
	Waiting     int
}

// Inventories returns what is loaded on each engine that has reported.
func (p *Planner) Inventories(now time.Time) []Inventory {
	inventories := make([]Inventory, 0, len(p.sortedEngines))
	for _, e := range p.sortedEngines {
		if e.reported {
			inventories = append(inventories, e.inventory(now))
		}
	}
	return inventories
}

func (e *engine) inventory(now time.Time) Inventory {
	inventory := Inventory{
		Server:      e.Name,
		Incarnation: e.Incarnation,
		Running:     e.report.Running,
		Waiting:     e.report.Waiting,
		Weights:     e.report.Weights(),
	}
	for weights, readyAt := range e.confirmedAdapters {
		if now.Before(readyAt) || slices.Contains(inventory.Weights, weights) {
			continue
		}
		inventory.Weights = append(inventory.Weights, weights)
	}
	for name := range e.retiring {
		inventory.Retiring = append(inventory.Retiring, name)
	}
	if e.pending != nil && e.isUnloading(e.pending.order.Model) && !slices.Contains(inventory.Retiring, e.pending.order.Model) {
		inventory.Retiring = append(inventory.Retiring, e.pending.order.Model)
	}
	return inventory
}
