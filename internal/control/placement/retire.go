package placement

// retire unloads what is no longer wanted: undeclared weights, other versions
// once enough replicas of the declared one are ready, and replicas above the
// maximum.
func (p *planner) retire() {
	for i := range p.servers {
		if p.servers[i].Usable {
			p.retireUndeclared(i)
		}
	}
	for i := range p.models {
		p.retireOtherVersions(&p.models[i])
		p.retireAboveMax(&p.models[i])
	}
}

func (p *planner) retireUndeclared(server int) {
	target := &p.servers[server]
	for i := range target.Residents {
		resident := &target.Residents[i]
		if resident.Unloading || resident.Loading || p.isDeclared(target, resident) {
			continue
		}
		p.planUnload(server, resident, Move{
			Reason: ReasonUndeclared,
		})
	}
}

// isDeclared reports whether a model or adapter is declared, in any version. An
// adapter without its base model on the server counts as undeclared there.
func (p *planner) isDeclared(server *serverState, resident *Resident) bool {
	index, found := p.modelIndex[resident.Model]
	if !found {
		return false
	}
	if resident.Adapter == "" {
		return true
	}
	return server.hasBase(resident.Model) && findAdapter(p.models[index].spec, resident.Adapter) != nil
}

func (p *planner) retireOtherVersions(model *modelState) {
	readyReplicas := p.countReady(model, true)
	if readyReplicas < model.minReplicas() {
		return
	}
	for _, r := range model.replicas {
		if p.resident(r).Version == model.spec.Version || !p.servers[r.server].Usable {
			continue
		}
		if p.canDrop(model, r) {
			p.planReplicaUnload(r, Move{
				Reason: ReasonVersionChange,
				Have:   readyReplicas,
				Want:   model.minReplicas(),
			})
		}
	}
}

func (p *planner) retireAboveMax(model *modelState) {
	limit := max(model.spec.MaxReplicas, model.minReplicas())
	current := p.countPresent(model)
	for i := len(model.replicas) - 1; i >= 0 && current > limit; i-- {
		r := model.replicas[i]
		if !p.servers[r.server].Usable || !p.isSpare(model, r) {
			continue
		}
		p.planReplicaUnload(r, Move{
			Reason: ReasonAboveMax,
			Have:   current,
			Want:   limit,
		})
		current--
	}
}
