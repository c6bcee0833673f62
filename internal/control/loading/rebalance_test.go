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

// addModels loads models on the engine and stores their weights on its disk.
func (e *fakeEngine) addModels(names ...ident.ModelName) {
	for _, name := range names {
		e.loaded = append(e.loaded, request.Weights{
			Model: name,
		})
		e.onDisk = append(e.onDisk, name)
	}
}

// requestModel reports one request for a model to the planner, with its prefill time on one
// engine in seconds.
func (fleet *fakeFleet) requestModel(p *Planner, name ident.ModelName, work float64) {
	p.AddDemand(fleet.now, "r", request.Weights{
		Model: name,
	}, Demand{
		Requests: 1,
		Work:     work,
	})
}

// workByModel is the work for each model in engine-seconds per second.
type workByModel map[ident.ModelName]float64

// runRounds requests models round by round, and returns the part of the work that the
// engines had time for.
func (fleet *fakeFleet) runRounds(p *Planner, rounds int, demand workByModel) float64 {
	const round = 0.1 // seconds
	served, total := 0.0, 0.0
	for range rounds {
		for name, work := range demand {
			fleet.requestModel(p, name, work*round)
			total += work * round
		}
		served += fleet.servedWork(demand, round)
		fleet.runRound(p, 1)
	}
	return served / total
}

// servedWork returns the work that the engines do in one round. The work is distributed as
// prompt schedulers distribute prompts, and no engine does more than it has time for.
func (fleet *fakeFleet) servedWork(demand workByModel, round float64) float64 {
	d := &workDistribution{
		utilization: make([]float64, len(fleet.engines)),
		shares:      make(map[ident.ModelName]*modelShare),
	}
	plannerEngines := make(map[string]*engine, len(fleet.engines))
	for i, e := range fleet.engines {
		plannerEngines[string(e.name)] = &engine{
			index: i,
		}
		plannerEngines[string(e.name)].Name = e.name
	}
	for name, work := range demand {
		share := &modelShare{
			work: work * round,
		}
		for _, e := range fleet.engines {
			for _, weights := range e.loaded {
				if weights.Model == name && weights.Adapter == "" {
					share.assignments = append(share.assignments, assignment{
						engine: plannerEngines[string(e.name)],
					})
				}
			}
		}
		d.shares[name] = share
	}
	for range 10 {
		for _, share := range d.shares {
			d.distribute(share)
		}
	}
	served := 0.0
	for _, utilization := range d.utilization {
		served += min(utilization, round)
	}
	return served
}

// Three busy models share the same engines, each with enough replicas for its own work,
// while other engines are almost idle. If replicas are counted for each model alone,
// prompts queue on the shared engines. The idle engines must get replicas until nearly all
// demand is done.
func TestIdleEnginesGetReplicasOfBusyModels(t *testing.T) {
	fleet := newFakeFleet(8, 4)
	for _, e := range fleet.engines[:4] {
		e.addModels("ma", "mb", "mc")
	}
	for _, e := range fleet.engines[4:] {
		e.addModels("md")
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	demand := workByModel{
		"ma": 2,
		"mb": 2,
		"mc": 2,
		"md": 0.05,
	}
	require.Less(t, fleet.runRounds(planner, 1, demand), 0.7, "at first")
	fleet.runRounds(planner, 150, demand)
	require.Greater(t, fleet.runRounds(planner, 50, demand), 0.95, "fifteen seconds later")
}

// Demand for a large model rises, and all engines are full of idle models with several
// replicas. No single small model frees enough memory; two together do.
func TestTwoSmallReplicasRetireForLargeModel(t *testing.T) {
	fleet := newFakeFleet(4, 5) // "ma", "mc" and "me" are small, "mb" and "md" large
	fleet.spec.Memory = 135 * unit.Gibibyte
	for i, e := range fleet.engines {
		e.addModels("ma", "mc", "me")
		if i == 0 {
			e.loaded = nil
			e.addModels("mb")
		}
		e.onDisk = append(e.onDisk, "mb")
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	fleet.runRounds(planner, 120, workByModel{
		"mb": 2.5,
		"ma": 0.1,
	})
	require.GreaterOrEqual(t, fleet.countReplicas("mb"), 3)
	for _, name := range []ident.ModelName{"ma", "mc", "me"} {
		require.Positive(t, fleet.countReplicas(name), "%s", name)
	}
}

// After a loss of engines the remaining ones are full of idle models, each with one
// replica. If all of these are kept, a busy model has two thirds of its prompts refused
// next to engines without work. One idle model must lose its last replica, and get it
// back when it is requested.
func TestIdleModelLosesLastReplicaAndReloadsOnRequest(t *testing.T) {
	fleet := newFakeFleet(5, 7)
	fleet.spec.Memory = 130 * unit.Gibibyte
	fleet.engines[0].addModels("mb")
	for i, name := range []ident.ModelName{"md", "mf"} {
		fleet.engines[1+i].addModels(name, "ma")
	}
	fleet.engines[3].addModels("mc", "me")
	fleet.engines[4].addModels("mg", "me")
	for _, e := range fleet.engines {
		e.onDisk = append(e.onDisk, "mb")
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	demand := workByModel{
		"mb": 3,
	}
	fleet.runRounds(planner, 150, demand)
	require.GreaterOrEqual(t, fleet.countReplicas("mb"), 2)
	unloaded := ident.ModelName("")
	for _, name := range []ident.ModelName{"md", "mf", "mc", "mg"} {
		if fleet.countReplicas(name) == 0 {
			unloaded = name
		}
	}
	require.NotEmpty(t, unloaded, "one idle model loses its last replica")
	demand[unloaded] = 0.1
	for range 60 {
		fleet.runRounds(planner, 1, demand)
		if fleet.countReplicas(unloaded) > 0 {
			return
		}
	}
	t.Fatalf("%s is not back within six seconds", unloaded)
}

// A model with occasional requests keeps its last replica, however overloaded other models
// are.
func TestRequestedModelKeepsLastReplica(t *testing.T) {
	fleet := newFakeFleet(3, 4)
	fleet.spec.Memory = 80 * unit.Gibibyte // one model each
	fleet.engines[0].addModels("mb")
	fleet.engines[1].addModels("md")
	fleet.engines[2].addModels("ma")
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for i := range 200 {
		fleet.requestModel(planner, "mb", 0.3)
		if i%15 == 0 {
			fleet.requestModel(planner, "md", 0.01)
			fleet.requestModel(planner, "ma", 0.01)
		}
		fleet.runRound(planner, 1)
		require.Positive(t, fleet.countReplicas("md"))
		require.Positive(t, fleet.countReplicas("ma"))
	}
}

// Spare replicas of idle models, loaded while demand is steady, must leave half of the load
// rate limit for a model whose demand rises a moment later.
func TestPreloadsLeaveHalfOfRateLimit(t *testing.T) {
	fleet := newFakeFleet(12, 12)
	for i, e := range fleet.engines {
		e.addModels(fleet.spec.Models[i].Name)
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 60 {
		fleet.runRound(planner, 1)
		require.LessOrEqual(t, len(planner.loadStarts), planner.maxLoadsInWindow()/2+1)
	}
}

// Distributing the work in four rounds must be exact enough: in random fleets ten more
// rounds change no utilization by half of minUtilizationGap. Otherwise the error alone
// would move replicas.
func TestFourRoundsApproximateDistribution(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		few, many := randomDistributions(random)
		for range distributionRounds {
			few.distributeAll()
		}
		for range distributionRounds + 10 {
			many.distributeAll()
		}
		for e, utilization := range few.utilization {
			require.InDelta(t, many.utilization[e], utilization, minUtilizationGap/2)
		}
	}
}

// randomDistributions returns two copies of the same fleet: 18 engines with three of twelve
// models each.
func randomDistributions(random *rand.Rand) (*workDistribution, *workDistribution) {
	both := [2]*workDistribution{}
	for i := range both {
		both[i] = &workDistribution{
			utilization: make([]float64, 18),
			shares:      make(map[ident.ModelName]*modelShare),
		}
	}
	for i := range 12 {
		work := random.ExpFloat64()
		for _, d := range both {
			d.shares[ident.ModelName(strconv.Itoa(i))] = &modelShare{
				work: work,
			}
		}
	}
	for i := range 18 {
		e := &engine{
			index: i,
		}
		e.Name = ident.ServerName(strconv.Itoa(i))
		for range 3 {
			name := ident.ModelName(strconv.Itoa(random.IntN(12)))
			for _, d := range both {
				if d.shares[name].workOn(e) == 0 && !d.shares[name].hasEngine(e) {
					d.shares[name].assignments = append(d.shares[name].assignments, assignment{
						engine: e,
					})
				}
			}
		}
	}
	return both[0], both[1]
}

func (s *modelShare) hasEngine(e *engine) bool {
	for i := range s.assignments {
		if s.assignments[i].engine == e {
			return true
		}
	}
	return false
}

// Moves are compared by gain and loss. They must equal the changes of the sum of the
// squares of the utilizations, computed from two distributions.
func TestGainAndLossMatchSumOfSquares(t *testing.T) {
	engines := []*engine{{index: 0}, {index: 1}, {index: 2}}
	share := &modelShare{
		work: 1.8,
		assignments: []assignment{
			{engine: engines[0]},
			{engine: engines[1]},
		},
	}
	d := &workDistribution{
		utilization: make([]float64, len(engines)),
		shares:      map[ident.ModelName]*modelShare{"m": share},
	}
	d.distribute(share)
	before := d.sumOfSquares()
	gain, loss := share.gain(0.3), share.loss(share.workOn(engines[0]))
	d.utilization[2] = 0.3
	share.assignments = append(share.assignments, assignment{
		engine: engines[2],
	})
	d.distribute(share)
	require.InDelta(t, before+0.3*0.3-d.sumOfSquares(), gain, 0.001)
	// What the engine gains that loses the replica is counted as part of the move.
	require.InDelta(t, 1.8*1.8-before+0.9*0.9, loss, 0.001)
}

func (d *workDistribution) sumOfSquares() float64 {
	sum := 0.0
	for _, utilization := range d.utilization {
		sum += utilization * utilization
	}
	return sum
}
