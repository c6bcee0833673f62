package loading

import (
	"math"
	"slices"
	"time"

	"cicadaloom/internal/control/pace"
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
	// Pace is the engine's lasting pace, 0 if it isn't known.
	Pace pace.Reading
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
		Pace:        e.announcedPace,
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

// minPaceChange is the relative change of an engine's lasting pace that is passed on.
const minPaceChange = 0.1

// RecordPaces records paces that engines have named. A lasting pace that has changed is passed on
// with the inventory, and returned.
func (p *Planner) RecordPaces(now time.Time, readings []pace.ServerReading) []pace.ServerReading {
	var changed []pace.ServerReading
	for i := range readings {
		reading := &readings[i]
		e, known := p.engines[reading.Server]
		if !known || e.Incarnation != reading.Incarnation || !reading.Reading.IsKnown() {
			continue
		}
		e.pace.Record(now, reading.Reading)
		level := e.pace.Estimate(now).Level
		if math.Abs(level-float64(e.announcedPace)) > minPaceChange*float64(e.announcedPace) {
			e.announcedPace = pace.Reading(level)
			p.changedEngines[e.Name] = struct{}{}
			changed = append(changed, pace.ServerReading{
				Server:      e.Name,
				Incarnation: e.Incarnation,
				Reading:     e.announcedPace,
			})
		}
	}
	return changed
}
