package placement

import (
	"cmp"
	"slices"
)

// placeRequired brings every declared model to its minimum number of replicas.
// Among models with the same urgency, the largest come first, since the fewest
// servers can take them.
func (p *planner) placeRequired() {
	order := p.listMissingModels()
	for _, index := range order {
		model := &p.models[index]
		for current := p.countPresent(model); current < model.minReplicas(); current++ {
			if !p.placeReplica(model, current) {
				break
			}
		}
	}
}

func (p *planner) listMissingModels() []int {
	var missing []int
	for i := range p.models {
		if p.countPresent(&p.models[i]) < p.models[i].minReplicas() {
			missing = append(missing, i)
		}
	}
	slices.SortStableFunc(missing, func(a, b int) int {
		// A model without any replica comes first.
		reachableA := min(p.countPresent(&p.models[a]), 1)
		reachableB := min(p.countPresent(&p.models[b]), 1)
		return cmp.Or(
			cmp.Compare(reachableA, reachableB),
			cmp.Compare(p.models[b].footprint, p.models[a].footprint),
		)
	})
	return missing
}

// placeReplica plans one replica or makes room for it, and reports whether the
// replica was planned. If not, nothing more can be done for the model in this
// call of Plan.
func (p *planner) placeReplica(model *modelState, current int) bool {
	move := Move{
		Reason: ReasonMissing,
		Have:   current,
		Want:   model.minReplicas(),
	}
	if p.hasOtherVersion(model) {
		move.Reason = ReasonVersionChange
	}
	if server, found := p.findServer(model, ""); found {
		if p.budget.Models <= 0 {
			// Reserve the memory, so that placeDemand does not use it for
			// another model.
			p.servers[server].free -= model.footprint
			p.servers[server].freeAfterUnloads -= model.footprint
			return false
		}
		p.planLoad(model, server, move)
		return true
	}
	p.makeRoom(model, move)
	return false
}

func (p *planner) hasOtherVersion(model *modelState) bool {
	for _, r := range model.replicas {
		if p.resident(r).Version != model.spec.Version {
			return true
		}
	}
	return false
}

// placementSpread counts the model's replicas in a server's region and data
// centre; the next replica goes where there are fewest.
type placementSpread struct {
	region     int
	dataCentre int
}

func (p *planner) countSpread(model *modelState, candidate *serverState) placementSpread {
	var count placementSpread
	for _, r := range model.replicas {
		resident := p.resident(r)
		if resident.Unloading || resident.Version != model.spec.Version {
			continue
		}
		other := &p.servers[r.server]
		if other.Region == candidate.Region {
			count.region++
		}
		if other.DataCentre == candidate.DataCentre {
			count.dataCentre++
		}
	}
	return count
}

// findServer returns the server for one more replica: in the region, then the
// data centre, with the fewest replicas of the model, then with the most free
// memory.
func (p *planner) findServer(model *modelState, region regionFilter) (int, bool) {
	best := -1
	var bestSpread placementSpread
	for i := range p.servers {
		server := &p.servers[i]
		if !server.Usable || server.free < model.footprint || !region.matches(server) {
			continue
		}
		if p.hasDeclaredVersion(server, model) {
			continue
		}
		candidateSpread := p.countSpread(model, server)
		if best < 0 || isBetter(candidateSpread, bestSpread, server, &p.servers[best]) {
			best = i
			bestSpread = candidateSpread
		}
	}
	return best, best >= 0
}

func isBetter(candidateSpread, bestSpread placementSpread, candidate, bestServer *serverState) bool {
	return cmp.Or(
		cmp.Compare(candidateSpread.region, bestSpread.region),
		cmp.Compare(candidateSpread.dataCentre, bestSpread.dataCentre),
		cmp.Compare(bestServer.free, candidate.free),
	) < 0
}

// hasDeclaredVersion reports whether the declared version is on a server in any
// state. Each server gets at most one replica of a model, and weights with an
// order in doubt get no second order.
func (p *planner) hasDeclaredVersion(server *serverState, model *modelState) bool {
	for _, r := range model.replicas {
		if &p.servers[r.server] == server && p.resident(r).Version == model.spec.Version {
			return true
		}
	}
	return false
}

func (p *planner) addBlocked(model *modelState, blocker Blocker, current int) {
	p.result.Blocked = append(p.result.Blocked, Blocked{
		Weights: Weights{
			Model:   model.spec.Name,
			Version: model.spec.Version,
		},
		Blocker:         blocker,
		PresentReplicas: current,
		WantedReplicas:  model.minReplicas(),
		RequiredMemory:  model.footprint,
	})
}
