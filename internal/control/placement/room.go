package placement

import "cicadaloom/internal/domain/unit"

// makeRoom finds a way to room for one more replica of a model, the cheapest
// first: wait for an unload under way, let a replica of the old version go
// while another is ready, let something spare go, move something elsewhere.
// Else the model is blocked.
func (w *work) makeRoom(model *modelState, move Move) {
	if w.waitForRoom(model) || w.replaceOldVersion(model, move) {
		return
	}
	move.Reason = ReasonRoom
	move.For = model.spec.Name
	if w.evictSpares(model, move) || w.relocate(model, move) {
		return
	}
	w.block(model, w.whyBlocked(model), move.Have)
}

func (w *work) whyBlocked(model *modelState) Blocker {
	usable := 0
	for i := range w.servers {
		if w.servers[i].Usable {
			usable++
		}
	}
	if usable < model.least() {
		return BlockedNoServer
	}
	if w.hasOtherVersion(model) {
		return BlockedLastReplica
	}
	return BlockedNoRoom
}

// waitForRoom keeps what an unload under way gives back for this model, so that
// a second thing is not evicted for the same need.
func (w *work) waitForRoom(model *modelState) bool {
	for i := range w.servers {
		server := &w.servers[i]
		if !server.Usable || w.holds(server, model) {
			continue
		}
		if server.coming >= model.footprint && server.coming > server.free {
			server.coming -= model.footprint
			server.free -= model.footprint
			return true
		}
	}
	return false
}

// replaceOldVersion drops one replica of another version where the new one fits
// into its place. One at a time: while a replica of the model is on its way
// out, the others stay.
func (w *work) replaceOldVersion(model *modelState, move Move) bool {
	if w.unloading(model) {
		return false
	}
	for _, r := range model.replicas {
		resident := w.resident(r)
		server := &w.servers[r.server]
		if resident.Version == model.spec.Version || !server.Usable || w.holds(server, model) {
			continue
		}
		if server.coming+w.released(r) < model.footprint || !w.mayDrop(model, r) {
			continue
		}
		move.Reason = ReasonVersion
		w.dropReplica(r, move)
		server.coming -= model.footprint
		return true
	}
	return false
}

// released is the memory that dropping a replica gives back, with its adapters
// and what is put aside for them.
func (w *work) released(r replica) unit.Bytes {
	resident := w.resident(r)
	total := resident.Memory
	if number, declared := w.byName[resident.Model]; declared {
		total += w.models[number].footprint - w.models[number].spec.Memory
	}
	return total
}

// mayDrop guards reachability: a replica goes only while another one of the
// model, of whatever version, is ready by a fresh report and not itself on its
// way out, and the same holds for each adapter that is ready here. Without it a
// version change would leave a model with nothing ready for the time of a load:
// callers would see "not resident" for every request.
func (w *work) mayDrop(model *modelState, r replica) bool {
	dropped := w.resident(r)
	if dropped.Unloading || dropped.Loading {
		return false
	}
	others := w.ready(model, false)
	if dropped.Ready {
		others--
	}
	if others < 1 {
		return false
	}
	if w.staysBeside(model, r) {
		return true // the adapters stay with the other version here
	}
	server := &w.servers[r.server]
	for i := range server.Residents {
		resident := &server.Residents[i]
		if resident.Model != dropped.Model || resident.Adapter == "" || !resident.Ready {
			continue
		}
		if findAdapter(model.spec, resident.Adapter) != nil && !w.adapterReadyElsewhere(model, r, resident) {
			return false
		}
	}
	return true
}

// staysBeside tells whether another version of the model is ready on the same
// server.
func (w *work) staysBeside(model *modelState, except replica) bool {
	for _, r := range model.replicas {
		other := w.resident(r)
		if r != except && r.server == except.server && other.Ready && !other.Unloading {
			return true
		}
	}
	return false
}

// adapterReadyElsewhere tells whether an adapter is ready beside another ready
// replica of its base model than the given one.
func (w *work) adapterReadyElsewhere(model *modelState, except replica, adapter *Resident) bool {
	for _, r := range model.replicas {
		base := w.resident(r)
		if r == except || !base.Ready || base.Unloading {
			continue
		}
		server := &w.servers[r.server]
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

// spare tells whether a replica is above the least number, counting only those
// that are ready without it.
func (w *work) spare(model *modelState, r replica) bool {
	resident := w.resident(r)
	if resident.Version != model.spec.Version || !w.mayDrop(model, r) {
		return false
	}
	left := w.ready(model, true)
	if resident.Ready {
		left--
	}
	return left >= model.least()
}

// evictSpares drops the fewest spare replicas on one server that make room.
func (w *work) evictSpares(model *modelState, move Move) bool {
	var best []replica
	for i := range w.servers {
		server := &w.servers[i]
		if !server.Usable || w.holds(server, model) {
			continue
		}
		victims := w.victims(i, model)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, victim := range best {
		w.dropReplica(victim, move)
	}
	if best != nil {
		w.servers[best[0].server].coming -= model.footprint
	}
	return best != nil
}

// victims lists spare replicas on a server that together make room, or nothing.
func (w *work) victims(server int, model *modelState) []replica {
	room := w.servers[server].coming
	var victims []replica
	for i := range w.servers[server].Residents {
		resident := &w.servers[server].Residents[i]
		number, declared := w.byName[resident.Model]
		if !declared || resident.Adapter != "" || resident.Model == model.spec.Name {
			continue
		}
		candidate := replica{
			server:   server,
			resident: i,
		}
		if !w.spare(&w.models[number], candidate) {
			continue
		}
		victims = append(victims, candidate)
		room += w.released(candidate)
		if room >= model.footprint {
			return victims
		}
	}
	return nil
}

// relocate starts a copy of another model's replica elsewhere, so that the
// replica here becomes spare and a later round can evict it.
func (w *work) relocate(model *modelState, move Move) bool {
	for i := range w.servers {
		server := &w.servers[i]
		if !server.Usable || w.holds(server, model) {
			continue
		}
		for j := range server.Residents {
			candidate := replica{
				server:   i,
				resident: j,
			}
			if w.relocateOne(model, candidate, move) {
				return true
			}
		}
	}
	return false
}

func (w *work) relocateOne(model *modelState, candidate replica, move Move) bool {
	resident := w.resident(candidate)
	number, declared := w.byName[resident.Model]
	if !declared || resident.Adapter != "" || !resident.Ready || resident.Unloading {
		return false
	}
	moved := &w.models[number]
	if moved.spec.Name == model.spec.Name || resident.Version != moved.spec.Version {
		return false
	}
	if w.servers[candidate.server].coming+w.released(candidate) < model.footprint {
		return false
	}
	if w.present(moved) > moved.least() {
		return true // a copy is on its way: wait for it
	}
	target, found := w.bestServer(moved, "")
	if !found || target == candidate.server {
		return false
	}
	if w.budget.Models > 0 {
		w.load(moved, target, move)
	}
	return true
}
