package placement

import (
	"cmp"
	"math"
	"slices"

	"cicadaloom/internal/domain/ident"
)

const (
	// maxTimelyUtilization is the share of a replica's request rate up to which
	// it answers in time. Above it, queues grow and promised times are missed.
	maxTimelyUtilization = 0.8
	// minBenefitShare is the smallest share of a replica's request rate that a
	// move must gain, whatever MovesWeight is. It prevents moves when a rate
	// varies slightly around the point where one more replica is needed.
	minBenefitShare = 0.1
	// maxEvictionSearches bounds the unsuccessful scale-ups in one call of
	// Plan, each of which searches all servers for a replica to evict.
	maxEvictionSearches = 8
)

// regionFilter is a region; empty matches every region.
type regionFilter ident.Region

func (f regionFilter) matches(server *serverState) bool {
	return f == "" || ident.Region(f) == server.Region
}

// scaleUp is one more replica that the demand of a region calls for.
type scaleUp struct {
	model  *modelState
	region ident.Region
	rate   *Rate
	// replicas counts the present ones in the region.
	replicas int
	// benefit is the rate of requests that the replica would serve in time and
	// that would be late without it.
	benefit float64
}

type regionModel struct {
	model  ident.ModelName
	region ident.Region
}

// placeDemand assigns spare memory by demand. Each region is planned
// separately, because the link between regions is narrow. Spare replicas stay
// until another model needs their memory, so falling demand alone causes no
// moves.
func (p *planner) placeDemand() {
	scaleUps := p.listScaleUps()
	searchesLeft := maxEvictionSearches
	for i := range scaleUps {
		if p.budget.Models <= 0 || searchesLeft <= 0 {
			return
		}
		if !p.planScaleUp(&scaleUps[i]) {
			searchesLeft--
		}
	}
}

// benefitPerByte returns the benefit per byte of memory that the replica takes.
func (s *scaleUp) benefitPerByte() float64 {
	return s.benefit / float64(max(1, s.model.footprint))
}

// listScaleUps returns the scale-ups that demand calls for, the greatest
// benefit per byte first.
func (p *planner) listScaleUps() []scaleUp {
	var scaleUps []scaleUp
	for i := range p.input.Rates {
		rate := &p.input.Rates[i]
		index, declared := p.modelIndex[rate.Model]
		if !declared {
			continue
		}
		model := &p.models[index]
		current := p.countPresentIn(model, rate.Region)
		benefit := p.lateRate(rate, current) - p.lateRate(rate, current+1)
		if benefit < minBenefitShare*p.replicaRate(rate) || p.countPresent(model) >= model.spec.MaxReplicas {
			continue
		}
		scaleUps = append(scaleUps, scaleUp{
			model:    model,
			region:   rate.Region,
			rate:     rate,
			replicas: current,
			benefit:  benefit,
		})
	}
	slices.SortStableFunc(scaleUps, func(a, b scaleUp) int {
		return cmp.Compare(b.benefitPerByte(), a.benefitPerByte())
	})
	return scaleUps
}

func (p *planner) countPresentIn(model *modelState, region ident.Region) int {
	count := 0
	for _, r := range model.replicas {
		resident := p.resident(r)
		if resident.Version == model.spec.Version && !resident.Unloading && p.servers[r.server].Region == region {
			count++
		}
	}
	return count
}

func (p *planner) replicaRate(rate *Rate) float64 {
	if rate.ReplicaRequestsPerSecond > 0 {
		return rate.ReplicaRequestsPerSecond
	}
	return p.settings.ReplicaRequestsPerSecond
}

// lateRate returns the rate of requests that the given number of replicas in
// the region can't serve in time.
func (p *planner) lateRate(rate *Rate, replicas int) float64 {
	return max(0, rate.RequestsPerSecond-maxTimelyUtilization*p.replicaRate(rate)*float64(replicas))
}

// planScaleUp plans the load for a scale-up, or the unload that makes room for
// it, if the benefit exceeds the cost. It returns false if no server has room,
// no pending unload will free it, and no eviction is worth its cost.
func (p *planner) planScaleUp(wanted *scaleUp) bool {
	move := Move{
		Reason:  ReasonDemand,
		For:     wanted.model.spec.Name,
		Have:    wanted.replicas,
		Want:    wanted.replicas + 1,
		Benefit: p.relativeBenefit(wanted.rate, wanted.benefit),
		Cost:    p.requiredBenefit(1),
	}
	if server, found := p.findServer(wanted.model, regionFilter(wanted.region)); found {
		if move.Benefit > move.Cost {
			p.planLoad(wanted.model, server, move)
		}
		return true
	}
	if p.waitForUnloadInRegion(wanted) {
		return true
	}
	return p.evictForDemand(wanted, move)
}

// relativeBenefit converts a benefit to a share of the requests that one
// replica serves in time over Settings.Horizon. Nothing is served while the
// weights load.
func (p *planner) relativeBenefit(rate *Rate, benefit float64) float64 {
	servingShare := 1 - p.settings.LoadTime.Seconds()/p.settings.Horizon.Seconds()
	return benefit / (maxTimelyUtilization * p.replicaRate(rate)) * servingShare
}

// requiredBenefit returns the relative benefit that the given number of moves
// must exceed. One move must gain the share MovesWeight of a replica's work;
// each further move must gain the same share of the remainder. At weight 1 no
// move is made, since no relative benefit exceeds one replica.
func (p *planner) requiredBenefit(moves int) float64 {
	return 1 - math.Pow(1-p.settings.MovesWeight, float64(moves))
}

// waitForUnloadInRegion reports whether an unload in progress in the region
// makes room for the scale-up, and reserves that memory for it.
func (p *planner) waitForUnloadInRegion(wanted *scaleUp) bool {
	for i := range p.servers {
		server := &p.servers[i]
		if !server.Usable || server.Region != wanted.region || p.hasDeclaredVersion(server, wanted.model) {
			continue
		}
		if server.freeAfterUnloads > server.free && server.freeAfterUnloads >= wanted.model.footprint {
			server.freeAfterUnloads -= wanted.model.footprint
			return true
		}
	}
	return false
}

// evictForDemand unloads the spare replica in the region whose loss makes the
// fewest requests late, if the benefit less that loss justifies both moves.
func (p *planner) evictForDemand(wanted *scaleUp, move Move) bool {
	rates := p.ratesByModel()
	minBenefit := minBenefitShare * p.replicaRate(wanted.rate)
	bestLoss := wanted.benefit - minBenefit
	var victim replica
	found := false
	for i := range p.servers {
		server := &p.servers[i]
		if !server.Usable || server.Region != wanted.region || p.hasDeclaredVersion(server, wanted.model) {
			continue
		}
		for j := range server.Residents {
			candidate := replica{
				server:   i,
				resident: j,
			}
			loss, canEvict := p.evictionLoss(candidate, wanted.model, rates)
			if canEvict && loss < bestLoss {
				bestLoss = loss
				victim = candidate
				found = true
			}
		}
	}
	move.Benefit = p.relativeBenefit(wanted.rate, wanted.benefit-bestLoss)
	move.Cost = p.requiredBenefit(2)
	if !found || move.Benefit <= move.Cost {
		return false
	}
	p.planReplicaUnload(victim, move)
	p.servers[victim.server].freeAfterUnloads -= wanted.model.footprint
	return true
}

func (p *planner) ratesByModel() map[regionModel]*Rate {
	rates := make(map[regionModel]*Rate, len(p.input.Rates))
	for i := range p.input.Rates {
		rate := &p.input.Rates[i]
		rates[regionModel{
			model:  rate.Model,
			region: rate.Region,
		}] = rate
	}
	return rates
}

// evictionLoss returns the rate of requests that would be late without a
// replica, and whether it may be evicted: it must be spare, not the last one in
// its region, of a model that gained no replica recently, and large enough to
// make room.
func (p *planner) evictionLoss(candidate replica, model *modelState, rates map[regionModel]*Rate) (float64, bool) {
	resident := p.resident(candidate)
	index, declared := p.modelIndex[resident.Model]
	if !declared || resident.Adapter != "" || resident.Model == model.spec.Name {
		return 0, false
	}
	server := &p.servers[candidate.server]
	if p.grewRecently(&p.models[index]) || server.freeAfterUnloads+p.releasedMemory(candidate) < model.footprint {
		return 0, false
	}
	owner := &p.models[index]
	current := p.countPresentIn(owner, server.Region)
	if current < 2 || !p.isSpare(owner, candidate) {
		return 0, false
	}
	rate := rates[regionModel{
		model:  resident.Model,
		region: server.Region,
	}]
	if rate == nil {
		return 0, true
	}
	return p.lateRate(rate, current-1) - p.lateRate(rate, current), true
}

// grewRecently reports whether the model gained a replica within
// Settings.EvictionProtection. All its replicas are then protected from
// eviction: if only the new one were, an old one would be evicted instead, and
// two models with alternating demand would evict each other at every change.
func (p *planner) grewRecently(model *modelState) bool {
	for _, r := range model.replicas {
		if p.input.Now.Sub(p.resident(r).FirstSeenAt) < p.settings.EvictionProtection {
			return true
		}
	}
	return false
}
