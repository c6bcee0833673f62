package loading

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// hold has an engine hold models, with copies of their weights on its disk.
func (e *worldEngine) hold(names ...ident.ModelName) {
	for _, name := range names {
		e.held = append(e.held, request.Weights{
			Model: name,
		})
		e.disk = append(e.disk, name)
	}
}

// ask asks for a model, for so much of an engine's time in a round.
func (w *world) ask(p *Planner, name ident.ModelName, work float64) {
	p.Ask(w.now, "r", request.Weights{
		Model: name,
	}, Demand{
		Requests: 1,
		Work:     work,
	})
}

// demand is what is asked for in a second, in engines' time.
type demand map[ident.ModelName]float64

// play asks for models round by round, and gives the part of the work that the engines
// had time for: each does so much of what is asked of the models that it holds as a round
// has time, the models with fewest places first.
func (w *world) play(p *Planner, rounds int, asked demand) float64 {
	const round = 0.1 // seconds
	done, total := 0.0, 0.0
	for range rounds {
		for name, work := range asked {
			w.ask(p, name, work*round)
			total += work * round
		}
		done += w.served(asked, round)
		w.round(p, 1)
	}
	return done / total
}

// served gives the work that the engines do in a round: it is spread over them as pacers
// spread prompts, and none does more than it has time for.
func (w *world) served(asked demand, round float64) float64 {
	s := &spread{
		load:   make(map[*engine]float64),
		shares: make(map[ident.ModelName]*share),
	}
	stands := make(map[string]*engine, len(w.engines))
	for _, e := range w.engines {
		stands[string(e.name)] = &engine{}
		stands[string(e.name)].Name = e.name
	}
	for name, work := range asked {
		one := &share{
			work: work * round,
		}
		for _, e := range w.engines {
			for _, held := range e.held {
				if held.Model == name && held.Adapter == "" {
					one.parts = append(one.parts, part{
						engine: stands[string(e.name)],
					})
				}
			}
		}
		s.shares[name] = one
	}
	for range 10 {
		for _, one := range s.shares {
			s.deal(one)
		}
	}
	done := 0.0
	for _, load := range s.load {
		done += min(load, round)
	}
	return done
}

// Three busy models lie together on engines, each with as many replicas as its own work
// asks for, while other engines have next to nothing to do. Prompts waited there for the
// same places. The idle engines have to get replicas, and the work to be done.
func TestReplicasGoWhereNothingIsToDo(t *testing.T) {
	w := newWorld(8, 4)
	for _, e := range w.engines[:4] {
		e.hold("ma", "mb", "mc")
	}
	for _, e := range w.engines[4:] {
		e.hold("md")
	}
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	asked := demand{
		"ma": 2,
		"mb": 2,
		"mc": 2,
		"md": 0.05,
	}
	require.Less(t, w.play(planner, 1, asked), 0.7, "at first")
	w.play(planner, 150, asked)
	require.Greater(t, w.play(planner, 50, asked), 0.95, "fifteen seconds later")
}

// A large model rises, and all engines are full of idle ones that others hold as well.
// No single one of those gives the room; two together do.
func TestTwoSmallReplicasMakeWayForALargeOne(t *testing.T) {
	w := newWorld(4, 5) // "ma", "mc" and "me" are small, "mb" and "md" large
	w.declare.Memory = 135 * unit.Gibibyte
	for i, e := range w.engines {
		e.hold("ma", "mc", "me")
		if i == 0 {
			e.held = nil
			e.hold("mb")
		}
		e.disk = append(e.disk, "mb")
	}
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	w.play(planner, 120, demand{
		"mb": 2.5,
		"ma": 0.1,
	})
	require.GreaterOrEqual(t, w.holding("mb"), 3)
	for _, name := range []ident.ModelName{"ma", "mc", "me"} {
		require.Positive(t, w.holding(name), "%s", name)
	}
}

// Servers are lost, and those that are left are full of models that nobody asks for, each
// of them there once. A busy one had two thirds of its prompts refused, beside engines
// that ran nothing. One idle model gives its place; as soon as somebody asks for it, it
// is back.
func TestAnIdleModelGivesItsLastPlaceAndComesBack(t *testing.T) {
	w := newWorld(5, 7)
	w.declare.Memory = 130 * unit.Gibibyte
	w.engines[0].hold("mb")
	for i, name := range []ident.ModelName{"md", "mf"} {
		w.engines[1+i].hold(name, "ma")
	}
	w.engines[3].hold("mc", "me")
	w.engines[4].hold("mg", "me")
	for _, e := range w.engines {
		e.disk = append(e.disk, "mb")
	}
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	busy := demand{
		"mb": 3,
	}
	w.play(planner, 150, busy)
	require.GreaterOrEqual(t, w.holding("mb"), 2)
	lost := ident.ModelName("")
	for _, name := range []ident.ModelName{"md", "mf", "mc", "mg"} {
		if w.holding(name) == 0 {
			lost = name
		}
	}
	require.NotEmpty(t, lost, "one gave its last place")
	busy[lost] = 0.1
	for range 60 {
		w.play(planner, 1, busy)
		if w.holding(lost) > 0 {
			return
		}
	}
	t.Fatalf("%s does not come back within six seconds", lost)
}

// A model that is asked for now and then keeps its last replica, however short others
// are.
func TestAModelThatIsAskedForKeepsItsLastPlace(t *testing.T) {
	w := newWorld(3, 4)
	w.declare.Memory = 80 * unit.Gibibyte // one model each
	w.engines[0].hold("mb")
	w.engines[1].hold("md")
	w.engines[2].hold("ma")
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	for i := range 200 {
		w.ask(planner, "mb", 0.3)
		if i%15 == 0 {
			w.ask(planner, "md", 0.01)
			w.ask(planner, "ma", 0.01)
		}
		w.round(planner, 1)
		require.Positive(t, w.holding("md"))
		require.Positive(t, w.holding("ma"))
	}
}

// Second copies of idle models are loaded in calm, and used up the pace of the weight
// store. What rises a moment later must find half of it left.
func TestSecondCopiesLeavePaceForWhatRises(t *testing.T) {
	w := newWorld(12, 12)
	for i, e := range w.engines {
		e.hold(w.declare.Models[i].Name)
	}
	planner := NewPlanner(Options{})
	planner.Declare(w.declare)
	for range 60 {
		w.round(planner, 1)
		require.LessOrEqual(t, len(planner.begun), planner.paceLimit()/2+1)
	}
}

// The work of random fleets is dealt out in four rounds. Ten more must not change a load
// by half of what moves a replica, or replicas would be moved for the error.
func TestFourRoundsSpreadTheWork(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		few, many := randomSpread(random)
		for range spreadRounds {
			few.dealAll()
		}
		for range spreadRounds + 10 {
			many.dealAll()
		}
		for e, load := range few.load {
			require.InDelta(t, many.load[e], load, leastDifference/2)
		}
	}
}

// randomSpread gives the same fleet twice: 18 engines with three models each of twelve.
func randomSpread(random *rand.Rand) (*spread, *spread) {
	both := [2]*spread{}
	for i := range both {
		both[i] = &spread{
			load:   make(map[*engine]float64),
			shares: make(map[ident.ModelName]*share),
		}
	}
	for i := range 12 {
		work := random.ExpFloat64()
		for _, s := range both {
			s.shares[ident.ModelName(strconv.Itoa(i))] = &share{
				work: work,
			}
		}
	}
	for i := range 18 {
		e := &engine{}
		e.Name = ident.ServerName(strconv.Itoa(i))
		for range 3 {
			name := ident.ModelName(strconv.Itoa(random.IntN(12)))
			for _, s := range both {
				if s.shares[name].on(e) == 0 && !s.shares[name].has(e) {
					s.shares[name].parts = append(s.shares[name].parts, part{
						engine: e,
					})
				}
			}
		}
	}
	return both[0], both[1]
}

func (s *share) has(e *engine) bool {
	for i := range s.parts {
		if s.parts[i].engine == e {
			return true
		}
	}
	return false
}

// What a replica more gains and one less loses must be what the sum of squares says, by
// which moves are compared.
func TestGainsAndLossesAreThoseOfTheSquares(t *testing.T) {
	engines := []*engine{{}, {}, {}}
	one := &share{
		work: 1.8,
		parts: []part{
			{engine: engines[0]},
			{engine: engines[1]},
		},
	}
	s := &spread{
		load:   make(map[*engine]float64),
		shares: map[ident.ModelName]*share{"m": one},
	}
	s.deal(one)
	before := s.squares()
	gain, loss := one.gain(0.3), one.loss(one.on(engines[0]))
	s.load[engines[2]] = 0.3
	one.parts = append(one.parts, part{
		engine: engines[2],
	})
	s.deal(one)
	require.InDelta(t, before+0.3*0.3-s.squares(), gain, 0.001)
	// What the engine gains that loses the replica is counted with the move.
	require.InDelta(t, 1.8*1.8-before+0.9*0.9, loss, 0.001)
}

func (s *spread) squares() float64 {
	sum := 0.0
	for _, load := range s.load {
		sum += load * load
	}
	return sum
}
