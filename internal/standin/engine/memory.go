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
	users     int  // requests that run on it
	unloading bool // takes no new request, goes when users is 0
	// loads are the orders that wait for it to be ready, unloads those that
	// wait for it to be gone.
	loads   []ident.OrderID
	unloads []ident.OrderID
	cancel  func() // ends its load
}

func (r *resident) is(model ident.ModelName, adapter ident.AdapterName, version ident.Version) bool {
	return r.Model == model && r.Adapter == adapter && r.Version == version
}

// isReady tells whether a model or adapter of this name can be run.
func (l *life) isReady(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.find(name) != nil
}

// use is what one run keeps in memory.
type use struct {
	weights *resident
	base    *resident // nil for a model itself
	version ident.Version
}

// use takes the weights of a name for a run; false if they are not ready.
func (l *life) use(name string) (use, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weights := l.find(name)
	if weights == nil {
		return use{}, false
	}
	taken := use{
		weights: weights,
		base:    l.base(weights),
		version: weights.Version,
	}
	weights.users++
	if taken.base != nil {
		taken.base.users++
	}
	return taken, true
}

// unuse ends a run's use, and the unload that waited for it.
func (l *life) unuse(taken use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken.weights.users--
	l.drop(taken.weights)
	if taken.base != nil {
		taken.base.users--
		l.drop(taken.base)
	}
}

// find is called with mu held. Of several versions the one loaded last serves.
func (l *life) find(name string) *resident {
	for i := len(l.residents) - 1; i >= 0; i-- {
		weights := l.residents[i]
		if !weights.Ready || weights.unloading {
			continue
		}
		if weights.Adapter == "" && string(weights.Model) == name {
			return weights
		}
		if weights.Adapter != "" && string(weights.Adapter) == name && l.base(weights) != nil {
			return weights
		}
	}
	return nil
}

// base is the model that an adapter runs on, nil for a model itself or where
// there is none. It is called with mu held.
func (l *life) base(weights *resident) *resident {
	if weights.Adapter == "" {
		return nil
	}
	for i := len(l.residents) - 1; i >= 0; i-- {
		base := l.residents[i]
		if base.Model == weights.Model && base.Adapter == "" && base.Ready && !base.unloading {
			return base
		}
	}
	return nil
}

func (l *life) taken() unit.Bytes {
	var taken unit.Bytes
	for _, weights := range l.residents {
		taken += weights.Memory
	}
	return taken
}

// drop takes weights out of memory if they are to go and nobody uses them. It
// is called with mu held.
func (l *life) drop(weights *resident) {
	if !weights.unloading || weights.users > 0 {
		return
	}
	at := slices.Index(l.residents, weights)
	if at < 0 {
		return
	}
	l.residents = slices.Delete(l.residents, at, at+1)
	l.settle(backend.OrderFailed, weights.loads...)
	l.settle(backend.OrderDone, weights.unloads...)
}
