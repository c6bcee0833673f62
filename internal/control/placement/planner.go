package placement

import (
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// planner is the state of one call of Plan.
type planner struct {
	input      *Input
	settings   Settings
	budget     Budget
	models     []modelState
	modelIndex map[ident.ModelName]int
	servers    []serverState
	result     Result
}

// replica identifies a resident model: servers[server].Residents[resident].
type replica struct {
	server   int
	resident int
}

type modelState struct {
	spec      *document.Model
	footprint unit.Bytes
	// replicas lists the residents of all versions.
	replicas []replica
}

// minReplicas returns the minimum number of replicas, which is at least one.
func (m *modelState) minReplicas() int {
	return max(1, m.spec.Replicas)
}

type serverState struct {
	*Server
	// free is the memory that is needed by no resident, load in doubt or
	// adapter yet to be loaded.
	free unit.Bytes
	// freeAfterUnloads is free plus the memory that unloads in progress will
	// release.
	freeAfterUnloads unit.Bytes
}

func newPlanner(input *Input) *planner {
	p := &planner{
		input:      input,
		settings:   input.Settings.withDefaults(),
		budget:     input.Budget,
		models:     make([]modelState, len(input.Models)),
		modelIndex: make(map[ident.ModelName]int, len(input.Models)),
		servers:    make([]serverState, len(input.Servers)),
	}
	for i := range input.Models {
		p.models[i].spec = &input.Models[i]
		p.models[i].footprint = Footprint(&input.Models[i])
		p.modelIndex[input.Models[i].Name] = i
	}
	for i := range input.Servers {
		p.addServer(i)
	}
	return p
}

func (p *planner) addServer(index int) {
	server := &p.servers[index]
	server.Server = &p.input.Servers[index]
	free := server.Memory - server.Reserved
	unloading := unit.Bytes(0)
	for i := range server.Residents {
		resident := &server.Residents[i]
		if resident.Unloading {
			unloading += resident.Memory
		}
		modelIndex, declared := p.modelIndex[resident.Model]
		if !declared {
			continue
		}
		model := &p.models[modelIndex]
		if resident.Adapter == "" {
			model.replicas = append(model.replicas, replica{
				server:   index,
				resident: i,
			})
		}
		free -= p.adapterReserve(server, model, resident)
	}
	server.free = free
	server.freeAfterUnloads = free + unloading
}

// adapterReserve returns the memory that adapters of a resident model still
// need on its server. For a resident adapter it is negative: the adapter uses
// the memory that was set aside with its model.
func (p *planner) adapterReserve(server *serverState, model *modelState, resident *Resident) unit.Bytes {
	if resident.Unloading {
		return 0
	}
	if resident.Adapter == "" {
		return model.footprint - model.spec.Memory
	}
	adapter := findAdapter(model.spec, resident.Adapter)
	if adapter == nil || adapter.Version != resident.Version || !server.hasBase(resident.Model) {
		return 0
	}
	return -adapter.Memory
}

// hasBase reports whether any version of a model is resident and not being
// unloaded.
func (s *serverState) hasBase(model ident.ModelName) bool {
	for i := range s.Residents {
		resident := &s.Residents[i]
		if resident.Model == model && resident.Adapter == "" && !resident.Unloading {
			return true
		}
	}
	return false
}

func findAdapter(model *document.Model, name ident.AdapterName) *document.Adapter {
	for i := range model.Adapters {
		if model.Adapters[i].Name == name {
			return &model.Adapters[i]
		}
	}
	return nil
}

func (p *planner) resident(r replica) *Resident {
	return &p.servers[r.server].Residents[r.resident]
}

// countPresent returns the number of replicas of the declared version that are
// loaded or loading.
func (p *planner) countPresent(model *modelState) int {
	count := 0
	for _, r := range model.replicas {
		resident := p.resident(r)
		if resident.Version == model.spec.Version && !resident.Unloading {
			count++
		}
	}
	return count
}

// countReady returns the number of replicas that serve according to a fresh
// report and are not being unloaded, of any version or only of the declared
// one.
func (p *planner) countReady(model *modelState, declaredOnly bool) int {
	count := 0
	for _, r := range model.replicas {
		resident := p.resident(r)
		if !resident.Ready || resident.Unloading {
			continue
		}
		if declaredOnly && resident.Version != model.spec.Version {
			continue
		}
		count++
	}
	return count
}

// hasUnloadingReplica reports whether a replica of the model is being unloaded.
func (p *planner) hasUnloadingReplica(model *modelState) bool {
	for _, r := range model.replicas {
		if p.resident(r).Unloading {
			return true
		}
	}
	return false
}

// planLoad adds a move that loads a model on a server.
func (p *planner) planLoad(model *modelState, server int, move Move) {
	target := &p.servers[server]
	move.Kind = backend.LoadModel
	move.Server = target.Name
	move.Weights = Weights{
		Model:   model.spec.Name,
		Version: model.spec.Version,
	}
	move.Memory = model.spec.Memory
	p.result.Moves = append(p.result.Moves, move)
	target.Residents = append(target.Residents, Resident{
		Weights:     move.Weights,
		Memory:      move.Memory,
		Loading:     true,
		FirstSeenAt: p.input.Now,
	})
	model.replicas = append(model.replicas, replica{
		server:   server,
		resident: len(target.Residents) - 1,
	})
	target.free -= model.footprint
	target.freeAfterUnloads -= model.footprint
	p.budget.Models--
}

// planUnload adds a move that unloads one resident.
func (p *planner) planUnload(server int, resident *Resident, move Move) {
	target := &p.servers[server]
	move.Kind = backend.UnloadModel
	if resident.Adapter != "" {
		move.Kind = backend.UnloadAdapter
	}
	move.Server = target.Name
	move.Weights = resident.Weights
	move.Memory = resident.Memory
	p.result.Moves = append(p.result.Moves, move)
	resident.Unloading = true
	target.freeAfterUnloads += resident.Memory
}

// planReplicaUnload adds the moves that unload a replica, and its adapters
// unless another version of the model stays on the server.
func (p *planner) planReplicaUnload(r replica, move Move) {
	dropped := p.resident(r)
	p.planUnload(r.server, dropped, move)
	target := &p.servers[r.server]
	if target.hasBase(dropped.Model) {
		return
	}
	for i := range target.Residents {
		resident := &target.Residents[i]
		if resident.Model != dropped.Model || resident.Adapter == "" {
			continue
		}
		if !resident.Unloading && !resident.Loading {
			p.planUnload(r.server, resident, move)
		}
	}
}
