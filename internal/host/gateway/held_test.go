package gateway

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/traffic/relay"
)

// Guards against a weak host that holds as much as a strong one, or that can't hold one answer.
func TestHeldBytesFollowMemorySetting(t *testing.T) {
	for _, memory := range []unit.Bytes{144 * unit.Mebibyte, 284 * unit.Mebibyte, 536 * unit.Mebibyte} {
		set := metrics.NewSet()
		budget := newHeldBytes(memory, set)
		require.Equal(t, memory/4, budget.Stats().Limit)
		hold := budget.Hold()
		hold.UseServer("a")
		require.True(t, hold.Grow(int(relay.MaxAnswerBytes)))
		require.False(t, hold.Grow(int(memory/4)))
		var written strings.Builder
		set.WritePrometheus(&written)
		require.Contains(t, written.String(), "cicadaloom_held_bytes 16777216")
		hold.Release()
		require.Zero(t, budget.Stats().Held)
	}
}
