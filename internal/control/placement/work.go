package placement

import (
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// work is the state of one planning round.
type work struct {
	input    *Input
	settings Settings
	budget   Budget
	models   []modelState
	byName   map[ident.ModelName]int
	servers  []serverState
	result   Result
}

// replica points at a resident model in servers[server].
type replica struct {
	server   int
	resident int
}

type modelState struct {
	spec      *document.Model
	footprint unit.Bytes
	// replicas has the residents of all versions.
	replicas []replica
}

// least is the least number of replicas: a declared model has one at least.
func (m *modelState) least() int {
	return max(1, m.spec.Replicas)
}

type serverState struct {
	*Server
	// free is memory that no resident, load in doubt or adapter to come needs.
	free unit.Bytes
	// coming is free plus what unloads under way will give back.
	coming unit.Bytes
}

func newWork(input *Input) *work {
	w := &work{
		input:    input,
		settings: input.Settings.withDefaults(),
		budget:   input.Budget,
		models:   make([]modelState, len(input.Models)),
		byName:   make(map[ident.ModelName]int, len(input.Models)),
		servers:  make([]serverState, len(input.Servers)),
	}
	for i := range input.Models {
		w.models[i].spec = &input.Models[i]
		w.models[i].footprint = Footprint(&input.Models[i])
		w.byName[input.Models[i].Name] = i
	}
	for i := range input.Servers {
		w.addServer(i)
	}
	return w
}

func (w *work) addServer(index int) {
	server := &w.servers[index]
	server.Server = &w.input.Servers[index]
	free := server.Memory - server.Reserved
	leaving := unit.Bytes(0)
	for i := range server.Residents {
		resident := &server.Residents[i]
		if resident.Unloading {
			leaving += resident.Memory
		}
		number, declared := w.byName[resident.Model]
		if !declared {
			continue
		}
		model := &w.models[number]
		if resident.Adapter == "" {
			model.replicas = append(model.replicas, replica{
				server:   index,
				resident: i,
			})
		}
		free -= w.earmark(server, model, resident)
	}
	server.free = free
	server.coming = free + leaving
}

// earmark is the memory that adapters of a resident model still need on its
// server; for a resident adapter it takes back what its model has put aside.
func (w *work) earmark(server *serverState, model *modelState, resident *Resident) unit.Bytes {
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

// hasBase tells whether a model is resident in any version and stays so.
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

func (w *work) resident(r replica) *Resident {
	return &w.servers[r.server].Residents[r.resident]
}

// present counts the replicas of the declared version that are there or coming.
func (w *work) present(model *modelState) int {
	count := 0
	for _, r := range model.replicas {
		resident := w.resident(r)
		if resident.Version == model.spec.Version && !resident.Unloading {
			count++
		}
	}
	return count
}

// ready counts replicas that serve by a fresh report and that no unload
// threatens; of any version, or of the declared one only.
func (w *work) ready(model *modelState, declaredOnly bool) int {
	count := 0
	for _, r := range model.replicas {
		resident := w.resident(r)
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

// unloading tells whether a replica of the model is on its way out.
func (w *work) unloading(model *modelState) bool {
	for _, r := range model.replicas {
		if w.resident(r).Unloading {
			return true
		}
	}
	return false
}

// load books a load of a model.
func (w *work) load(model *modelState, server int, move Move) {
	target := &w.servers[server]
	move.Kind = backend.LoadModel
	move.Server = target.Name
	move.Weights = Weights{
		Model:   model.spec.Name,
		Version: model.spec.Version,
	}
	move.Memory = model.spec.Memory
	w.result.Moves = append(w.result.Moves, move)
	target.Residents = append(target.Residents, Resident{
		Weights: move.Weights,
		Memory:  move.Memory,
		Loading: true,
		Since:   w.input.Now,
	})
	model.replicas = append(model.replicas, replica{
		server:   server,
		resident: len(target.Residents) - 1,
	})
	target.free -= model.footprint
	target.coming -= model.footprint
	w.budget.Models--
}

// unload books the unload of one resident.
func (w *work) unload(server int, resident *Resident, move Move) {
	target := &w.servers[server]
	move.Kind = backend.UnloadModel
	if resident.Adapter != "" {
		move.Kind = backend.UnloadAdapter
	}
	move.Server = target.Name
	move.Weights = resident.Weights
	move.Memory = resident.Memory
	w.result.Moves = append(w.result.Moves, move)
	resident.Unloading = true
	target.coming += resident.Memory
}

// dropReplica books the unload of a replica; its adapters go with it unless
// another version of the model stays on the server.
func (w *work) dropReplica(r replica, move Move) {
	dropped := w.resident(r)
	w.unload(r.server, dropped, move)
	target := &w.servers[r.server]
	if target.hasBase(dropped.Model) {
		return
	}
	for i := range target.Residents {
		resident := &target.Residents[i]
		if resident.Model != dropped.Model || resident.Adapter == "" {
			continue
		}
		if !resident.Unloading && !resident.Loading {
			w.unload(r.server, resident, move)
		}
	}
}
