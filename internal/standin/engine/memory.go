package engine

import (
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// resident is a set of weights in memory. Its fields are used with mu held.
type resident struct {
	backend.Resident
	activeRuns int  // requests that run on it
	unloading  bool // takes no new request, goes when users is 0
	// loadOrders are the orders that wait for it to be ready, unloads those that
	// wait for it to be gone.
	loadOrders   []ident.OrderID
	unloadOrders []ident.OrderID
	cancelLoad   func() // ends its load
}

func (r *resident) matches(model ident.ModelName, adapter ident.AdapterName, version ident.Version) bool {
	return r.Model == model && r.Adapter == adapter && r.Version == version
}

// isReady tells whether a model or adapter of this name can be run.
func (inc *incarnation) isReady(name string) bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return inc.findReady(name) != nil
}

// acquireWeights is what one run keeps in memory.
type weightsUse struct {
	weights *resident
	base    *resident // nil for a model itself
	version ident.Version
}

// acquireWeights takes the weights of a name for a run; false if they are not ready.
func (inc *incarnation) acquireWeights(name string) (weightsUse, bool) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	weights := inc.findReady(name)
	if weights == nil {
		return weightsUse{}, false
	}
	used := weightsUse{
		weights: weights,
		base:    inc.findBase(weights),
		version: weights.Version,
	}
	weights.activeRuns++
	if used.base != nil {
		used.base.activeRuns++
	}
	return used, true
}

// releaseWeights ends a run's use, and the unload that waited for it.
func (inc *incarnation) releaseWeights(used weightsUse) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	used.weights.activeRuns--
	inc.removeIfUnused(used.weights)
	if used.base != nil {
		used.base.activeRuns--
		inc.removeIfUnused(used.base)
	}
}

// findReady is called with mu held. Of several versions the one loaded last serves.
func (inc *incarnation) findReady(name string) *resident {
	for i := len(inc.residents) - 1; i >= 0; i-- {
		weights := inc.residents[i]
		if !weights.Ready || weights.unloading {
			continue
		}
		if weights.Adapter == "" && string(weights.Model) == name {
			return weights
		}
		if weights.Adapter != "" && string(weights.Adapter) == name && inc.findBase(weights) != nil {
			return weights
		}
	}
	return nil
}

// findBase is the model that an adapter runs on, nil for a model itself or where
// there is none. It is called with mu held.
func (inc *incarnation) findBase(weights *resident) *resident {
	if weights.Adapter == "" {
		return nil
	}
	for i := len(inc.residents) - 1; i >= 0; i-- {
		base := inc.residents[i]
		if base.Model == weights.Model && base.Adapter == "" && base.Ready && !base.unloading {
			return base
		}
	}
	return nil
}

func (inc *incarnation) usedMemory() unit.Bytes {
	var used unit.Bytes
	for _, weights := range inc.residents {
		used += weights.Memory
	}
	return used
}

// removeIfUnused takes weights out of memory if they are to go and nobody uses them. It
// matches called with mu held.
func (inc *incarnation) removeIfUnused(weights *resident) {
	if !weights.unloading || weights.activeRuns > 0 {
		return
	}
	index := slices.Index(inc.residents, weights)
	if index < 0 {
		return
	}
	inc.residents = slices.Delete(inc.residents, index, index+1)
	inc.recordSettled(backend.OrderFailed, weights.loadOrders...)
	inc.recordSettled(backend.OrderDone, weights.unloadOrders...)
}
