package placement

import (
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
)

// placeAdapters loads every declared adapter on every server with a ready
// replica of its base model, and then unloads other versions of the adapter.
func (p *planner) placeAdapters() {
	for i := range p.models {
		model := &p.models[i]
		if len(model.spec.Adapters) == 0 {
			continue
		}
		for _, r := range model.replicas {
			base := p.resident(r)
			if base.Ready && !base.Unloading && p.servers[r.server].Usable {
				p.placeAdaptersBeside(model, r)
			}
		}
	}
}

func (p *planner) placeAdaptersBeside(model *modelState, r replica) {
	for i := range model.spec.Adapters {
		adapter := &model.spec.Adapters[i]
		wanted, other := p.findAdapterAt(r.server, model, adapter)
		if wanted == nil {
			p.loadAdapter(model, r, adapter, other)
			continue
		}
		if other != nil && wanted.Ready && !wanted.Unloading {
			p.planUnload(r.server, other, Move{
				Reason: ReasonVersionChange,
			})
		}
	}
}

// findAdapterAt returns the declared version of an adapter on a server, and
// another version of it that is neither loading nor unloading. Either may be
// nil.
func (p *planner) findAdapterAt(server int, model *modelState, adapter *document.Adapter) (*Resident, *Resident) {
	var wanted, other *Resident
	target := &p.servers[server]
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

func (p *planner) loadAdapter(model *modelState, r replica, adapter *document.Adapter, other *Resident) {
	target := &p.servers[r.server]
	if p.budget.Adapters <= 0 {
		return
	}
	weights := Weights{
		Model:   model.spec.Name,
		Adapter: adapter.Name,
		Version: adapter.Version,
	}
	// The memory was set aside when the base model was placed, so free may be
	// used up; only Reserved tells whether the adapter fits now.
	if target.Reserved+adapter.Memory > target.Memory {
		p.replaceAdapter(model, r, weights, adapter, other)
		return
	}
	target.Reserved += adapter.Memory
	p.budget.Adapters--
	p.result.Moves = append(p.result.Moves, Move{
		Kind:    backend.LoadAdapter,
		Server:  target.Name,
		Weights: weights,
		Memory:  adapter.Memory,
		Reason:  ReasonAdapter,
	})
	target.Residents = append(target.Residents, Resident{
		Weights:     weights,
		Memory:      adapter.Memory,
		Loading:     true,
		FirstSeenAt: p.input.Now,
	})
}

// replaceAdapter makes room for an adapter by unloading its other version, if
// that is ready on another server; otherwise it reports the adapter as blocked.
func (p *planner) replaceAdapter(model *modelState, r replica, weights Weights, adapter *document.Adapter, other *Resident) {
	if other != nil && p.isAdapterReadyElsewhere(model, r, other) {
		p.planUnload(r.server, other, Move{
			Reason: ReasonVersionChange,
		})
		return
	}
	p.result.Blocked = append(p.result.Blocked, Blocked{
		Weights:        weights,
		Blocker:        BlockedNoRoom,
		RequiredMemory: adapter.Memory,
	})
}
