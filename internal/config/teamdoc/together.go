package teamdoc

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Server is the accelerator memory of one backend server.
type Server struct {
	Name   ident.ServerName
	Memory unit.Bytes
}

// CheckAll validates the documents of all teams, each valid by itself,
// against each other: no name may be used by two teams, and the minimum number of
// replicas of every model, each with all its adapters, must fit the servers. The
// path of each fault starts with the team. Name faults are sorted by team, memory
// faults by decreasing replica size, so that every host reports the same ones.
//
// If the memory check reports no fault, a placement exists in which no server is
// overcommitted and no two replicas of a model share a server: the check has
// constructed one. A fault does not prove that no placement exists. Bin packing is
// NP-hard, and the check tries two greedy methods (first fit and worst fit, both by
// decreasing size), so it may refuse a set that fits but leaves little memory free.
// The check reserves no memory beyond the minimum, for example for loading a new
// version beside the old one.
func CheckAll(docs map[ident.TeamName]*document.Document, capacity []Server) jsonfile.Faults {
	faults := CheckUniqueNames(docs)
	return append(faults, checkMemory(docs, capacity)...)
}

// CheckUniqueNames is the part of CheckAll that checks names. Requests identify
// models, adapters and services by name alone, so a name may belong to one team
// only.
func CheckUniqueNames(docs map[ident.TeamName]*document.Document) jsonfile.Faults {
	type owner struct {
		team ident.TeamName
		path string
	}
	var faults jsonfile.Faults
	owners := make(map[string]owner)
	for _, team := range sortedTeams(docs) {
		for _, use := range listNameUses(docs[team]) {
			if first, taken := owners[use.name]; taken && first.team != team {
				faults.Add(jsonfile.MemberPath(string(team), use.path), strconv.Quote(use.name),
					fmt.Sprintf("a name that no other team has (%s has it at %s)", first.team, first.path))
				continue
			}
			owners[use.name] = owner{
				team: team,
				path: use.path,
			}
		}
	}
	return faults
}

func sortedTeams(docs map[ident.TeamName]*document.Document) []ident.TeamName {
	result := make([]ident.TeamName, 0, len(docs))
	for team := range docs {
		result = append(result, team)
	}
	slices.Sort(result)
	return result
}

// ReplicaMemory returns the memory of one replica of a model with all its adapters.
func ReplicaMemory(model *document.Model) unit.Bytes {
	memory := model.Memory
	for i := range model.Adapters {
		memory += model.Adapters[i].Memory
	}
	return memory
}

// NeedsMoreMemory reports whether a document needs more accelerator memory for some
// model than the previous document: a new model, more replicas, or larger ones. A
// nil argument means that there is no document.
func NeedsMoreMemory(before, after *document.Document) bool {
	if after == nil {
		return false
	}
	for i := range after.Models {
		model := &after.Models[i]
		if before == nil {
			return true
		}
		old, found := before.Model(model.Name)
		if !found || model.Replicas > old.Replicas || ReplicaMemory(model) > ReplicaMemory(old) {
			return true
		}
	}
	return false
}

// memoryDemand is the memory that the minimum number of replicas of a model needs.
type memoryDemand struct {
	team     ident.TeamName
	index    int
	replicas int
	memory   unit.Bytes // of one replica with its adapters
}

func listMemoryDemands(docs map[ident.TeamName]*document.Document) []memoryDemand {
	var result []memoryDemand
	for _, team := range sortedTeams(docs) {
		for i := range docs[team].Models {
			model := &docs[team].Models[i]
			result = append(result, memoryDemand{
				team:     team,
				index:    i,
				replicas: model.Replicas,
				memory:   ReplicaMemory(model),
			})
		}
	}
	return result
}

func checkMemory(docs map[ident.TeamName]*document.Document, capacity []Server) jsonfile.Faults {
	demands := listMemoryDemands(docs)
	// By decreasing size: a large replica that is placed last finds only small
	// gaps.
	slices.SortStableFunc(demands, func(a, b memoryDemand) int {
		return cmp.Compare(b.memory, a.memory)
	})
	// Servers come in the arbitrary order of their reports; sorting by name makes
	// every host compute the same result.
	capacity = slices.SortedFunc(slices.Values(capacity), func(a, b Server) int {
		return cmp.Compare(a.Name, b.Name)
	})
	unplaced := pack(demands, capacity, firstFit)
	if len(unplaced) == 0 || len(pack(demands, capacity, worstFit)) == 0 {
		return nil
	}
	return unplacedFaults(unplaced, demands, capacity)
}

func unplacedFaults(unplaced, demands []memoryDemand, capacity []Server) jsonfile.Faults {
	var needed, available unit.Bytes
	for _, demand := range demands {
		needed += demand.memory * unit.Bytes(demand.replicas)
	}
	for _, server := range capacity {
		available += server.Memory
	}
	var faults jsonfile.Faults
	for _, demand := range unplaced {
		path := jsonfile.MemberPath(string(demand.team), jsonfile.ItemPath("Models", demand.index))
		faults.Add(path, fmt.Sprintf("%d more replicas of %s each, adapters with them", demand.replicas, demand.memory),
			fmt.Sprintf("what fits beside all other models (%s needed in all, %s on %d servers)", needed, available, len(capacity)))
	}
	return faults
}

// packingMethod is a greedy method to choose servers for replicas.
type packingMethod int

const (
	// firstFit takes the first servers, by name, with enough free memory.
	firstFit packingMethod = iota
	// worstFit takes the servers with the most free memory. It can place many
	// replicas of one model on distinct servers where first fit fills some servers
	// too early.
	worstFit
)

// pack places replicas on servers and returns the demands that do not fit, each
// with the number of replicas that are left.
func pack(demands []memoryDemand, capacity []Server, method packingMethod) []memoryDemand {
	free := make([]unit.Bytes, 0, len(capacity))
	for _, server := range capacity {
		free = append(free, server.Memory)
	}
	var unplaced []memoryDemand
	for _, demand := range demands {
		if method == worstFit {
			slices.SortFunc(free, func(a, b unit.Bytes) int {
				return cmp.Compare(b, a)
			})
		}
		// Each server is considered once per model, so that two replicas of a
		// model never share a server.
		for i := range free {
			if demand.replicas == 0 {
				break
			}
			if free[i] >= demand.memory {
				free[i] -= demand.memory
				demand.replicas--
			}
		}
		if demand.replicas > 0 {
			unplaced = append(unplaced, demand)
		}
	}
	return unplaced
}
