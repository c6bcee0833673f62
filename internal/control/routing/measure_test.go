package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The figures that commits quote come from here: go test -run Measure -v.
func TestMeasureLag(t *testing.T) {
	for _, lag := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		for _, burst := range []float64{1, 1.6} {
			options := simDefaults()
			options.lag = lag
			options.burst = burst
			t.Logf("lag %v burst %v: %v", lag, burst, simulate(options))
		}
	}
}

// What hosts decide together under lagging reports must beat the baselines, or
// the policy is not worth its lines. Servers of two paces and answers of all
// lengths are what the baselines can't cope with; alike servers and answers are
// the best case of Random and RoundRobin.
func TestLeastCostBeatsTheBaselines(t *testing.T) {
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second} {
		options := simDefaults()
		options.lag = lag
		options.burst = 1.6
		options.mixed = true
		options.slow = 3
		options.rate = 220
		ours := simulate(options)
		t.Logf("lag %v LeastCost: %v", lag, ours)
		options.confined = true
		confined := simulate(options)
		t.Logf("lag %v LeastCost, two replicas a content: %v", lag, confined)
		require.Less(t, confined.p95, 2*ours.p95)
		options.confined = false
		for _, name := range []string{NameRandom, NameRoundRobin, NameLeastReported} {
			options.policy, _ = NewPolicy(name)
			theirs := simulate(options)
			t.Logf("lag %v %s: %v", lag, name, theirs)
			require.Less(t, 4*ours.p95, theirs.p95, name)
		}
	}
}

// Hosts herd: all send to what looked idle in the same report. With alike
// servers, choices must be no worse than random ones.
func TestLeastCostDoesNotHerd(t *testing.T) {
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second} {
		options := simDefaults()
		options.lag = lag
		options.burst = 1.6
		ours := simulate(options)
		options.policy = Random{}
		theirs := simulate(options)
		t.Logf("lag %v LeastCost: %v; Random: %v", lag, ours, theirs)
		require.Less(t, ours.p95, theirs.p95)
	}
}

// Prompts are computed again and again: conversations that begin alike scatter
// over the replicas. Their home must find the cache far more often than chance,
// without longer waits when the servers are busy.
func TestPrefixHomeFindsTheCache(t *testing.T) {
	for _, rate := range []float64{200, 330} {
		options := simDefaults()
		options.mixed = true
		options.burst = 1.4
		options.rate = rate
		options.prefixes = 1000
		homes := simulate(options)
		options.noHome = true
		chance := simulate(options)
		t.Logf("rate %v: home %v; chance %v", rate, homes, chance)
		require.Greater(t, homes.hits, 2*chance.hits)
		require.LessOrEqual(t, homes.p95, chance.p95)
	}
}
