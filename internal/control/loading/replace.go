package loading

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Replacing at need, where models are asked for that no engine holds and has room for.
const (
	// crowdedPart is the part of the engines' memory up to which the whole catalogue can
	// be held: the rest is lost in fragments, or is needed for second replicas.
	crowdedPart = 0.75
	// rareRatio is how many times as often a model must be asked for as another one whose
	// last place it takes, and leastStay for how long that one must have had it: two
	// models of like demand would take turns otherwise, and neither be there.
	rareRatio = 2.0
	leastStay = 4 * time.Second
	// fadeSilent is after how long a model that nobody asks for costs half as much to
	// lose as one that has just ceased to be asked for.
	fadeSilent = 10 * time.Second
	// coldLoss is what the loss of a model counts more where the engine keeps no copy of
	// its weights at hand.
	coldLoss = 0.05
)

// isCrowded tells that more models are declared than the engines can hold together. What
// nobody has asked for is loaded only while an engine stands empty then: it would take a
// place from what somebody does.
func (p *Planner) isCrowded() bool {
	need, have := 0.0, 0.0
	for _, m := range p.models {
		need += float64(m.spec.Memory)
	}
	for _, e := range p.list {
		if !e.Leaving {
			have += float64(p.engine.Memory)
		}
	}
	return need > crowdedPart*have
}

// replacement is replicas that may make way on an engine for a model.
type replacement struct {
	engine  *engine
	victims []victim
	cost    float64
}

// makeWay has replicas retire for a model that is held nowhere and has no room, where
// the least is lost with them and the load is quickest.
func (p *Planner) makeWay(now time.Time, m *model) {
	if p.tooManyRetire() {
		return
	}
	var best replacement
	for _, e := range p.list {
		if one, possible := p.replacementOn(now, e, m); possible && (best.engine == nil || one.cost < best.cost) {
			best = one
		}
	}
	for _, v := range best.victims {
		p.retire(now, best.engine, v.model, m.spec.Name, best.cost)
	}
}

func (p *Planner) replacementOn(now time.Time, e *engine, m *model) (replacement, bool) {
	if !e.open(now) || e.hasModel(m.spec.Name) || len(e.retiring) > 0 {
		return replacement{}, false
	}
	length, may := p.mayLoad(now, e, m)
	if !may {
		return replacement{}, false
	}
	victims, found := pick(p.replaceable(now, e, m), m, m.spec.Memory-p.free(e))
	if !found {
		return replacement{}, false
	}
	lost, work := total(victims)
	length += makeWayTime * time.Duration(len(victims)-1)
	if work > 0 {
		length += drainTime
	}
	return replacement{
		engine:  e,
		victims: victims,
		cost:    lost + workForTime*(length.Seconds()-p.regionalNeed(now, m, e)+busyness(e)),
	}, true
}

// replaceable gives the replicas on an engine that may make way for a model that is held
// nowhere, the least loss first.
func (p *Planner) replaceable(now time.Time, e *engine, m *model) []victim {
	var all []victim
	for name, v := range p.served(e) {
		if loss, may := p.mayMakeWay(now, e, v, m); may {
			all = append(all, victim{
				model: v,
				work:  p.spreadNow(now).shares[name].on(e),
				loss:  loss,
			})
		}
	}
	sortByLoss(all)
	return all
}

// mayMakeWay tells whether a replica of v may make way on a server for m, which is held
// nowhere, and what is lost with it.
func (p *Planner) mayMakeWay(now time.Time, e *engine, v, m *model) (float64, bool) {
	switch {
	case v.ready >= 2:
		return p.left(now, v), p.mayLose(now, v, m.spec.Name)
	case !p.asked(now, m.spec.Name) || v.replicas > 1:
		return 0, false
	case p.mayDrop(now, e, v):
		return p.lastLossOf(now, e, v), true
	default:
		return lastLoss + p.left(now, v), p.rarer(now, e, v, m)
	}
}

// lastLossOf is what is lost with the last replica of a model that nobody asks for: the
// less, the longer nobody has, and if it can soon be back.
func (p *Planner) lastLossOf(now time.Time, e *engine, v *model) float64 {
	loss := lastLoss * fadeSilent.Seconds() / (fadeSilent + now.Sub(p.lastAsked(now, v.spec.Name))).Seconds()
	if _, own := p.loadTime(e, v); !own {
		loss += coldLoss
	}
	return loss
}

// rarer tells that a model which is asked for now and then may lose its last place to one
// that is asked for much more often.
func (p *Planner) rarer(now time.Time, e *engine, v, m *model) bool {
	return p.crowded && p.hasLearned(now) && now.Sub(e.since[v.spec.Name]) >= leastStay &&
		p.demandFor(now, m.spec.Name).requests > rareRatio*p.demandFor(now, v.spec.Name).requests
}

// mayLose tells that a replica of v, which has others, may make way for a model that is
// held nowhere.
func (p *Planner) mayLose(now time.Time, v *model, missing ident.ModelName) bool {
	if p.asked(now, missing) {
		waited := now.Sub(p.missingSince[missing]).Seconds()
		return p.left(now, v) <= askedLeft+leftPerSecond*waited
	}
	return p.hasLearned(now) && p.left(now, v) <= spareLeft
}

// workForTime turns a second of load time into work for each replica.
const workForTime = 0.015
