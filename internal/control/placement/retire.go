package placement

// retire unloads what is not wanted any more: undeclared weights, other
// versions once the declared one has its replicas ready, and replicas above the
// greatest number.
func (w *work) retire() {
	for i := range w.servers {
		if w.servers[i].Usable {
			w.retireUndeclared(i)
		}
	}
	for i := range w.models {
		w.retireVersions(&w.models[i])
		w.retireAboveMax(&w.models[i])
	}
}

func (w *work) retireUndeclared(server int) {
	target := &w.servers[server]
	for i := range target.Residents {
		resident := &target.Residents[i]
		if resident.Unloading || resident.Loading || w.declared(target, resident) {
			continue
		}
		w.unload(server, resident, Move{
			Reason: ReasonUndeclared,
		})
	}
}

// declared tells whether a model or adapter is declared, in whatever version.
// An adapter without its base model on the server counts as undeclared there.
func (w *work) declared(server *serverState, resident *Resident) bool {
	number, found := w.byName[resident.Model]
	if !found {
		return false
	}
	if resident.Adapter == "" {
		return true
	}
	return server.hasBase(resident.Model) && findAdapter(w.models[number].spec, resident.Adapter) != nil
}

func (w *work) retireVersions(model *modelState) {
	ready := w.ready(model, true)
	if ready < model.least() {
		return
	}
	for _, r := range model.replicas {
		if w.resident(r).Version == model.spec.Version || !w.servers[r.server].Usable {
			continue
		}
		if w.mayDrop(model, r) {
			w.dropReplica(r, Move{
				Reason: ReasonVersion,
				Have:   ready,
				Want:   model.least(),
			})
		}
	}
}

func (w *work) retireAboveMax(model *modelState) {
	limit := max(model.spec.MaxReplicas, model.least())
	have := w.present(model)
	for i := len(model.replicas) - 1; i >= 0 && have > limit; i-- {
		r := model.replicas[i]
		if !w.servers[r.server].Usable || !w.spare(model, r) {
			continue
		}
		w.dropReplica(r, Move{
			Reason: ReasonAboveMax,
			Have:   have,
			Want:   limit,
		})
		have--
	}
}
