package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/result"
	"cicadaloom/internal/load/sizes"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func testOutcome(policy settings.Routing, rate float64, seed uint64, attainment, goodput float64) Outcome {
	return Outcome{
		Case:   "normal",
		Policy: policy,
		Rate:   rate,
		Seed:   seed,
		Summary: result.Summary{
			Attainment: attainment,
			Goodput:    goodput,
			Fleet:      &result.Fleet{},
		},
	}
}

func TestTableShowsMedianAndRange(t *testing.T) {
	report := Report{
		Outcomes: []Outcome{
			testOutcome(settings.LeastCost, 1, 1, 0.90, 0),
			testOutcome(settings.LeastCost, 1, 2, 0.99, 0),
			testOutcome(settings.LeastCost, 1, 3, 0.95, 0),
			testOutcome(settings.Random, 1, 1, 0.80, 0),
			testOutcome(settings.Random, 1, 2, 0.90, 0),
		},
	}
	table := report.Table()
	require.Contains(t, table, "| normal | LeastCost | 1 | 95.0 (90.0 to 99.0) |")
	require.Contains(t, table, "| normal | Random | 1 | 85.0 (80.0 to 90.0) |")
}

func TestSweepFindsRateAt95PercentAttainment(t *testing.T) {
	report := Report{
		Outcomes: []Outcome{
			testOutcome(settings.LeastCost, 0.5, 1, 1, 50),
			testOutcome(settings.LeastCost, 1, 1, 0.97, 97),
			testOutcome(settings.LeastCost, 2, 1, 0.93, 186),
			testOutcome(settings.LeastCost, 3, 1, 0.96, 300), // attainment rises again by noise above the crossing
			testOutcome(settings.Random, 0.5, 1, 0.99, 49),
			testOutcome(settings.RoundRobin, 0.5, 1, 0.5, 25),
		},
	}
	found := report.crossings()
	require.Len(t, found, 3)
	require.InDelta(t, 1.5, found[0].rate, 1e-9)
	require.InDelta(t, 141.5, found[0].goodput, 1e-9)
	require.Contains(t, report.Sweep(), "| normal | Random | at least 49 | above 0.50 |")
	require.Contains(t, report.Sweep(), "| normal | RoundRobin | none | below the least |")
}

// Guards against a fault that is never injected: its case would be the same as the
// normal one, and every policy would look good in it.
func TestCasesRunOnSmallFleet(t *testing.T) {
	size, _ := sizes.ForUser(sizes.Nour, 0.01)
	size.RequestsPerSecond = 20
	hang, _ := FindCase("hang")
	kill, _ := FindCase("kill")
	report, err := Run(context.Background(), Options{
		Size:     size,
		Cases:    []Case{hang, kill},
		Policies: []settings.Routing{settings.RoundRobin},
		Seeds:    []uint64{1},
		Length:   time.Second,
	})
	require.NoError(t, err)
	require.Len(t, report.Outcomes, 2)
	for i := range report.Outcomes {
		summary := &report.Outcomes[i].Summary
		require.Positive(t, summary.Attained)
		require.Zero(t, summary.Foreign+summary.Duplicates+summary.Fleet.RunsOfRefused)
	}
	require.Greater(t, report.Outcomes[0].Summary.Whole.Max, size.Timing.PromiseFirstToken, "nothing has hung")
}
