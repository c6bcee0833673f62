package loading

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// oversubscribedFleet is a fleet with far more declared models than its engines have memory
// for, and callers that request a few of the models, which change from time to time.
type oversubscribedFleet struct {
	*fakeFleet
	random    *rand.Rand
	planner   *Planner
	requested []ident.ModelName
	// waitingSince has the arrival times of the requests that wait for a model without a
	// replica.
	waitingSince  map[ident.ModelName][]time.Time
	served        map[ident.ModelName]int
	requests      map[ident.ModelName]int
	servedSoon    int
	abandoned     int
	totalRequests int
}

const (
	oversubscribedEngines = 18
	oversubscribedModels  = 291
	requestedModelCount   = 18
	// callerTimeout is how long a caller waits. A request counts as served soon if it is
	// served within soonLimit.
	callerTimeout = 4800 * time.Millisecond
	soonLimit     = 2500 * time.Millisecond
)

func newOversubscribedFleet(seed uint64) *oversubscribedFleet {
	fleet := &oversubscribedFleet{
		fakeFleet: &fakeFleet{
			now: start,
			spec: &route.Engine{
				Slots:          12,
				Memory:         200 * unit.Gibibyte,
				AdapterSlots:   8,
				LoadsPerSecond: 2.5,
			},
		},
		random:       rand.New(rand.NewPCG(seed, 1)),
		waitingSince: make(map[ident.ModelName][]time.Time),
		served:       make(map[ident.ModelName]int),
		requests:     make(map[ident.ModelName]int),
	}
	for i := range oversubscribedModels {
		fleet.spec.Models = append(fleet.spec.Models, route.Model{
			Name:               ident.ModelName("m" + strconv.Itoa(i)),
			Memory:             []unit.Bytes{73, 73, 43}[i%3] * unit.Gibibyte,
			StoreLoadTime:      1500 * time.Millisecond,
			DiskLoadTime:       1600 * time.Millisecond,
			HostMemoryLoadTime: 1200 * time.Millisecond,
		})
	}
	for i := range oversubscribedEngines {
		e := &fakeEngine{
			name: ident.ServerName("e" + strconv.Itoa(i)),
		}
		e.restart()
		fleet.engines = append(fleet.engines, e)
	}
	for i := range requestedModelCount {
		fleet.requested = append(fleet.requested, ident.ModelName("m"+strconv.Itoa(i)))
	}
	for i, e := range fleet.engines { // placed for past demand
		e.addModels(fleet.requested[i%6], ident.ModelName("m"+strconv.Itoa(i)))
	}
	fleet.planner = NewPlanner(Options{})
	fleet.planner.Configure(fleet.spec)
	return fleet
}

// runSecond runs one second with 30 requests. Models at the front of the list get the most.
func (fleet *oversubscribedFleet) runSecond() {
	for range 10 {
		for range 3 {
			rank := int(float64(len(fleet.requested)) * fleet.random.Float64() * fleet.random.Float64())
			fleet.addRequest(fleet.requested[rank])
		}
		for name, since := range fleet.waitingSince {
			fleet.updateWaiting(name, since)
		}
		fleet.runRound(fleet.planner, 1)
	}
}

func (fleet *oversubscribedFleet) addRequest(name ident.ModelName) {
	fleet.totalRequests++
	fleet.requests[name]++
	fleet.requestModel(fleet.planner, name, 0.1)
	if fleet.countReplicas(name) > 0 {
		fleet.servedSoon++
		fleet.served[name]++
		return
	}
	fleet.waitingSince[name] = append(fleet.waitingSince[name], fleet.now)
}

// updateWaiting serves the requests that wait for a model if it is loaded now, and removes
// those that have waited too long.
func (fleet *oversubscribedFleet) updateWaiting(name ident.ModelName, since []time.Time) {
	var remaining []time.Time
	for _, at := range since {
		waited := fleet.now.Sub(at)
		switch {
		case fleet.countReplicas(name) > 0:
			fleet.served[name]++
			if waited <= soonLimit {
				fleet.servedSoon++
			}
		case waited > callerTimeout:
			fleet.abandoned++
		default:
			remaining = append(remaining, at)
		}
	}
	fleet.waitingSince[name] = remaining
	if len(remaining) > 0 {
		fleet.planner.AddDemand(fleet.now, "r", request.Weights{
			Model: name,
		}, Demand{
			Waiting: int64(len(remaining)),
		})
	}
}

// 291 models are declared and 18 engines have memory for 36 of them. Callers request 18,
// five of which change every eight seconds. If all memory is filled in the order of the
// models' names before the first request, and nothing is unloaded later, requests for the
// other models wait in vain. Each requested model must be loaded in place of one without
// requests, without more loads than that takes.
func TestRequestedModelsReplaceUnrequestedOnes(t *testing.T) {
	for seed := range uint64(3) {
		fleet := newOversubscribedFleet(seed)
		for range 100 {
			fleet.runRound(fleet.planner, 1)
		}
		require.Empty(t, fleet.loadStarts, "nothing is loaded for which there is no request")
		for second := range 40 {
			if second%8 == 7 {
				for i := range 5 {
					fleet.requested[fleet.random.IntN(requestedModelCount)] = ident.ModelName("m" + strconv.Itoa(100+5*second+i))
				}
			}
			fleet.runSecond()
		}
		t.Logf("seed %d: %d requests, %d served soon, %d abandoned, %d loads from the weight store", seed, fleet.totalRequests, fleet.servedSoon, fleet.abandoned, len(fleet.loadStarts))
		require.Greater(t, float64(fleet.servedSoon)/float64(fleet.totalRequests), 0.85)
		require.Less(t, float64(fleet.abandoned)/float64(fleet.totalRequests), 0.02)
		for name, requests := range fleet.requests {
			if requests > 5 {
				require.Positive(t, fleet.served[name], "%s is never served", name)
			}
		}
		require.Less(t, len(fleet.loadStarts), 4*(requestedModelCount+25), "models don't keep taking each other's places")
		for _, e := range fleet.engines {
			require.LessOrEqual(t, fleet.usedMemory(e), fleet.spec.Memory)
		}
	}
}

// All memory is in use by models with occasional requests. A model with constant requests
// must get a replica, and the other models must not keep taking it back.
func TestBusyModelReplacesRareModel(t *testing.T) {
	fleet := newOversubscribedFleet(1)
	fleet.engines = fleet.engines[:3]
	rare := []ident.ModelName{"m1", "m3", "m4", "m6", "m7", "m9"}
	for i, e := range fleet.engines {
		e.loaded = nil
		e.addModels(rare[2*i], rare[2*i+1])
	}
	unservedTime := time.Duration(0)
	unservedRounds := 0
	for second := range 30 {
		for i := range 10 {
			if i == 0 {
				fleet.requestModel(fleet.planner, rare[second%len(rare)], 0.1)
			}
			if second >= 10 {
				fleet.requestModel(fleet.planner, "m0", 0.05)
				if fleet.countReplicas("m0") == 0 {
					fleet.planner.AddDemand(fleet.now, "r", request.Weights{Model: "m0"}, Demand{Waiting: 1})
					unservedRounds++
				}
			}
			fleet.runRound(fleet.planner, 1)
		}
	}
	unservedTime = time.Duration(unservedRounds) * 100 * time.Millisecond
	require.Less(t, unservedTime, 6*time.Second, "m0 is loaded and stays loaded")
	require.Less(t, len(fleet.loadStarts), 10)
}

// The planner's orders must not exceed an engine's memory in an oversubscribed fleet
// either, though engines crash and the requested models change.
func TestReplacementNeverOvercommitsMemory(t *testing.T) {
	fleet := newOversubscribedFleet(7)
	for second := range 60 {
		if second%5 == 4 {
			fleet.requested[fleet.random.IntN(requestedModelCount)] = ident.ModelName("m" + strconv.Itoa(fleet.random.IntN(oversubscribedModels)))
			fleet.engines[fleet.random.IntN(oversubscribedEngines)].restart()
		}
		fleet.runSecond()
		for _, e := range fleet.engines {
			require.LessOrEqual(t, fleet.usedMemory(e), fleet.spec.Memory)
		}
	}
}
