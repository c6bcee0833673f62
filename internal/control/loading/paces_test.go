package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// Load: an engine with spells at 2.5 times its level, read by many hosts, and one that restarts.
func TestLastingPaceIsPassedOn(t *testing.T) {
	fleet := newFakeFleet(2, 2)
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	for range 50 {
		fleet.runRound(planner, 1)
	}
	planner.TakeInventoryChanges(fleet.now)
	name, incarnation := fleet.engines[0].name, fleet.engines[0].incarnation
	announced := 0
	var last pace.Reading
	record := func(server ident.ServerName, incarnation ident.Incarnation, reading pace.Reading) {
		planner.RecordPaces(fleet.now, []pace.ServerReading{{
			Server:      server,
			Incarnation: incarnation,
			Reading:     reading,
		}})
		changed, _ := planner.TakeInventoryChanges(fleet.now)
		for i := range changed {
			announced++
			last = changed[i].Pace
		}
	}
	for i := range 100 {
		fleet.now = fleet.now.Add(200 * time.Millisecond)
		reading := pace.Reading(1.6)
		if i%10 == 9 {
			reading = 4
		}
		record(name, incarnation, reading)
		record(name, "earlier", 9)
		record("unknown", incarnation, 9)
	}
	require.Equal(t, pace.Reading(1.6), last)
	require.Equal(t, 1, announced, "the level changes nothing once it is known")
}

// Load: a model that keeps two engines busy, on a fleet where half of the engines take twice as long.
func TestBusyModelGoesToFastEngines(t *testing.T) {
	fleet := newFakeFleet(4, 1)
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	fleet.runRound(planner, 1)
	busy := fleet.spec.Models[0].Name
	planner.AddDemand(fleet.now, "", request.Weights{
		Model: busy,
	}, Demand{
		Requests: 100,
		Work:     20,
	})
	for i, e := range fleet.engines {
		planner.RecordPaces(fleet.now, []pace.ServerReading{{
			Server:      e.name,
			Incarnation: e.incarnation,
			Reading:     pace.Reading([]float64{2, 0.5}[i%2]),
		}})
	}
	m := planner.models[busy]
	slow, fast := planner.engines[fleet.engines[0].name], planner.engines[fleet.engines[1].name]
	require.Positive(t, planner.paceBonus(fleet.now, m, fast))
	require.Negative(t, planner.paceBonus(fleet.now, m, slow))
	order, found := planner.placeModel(fleet.now, m)
	require.True(t, found)
	require.Equal(t, pace.Reading(0.5), planner.engines[order.Server].announcedPace)
}

// BenchmarkRecordPaces measures one reading at the leader of 850 engines whose paces have levels of 0.6 to
// 4 and change ten times a second on a third of them.
func BenchmarkRecordPaces(b *testing.B) {
	fleet := newFakeFleet(850, 2)
	planner := NewPlanner(Options{})
	planner.Configure(fleet.spec)
	fleet.runRound(planner, 1)
	require.Len(b, planner.engines, 850)
	readings := make([]pace.ServerReading, 1)
	b.ReportAllocs()
	for i := range b.N {
		e := fleet.engines[i%len(fleet.engines)]
		readings[0] = pace.ServerReading{
			Server:      e.name,
			Incarnation: e.incarnation,
			Reading:     1.6,
		}
		if i%3 == 0 {
			readings[0].Reading = pace.Reading(0.6 + 3.4*float64(i%97)/97)
		}
		planner.RecordPaces(fleet.now.Add(time.Duration(i)*time.Millisecond), readings)
	}
}
