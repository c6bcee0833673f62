package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/engineapi"
)

// runConcurrently runs count loads at once and returns the time they took.
func runConcurrently(store *Store, count int, adapter ident.AdapterName) time.Duration {
	begin := time.Now()
	var loads tomb.Tomb
	loads.Go(func() error {
		for range count {
			loads.Go(func() error {
				store.load(context.Background(), engineapi.WeightLoad{
					Model:   "briefing",
					Adapter: adapter,
				})
				return nil
			})
		}
		return nil
	})
	_ = loads.Wait()
	return time.Since(begin)
}

// The figures are the platform's: one and a half loads a second, ten at once at
// full speed; adapters 6 to 20 ms with up to 85 in transit, proportionally longer
// beyond that.
func TestLoadTimesFollowConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New(Options{})
		alone := runConcurrently(store, 1, "")
		require.InDelta(t, 6.667, alone.Seconds(), 0.01)
		require.InDelta(t, 10/1.5, runConcurrently(store, 10, "").Seconds(), 0.1)
		require.InDelta(t, 30/1.5, runConcurrently(store, 30, "").Seconds(), 0.5)

		one := runConcurrently(store, 1, "wind")
		require.GreaterOrEqual(t, one, DefaultMinAdapterTime)
		require.LessOrEqual(t, one, DefaultMaxAdapterTime)
		require.InDelta(t, float64(one), float64(runConcurrently(store, 85, "wind")), float64(time.Millisecond))
		require.InDelta(t, 2*float64(one), float64(runConcurrently(store, 170, "wind")), float64(one)/5)
		require.Zero(t, store.Status().InTransit)
		require.EqualValues(t, 1+10+30+1+85+170, store.Status().LoadsDone)

		store.Faults.Set(Faults{
			SlowFactor: 3,
		})
		require.InDelta(t, 3*alone.Seconds(), runConcurrently(store, 1, "").Seconds(), 0.01)
	})
}

func TestLoadEndsWithItsClient(t *testing.T) {
	store := New(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, store.load(ctx, engineapi.WeightLoad{
		Model: "briefing",
	}))
	require.Zero(t, store.Status())
}
