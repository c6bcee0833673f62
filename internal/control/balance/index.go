package balance

import (
	"cmp"
	"iter"
	"slices"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// index finds the servers that can answer a request, so that a choice costs as much as there
// are such servers and not as there are servers. The lists are sorted by name.
type index struct {
	// holders are the engines that hold some weights, plain the servers without models.
	holders map[request.Weights][]*server
	plain   []*server
}

// add adds a server that is in no list.
func (x *index) add(s *server) {
	s.isIndexed = true
	if s.info.Kind != backend.KindEngine {
		x.plain = insertByName(x.plain, s)
		return
	}
	if x.holders == nil {
		x.holders = make(map[request.Weights][]*server)
	}
	for _, weights := range s.holds {
		x.holders[weights] = insertByName(x.holders[weights], s)
	}
}

// remove removes a server from all lists.
func (x *index) remove(s *server) {
	s.isIndexed = false
	x.plain = removeByName(x.plain, s)
	for _, weights := range s.holds {
		x.removeHolder(weights, s)
	}
}

// removeHolder removes a server from the engines that hold some weights.
func (x *index) removeHolder(weights request.Weights, s *server) {
	if remaining := removeByName(x.holders[weights], s); len(remaining) > 0 {
		x.holders[weights] = remaining
	} else {
		delete(x.holders, weights)
	}
}

// candidates iterates over the servers that can answer requests for some weights.
func (x *index) candidates(weights request.Weights) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		for _, list := range [...][]*server{x.plain, x.holders[weights]} {
			for _, s := range list {
				if !yield(s) {
					return
				}
			}
		}
	}
}

func compareName(s *server, name ident.ServerName) int {
	return cmp.Compare(s.info.Name, name)
}

func insertByName(list []*server, s *server) []*server {
	at, found := slices.BinarySearchFunc(list, s.info.Name, compareName)
	if found {
		return list // an entry may name the same weights twice
	}
	return slices.Insert(list, at, s)
}

func removeByName(list []*server, s *server) []*server {
	at, found := slices.BinarySearchFunc(list, s.info.Name, compareName)
	if !found || list[at] != s {
		return list
	}
	return slices.Delete(list, at, at+1)
}
