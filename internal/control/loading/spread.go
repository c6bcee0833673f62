package loading

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

// spread is how the work of all models lies on the engines if each prompt goes to the
// engine that has least before it, as pacers choose: a model's replicas fill up to one
// level, on top of what else their engines do. It tells what a replica more, or one
// less, is worth, where counting each model's work for each of its replicas does not:
// busy models that share one engine each look well off by their other replicas, while
// prompts wait there and other engines are idle.
type spread struct {
	load   map[*engine]float64
	shares map[ident.ModelName]*share
	// order has the shares in the order in which they are dealt out.
	order []*share
}

// share is how the work of one model lies.
type share struct {
	work float64
	// level is the load of the engines that the next prompt may go to.
	level float64
	parts []part
}

// part is what one engine does for a model.
type part struct {
	engine *engine
	work   float64
}

// spreadRounds is how often the work is dealt out. After four rounds the loads of a
// hundred random fleets differ from those after ten more by less than half of what moves
// a replica (TestFourRoundsSpreadTheWork; after three they did by more).
const spreadRounds = 4

// spreadNow gives how the work lies now, with what is being loaded.
func (p *Planner) spreadNow(now time.Time) *spread {
	if p.lies == nil {
		p.lies = p.spreadWork(now)
	}
	return p.lies
}

func (p *Planner) spreadWork(now time.Time) *spread {
	s := &spread{
		load:   make(map[*engine]float64, len(p.list)),
		shares: make(map[ident.ModelName]*share, len(p.models)),
	}
	for name := range p.models {
		s.shares[name] = &share{
			work: p.expectedWork(now, name),
		}
	}
	for name, m := range p.models {
		for _, e := range m.on {
			s.shares[name].parts = append(s.shares[name].parts, part{
				engine: e,
			})
		}
	}
	for range spreadRounds {
		s.dealAll()
	}
	return s
}

// dealAll spreads the work of all models anew, the most work first.
func (s *spread) dealAll() {
	if s.order == nil {
		s.order = s.mostWorkFirst()
	}
	for _, one := range s.order {
		s.deal(one)
	}
}

// mostWorkFirst gives the shares in the order in which their work is dealt out.
func (s *spread) mostWorkFirst() []*share {
	names := slices.SortedFunc(maps.Keys(s.shares), func(a, b ident.ModelName) int {
		return cmp.Or(cmp.Compare(s.shares[b].work, s.shares[a].work), cmp.Compare(a, b))
	})
	order := make([]*share, 0, len(names))
	for _, name := range names {
		order = append(order, s.shares[name])
	}
	return order
}

// deal spreads a model's work anew over its engines, beside what others do there.
func (s *spread) deal(one *share) {
	if len(one.parts) == 0 {
		return
	}
	for i := range one.parts {
		s.load[one.parts[i].engine] -= one.parts[i].work
	}
	slices.SortFunc(one.parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(s.load[a.engine], s.load[b.engine]), cmp.Compare(a.engine.Name, b.engine.Name))
	})
	one.level = s.fill(one)
	for i := range one.parts {
		e := one.parts[i].engine
		one.parts[i].work = max(one.level-s.load[e], 0)
		s.load[e] += one.parts[i].work
	}
}

// fill gives the level up to which the engines of a model are filled by its work. Its
// parts are sorted by what else their engines do.
func (s *spread) fill(one *share) float64 {
	below := 0.0
	for i := range one.parts {
		below += s.load[one.parts[i].engine]
		level := (below + one.work) / float64(i+1)
		if i+1 == len(one.parts) || level <= s.load[one.parts[i+1].engine] {
			return level
		}
	}
	return 0
}

// on gives what an engine does for a model.
func (s *share) on(e *engine) float64 {
	for i := range s.parts {
		if s.parts[i].engine == e {
			return s.parts[i].work
		}
	}
	return 0
}

// gain is by how much the sum of the squares of all loads falls if a model gets a
// replica on an engine with a load: what waits grows with the load of an engine, and so
// does how many wait.
func (s *share) gain(load float64) float64 {
	if load >= s.level || len(s.parts) == 0 {
		return 0
	}
	replicas := float64(len(s.parts))
	moved := min((s.level-load)*replicas/(replicas+1), s.work)
	// What moves leaves the level of the others lower by its part for each of them.
	return moved * (2*(s.level-load) - moved*(replicas+1)/replicas)
}

// loss is by how much that sum grows if a model loses a replica that does so much.
func (s *share) loss(work float64) float64 {
	others := float64(len(s.parts) - 1)
	if others <= 0 {
		return 0
	}
	return work * (2*s.level + work/others)
}
