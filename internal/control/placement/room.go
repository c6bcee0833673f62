package placement

import "cicadaloom/internal/domain/unit"

// makeRoom frees memory for one more replica of a model in the cheapest way: it
// waits for an unload in progress, unloads a replica of the old version while
// another one is ready, evicts spare replicas, or copies another model's
// replica to a different server. If nothing helps, the model is blocked.
func (p *planner) makeRoom(model *modelState, move Move) {
	if p.waitForUnload(model) || p.replaceOldVersion(model, move) {
		return
	}
	move.Reason = ReasonMakeRoom
	move.For = model.spec.Name
	if p.evictSpares(model, move) || p.relocate(model, move) {
		return
	}
	p.addBlocked(model, p.findBlocker(model), move.Have)
}

func (p *planner) findBlocker(model *modelState) Blocker {
	usable := 0
	for i := range p.servers {
		if p.servers[i].Usable {
			usable++
		}
	}
	if usable < model.minReplicas() {
		return BlockedNoServer
	}
	if p.hasOtherVersion(model) {
		return BlockedLastReplica
	}
	return BlockedNoRoom
}

// waitForUnload reserves memory that an unload in progress will free for the
// model, so that nothing else is evicted for the same need.
func (p *planner) waitForUnload(model *modelState) bool {
	for i := range p.servers {
		server := &p.servers[i]
		if !server.Usable || p.hasDeclaredVersion(server, model) {
			continue
		}
		if server.freeAfterUnloads >= model.footprint && server.freeAfterUnloads > server.free {
			server.freeAfterUnloads -= model.footprint
			server.free -= model.footprint
			return true
		}
	}
	return false
}

// replaceOldVersion unloads one replica of another version where the new one
// fits in its memory. While one replica of the model is being unloaded, the
// others stay.
func (p *planner) replaceOldVersion(model *modelState, move Move) bool {
	if p.hasUnloadingReplica(model) {
		return false
	}
	for _, r := range model.replicas {
		resident := p.resident(r)
		server := &p.servers[r.server]
		if resident.Version == model.spec.Version || !server.Usable || p.hasDeclaredVersion(server, model) {
			continue
		}
		if server.freeAfterUnloads+p.releasedMemory(r) < model.footprint || !p.canDrop(model, r) {
			continue
		}
		move.Reason = ReasonVersionChange
		p.planReplicaUnload(r, move)
		server.freeAfterUnloads -= model.footprint
		return true
	}
	return false
}

// releasedMemory returns the memory that unloading a replica frees, including
// that of its adapters and the memory set aside for them.
func (p *planner) releasedMemory(r replica) unit.Bytes {
	resident := p.resident(r)
	total := resident.Memory
	if index, declared := p.modelIndex[resident.Model]; declared {
		total += p.models[index].footprint - p.models[index].spec.Memory
	}
	return total
}

// canDrop reports whether a replica may be unloaded. Another replica of the
// model, of any version, must be ready according to a fresh report and not
// being unloaded; the same must hold for each adapter that is ready on this
// server. Without this check a version change would leave a model with no ready
// replica for the duration of a load, and callers would see "not resident" for
// every request.
func (p *planner) canDrop(model *modelState, r replica) bool {
	dropped := p.resident(r)
	if dropped.Unloading || dropped.Loading {
		return false
	}
	others := p.countReady(model, false)
	if dropped.Ready {
		others--
	}
	if others < 1 {
		return false
	}
	if p.hasReadyReplicaBeside(model, r) {
		return true // the adapters stay with the other version here
	}
	server := &p.servers[r.server]
	for i := range server.Residents {
		resident := &server.Residents[i]
		if resident.Model != dropped.Model || resident.Adapter == "" || !resident.Ready {
			continue
		}
		if findAdapter(model.spec, resident.Adapter) != nil && !p.isAdapterReadyElsewhere(model, r, resident) {
			return false
		}
	}
	return true
}

// hasReadyReplicaBeside reports whether another version of the model is ready
// on the same server.
func (p *planner) hasReadyReplicaBeside(model *modelState, except replica) bool {
	for _, r := range model.replicas {
		other := p.resident(r)
		if r != except && r.server == except.server && other.Ready && !other.Unloading {
			return true
		}
	}
	return false
}

// isAdapterReadyElsewhere reports whether an adapter is ready on the server of
// another ready replica of its base model.
func (p *planner) isAdapterReadyElsewhere(model *modelState, except replica, adapter *Resident) bool {
	for _, r := range model.replicas {
		base := p.resident(r)
		if r == except || !base.Ready || base.Unloading {
			continue
		}
		server := &p.servers[r.server]
		for i := range server.Residents {
			other := &server.Residents[i]
			if other == adapter {
				continue
			}
			if other.Model == adapter.Model && other.Adapter == adapter.Adapter && other.Ready && !other.Unloading {
				return true
			}
		}
	}
	return false
}

// isSpare reports whether enough replicas of the declared version are ready
// without this one.
func (p *planner) isSpare(model *modelState, r replica) bool {
	resident := p.resident(r)
	if resident.Version != model.spec.Version || !p.canDrop(model, r) {
		return false
	}
	readyWithout := p.countReady(model, true)
	if resident.Ready {
		readyWithout--
	}
	return readyWithout >= model.minReplicas()
}

// evictSpares unloads the smallest set of spare replicas on one server that
// frees enough memory.
func (p *planner) evictSpares(model *modelState, move Move) bool {
	var best []replica
	for i := range p.servers {
		server := &p.servers[i]
		if !server.Usable || p.hasDeclaredVersion(server, model) {
			continue
		}
		victims := p.findVictims(i, model)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, victim := range best {
		p.planReplicaUnload(victim, move)
	}
	if best != nil {
		p.servers[best[0].server].freeAfterUnloads -= model.footprint
	}
	return best != nil
}

// findVictims returns spare replicas on a server that together free enough
// memory, or nil.
func (p *planner) findVictims(server int, model *modelState) []replica {
	available := p.servers[server].freeAfterUnloads
	var victims []replica
	for i := range p.servers[server].Residents {
		resident := &p.servers[server].Residents[i]
		index, declared := p.modelIndex[resident.Model]
		if !declared || resident.Adapter != "" || resident.Model == model.spec.Name {
			continue
		}
		candidate := replica{
			server:   server,
			resident: i,
		}
		if !p.isSpare(&p.models[index], candidate) {
			continue
		}
		victims = append(victims, candidate)
		available += p.releasedMemory(candidate)
		if available >= model.footprint {
			return victims
		}
	}
	return nil
}

// relocate loads a copy of another model's replica on a different server. The
// replica here then becomes spare, and a later call of Plan can evict it.
func (p *planner) relocate(model *modelState, move Move) bool {
	for i := range p.servers {
		server := &p.servers[i]
		if !server.Usable || p.hasDeclaredVersion(server, model) {
			continue
		}
		for j := range server.Residents {
			candidate := replica{
				server:   i,
				resident: j,
			}
			if p.relocateReplica(model, candidate, move) {
				return true
			}
		}
	}
	return false
}

func (p *planner) relocateReplica(model *modelState, candidate replica, move Move) bool {
	resident := p.resident(candidate)
	index, declared := p.modelIndex[resident.Model]
	if !declared || resident.Adapter != "" || !resident.Ready || resident.Unloading {
		return false
	}
	moved := &p.models[index]
	if moved.spec.Name == model.spec.Name || resident.Version != moved.spec.Version {
		return false
	}
	if p.servers[candidate.server].freeAfterUnloads+p.releasedMemory(candidate) < model.footprint {
		return false
	}
	if p.countPresent(moved) > moved.minReplicas() {
		return true // a copy is on its way: wait for it
	}
	target, found := p.findServer(moved, "")
	if !found || target == candidate.server {
		return false
	}
	if p.budget.Models > 0 {
		p.planLoad(moved, target, move)
	}
	return true
}
