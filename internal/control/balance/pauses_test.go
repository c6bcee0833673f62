package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/backpressure"
)

// A fixed cooldown of 25 ms after each prompt of 16 ms loses half of the prefill time at
// engines with short steps. While no stream pauses for too long, the cooldown must shrink;
// where streams do, because engines prefill whole prompts in one step, it must return
// within a few of them.
func TestPrefillCooldownFollowsStreamPauses(t *testing.T) {
	pool := NewPool(Location{}, &backpressure.Table{})
	require.Equal(t, 25*time.Millisecond, pool.PrefillCooldown())
	for range 400 {
		pool.RecordStream(false)
	}
	require.Equal(t, minPrefillCooldown, pool.PrefillCooldown())
	for range 6 {
		pool.RecordStream(true)
	}
	require.Equal(t, 25*time.Millisecond, pool.PrefillCooldown())
}

// Guards against streams that pause for too long since each of their events spans more
// steps, and so more prompts, than the longest cooldown allows for.
func TestCooldownGrowsWithTheTokensOfAnEvent(t *testing.T) {
	pool := NewPool(Location{}, &backpressure.Table{})
	pool.SetTokensPerEvent(4)
	for range 20 {
		pool.RecordStream(true)
	}
	require.Equal(t, 50*time.Millisecond, pool.PrefillCooldown())
	pool.SetTokensPerEvent(2)
	require.Equal(t, 25*time.Millisecond, pool.PrefillCooldown())
}

// One stream of a hundred pauses for too long by chance. That alone must not keep half of
// the time from prefill.
func TestRareStreamPausesKeepCooldownShort(t *testing.T) {
	pool := NewPool(Location{}, &backpressure.Table{})
	for i := range 2000 {
		pool.RecordStream(i%100 == 0)
	}
	require.Less(t, pool.PrefillCooldown(), 10*time.Millisecond)
}
