package placement

import (
	"cmp"
	"math"
	"slices"

	"cicadaloom/internal/domain/ident"
)

const (
	// usefulShare is the part of a replica's rate that it serves in time; above
	// it queues grow and promises break.
	usefulShare = 0.8
	// leastBenefit is the least part of a replica's rate that a move must bring,
	// whatever the weights: rates within it of a step cause no moves.
	leastBenefit = 0.1
	// evictionTries bounds the searches for a replica to give way in one round.
	evictionTries = 8
)

// regionFilter is a region, or empty for all.
type regionFilter ident.Region

func (f regionFilter) takes(server *serverState) bool {
	return f == "" || ident.Region(f) == server.Region
}

// wish is one more replica that a region's demand asks for.
type wish struct {
	model   *modelState
	region  ident.Region
	rate    *Rate
	have    int
	benefit float64
}

type regionModel struct {
	model  ident.ModelName
	region ident.Region
}

// placeDemand spreads spare memory by demand. Regions are weighed apart, for
// the link between them is narrow. Spare replicas stay until something else
// pays for their room, so a fall of demand causes no moves by itself.
func (w *work) placeDemand() {
	wishes := w.wishes()
	tries := evictionTries
	for i := range wishes {
		if w.budget.Models <= 0 || tries <= 0 {
			return
		}
		if !w.grant(&wishes[i]) {
			tries--
		}
	}
}

// perByte is the benefit for the memory that it takes.
func (w *wish) perByte() float64 {
	return w.benefit / float64(max(1, w.model.footprint))
}

// wishes lists what demand asks for, the greatest benefit for its memory first.
func (w *work) wishes() []wish {
	var wishes []wish
	for i := range w.input.Rates {
		rate := &w.input.Rates[i]
		number, declared := w.byName[rate.Model]
		if !declared {
			continue
		}
		model := &w.models[number]
		have := w.presentIn(model, rate.Region)
		benefit := w.late(rate, have) - w.late(rate, have+1)
		if benefit < leastBenefit*w.replicaRate(rate) || w.present(model) >= model.spec.MaxReplicas {
			continue
		}
		wishes = append(wishes, wish{
			model:   model,
			region:  rate.Region,
			rate:    rate,
			have:    have,
			benefit: benefit,
		})
	}
	slices.SortStableFunc(wishes, func(a, b wish) int {
		return cmp.Compare(b.perByte(), a.perByte())
	})
	return wishes
}

func (w *work) presentIn(model *modelState, region ident.Region) int {
	count := 0
	for _, r := range model.replicas {
		resident := w.resident(r)
		if resident.Version == model.spec.Version && !resident.Unloading && w.servers[r.server].Region == region {
			count++
		}
	}
	return count
}

func (w *work) replicaRate(rate *Rate) float64 {
	if rate.ReplicaPerSecond > 0 {
		return rate.ReplicaPerSecond
	}
	return w.settings.ReplicaPerSecond
}

// late is the rate of requests that replicas in the region cannot serve in time.
func (w *work) late(rate *Rate, replicas int) float64 {
	return max(0, rate.PerSecond-usefulShare*w.replicaRate(rate)*float64(replicas))
}

// grant books the load that a wish asks for, or the unload that makes room for
// it, if it pays. It tells whether there was something to do.
func (w *work) grant(asked *wish) bool {
	move := Move{
		Reason:  ReasonDemand,
		For:     asked.model.spec.Name,
		Have:    asked.have,
		Want:    asked.have + 1,
		Benefit: w.gain(asked.rate, asked.benefit),
		Cost:    w.price(1),
	}
	if server, found := w.bestServer(asked.model, regionFilter(asked.region)); found {
		if move.Benefit > move.Cost {
			w.load(asked.model, server, move)
		}
		return true
	}
	if w.roomComes(asked) {
		return true
	}
	return w.evictForDemand(asked, move)
}

// gain is a benefit as a share of what one replica serves in time over the
// horizon; nothing is served while the weights load.
func (w *work) gain(rate *Rate, benefit float64) float64 {
	lasting := 1 - w.settings.LoadTime.Seconds()/w.settings.Horizon.Seconds()
	return benefit / (usefulShare * w.replicaRate(rate)) * lasting
}

// price is the gain that moves must exceed. One move must bring MovesWeight of a
// replica; of more, each must bring it out of what the others leave. At weight 1
// no move pays, for no gain is above one replica.
func (w *work) price(moves int) float64 {
	return 1 - math.Pow(1-w.settings.MovesWeight, float64(moves))
}

// roomComes tells whether an unload under way makes room for the wish, and
// keeps that room for it.
func (w *work) roomComes(asked *wish) bool {
	for i := range w.servers {
		server := &w.servers[i]
		if !server.Usable || server.Region != asked.region || w.holds(server, asked.model) {
			continue
		}
		if server.coming > server.free && server.coming >= asked.model.footprint {
			server.coming -= asked.model.footprint
			return true
		}
	}
	return false
}

// evictForDemand drops the spare replica in the region that is missed least, if
// the gain less that loss pays for both moves.
func (w *work) evictForDemand(asked *wish, move Move) bool {
	rates := w.ratesByModel()
	least := leastBenefit * w.replicaRate(asked.rate)
	bestLoss := asked.benefit - least
	var victim replica
	found := false
	for i := range w.servers {
		server := &w.servers[i]
		if !server.Usable || server.Region != asked.region || w.holds(server, asked.model) {
			continue
		}
		for j := range server.Residents {
			candidate := replica{
				server:   i,
				resident: j,
			}
			loss, may := w.lossOf(candidate, asked.model, rates)
			if may && loss < bestLoss {
				bestLoss = loss
				victim = candidate
				found = true
			}
		}
	}
	move.Benefit = w.gain(asked.rate, asked.benefit-bestLoss)
	move.Cost = w.price(2)
	if !found || move.Benefit <= move.Cost {
		return false
	}
	w.dropReplica(victim, move)
	w.servers[victim.server].coming -= asked.model.footprint
	return true
}

func (w *work) ratesByModel() map[regionModel]*Rate {
	rates := make(map[regionModel]*Rate, len(w.input.Rates))
	for i := range w.input.Rates {
		rate := &w.input.Rates[i]
		rates[regionModel{
			model:  rate.Model,
			region: rate.Region,
		}] = rate
	}
	return rates
}

// lossOf is the rate of requests that would be late without a replica, and
// whether it may go: spare, not the last in its region, of a model that did not
// grow lately, and big enough.
func (w *work) lossOf(candidate replica, model *modelState, rates map[regionModel]*Rate) (float64, bool) {
	resident := w.resident(candidate)
	number, declared := w.byName[resident.Model]
	if !declared || resident.Adapter != "" || resident.Model == model.spec.Name {
		return 0, false
	}
	server := &w.servers[candidate.server]
	if w.grewLately(&w.models[number]) || server.coming+w.released(candidate) < model.footprint {
		return 0, false
	}
	owner := &w.models[number]
	have := w.presentIn(owner, server.Region)
	if have < 2 || !w.spare(owner, candidate) {
		return 0, false
	}
	rate := rates[regionModel{
		model:  resident.Model,
		region: server.Region,
	}]
	if rate == nil {
		return 0, true
	}
	return w.late(rate, have-1) - w.late(rate, have), true
}

// grewLately tells whether a replica of the model is new. Then none of them
// gives way: had only the new one to stay, an old one would go in its place, and
// two models with swinging demand would push each other out at every swing.
func (w *work) grewLately(model *modelState) bool {
	for _, r := range model.replicas {
		if w.input.Now.Sub(w.resident(r).Since) < w.settings.MinStay {
			return true
		}
	}
	return false
}
