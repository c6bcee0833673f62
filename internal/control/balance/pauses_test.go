package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines whose steps are short were kept clear for 25 ms after each prompt of 16 ms, and
// half of their reading time was lost. While no stream pauses for too long, the time
// shrinks; where streams do, because engines read whole prompts in a step, it comes back
// within a few of them.
func TestTheClearTimeFollowsThePauses(t *testing.T) {
	pool := NewPool(Place{})
	require.Equal(t, mostClear, pool.Clear())
	for range 400 {
		pool.Streamed(false)
	}
	require.Equal(t, leastClear, pool.Clear())
	for range 6 {
		pool.Streamed(true)
	}
	require.Equal(t, mostClear, pool.Clear())
}

// One stream of a hundred pauses for too long by chance. That alone must not keep half of
// the reading time from prompts.
func TestRarePausesCostNoReadingTime(t *testing.T) {
	pool := NewPool(Place{})
	for i := range 2000 {
		pool.Streamed(i%100 == 0)
	}
	require.Less(t, pool.Clear(), 10*time.Millisecond)
}
