package placement

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates servers that execute each move at once.
type fleet struct {
	now     time.Time
	servers []Server
	models  []document.Model
	rates   []Rate
	moves   map[Reason]int
	blocked []Blocked
}

func newFleet(count int, memory unit.Bytes, models ...document.Model) *fleet {
	f := &fleet{
		now:    epoch,
		models: models,
		moves:  make(map[Reason]int),
	}
	for i := range count {
		f.servers = append(f.servers, Server{
			Name:       ident.ServerName(fmt.Sprintf("gpu-%04d", i)),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i%7)),
			Region:     ident.Region([]string{"a", "b"}[i%7%2]),
			Usable:     true,
			Memory:     memory,
		})
	}
	return f
}

func (f *fleet) newInput(settings Settings, budget Budget) *Input {
	input := &Input{
		Now:      f.now,
		Settings: settings,
		Models:   f.models,
		Rates:    f.rates,
		Budget:   budget,
	}
	for _, server := range f.servers {
		server.Residents = append([]Resident(nil), server.Residents...)
		input.Servers = append(input.Servers, server)
	}
	return input
}

// planAndApply calls Plan once, executes all moves and returns their number.
func (f *fleet) planAndApply(settings Settings, budget Budget) int {
	result := Plan(f.newInput(settings, budget))
	for _, move := range result.Moves {
		f.applyMove(&move)
	}
	f.blocked = result.Blocked
	f.now = f.now.Add(10 * time.Second)
	return len(result.Moves)
}

func (f *fleet) applyMove(move *Move) {
	f.moves[move.Reason]++
	for i := range f.servers {
		server := &f.servers[i]
		if server.Name != move.Server {
			continue
		}
		if move.Kind == backend.LoadModel || move.Kind == backend.LoadAdapter {
			server.Residents = append(server.Residents, Resident{
				Weights:     move.Weights,
				Memory:      move.Memory,
				Ready:       true,
				FirstSeenAt: f.now,
			})
			server.Reserved += move.Memory
			return
		}
		for j := range server.Residents {
			if server.Residents[j].Weights == move.Weights {
				server.Residents = append(server.Residents[:j], server.Residents[j+1:]...)
				server.Reserved -= move.Memory
				return
			}
		}
	}
}

var unlimited = Budget{
	Models:   10000,
	Adapters: 100000,
}

// planUntilStable plans and executes moves until there are none left.
func (f *fleet) planUntilStable(t testing.TB, settings Settings) {
	for range 60 {
		if f.planAndApply(settings, unlimited) == 0 {
			return
		}
	}
	require.Fail(t, "moves never end")
}

func (f *fleet) serversWith(model ident.ModelName, version ident.Version) []Server {
	var servers []Server
	for _, server := range f.servers {
		for _, resident := range server.Residents {
			if resident.Model == model && resident.Adapter == "" && resident.Version == version {
				servers = append(servers, server)
			}
		}
	}
	return servers
}

func newModel(name string, version ident.Version, memory unit.Bytes, replicas, maxReplicas int, adapters ...document.Adapter) document.Model {
	return document.Model{
		Name:        ident.ModelName(name),
		Version:     version,
		Memory:      memory,
		Replicas:    replicas,
		MaxReplicas: maxReplicas,
		Adapters:    adapters,
	}
}

func TestReplicasSpreadOverRegionsAndDataCentres(t *testing.T) {
	f := newFleet(14, 100, newModel("briefing", "1", 40, 4, 4))
	f.planUntilStable(t, Settings{})
	servers := f.serversWith("briefing", "1")
	require.Len(t, servers, 4)
	regions := map[ident.Region]int{}
	dataCentres := map[ident.DataCentre]int{}
	for _, server := range servers {
		regions[server.Region]++
		dataCentres[server.DataCentre]++
	}
	require.Equal(t, map[ident.Region]int{
		"a": 2,
		"b": 2,
	}, regions)
	require.Len(t, dataCentres, 4)
}

func TestAdaptersFollowEveryReplica(t *testing.T) {
	f := newFleet(3, 50, newModel("briefing", "1", 40, 2, 2, document.Adapter{
		Name:    "breton",
		Version: "1",
		Memory:  5,
	}))
	f.planUntilStable(t, Settings{})
	for _, server := range f.serversWith("briefing", "1") {
		require.Len(t, server.Residents, 2)
	}
	require.Equal(t, 2, f.moves[ReasonAdapter])
}

// The only replica of a model fills its server and the new version fits
// nowhere. Unloading it would leave callers without the model for the duration
// of a load, so the version change is blocked until there is memory.
func TestLastReplicaIsNotDroppedForNewVersion(t *testing.T) {
	f := newFleet(1, 50, newModel("briefing", "1", 40, 1, 1))
	f.planUntilStable(t, Settings{})
	f.models[0].Version = "2"
	f.planUntilStable(t, Settings{})
	require.Len(t, f.serversWith("briefing", "1"), 1)
	require.Len(t, f.blocked, 1)
	require.Equal(t, BlockedLastReplica, f.blocked[0].Blocker)
}

// The new version of a single replica fits nowhere, but another model has more
// replicas than its minimum. One of these is evicted and the version changes.
func TestSpareReplicaIsEvictedForNewVersion(t *testing.T) {
	f := newFleet(2, 50, newModel("briefing", "1", 40, 1, 1), newModel("extra", "1", 40, 1, 2))
	f.planUntilStable(t, Settings{})
	f.models[1].Replicas = 1
	f.servers = append(f.servers, Server{
		Name:   "gpu-9000",
		Usable: true,
		Memory: 50,
		Residents: []Resident{{
			Weights: Weights{
				Model:   "extra",
				Version: "1",
			},
			Memory:      40,
			Ready:       true,
			FirstSeenAt: epoch,
		}},
		Reserved: 40,
	})
	f.models[0].Version = "2"
	f.planUntilStable(t, Settings{})
	require.Empty(t, f.blocked)
	require.Len(t, f.serversWith("briefing", "2"), 1)
	require.Empty(t, f.serversWith("briefing", "1"))
	require.Len(t, f.serversWith("extra", "1"), 1)
	require.Equal(t, 1, f.moves[ReasonMakeRoom])
}

// Two small models occupy one server each, so that a large model fits on
// neither. Copying one of them to the other server makes room.
func TestRelocationMakesRoom(t *testing.T) {
	f := newFleet(2, 50, newModel("small-1", "1", 20, 1, 1), newModel("small-2", "1", 20, 1, 1))
	f.planUntilStable(t, Settings{})
	require.NotEqual(t, f.serversWith("small-1", "1"), f.serversWith("small-2", "1"))
	f.models = append(f.models, newModel("wide", "1", 50, 1, 1))
	f.planUntilStable(t, Settings{})
	require.Empty(t, f.blocked)
	require.Len(t, f.serversWith("wide", "1"), 1)
	require.Len(t, f.serversWith("small-1", "1"), 1)
	require.Len(t, f.serversWith("small-2", "1"), 1)
}

// When demand rises and memory is spare, replicas are added up to the maximum;
// none is unloaded when demand falls again.
func TestDemandReplicasStayAfterDemandFalls(t *testing.T) {
	f := newFleet(14, 50, newModel("briefing", "1", 40, 2, 6))
	f.planUntilStable(t, Settings{})
	f.rates = []Rate{{
		Model:             "briefing",
		Region:            "a",
		RequestsPerSecond: 100,
	}}
	f.planUntilStable(t, Settings{})
	require.Len(t, f.serversWith("briefing", "1"), 6)
	require.Equal(t, 4, f.moves[ReasonDemand])
	f.rates = nil
	f.planUntilStable(t, Settings{})
	require.Len(t, f.serversWith("briefing", "1"), 6)
}

// Two models alternately need the one spare server. Small variations of the
// rates must not cause moves, and large ones no more than EvictionProtection
// permits.
func TestAlternatingDemandLimitsMoves(t *testing.T) {
	for _, test := range []struct {
		high, low float64
		maxMoves  int
	}{
		{
			high:     7,
			low:      5,
			maxMoves: 1,
		},
		{
			high:     20,
			low:      2,
			maxMoves: 1 + 2*1000/120,
		},
	} {
		f := newFleet(3, 50, newModel("a", "1", 40, 1, 2), newModel("b", "1", 40, 1, 2))
		f.servers[1].Region = "a"
		f.planUntilStable(t, Settings{})
		for i := range 100 {
			rates := [2]float64{test.high, test.low}
			f.rates = []Rate{
				{
					Model:             "a",
					Region:            "a",
					RequestsPerSecond: rates[i%2],
				},
				{
					Model:             "b",
					Region:            "a",
					RequestsPerSecond: rates[1-i%2],
				},
			}
			f.planAndApply(Settings{}, unlimited)
		}
		require.LessOrEqual(t, f.moves[ReasonDemand], test.maxMoves)
	}
}

// One of two replicas has a pending unload. If it counted as ready, the other
// one would be evicted as spare and no replica would remain.
func TestUnloadingReplicaDoesNotCountAsReady(t *testing.T) {
	f := newFleet(2, 50, newModel("a", "1", 40, 1, 2))
	f.models = append(f.models, newModel("wide", "1", 50, 1, 1))
	for i := range f.servers {
		f.servers[i].Reserved = 40
		f.servers[i].Residents = []Resident{{
			Weights: Weights{
				Model:   "a",
				Version: "1",
			},
			Memory:    40,
			Ready:     true,
			Unloading: i == 0,
		}}
	}
	f.servers[0].Usable = false
	require.Empty(t, Plan(f.newInput(Settings{}, unlimited)).Moves)
}

// Loads are rate-limited, so a model's adapters are loaded after it. Another
// model must not take the memory that they need.
func TestMemoryIsReservedForAdapters(t *testing.T) {
	f := newFleet(1, 60, newModel("a", "1", 40, 1, 1, document.Adapter{
		Name:    "breton",
		Version: "1",
		Memory:  20,
	}), newModel("b", "1", 20, 1, 1))
	for range 4 {
		f.planAndApply(Settings{}, Budget{
			Models:   1,
			Adapters: 0,
		})
	}
	f.planUntilStable(t, Settings{})
	require.Equal(t, 1, f.moves[ReasonAdapter])
	require.Empty(t, f.serversWith("b", "1"))
}
