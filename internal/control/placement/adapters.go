package placement

import (
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
)

// placeAdapters loads every declared adapter beside every ready replica of its
// base model, and lets other versions of it go after that.
func (w *work) placeAdapters() {
	for i := range w.models {
		model := &w.models[i]
		if len(model.spec.Adapters) == 0 {
			continue
		}
		for _, r := range model.replicas {
			base := w.resident(r)
			if base.Ready && !base.Unloading && w.servers[r.server].Usable {
				w.placeAdaptersAt(model, r)
			}
		}
	}
}

func (w *work) placeAdaptersAt(model *modelState, r replica) {
	for i := range model.spec.Adapters {
		adapter := &model.spec.Adapters[i]
		wanted, other := w.findAdapterAt(r.server, model, adapter)
		if wanted == nil {
			w.loadAdapter(model, r, adapter, other)
			continue
		}
		if other != nil && wanted.Ready && !wanted.Unloading {
			w.unload(r.server, other, Move{
				Reason: ReasonVersion,
			})
		}
	}
}

// findAdapterAt returns the declared version of an adapter on a server and
// another version of it that is not yet on its way out.
func (w *work) findAdapterAt(server int, model *modelState, adapter *document.Adapter) (*Resident, *Resident) {
	var wanted, other *Resident
	target := &w.servers[server]
	for i := range target.Residents {
		resident := &target.Residents[i]
		if resident.Model != model.spec.Name || resident.Adapter != adapter.Name {
			continue
		}
		if resident.Version == adapter.Version {
			wanted = resident
			continue
		}
		if !resident.Unloading && !resident.Loading {
			other = resident
		}
	}
	return wanted, other
}

func (w *work) loadAdapter(model *modelState, r replica, adapter *document.Adapter, other *Resident) {
	target := &w.servers[r.server]
	if w.budget.Adapters <= 0 {
		return
	}
	weights := Weights{
		Model:   model.spec.Name,
		Adapter: adapter.Name,
		Version: adapter.Version,
	}
	// The room was put aside with the base model, so free may be used up: what
	// counts here is what is really reserved.
	if target.Reserved+adapter.Memory > target.Memory {
		w.replaceAdapter(model, r, weights, adapter, other)
		return
	}
	target.Reserved += adapter.Memory
	w.budget.Adapters--
	w.result.Moves = append(w.result.Moves, Move{
		Kind:    backend.LoadAdapter,
		Server:  target.Name,
		Weights: weights,
		Memory:  adapter.Memory,
		Reason:  ReasonAdapter,
	})
	target.Residents = append(target.Residents, Resident{
		Weights: weights,
		Memory:  adapter.Memory,
		Loading: true,
		Since:   w.input.Now,
	})
}

// replaceAdapter makes room for an adapter by letting its other version go
// where the adapter is ready elsewhere; else it is blocked.
func (w *work) replaceAdapter(model *modelState, r replica, weights Weights, adapter *document.Adapter, other *Resident) {
	if other != nil && w.adapterReadyElsewhere(model, r, other) {
		w.unload(r.server, other, Move{
			Reason: ReasonVersion,
		})
		return
	}
	w.result.Blocked = append(w.result.Blocked, Blocked{
		Weights: weights,
		Why:     BlockedNoRoom,
		Needs:   adapter.Memory,
	})
}
