package placement

import (
	"cmp"
	"slices"
)

// placeRequired brings every declared model to its least number of replicas.
// Models with large footprints come first: they fit in fewest places.
func (w *work) placeRequired() {
	order := w.missingModels()
	for _, index := range order {
		model := &w.models[index]
		for have := w.present(model); have < model.least(); have++ {
			if !w.placeOne(model, have) {
				break
			}
		}
	}
}

func (w *work) missingModels() []int {
	var missing []int
	for i := range w.models {
		if w.present(&w.models[i]) < w.models[i].least() {
			missing = append(missing, i)
		}
	}
	slices.SortStableFunc(missing, func(a, b int) int {
		// A model that nobody can reach comes before any other.
		left := min(w.present(&w.models[a]), 1)
		right := min(w.present(&w.models[b]), 1)
		return cmp.Or(
			cmp.Compare(left, right),
			cmp.Compare(w.models[b].footprint, w.models[a].footprint),
		)
	})
	return missing
}

// placeOne books one replica, or makes room for it, and tells whether it was
// booked: if not, this round has nothing more to do for the model.
func (w *work) placeOne(model *modelState, have int) bool {
	move := Move{
		Reason: ReasonMissing,
		Have:   have,
		Want:   model.least(),
	}
	if w.hasOtherVersion(model) {
		move.Reason = ReasonVersion
	}
	if server, found := w.bestServer(model, ""); found {
		if w.budget.Models <= 0 {
			// Kept for the model, so that demand does not take the room.
			w.servers[server].free -= model.footprint
			w.servers[server].coming -= model.footprint
			return false
		}
		w.load(model, server, move)
		return true
	}
	w.makeRoom(model, move)
	return false
}

func (w *work) hasOtherVersion(model *modelState) bool {
	for _, r := range model.replicas {
		if w.resident(r).Version != model.spec.Version {
			return true
		}
	}
	return false
}

// spread counts replicas that the next one should keep away from.
type spread struct {
	region     int
	dataCentre int
}

func (w *work) spreadAt(model *modelState, candidate *serverState) spread {
	var count spread
	for _, r := range model.replicas {
		resident := w.resident(r)
		if resident.Unloading || resident.Version != model.spec.Version {
			continue
		}
		other := &w.servers[r.server]
		if other.Region == candidate.Region {
			count.region++
		}
		if other.DataCentre == candidate.DataCentre {
			count.dataCentre++
		}
	}
	return count
}

// bestServer finds the server for one more replica: in the region and data
// centre with fewest, then the one with most free memory. An empty region takes
// all.
func (w *work) bestServer(model *modelState, region regionFilter) (int, bool) {
	best := -1
	var bestSpread spread
	for i := range w.servers {
		server := &w.servers[i]
		if !server.Usable || server.free < model.footprint || !region.takes(server) {
			continue
		}
		if w.holds(server, model) {
			continue
		}
		here := w.spreadAt(model, server)
		if best < 0 || better(here, bestSpread, server, &w.servers[best]) {
			best = i
			bestSpread = here
		}
	}
	return best, best >= 0
}

func better(here, best spread, server, other *serverState) bool {
	return cmp.Or(
		cmp.Compare(here.region, best.region),
		cmp.Compare(here.dataCentre, best.dataCentre),
		cmp.Compare(other.free, server.free),
	) < 0
}

// holds tells whether the declared version is on a server in any state: two
// replicas go to distinct servers, and weights with an order in doubt get no
// second order.
func (w *work) holds(server *serverState, model *modelState) bool {
	for _, r := range model.replicas {
		if &w.servers[r.server] == server && w.resident(r).Version == model.spec.Version {
			return true
		}
	}
	return false
}

func (w *work) block(model *modelState, why Blocker, have int) {
	w.result.Blocked = append(w.result.Blocked, Blocked{
		Weights: Weights{
			Model:   model.spec.Name,
			Version: model.spec.Version,
		},
		Why:   why,
		Have:  have,
		Want:  model.least(),
		Needs: model.footprint,
	})
}
