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

// CheckTogether checks documents, each sound by itself, for what only shows in
// all of them: a name that two teams use, and whether the least number of
// replicas of every model, each with all its adapters, fits the servers. The
// paths of its faults begin with the team. They come in the order of the teams'
// names, so that every host gives the same ones.
//
// What the memory check guarantees: no fault means that a placement exists in
// which no server is overcommitted and no two replicas of a model share a
// server; the check has built one. A fault does not prove that there is none:
// packing is NP-hard, and two greedy ways are tried (first fit and most free
// first, both with decreasing sizes), so a set that leaves only little memory
// free may be refused although it fits. It asks for no spare room beyond the
// least, such as for a version change beside the old version.
func CheckTogether(docs map[ident.TeamName]*document.Document, capacity []Server) jsonfile.Faults {
	faults := CheckNames(docs)
	return append(faults, checkFit(docs, capacity)...)
}

// CheckNames is the part of CheckTogether that is about names: callers ask by
// name only, so a name belongs to one team.
func CheckNames(docs map[ident.TeamName]*document.Document) jsonfile.Faults {
	type owner struct {
		team ident.TeamName
		path string
	}
	var faults jsonfile.Faults
	owners := make(map[string]owner)
	for _, team := range teams(docs) {
		for _, use := range names(docs[team]) {
			if first, taken := owners[use.name]; taken && first.team != team {
				faults.Add(jsonfile.Join(string(team), use.path), strconv.Quote(use.name),
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

func teams(docs map[ident.TeamName]*document.Document) []ident.TeamName {
	result := make([]ident.TeamName, 0, len(docs))
	for team := range docs {
		result = append(result, team)
	}
	slices.Sort(result)
	return result
}

// ReplicaMemory is what one replica of a model takes with all its adapters.
func ReplicaMemory(model *document.Model) unit.Bytes {
	memory := model.Memory
	for i := range model.Adapters {
		memory += model.Adapters[i].Memory
	}
	return memory
}

// NeedsMore tells whether a document needs accelerator memory that the one
// before it did not: for some model more replicas, or larger ones. Nil means
// that there is no document.
func NeedsMore(before, after *document.Document) bool {
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

// need is what one model takes at its least number of replicas.
type need struct {
	team     ident.TeamName
	index    int
	replicas int
	memory   unit.Bytes // of one replica with its adapters
}

func needs(docs map[ident.TeamName]*document.Document) []need {
	var result []need
	for _, team := range teams(docs) {
		for i := range docs[team].Models {
			model := &docs[team].Models[i]
			result = append(result, need{
				team:     team,
				index:    i,
				replicas: model.Replicas,
				memory:   ReplicaMemory(model),
			})
		}
	}
	return result
}

func checkFit(docs map[ident.TeamName]*document.Document, capacity []Server) jsonfile.Faults {
	wanted := needs(docs)
	// Decreasing: a large replica left for last finds only small gaps.
	slices.SortStableFunc(wanted, func(a, b need) int {
		return cmp.Compare(b.memory, a.memory)
	})
	// The reports come in any order; by name, every host packs alike.
	capacity = slices.SortedFunc(slices.Values(capacity), func(a, b Server) int {
		return cmp.Compare(a.Name, b.Name)
	})
	left := pack(wanted, capacity, firstFit)
	if len(left) == 0 || len(pack(wanted, capacity, mostFree)) == 0 {
		return nil
	}
	return unplaced(left, wanted, capacity)
}

func unplaced(left, wanted []need, capacity []Server) jsonfile.Faults {
	var needed, available unit.Bytes
	for _, w := range wanted {
		needed += w.memory * unit.Bytes(w.replicas)
	}
	for _, server := range capacity {
		available += server.Memory
	}
	var faults jsonfile.Faults
	for _, l := range left {
		path := jsonfile.Join(string(l.team), jsonfile.Index("Models", l.index))
		faults.Add(path, fmt.Sprintf("%d more replicas of %s each, adapters with them", l.replicas, l.memory),
			fmt.Sprintf("what fits beside all other models (%s needed in all, %s on %d servers)", needed, available, len(capacity)))
	}
	return faults
}

// fit is a way to choose a server for a replica.
type fit int

const (
	// firstFit fills servers up one after the other.
	firstFit fit = iota
	// mostFree finds room for many replicas of one model on distinct servers,
	// where first fit fills some servers up too early.
	mostFree
)

// pack places replicas and gives what found no place.
func pack(wanted []need, capacity []Server, way fit) []need {
	free := make([]unit.Bytes, 0, len(capacity))
	for _, server := range capacity {
		free = append(free, server.Memory)
	}
	var left []need
	for _, w := range wanted {
		if way == mostFree {
			slices.SortFunc(free, func(a, b unit.Bytes) int {
				return cmp.Compare(b, a)
			})
		}
		// Each server is looked at once for a model, so that two of its replicas
		// never share one.
		for i := range free {
			if w.replicas == 0 {
				break
			}
			if free[i] >= w.memory {
				free[i] -= w.memory
				w.replicas--
			}
		}
		if w.replicas > 0 {
			left = append(left, w)
		}
	}
	return left
}
