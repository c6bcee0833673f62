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

// TakeInventoryChanges returns the inventories that may have changed since the last call, and
// the engines that have gone or not reported yet in their present incarnation.
func (p *Planner) TakeInventoryChanges(now time.Time) ([]Inventory, []ident.ServerName) {
	var changed []Inventory
	var removed []ident.ServerName
	for name := range p.changedEngines {
		e, known := p.engines[name]
		if !known || !e.reported {
			removed = append(removed, name)
			delete(p.changedEngines, name)
			continue
		}
		changed = append(changed, e.inventory(now))
		if !e.awaitsAdapter(now) {
			delete(p.changedEngines, name)
		}
	}
	return changed, removed
}

// awaitsAdapter reports whether an adapter that the engine has accepted to load can't be used yet.
func (e *engine) awaitsAdapter(now time.Time) bool {
	for _, readyAt := range e.confirmedAdapters {
		if now.Before(readyAt) {
			return true
		}
	}
	return false
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
