package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func TestNewReadingBounds(t *testing.T) {
	for _, ratio := range []float64{0, -1, 0.001, 1e9, math.NaN(), math.Inf(1), math.Inf(-1)} {
		require.False(t, NewReading(ratio).IsKnown(), "%v", ratio)
	}
	require.Equal(t, Reading(2.5), NewReading(2.5))
}

func TestZeroTrackerExpectsUsualPace(t *testing.T) {
	var tracker Tracker
	tracker.Record(start, 0)
	require.Equal(t, Estimate{Level: 1, Current: 1}, tracker.Estimate(start))
	require.False(t, tracker.IsKnown(start))
}

func TestReadingFallsBackToLevel(t *testing.T) {
	var tracker Tracker
	for i := range 9 {
		tracker.Record(start.Add(time.Duration(i)*time.Second), 1.6)
	}
	spell := start.Add(9 * time.Second)
	tracker.Record(spell, 4)
	require.Equal(t, Estimate{Level: 1.6, Current: 4}, tracker.Estimate(spell))
	later := tracker.Estimate(spell.Add(3 * time.Second))
	require.InDelta(t, 1.6, later.Current, 0.01)
	require.Equal(t, 1.6, later.Level)
}

// Guards against a spell that is read many times and taken for the level.
func TestBurstOfReadingsInSpellLeavesLevel(t *testing.T) {
	var tracker Tracker
	for i := range 5 {
		tracker.Record(start.Add(time.Duration(i)*time.Second), 1)
	}
	for i := range 100 {
		tracker.Record(start.Add(5*time.Second+time.Duration(i)*10*time.Millisecond), 2.5)
	}
	require.Equal(t, 1.0, tracker.Estimate(start.Add(6*time.Second)).Level)
}

// Guards against a level that never changes again: a neighbour has moved in for good.
func TestLevelFollowsLastingChange(t *testing.T) {
	var tracker Tracker
	for i := range 20 {
		tracker.Record(start.Add(time.Duration(i)*time.Second), 1)
	}
	for i := range 6 {
		tracker.Record(start.Add(time.Duration(20+i)*time.Second), 1.6)
	}
	require.Equal(t, 1.6, tracker.Estimate(start.Add(26*time.Second)).Level)
}

// Guards against a server that gets no requests for ever because it once was slow.
func TestOldReadingsExpire(t *testing.T) {
	var tracker Tracker
	tracker.Record(start, 4)
	require.Equal(t, Estimate{Level: 1, Current: 1}, tracker.Estimate(start.Add(maxReadingAge+time.Second)))
}

func TestSharedLevelPrecedesOwn(t *testing.T) {
	var tracker Tracker
	tracker.Record(start, 2.5)
	tracker.Share(1)
	require.Equal(t, Estimate{Level: 1, Current: 2.5}, tracker.Estimate(start))
	tracker.Share(0)
	require.Equal(t, 2.5, tracker.Estimate(start).Level)
}

// recordSteadily records a reading n times, an interval apart, and returns the time of the last.
func recordSteadily(tracker *Tracker, from time.Time, interval time.Duration, n int, reading Reading) time.Time {
	for i := range n {
		tracker.Record(from.Add(time.Duration(i)*interval), reading)
	}
	return from.Add(time.Duration(n-1) * interval)
}

// Guards against a host that is cut off from reports, and judges a server by a level of long ago
// whatever it reads itself: 5 s with frequent readings, a minute with a few.
func TestOwnReadingsPrecedeLevelFromBefore(t *testing.T) {
	for _, interval := range []time.Duration{sampleInterval, 7 * time.Second} {
		var tracker Tracker
		tracker.Share(1)
		last := recordSteadily(&tracker, start, interval, maxSamples-1, 4)
		require.Equal(t, 1.0, tracker.Estimate(last).Level, "fewer than all hosts have")
		tracker.Record(last.Add(interval), 4)
		require.Equal(t, 4.0, tracker.Estimate(last.Add(interval)).Level)
		tracker.Share(1)
		require.Equal(t, 4.0, tracker.Estimate(last.Add(interval)).Level, "the same level again is no news")
	}
}

// Guards against a report that is older than what the host has itself seen until now, and against
// own readings of long ago that are kept in spite of a report.
func TestLateReportDoesNotOverrideFrequentReadings(t *testing.T) {
	var tracker Tracker
	now := recordSteadily(&tracker, start, sampleInterval, maxSamples, 4)
	tracker.Share(1)
	require.Equal(t, 4.0, tracker.Estimate(now).Level)
	require.Equal(t, 1.0, tracker.Estimate(now.Add(2*maxSampleGap)).Level)
	var rare Tracker
	now = recordSteadily(&rare, start, 5*time.Second, maxSamples, 4)
	rare.Share(1)
	require.Equal(t, 1.0, rare.Estimate(now).Level, "all hosts together have read more")
}

func TestTrackerAllocatesNothing(t *testing.T) {
	var tracker Tracker
	now := start
	require.Zero(t, testing.AllocsPerRun(100, func() {
		now = now.Add(time.Second)
		tracker.Record(now, 1.6)
		tracker.Estimate(now)
	}))
}

// generatedServer has a lasting level, and spells at a multiple of it.
type generatedServer struct {
	level   float64
	spell   float64
	until   time.Time
	inSpell bool
	random  *rand.Rand
}

// pace returns the pace at an instant; instants don't go back.
func (s *generatedServer) pace(now time.Time) float64 {
	for !now.Before(s.until) {
		s.inSpell = !s.inSpell && !s.until.IsZero()
		length := 0.1 + 0.9*s.random.Float64()
		if !s.inSpell {
			length = 9 * 0.55 * s.random.ExpFloat64()
		}
		s.until = now.Add(time.Duration(length * float64(time.Second)))
	}
	if s.inSpell {
		return s.level * s.spell
	}
	return s.level
}

// predictor is a way to expect a pace from readings.
type predictor struct {
	record func(now time.Time, reading Reading)
	expect func(now time.Time) float64
}

func newPredictors() map[string]predictor {
	var tracker Tracker
	last, mean := 1.0, 0.0
	return map[string]predictor{
		"tracker": {
			record: tracker.Record,
			expect: func(now time.Time) float64 { return tracker.Estimate(now).Current },
		},
		"last": {
			record: func(_ time.Time, reading Reading) { last = float64(reading) },
			expect: func(time.Time) float64 { return last },
		},
		"mean": {
			record: func(_ time.Time, reading Reading) {
				if mean == 0 {
					mean = float64(reading)
				}
				mean += (float64(reading) - mean) * 0.2
			},
			expect: func(time.Time) float64 { return max(mean, 0.01) },
		},
	}
}

// predictionErrors returns the mean relative errors for servers of which a host reads the pace so
// many times a second, each reading being old when it arrives.
func predictionErrors(perSecond float64, age time.Duration, newPace func(server int, random *rand.Rand) func(now time.Time) float64) map[string]float64 {
	errors := make(map[string]float64)
	const servers, seconds = 60, 60
	random := rand.New(rand.NewPCG(7, 1))
	for i := range servers {
		paceAt := newPace(i, random)
		predictors := newPredictors()
		var paces []float64
		const step = 10 * time.Millisecond
		lag := int(age / step)
		for tick := range seconds * 100 {
			now := start.Add(time.Duration(tick) * step)
			paces = append(paces, paceAt(now))
			if tick >= lag && random.Float64() < perSecond/100 {
				for _, p := range predictors {
					p.record(now, Reading(paces[tick-lag]))
				}
			}
			if tick%7 == 0 {
				for name, p := range predictors {
					errors[name] += math.Abs(p.expect(now)/paces[tick]-1) / (servers * seconds * 100 / 7)
				}
			}
		}
	}
	return errors
}

// withSpells returns the pace of a server with a lasting level and spells.
func withSpells(i int, random *rand.Rand) func(now time.Time) float64 {
	server := generatedServer{
		level:  0.5 + 0.5*float64(i%4),
		spell:  2.5,
		random: random,
	}
	return server.pace
}

// withoutLevel returns a pace of 1 to 4 on each third server, and 1 on the others.
func withoutLevel(i int, random *rand.Rand) func(now time.Time) float64 {
	var until time.Time
	pace := 1.0
	return func(now time.Time) float64 {
		if i%3 == 0 && !now.Before(until) {
			pace = 1 + 3*random.Float64()
			until = now.Add(100 * time.Millisecond)
		}
		return pace
	}
}

// Load: a pace of 1 to 4 that changes ten times a second on a third of the servers, read 1 and 4
// times a second.
func TestTrackerPredictsPaceWithoutLevel(t *testing.T) {
	for _, perSecond := range []float64{1, 4} {
		errors := predictionErrors(perSecond, 100*time.Millisecond, withoutLevel)
		t.Logf("%v a second: %.3v", perSecond, errors)
		require.Less(t, errors["tracker"], errors["last"])
	}
}

// Load: levels of 0.5 to 2 with spells of 0.1 to 1 s at 2.5 times the level, read 0.2 to 30 times
// a second and up to 1 s old.
func TestTrackerPredictsBetterThanLastAndMean(t *testing.T) {
	for _, perSecond := range []float64{0.2, 1, 4, 30} {
		for _, age := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
			errors := predictionErrors(perSecond, age, withSpells)
			t.Logf("%v a second, %v old: %.3v", perSecond, age, errors)
			require.Less(t, errors["tracker"], errors["mean"])
			if perSecond < 30 {
				require.Less(t, errors["tracker"], errors["last"])
			} else {
				require.Less(t, errors["tracker"], errors["last"]+0.01) // each reading is fresh
			}
		}
	}
}

func BenchmarkEstimate(b *testing.B) {
	var tracker Tracker
	tracker.Record(start, 1.6)
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i%1000) * time.Millisecond)
		tracker.Record(now, 2.5)
		tracker.Estimate(now)
	}
}
