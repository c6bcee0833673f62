package placement

import (
	"fmt"
	"testing"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

// burstResult is the outcome of one run of a synthetic tenfold burst.
type burstResult struct {
	moves           int
	attainedPercent float64
}

// runBurst raises the demand for a tenth of the models tenfold within ten
// minutes, keeps it there for twenty and lets it fall again, four times, for a
// different tenth each time. A round takes ten seconds and has at most 15
// loads, the load rate limit of the weight store; loads are ready at the end of
// the round.
func runBurst(t testing.TB, servers, models int, weight float64) burstResult {
	f := newFleet(servers, 640)
	for i := range models {
		f.models = append(f.models, newModel(fmt.Sprintf("m-%04d", i), "1", unit.Bytes(40+i%5*25), 2, 12))
	}
	settings := Settings{
		MovesWeight: weight,
	}
	f.planUntilStable(t, settings)
	clear(f.moves)
	requested, missed := 0.0, 0.0
	const rounds = 4 * 240
	for round := range rounds {
		f.rates = f.rates[:0]
		for i := range models {
			rate := 1 + float64(i*7%13)/2
			if i%10 == round/240 {
				rate *= 1 + 9*burstLevel(round%240)
			}
			f.rates = append(f.rates, Rate{
				Model:             ident.ModelName(fmt.Sprintf("m-%04d", i)),
				Region:            "a",
				RequestsPerSecond: rate / 2,
			}, Rate{
				Model:             ident.ModelName(fmt.Sprintf("m-%04d", i)),
				Region:            "b",
				RequestsPerSecond: rate / 2,
			})
		}
		missedNow := f.lateRate(settings)
		for _, rate := range f.rates {
			requested += rate.RequestsPerSecond
		}
		missed += missedNow
		f.planAndApply(settings, Budget{
			Models: 15,
		})
	}
	moves := 0
	for _, count := range f.moves {
		moves += count
	}
	return burstResult{
		moves:           moves,
		attainedPercent: 100 * (1 - missed/requested),
	}
}

// burstLevel is the position within a burst, from 0 to 1: it rises over 60
// rounds, stays for 120 and falls over 60.
func burstLevel(round int) float64 {
	switch {
	case round < 60:
		return float64(round) / 60
	case round < 180:
		return 1
	}
	return float64(240-round) / 60
}

// lateRate returns the rate of late requests as estimated by the planner.
func (f *fleet) lateRate(settings Settings) float64 {
	p := newPlanner(f.newInput(settings, Budget{}))
	late := 0.0
	for i := range f.rates {
		rate := &f.rates[i]
		late += p.lateRate(rate, p.countPresentIn(&p.models[p.modelIndex[rate.Model]], rate.Region))
	}
	return late
}

// MovesWeight lets operators trade moves against attainment. A greater weight
// must give fewer moves and lower attainment at the ends of the scale; the
// figures are logged. Neighbouring weights need not be ordered: moves are
// chosen one at a time, and an early small move can prevent a better one later.
func TestMovesWeightLimitsMovesInBurst(t *testing.T) {
	for _, size := range []fleetSize{
		{
			servers: 12,
			models:  15,
		},
		{
			servers: 12,
			models:  32,
		},
		{
			servers: 120,
			models:  150,
		},
	} {
		results := make(map[float64]burstResult)
		for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
			result := runBurst(t, size.servers, size.models, weight)
			t.Logf("%d servers, %d models, MovesWeight %.2f: %d moves, %.2f%% in time",
				size.servers, size.models, weight, result.moves, result.attainedPercent)
			results[weight] = result
		}
		require.Zero(t, results[1].moves)
		require.LessOrEqual(t, results[0.75].moves, results[0].moves)
		require.Greater(t, results[0].attainedPercent, results[0.75].attainedPercent)
		require.Greater(t, results[0.75].attainedPercent, results[1].attainedPercent)
	}
}
