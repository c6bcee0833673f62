package engine

import (
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// resident is one set of weights in memory. The incarnation's mu guards it.
type resident struct {
	backend.Resident
	activeRuns int  // running requests that use it
	unloading  bool // refuses new requests, removed when activeRuns is 0
	// loadOrders are the orders that are settled when the weights are loaded,
	// unloadOrders those that are settled when they are removed.
	loadOrders   []ident.OrderID
	unloadOrders []ident.OrderID
	cancelLoad   func() // cancels the load
}

func (r *resident) matches(model ident.ModelName, adapter ident.AdapterName, version ident.Version) bool {
	return r.Model == model && r.Adapter == adapter && r.Version == version
}

// isReady reports whether a model or adapter of this name can be run.
func (inc *incarnation) isReady(name string) bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return inc.findReady(name) != nil
}

// weightsUse is the weights that one run keeps in memory.
type weightsUse struct {
	weights *resident
	base    *resident // nil if weights are a model's
	version ident.Version
}

// acquireWeights keeps the named weights in memory for a run. It returns false if
// they are not ready.
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

// releaseWeights ends a run's use of its weights, and completes an unload that
// waited for it.
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

// findReady returns the ready weights of a model or adapter name, of several
// versions the one loaded last. The caller holds mu.
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

// findBase returns the model that an adapter runs on, or nil for a model's weights
// or if the model is not ready. The caller holds mu.
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

// removeIfUnused removes unloading weights that no run uses, and settles their
// orders. The caller holds mu.
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
