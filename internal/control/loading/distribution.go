package loading

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// workDistribution estimates how the work of all models is spread over the engines if each
// prompt goes to the least busy engine that has its model, as prompt schedulers choose. The
// work of a model fills its engines up to one common level of utilization, on top of the
// work of other models.
//
// It shows the value of one replica more or less. Work per replica does not: busy models
// that share an engine look well served because of their other replicas, while prompts
// queue on the shared engine and other engines are idle.
type workDistribution struct {
	// utilization is that of each engine, by its index.
	utilization []float64
	shares      map[ident.ModelName]*modelShare
	// byWork lists the shares with work in the order of distribution, the most work first.
	byWork []*modelShare
}

// modelShare is the work of one model and its distribution.
type modelShare struct {
	work float64
	// level is the utilization of the model's least busy engines, where its next prompt
	// goes.
	level       float64
	assignments []assignment
}

// assignment is the work that one engine does for a model. others is the engine's utilization
// by other models when the work was last distributed.
type assignment struct {
	engine *engine
	work   float64
	others float64
}

// distributionRounds is how often the work is distributed; each round starts from the
// result of the previous one. After four rounds the utilization in a hundred random fleets
// differs from that after ten more by less than half of minUtilizationGap; after three it
// differs by more (TestFourRoundsApproximateDistribution).
const distributionRounds = 4

// currentDistribution returns the distribution of the expected work, counting models that
// are being loaded.
func (p *Planner) currentDistribution(now time.Time) *workDistribution {
	if p.distribution == nil {
		p.distribution = p.distributeWork(now)
	}
	return p.distribution
}

func (p *Planner) distributeWork(now time.Time) *workDistribution {
	d := &workDistribution{
		utilization: make([]float64, len(p.sortedEngines)),
		shares:      make(map[ident.ModelName]*modelShare, len(p.models)),
	}
	for name, m := range p.models {
		share := &modelShare{
			work:        p.expectedWork(now, name),
			assignments: make([]assignment, 0, len(m.engines)),
		}
		for _, e := range m.engines {
			share.assignments = append(share.assignments, assignment{
				engine: e,
			})
		}
		d.shares[name] = share
	}
	for range distributionRounds {
		d.distributeAll()
	}
	return d
}

// distributeAll distributes the work of all models again, the most work first.
func (d *workDistribution) distributeAll() {
	if d.byWork == nil {
		d.byWork = d.sharesByWork()
	}
	for _, share := range d.byWork {
		d.distribute(share)
	}
}

// sharesByWork returns the shares with work, sorted by descending work. In a large fleet most
// models have none.
func (d *workDistribution) sharesByWork() []*modelShare {
	names := slices.SortedFunc(maps.Keys(d.shares), func(a, b ident.ModelName) int {
		return cmp.Or(cmp.Compare(d.shares[b].work, d.shares[a].work), cmp.Compare(a, b))
	})
	order := make([]*modelShare, 0, len(names))
	for _, name := range names {
		if share := d.shares[name]; share.work > 0 {
			order = append(order, share)
		}
	}
	return order
}

// distribute distributes a model's work again over its engines, on top of the work of other
// models.
func (d *workDistribution) distribute(share *modelShare) {
	if len(share.assignments) == 0 {
		return
	}
	for i := range share.assignments {
		a := &share.assignments[i]
		a.others = d.utilization[a.engine.index] - a.work
	}
	slices.SortFunc(share.assignments, func(a, b assignment) int {
		return cmp.Or(cmp.Compare(a.others, b.others), cmp.Compare(a.engine.index, b.engine.index))
	})
	share.level = share.fillLevel()
	for i := range share.assignments {
		a := &share.assignments[i]
		a.work = max(share.level-a.others, 0)
		d.utilization[a.engine.index] = a.others + a.work
	}
}

// fillLevel returns the utilization up to which a model's work fills its engines. The
// assignments must be sorted by the engines' utilization by other models.
func (s *modelShare) fillLevel() float64 {
	below := 0.0
	for i := range s.assignments {
		below += s.assignments[i].others
		level := (below + s.work) / float64(i+1)
		if i+1 == len(s.assignments) || level <= s.assignments[i+1].others {
			return level
		}
	}
	return 0
}

// workOn returns the work that an engine does for the model.
func (s *modelShare) workOn(e *engine) float64 {
	for i := range s.assignments {
		if s.assignments[i].engine == e {
			return s.assignments[i].work
		}
	}
	return 0
}

// gain returns by how much the sum of the squares of all utilizations falls if the model
// gets a replica on an engine of the given utilization. The square stands for total waiting
// time: both the number of waiting prompts and the wait of each grow with utilization.
func (s *modelShare) gain(utilization float64) float64 {
	if utilization >= s.level || len(s.assignments) == 0 {
		return 0
	}
	replicas := float64(len(s.assignments))
	moved := min((s.level-utilization)*replicas/(replicas+1), s.work)
	// The level of each former replica falls by an equal part of the work that moves.
	return moved * (2*(s.level-utilization) - moved*(replicas+1)/replicas)
}

// loss returns by how much that sum grows if the model loses a replica that does the given
// work.
func (s *modelShare) loss(work float64) float64 {
	others := float64(len(s.assignments) - 1)
	if others <= 0 {
		return 0
	}
	return work * (2*s.level + work/others)
}
