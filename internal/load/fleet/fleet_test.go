package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/load/counters"
	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/openloop"
	"cicadaloom/internal/load/result"
	"cicadaloom/internal/load/sizes"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestSmallFleetAnswersRequests(t *testing.T) {
	size, found := sizes.ForUser(sizes.Kerlouan, 0.01)
	require.True(t, found)
	ctx := context.Background()
	running, err := Start(ctx, Options{
		Size:    size,
		Routing: settings.LeastCost,
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, running.Stop()) }()
	before, err := running.Counters(ctx)
	require.NoError(t, err)
	setup := counters.Compare(&counters.Snapshot{}, before, 0, nil)
	require.GreaterOrEqual(t, setup.Moves, len(size.Models), "model loads during set-up count as moves")

	plan := size.Plan()
	plan.RequestsPerSecond = 20
	var collector result.Collector
	sender := openloop.Sender{
		Targets: running.Targets(),
		Record:  collector.Add,
	}
	start := time.Now()
	require.NoError(t, sender.Run(ctx, demand.NewArrivals(plan, demand.Span{
		Seed:  1,
		Start: start,
		End:   start.Add(time.Second),
	})))
	summary := collector.Summary(time.Second, size.Engines)
	require.Positive(t, summary.Answered)
	require.Zero(t, summary.Foreign+summary.Wrong+summary.Duplicates+summary.Cut)
	after, err := running.Counters(ctx)
	require.NoError(t, err)
	fleet := counters.Compare(before, after, summary.Tokens, collector.NotRunRequests())
	require.Zero(t, fleet.Overcommits+fleet.RunsOfRefused)
	require.GreaterOrEqual(t, fleet.TokensGenerated, summary.Tokens)
}
