package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// Orders stay unanswered and arrive seconds late, after newer orders or after a change of
// leader; engines crash and restart empty; reports are old. In every sequence of these, no
// engine may be ordered to load more than its memory and adapter slots hold.
func TestOrdersNeverOvercommitEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFakeFleet(4, 6)
		token := ident.FencingNumber(1)
		planner := NewPlanner(Options{})
		planner.Configure(fleet.spec)
		for range rapid.IntRange(20, 250).Draw(t, "rounds") {
			fleet.advance(100 * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "holder") == 0 {
				token++
				planner = NewPlanner(Options{})
				planner.Configure(fleet.spec)
				planner.ResumeRateLimit(fleet.now, LoadHistory{})
			}
			if rapid.IntRange(0, 80).Draw(t, "crash") == 0 {
				fleet.engines[rapid.IntRange(0, 3).Draw(t, "crashed")].restart()
			}
			planner.SetServers(fleet.now, fleet.servers())
			for _, e := range fleet.engines {
				if len(e.reports) > 0 {
					report := e.reports[rapid.IntRange(0, len(e.reports)-1).Draw(t, "report")]
					planner.ApplyReport(&report)
				}
			}
			model := fleet.spec.Models[rapid.IntRange(0, 5).Draw(t, "model")]
			weights := request.Weights{
				Model: model.Name,
			}
			if len(model.Adapters) > 0 && rapid.Bool().Draw(t, "adapter") {
				weights.Adapter = ident.AdapterName(rapid.SampledFrom([]string{"a1", "a2", "a3", "a4", "a5"}).Draw(t, "name"))
			}
			planner.AddDemand(fleet.now, "r", weights, Demand{
				Requests: 3,
				Waiting:  1,
				Work:     rapid.Float64Range(0, 0.6).Draw(t, "work"),
			})
			for _, order := range planner.Step(fleet.now) {
				order.Fencing = token
				deliverUnreliably(t, fleet, planner, order)
			}
			for _, e := range fleet.engines {
				require.LessOrEqual(t, fleet.usedMemory(e), fleet.spec.Memory, "%s holds %v and loads %v", e.name, e.loaded, e.running)
				require.LessOrEqual(t, e.countAdapters(), fleet.spec.AdapterSlots, "%s holds %v", e.name, e.loaded)
			}
		}
	})
}

// deliverUnreliably delivers an order at once, late, or without returning its answer.
func deliverUnreliably(t *rapid.T, fleet *fakeFleet, planner *Planner, order backend.CountedOrder) {
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0:
		fleet.receiveOrder(order)
		planner.ApplyAnswer(fleet.now, order.Server, &order, backend.OrderUnknown)
	case 1:
		fleet.lateOrders = append(fleet.lateOrders, lateOrder{
			at:    fleet.now.Add(time.Duration(rapid.IntRange(2, 12).Draw(t, "late")) * time.Second),
			order: order,
		})
		planner.ApplyAnswer(fleet.now, order.Server, &order, backend.OrderUnknown)
	default:
		planner.ApplyAnswer(fleet.now, order.Server, &order, fleet.receiveOrder(order))
	}
}

// An empty fleet has more models to load than the weight store can deliver at once. All of
// them must be loaded, and at no time more than the load rate limit allows.
func TestEmptyFleetLoadsWithinRateLimit(t *testing.T) {
	fleet := newFakeFleet(6, 8)
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 400 {
		fleet.runRound(planner, 1)
	}
	for _, model := range fleet.spec.Models {
		require.Positive(t, fleet.countReplicas(model.Name), model.Name)
	}
	allowed := fleet.spec.LoadsPerSecond*5*1.1 + 3
	for i := range fleet.loadStarts {
		inWindow := 0
		for _, other := range fleet.loadStarts[i:] {
			if other.Sub(fleet.loadStarts[i]) < 5*time.Second {
				inWindow++
			}
		}
		require.LessOrEqual(t, float64(inWindow), allowed)
	}
}

// A model with hardly any requests takes half of the traffic within seconds. It must get
// most of its replicas in that time, and the model whose requests stop keeps one.
func TestReplicasFollowDemand(t *testing.T) {
	fleet := newFakeFleet(6, 4)
	for _, e := range fleet.engines {
		for _, model := range fleet.spec.Models {
			e.onDisk = append(e.onDisk, model.Name)
		}
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	addDemand := func(name ident.ModelName, work float64) {
		planner.AddDemand(fleet.now, "r", request.Weights{
			Model: name,
		}, Demand{
			Requests: 1,
			Work:     work,
		})
	}
	for range 150 {
		addDemand("ma", 0.15)
		fleet.runRound(planner, 1)
	}
	before := fleet.countReplicas("ma")
	require.GreaterOrEqual(t, before, 4)
	for range 60 {
		addDemand("mb", 0.15)
		fleet.runRound(planner, 1)
	}
	require.GreaterOrEqual(t, fleet.countReplicas("mb"), 4, "six seconds after the change")
	require.Positive(t, fleet.countReplicas("ma"))
}

// An engine wrongly answers that it already has what an order loads, or that it accepted an
// order which its reports never count. Its reports must be accepted again after a while.
// Otherwise the engine counts as lost after two seconds, and its models are loaded
// elsewhere in place of requested ones.
func TestReportsAcceptedAgainAfterWrongOrderAnswer(t *testing.T) {
	fleet := newFakeFleet(2, 2)
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 120 {
		fleet.runRound(planner, 1)
	}
	engine := planner.sortedEngines[0]
	engine.acceptedOrders += 3
	engine.acceptedAt = fleet.now
	for range 20 {
		fleet.runRound(planner, 1)
	}
	require.Equal(t, fleet.engines[0].acceptedOrders, engine.acceptedOrders)
	require.Less(t, fleet.now.Sub(engine.report.ReportedAt), time.Second)
}

// Two models have no replica and no memory is free. One replica is retired for each, which
// takes seconds. Meanwhile, further steps must not retire more replicas for the same two
// models.
func TestOneReplicaRetiresPerMissingModel(t *testing.T) {
	fleet := newFakeFleet(4, 6)
	names := []ident.ModelName{"mb", "md"} // the large ones: two fill an engine
	for _, e := range fleet.engines {
		for _, name := range names {
			e.loaded = append(e.loaded, request.Weights{
				Model: name,
			})
		}
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	fleet.advance(100 * time.Millisecond)
	for range 15 {
		for _, name := range names {
			planner.AddDemand(fleet.now, "r", request.Weights{
				Model: name,
			}, Demand{
				Requests: 1,
				Work:     0.2,
			})
		}
		fleet.runRound(planner, 1)
	}
	retired := 0
	for _, decision := range planner.TakeRetirements() {
		if decision.ForModel != "" {
			retired++
		}
	}
	require.LessOrEqual(t, retired, 4, "ma, mc, me and mf are missing")
}

// After a loss of engines a model without requests has no replica, and all memory is in use
// by a model with more work than its replicas can do. The busy model keeps its replicas
// until the missing model is requested; then that one is loaded.
func TestBusyModelKeepsReplicasUntilMissingModelIsRequested(t *testing.T) {
	fleet := newFakeFleet(2, 2)
	fleet.spec.Memory = 80 * unit.Gibibyte // one model each
	for _, e := range fleet.engines {
		e.loaded = append(e.loaded, request.Weights{
			Model: "mb",
		})
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	fleet.advance(100 * time.Millisecond)
	addDemand := func(name ident.ModelName, work float64) {
		planner.AddDemand(fleet.now, "r", request.Weights{
			Model: name,
		}, Demand{
			Requests: 1,
			Work:     work,
		})
	}
	for range 50 {
		addDemand("mb", 0.15)
		fleet.runRound(planner, 1)
	}
	require.Equal(t, 2, fleet.countReplicas("mb"))
	for range 150 {
		addDemand("mb", 0.15)
		addDemand("ma", 0.001)
		fleet.runRound(planner, 1)
	}
	require.Equal(t, 1, fleet.countReplicas("ma"))
	require.Equal(t, 1, fleet.countReplicas("mb"))
}

// The leader changes while models are busy. The new leader's planner has no demand yet; it
// must not treat the busy models as idle and retire their replicas.
func TestNewPlannerRetiresNothingWhileLearningDemand(t *testing.T) {
	fleet := newFakeFleet(3, 2)
	for _, e := range fleet.engines {
		for _, name := range []ident.ModelName{"ma", "mb"} {
			e.loaded = append(e.loaded, request.Weights{
				Model: name,
			})
		}
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 20 {
		fleet.runRound(planner, 1)
		require.Empty(t, planner.TakeRetirements())
	}
	for range 100 {
		fleet.runRound(planner, 1)
	}
	require.Positive(t, fleet.countReplicas("ma"))
	require.Positive(t, fleet.countReplicas("mb"))
}

// There have been no requests yet. Two models have many replicas, because the operator
// expects most requests for them, and other models need memory for their first replica. The
// two models must keep most of their replicas: a model that is left with one of eight is
// overloaded when it takes half of the traffic a moment later.
func TestReplicaCountsStandInForDemandBeforeFirstRequest(t *testing.T) {
	fleet := newFakeFleet(8, 8)
	fleet.spec.Memory = 160 * unit.Gibibyte
	for _, e := range fleet.engines {
		for _, name := range []ident.ModelName{"mb", "md"} {
			e.loaded = append(e.loaded, request.Weights{
				Model: name,
			})
		}
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 200 {
		fleet.runRound(planner, 1)
	}
	for _, name := range []ident.ModelName{"ma", "mc", "me", "mf", "mg", "mh"} {
		require.Positive(t, fleet.countReplicas(name), "%s", name)
	}
	require.GreaterOrEqual(t, fleet.countReplicas("mb"), 4)
	require.GreaterOrEqual(t, fleet.countReplicas("md"), 4)
}

// Demand shifts to another model. The memory freed for it must not go to spare replicas of
// idle models: their loads keep engines busy for 8 s each, up to ten engines at once, while
// the model has two of the twelve replicas that it needs.
func TestNoPreloadWhileDemandShifts(t *testing.T) {
	fleet := newFakeFleet(4, 4) // "mb" and "md" have adapters
	for i, name := range []ident.ModelName{"ma", "mb", "mc", "md"} {
		fleet.engines[i].loaded = append(fleet.engines[i].loaded, request.Weights{
			Model: name,
		})
	}
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	fleet.advance(100 * time.Millisecond)
	for i := range 12 {
		planner.AddDemand(fleet.now, "r", request.Weights{
			Model: "ma",
		}, Demand{
			Requests: 1,
			Work:     0.1 * float64(1+i),
		})
		for _, order := range fleet.runRound(planner, 1) {
			require.Equal(t, ident.ModelName("ma"), order.Model)
		}
	}
	for range 200 {
		fleet.runRound(planner, 1)
	}
	require.Greater(t, fleet.countReplicas("mb"), 1, "preloaded while demand is steady")
}

// Engines restart empty. Models with occasional requests have no replica, and a busy model
// lacks most of its replicas. Loads must alternate between the two kinds: otherwise all
// engines load the rare models first, for 8 s each.
func TestOverloadedModelAlternatesWithMissingModels(t *testing.T) {
	fleet := newFakeFleet(9, 8)
	fleet.spec.Memory = 80 * unit.Gibibyte // one model each
	fleet.engines[0].loaded = append(fleet.engines[0].loaded, request.Weights{
		Model: "mb",
	})
	planner := NewPlanner(Options{
		Overshoot: 10,
	})
	planner.Configure(fleet.spec)
	fleet.advance(100 * time.Millisecond)
	planner.AddDemand(fleet.now, "r", request.Weights{
		Model: "mb",
	}, Demand{
		Requests: 10,
		Work:     4,
	})
	loads := make(map[ident.ModelName]int)
	for _, order := range fleet.runRound(planner, 1) {
		loads[order.Model]++
	}
	require.Equal(t, 4, loads["mb"], "%v", loads)
	require.Len(t, loads, 5, "%v", loads)
}

// A request waits for an adapter that no engine has. The adapter must be loaded at once
// onto an engine with its model; if all adapter slots are taken, the least recently
// requested adapter is unloaded.
func TestRequestedAdaptersAreLoaded(t *testing.T) {
	fleet := newFakeFleet(1, 2)
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 250 {
		fleet.runRound(planner, 1)
	}
	for _, name := range []ident.AdapterName{"a1", "a2", "a3", "a4", "a5"} {
		weights := request.Weights{
			Model:   "mb",
			Adapter: name,
		}
		for range 15 {
			if !fleet.hasWeights(weights) {
				planner.AddDemand(fleet.now, "r", weights, Demand{
					Requests: 1,
					Missed:   1,
					Waiting:  1,
				})
			}
			fleet.runRound(planner, 1)
		}
		require.True(t, fleet.hasWeights(weights), name)
	}
	require.LessOrEqual(t, fleet.engines[0].countAdapters(), fleet.spec.AdapterSlots)
}

func (fleet *fakeFleet) hasWeights(weights request.Weights) bool {
	for _, e := range fleet.engines {
		for _, loaded := range e.loaded {
			if loaded == weights {
				return true
			}
		}
	}
	return false
}
