package placement

import (
	"fmt"
	"testing"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

// burst is what one run of a synthetic tenfold burst gave.
type burst struct {
	moves    int
	attained float64
}

// runBurst lets a tenth of the models rise tenfold within ten minutes, stay for
// twenty and fall again, four times over, a different tenth each time. A round
// is ten seconds with at most 15 loads, which is the weight store's pace; loads are ready at its end.
func runBurst(t testing.TB, servers, models int, weight float64) burst {
	f := newFleet(servers, 640)
	for i := range models {
		f.models = append(f.models, model(fmt.Sprintf("m-%04d", i), "1", unit.Bytes(40+i%5*25), 2, 12))
	}
	settings := Settings{
		MovesWeight: weight,
	}
	f.rest(t, settings)
	clear(f.moves)
	asked, late := 0.0, 0.0
	const rounds = 4 * 240
	for round := range rounds {
		f.rates = f.rates[:0]
		for i := range models {
			rate := 1 + float64(i*7%13)/2
			if i%10 == round/240 {
				rate *= 1 + 9*hill(round%240)
			}
			f.rates = append(f.rates, Rate{
				Model:     ident.ModelName(fmt.Sprintf("m-%04d", i)),
				Region:    "a",
				PerSecond: rate / 2,
			}, Rate{
				Model:     ident.ModelName(fmt.Sprintf("m-%04d", i)),
				Region:    "b",
				PerSecond: rate / 2,
			})
		}
		missed := f.missed(settings)
		for _, rate := range f.rates {
			asked += rate.PerSecond
		}
		late += missed
		f.round(settings, Budget{
			Models: 15,
		})
	}
	total := 0
	for _, count := range f.moves {
		total += count
	}
	return burst{
		moves:    total,
		attained: 100 * (1 - late/asked),
	}
}

// hill rises over 60 rounds, stays for 120 and falls over 60.
func hill(round int) float64 {
	switch {
	case round < 60:
		return float64(round) / 60
	case round < 180:
		return 1
	}
	return float64(240-round) / 60
}

// missed is the rate of late requests by Plan's own measure.
func (f *fleet) missed(settings Settings) float64 {
	w := newWork(f.input(settings, Budget{}))
	missed := 0.0
	for i := range f.rates {
		rate := &f.rates[i]
		missed += w.late(rate, w.presentIn(&w.models[w.byName[rate.Model]], rate.Region))
	}
	return missed
}

// The users weigh moves differently. A greater weight must give no more moves
// at the ends of the scale, and what it costs in requests answered in time is
// logged. Between neighbouring weights neither figure need fall: the moves are
// chosen one at a time, and an early small one can stand in the way of a later
// great one.
func TestMovesWeightOverTenfoldBurst(t *testing.T) {
	for _, size := range []benchSize{
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
		results := make(map[float64]burst)
		for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
			result := runBurst(t, size.servers, size.models, weight)
			t.Logf("%d servers, %d models, MovesWeight %.2f: %d moves, %.2f%% in time",
				size.servers, size.models, weight, result.moves, result.attained)
			results[weight] = result
		}
		require.Zero(t, results[1].moves)
		require.LessOrEqual(t, results[0.75].moves, results[0].moves)
		require.Greater(t, results[0].attained, results[0.75].attained)
		require.Greater(t, results[0.75].attained, results[1].attained)
	}
}
