package locality

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

const updateInterval = 100 * time.Millisecond

func drawReading(t *rapid.T, at time.Time) Reading {
	reading := Reading{
		Own:         "d0",
		ReadAt:      at,
		ServiceTime: time.Duration(rapid.IntRange(0, 2000).Draw(t, "service time")) * time.Millisecond,
	}
	for i := range 6 {
		if rapid.IntRange(0, 9).Draw(t, "known") == 0 {
			continue
		}
		reading.DataCentres = append(reading.DataCentres, DataCentre{
			Name:     ident.DataCentre(fmt.Sprint("d", i)),
			Slots:    float64(rapid.IntRange(0, 40).Draw(t, "slots")),
			Load:     float64(rapid.IntRange(0, 200).Draw(t, "load")),
			PathCost: []time.Duration{0, nearPath, farPath}[min(i, 2)],
			LinkRate: float64(rapid.IntRange(0, 100).Draw(t, "link")),
		})
	}
	return reading
}

func sumOf(shares []Share) float64 {
	total := 0.0
	for _, share := range shares {
		total += share.Part
	}
	return total
}

// Guards against shares that lose requests or send some twice.
func TestSharesSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var planner Planner
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "step")) * time.Millisecond)
			planner.Update(now, drawReading(t, now))
			require.InDelta(t, 1, sumOf(planner.Shares()), 1e-9)
			for _, share := range planner.Shares() {
				require.GreaterOrEqual(t, share.Part, 0.0)
			}
		}
	})
}

// Guards against hosts that read the same and decide differently.
func TestSameReadingsGiveSameShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Planner
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "updates") {
			now = now.Add(updateInterval)
			reading := drawReading(t, now)
			a.Update(now, reading)
			for i, j := 0, len(reading.DataCentres)-1; i < j; i, j = i+1, j-1 {
				reading.DataCentres[i], reading.DataCentres[j] = reading.DataCentres[j], reading.DataCentres[i]
			}
			b.Update(now, reading)
			require.Equal(t, a.Shares(), b.Shares())
		}
	})
}

// Guards against shares that jump with each reading: they change by the rates, unless servers
// come or go.
func TestChangeOfSharesIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var planner Planner
		now := start
		reading := drawReading(t, now)
		for i := range reading.DataCentres {
			reading.DataCentres[i].Slots = max(reading.DataCentres[i].Slots, 1)
		}
		if len(reading.DataCentres) == 0 || reading.DataCentres[0].Name != reading.Own {
			return
		}
		planner.Update(now, reading)
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			now = now.Add(updateInterval)
			reading.ReadAt = now
			for i := range reading.DataCentres {
				reading.DataCentres[i].Load = float64(rapid.IntRange(0, 200).Draw(t, "load"))
			}
			before := planner.Leaving()
			planner.Update(now, reading)
			change := planner.Leaving() - before
			require.LessOrEqual(t, change, maxLeaveRate*updateInterval.Seconds()+1e-9)
			require.GreaterOrEqual(t, change, -maxReturnRate*updateInterval.Seconds()-minLeavingShare-1e-9)
		}
	})
}

// Guards against requests that are sent to a full data centre while their own has room.
func TestNothingLeavesForFullDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var planner Planner
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "updates before") {
			now = now.Add(updateInterval)
			planner.Update(now, drawReading(t, now))
		}
		settled := Reading{
			Own:         "d0",
			ServiceTime: 20 * time.Millisecond,
			DataCentres: []DataCentre{
				{
					Name:  "d0",
					Slots: 12,
					Load:  float64(rapid.IntRange(0, 6).Draw(t, "own load")),
				},
				{
					Name:     "d1",
					Slots:    12,
					Load:     float64(rapid.IntRange(13, 100).Draw(t, "load")),
					PathCost: nearPath,
				},
			},
		}
		leaving := 1.0
		for i := range 100 {
			now = now.Add(updateInterval)
			settled.ReadAt = now
			planner.Update(now, settled)
			if time.Duration(i)*updateInterval < 10*minSmoothingTime {
				continue // the averages still hold the loads before
			}
			require.LessOrEqual(t, planner.Leaving(), leaving+1e-9, "it may only shrink")
			leaving = planner.Leaving()
		}
		require.Zero(t, leaving)
	})
}

// Guards against a host that is cut off and goes on sending by a plan of long ago.
func TestPlanEndsWithOldNews(t *testing.T) {
	var planner Planner
	_, planned := planner.Draw(start, 1)
	require.False(t, planned, "the zero value plans nothing")
	planner.Update(start, Reading{
		Own:    "d0",
		ReadAt: start.Add(-time.Second),
		DataCentres: []DataCentre{{
			Name:  "d1",
			Slots: 1,
		}},
	})
	destination, planned := planner.Draw(start, 1)
	require.True(t, planned)
	require.Equal(t, ident.DataCentre("d1"), destination)
	_, planned = planner.Draw(start.Add(maxReadingAge), 1)
	require.False(t, planned)
}

// homeAndNear is a reading of two data centres of a region.
func homeAndNear(at time.Time, homeSlots, homeLoad, nearSlots float64) Reading {
	return Reading{
		Own:         "d0",
		ReadAt:      at,
		ServiceTime: 20 * time.Millisecond,
		DataCentres: []DataCentre{
			{
				Name:  "d0",
				Slots: homeSlots,
				Load:  homeLoad,
			},
			{
				Name:     "d1",
				Slots:    nearSlots,
				Load:     2,
				PathCost: nearPath,
			},
		},
	}
}

// Guards against shares that grow by steps while the queue does, where servers are lost.
func TestExcessOfLostServersLeavesAtOnce(t *testing.T) {
	var planner Planner
	planner.Update(start, homeAndNear(start, 12, 11, 12))
	require.Zero(t, planner.Leaving())
	now := start.Add(updateInterval)
	planner.Update(now, homeAndNear(now, 8, 11, 12))
	require.InDelta(t, 3.0/11, planner.Leaving(), 0.01)
}

// Guards against requests that follow a plan to a data centre that has lost its servers meanwhile.
func TestShareOfLostDestinationComesHomeAtOnce(t *testing.T) {
	var planner Planner
	planner.Update(start, homeAndNear(start, 12, 11, 12))
	now := start.Add(updateInterval)
	planner.Update(now, homeAndNear(now, 4, 11, 12))
	require.Positive(t, planner.Leaving())
	now = now.Add(updateInterval)
	planner.Update(now, homeAndNear(now, 4, 11, 0))
	require.Zero(t, planner.Leaving())
	require.Equal(t, 2, planner.Changes())
}

// Guards against a host that hears nothing for some time, and then goes on with the shares that it
// had before: its servers are back.
func TestPlanThatEndedStartsAnew(t *testing.T) {
	var planner Planner
	planner.Update(start, homeAndNear(start, 0, 0, 12))
	require.InDelta(t, 1, planner.Leaving(), 1e-9)
	now := start.Add(maxReadingAge + time.Second)
	planner.Update(now, homeAndNear(now, 12, 2, 12))
	require.Zero(t, planner.Leaving())
	require.Equal(t, 2, planner.Changes())
}

// Guards against draws that don't follow the shares.
func TestDrawFollowsShares(t *testing.T) {
	planner := Planner{
		own:    "d0",
		readAt: start,
		parts: map[ident.DataCentre]float64{
			"d1": 0.3,
			"d2": 0.1,
		},
	}
	planner.setOrder()
	counts := make(map[ident.DataCentre]int)
	for i := range uint64(10000) {
		destination, _ := planner.Draw(start, splitmix.Mix(i))
		counts[destination]++
	}
	require.InDelta(t, 6000, counts["d0"], 150)
	require.InDelta(t, 3000, counts["d1"], 150)
	require.InDelta(t, 1000, counts["d2"], 100)
}

func BenchmarkDraw(b *testing.B) {
	f := newFleet(1, 6, 1)
	f.sites[0].rate = steady(1000)
	f.run(5 * time.Second)
	planner := f.sites[0].hosts[0]
	b.ReportAllocs()
	for i := range b.N {
		planner.Draw(start.Add(5*time.Second), splitmix.Mix(uint64(i)))
	}
}

func BenchmarkUpdate(b *testing.B) {
	f := newFleet(1, 6, 1)
	f.sites[0].rate = steady(1000)
	f.run(5 * time.Second)
	planner := f.sites[0].hosts[0]
	reading := f.reading(f.sites[0], 4*time.Second)
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(5*time.Second + time.Duration(i)*updateInterval)
		reading.ReadAt = now
		planner.Update(now, reading)
	}
}
