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

// fleet is a model of servers that carry out each move at once.
type fleet struct {
	now     time.Time
	servers []Server
	models  []document.Model
	rates   []Rate
	moves   map[Reason]int
	blocked []Blocked
}

func newFleet(servers int, memory unit.Bytes, models ...document.Model) *fleet {
	f := &fleet{
		now:    epoch,
		models: models,
		moves:  make(map[Reason]int),
	}
	for i := range servers {
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

func (f *fleet) input(settings Settings, budget Budget) *Input {
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

// round plans once and carries everything out.
func (f *fleet) round(settings Settings, budget Budget) int {
	result := Plan(f.input(settings, budget))
	for _, move := range result.Moves {
		f.carryOut(&move)
	}
	f.blocked = result.Blocked
	f.now = f.now.Add(10 * time.Second)
	return len(result.Moves)
}

func (f *fleet) carryOut(move *Move) {
	f.moves[move.Reason]++
	for i := range f.servers {
		server := &f.servers[i]
		if server.Name != move.Server {
			continue
		}
		if move.Kind == backend.LoadModel || move.Kind == backend.LoadAdapter {
			server.Residents = append(server.Residents, Resident{
				Weights: move.Weights,
				Memory:  move.Memory,
				Ready:   true,
				Since:   f.now,
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

var plenty = Budget{
	Models:   10000,
	Adapters: 100000,
}

// until rounds bring no more moves.
func (f *fleet) rest(t testing.TB, settings Settings) {
	for range 60 {
		if f.round(settings, plenty) == 0 {
			return
		}
	}
	require.Fail(t, "moves never end")
}

func (f *fleet) at(model ident.ModelName, version ident.Version) []Server {
	var holders []Server
	for _, server := range f.servers {
		for _, resident := range server.Residents {
			if resident.Model == model && resident.Adapter == "" && resident.Version == version {
				holders = append(holders, server)
			}
		}
	}
	return holders
}

func model(name string, version ident.Version, memory unit.Bytes, replicas, most int, adapters ...document.Adapter) document.Model {
	return document.Model{
		Name:        ident.ModelName(name),
		Version:     version,
		Memory:      memory,
		Replicas:    replicas,
		MaxReplicas: most,
		Adapters:    adapters,
	}
}

func TestReplicasSpreadOverRegionsAndDataCentres(t *testing.T) {
	f := newFleet(14, 100, model("briefing", "1", 40, 4, 4))
	f.rest(t, Settings{})
	holders := f.at("briefing", "1")
	require.Len(t, holders, 4)
	regions := map[ident.Region]int{}
	centres := map[ident.DataCentre]int{}
	for _, server := range holders {
		regions[server.Region]++
		centres[server.DataCentre]++
	}
	require.Equal(t, map[ident.Region]int{
		"a": 2,
		"b": 2,
	}, regions)
	require.Len(t, centres, 4)
}

func TestAdaptersFollowEveryReplica(t *testing.T) {
	f := newFleet(3, 50, model("briefing", "1", 40, 2, 2, document.Adapter{
		Name:    "breton",
		Version: "1",
		Memory:  5,
	}))
	f.rest(t, Settings{})
	for _, server := range f.at("briefing", "1") {
		require.Len(t, server.Residents, 2)
	}
	require.Equal(t, 2, f.moves[ReasonAdapter])
}

// The only replica of a model fills its server and the new version fits nowhere
// beside it. Dropping it would leave callers without the model for the time of
// a load; so the change is refused until there is room.
func TestLastReplicaWithoutRoomIsBlocked(t *testing.T) {
	f := newFleet(1, 50, model("briefing", "1", 40, 1, 1))
	f.rest(t, Settings{})
	f.models[0].Version = "2"
	f.rest(t, Settings{})
	require.Len(t, f.at("briefing", "1"), 1)
	require.Len(t, f.blocked, 1)
	require.Equal(t, BlockedLastReplica, f.blocked[0].Why)
}

// The new version of a single replica fits nowhere, but another model has more
// replicas than it must: one of these gives way, and the change goes through.
func TestSpareReplicaGivesWayToNewVersion(t *testing.T) {
	f := newFleet(2, 50, model("briefing", "1", 40, 1, 1), model("extra", "1", 40, 1, 2))
	f.rest(t, Settings{})
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
			Memory: 40,
			Ready:  true,
			Since:  epoch,
		}},
		Reserved: 40,
	})
	f.models[0].Version = "2"
	f.rest(t, Settings{})
	require.Empty(t, f.blocked)
	require.Len(t, f.at("briefing", "2"), 1)
	require.Empty(t, f.at("briefing", "1"))
	require.Len(t, f.at("extra", "1"), 1)
	require.Equal(t, 1, f.moves[ReasonRoom])
}

// Two small models share out the free memory of two servers so that a large
// one fits nowhere. Moving one of them beside the other makes room.
func TestRelocationMakesRoom(t *testing.T) {
	f := newFleet(2, 50, model("small-1", "1", 20, 1, 1), model("small-2", "1", 20, 1, 1))
	f.rest(t, Settings{})
	require.NotEqual(t, f.at("small-1", "1"), f.at("small-2", "1"))
	f.models = append(f.models, model("wide", "1", 50, 1, 1))
	f.rest(t, Settings{})
	require.Empty(t, f.blocked)
	require.Len(t, f.at("wide", "1"), 1)
	require.Len(t, f.at("small-1", "1"), 1)
	require.Len(t, f.at("small-2", "1"), 1)
}

// Demand rises and spare memory is there: replicas are added up to the
// greatest number, and none goes when demand falls again.
func TestDemandTakesSpareMemoryAndKeepsIt(t *testing.T) {
	f := newFleet(14, 50, model("briefing", "1", 40, 2, 6))
	f.rest(t, Settings{})
	f.rates = []Rate{{
		Model:     "briefing",
		Region:    "a",
		PerSecond: 100,
	}}
	f.rest(t, Settings{})
	require.Len(t, f.at("briefing", "1"), 6)
	require.Equal(t, 4, f.moves[ReasonDemand])
	f.rates = nil
	f.rest(t, Settings{})
	require.Len(t, f.at("briefing", "1"), 6)
}

// Two models take turns at the one spare place. Rates that swing around a step
// must not move anything, and strong swings no more than MinStay lets.
func TestSwingingDemandMakesNoChurn(t *testing.T) {
	for _, swing := range []struct {
		high, low float64
		most      int
	}{
		{
			high: 7,
			low:  5,
			most: 1,
		},
		{
			high: 20,
			low:  2,
			most: 1 + 2*1000/120,
		},
	} {
		f := newFleet(3, 50, model("a", "1", 40, 1, 2), model("b", "1", 40, 1, 2))
		f.servers[1].Region = "a"
		f.rest(t, Settings{})
		for i := range 100 {
			rates := [2]float64{swing.high, swing.low}
			f.rates = []Rate{
				{
					Model:     "a",
					Region:    "a",
					PerSecond: rates[i%2],
				},
				{
					Model:     "b",
					Region:    "a",
					PerSecond: rates[1-i%2],
				},
			}
			f.round(Settings{}, plenty)
		}
		require.LessOrEqual(t, f.moves[ReasonDemand], swing.most)
	}
}

// An unload is on its way to one of two replicas. It must not count as ready:
// the other one would be evicted as spare and nothing be left.
func TestReplicaOnItsWayOutVouchesForNothing(t *testing.T) {
	f := newFleet(2, 50, model("a", "1", 40, 1, 2))
	f.models = append(f.models, model("wide", "1", 50, 1, 1))
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
	require.Empty(t, Plan(f.input(Settings{}, plenty)).Moves)
}

// Loads are paced, so a model's adapters come after it. Another model must not
// take the memory that they need.
func TestRoomIsKeptForAdapters(t *testing.T) {
	f := newFleet(1, 60, model("a", "1", 40, 1, 1, document.Adapter{
		Name:    "breton",
		Version: "1",
		Memory:  20,
	}), model("b", "1", 20, 1, 1))
	for range 4 {
		f.round(Settings{}, Budget{
			Models:   1,
			Adapters: 0,
		})
	}
	f.rest(t, Settings{})
	require.Equal(t, 1, f.moves[ReasonAdapter])
	require.Empty(t, f.at("b", "1"))
}
