package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Logs the policy's figures by report lag and burst factor; run with -v.
func TestMeasureLag(t *testing.T) {
	for _, lag := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		for _, burst := range []float64{1, 1.6} {
			options := simDefaults()
			options.reportLag = lag
			options.burstFactor = burst
			t.Logf("lag %v burst %v: %v", lag, burst, simulate(options))
		}
	}
}

// Under lagging reports LeastCost must beat the baselines. Servers of two speeds
// and answers of all lengths are the case that the baselines can't handle; equal
// servers and answers are the best case of Random and RoundRobin.
func TestLeastCostBeatsBaselines(t *testing.T) {
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second} {
		options := simDefaults()
		options.reportLag = lag
		options.burstFactor = 1.6
		options.mixedLengths = true
		options.slowServers = 3
		options.rate = 220
		leastCost := simulate(options)
		t.Logf("lag %v LeastCost: %v", lag, leastCost)
		options.pairOnly = true
		pairOnly := simulate(options)
		t.Logf("lag %v LeastCost, two replicas a content: %v", lag, pairOnly)
		require.Less(t, pairOnly.p95, 2*leastCost.p95)
		options.pairOnly = false
		for _, name := range []string{NameRandom, NameRoundRobin, NameLeastReported} {
			options.policy, _ = NewPolicy(name)
			baseline := simulate(options)
			t.Logf("lag %v %s: %v", lag, name, baseline)
			require.Less(t, 4*leastCost.p95, baseline.p95, name)
		}
	}
}

// Hosts herd if all send to the server that looked idle in the same report. With
// equal servers, choices must be no worse than random ones.
func TestLeastCostBeatsRandomWithEqualServers(t *testing.T) {
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second} {
		options := simDefaults()
		options.reportLag = lag
		options.burstFactor = 1.6
		leastCost := simulate(options)
		options.policy = Random{}
		random := simulate(options)
		t.Logf("lag %v LeastCost: %v; Random: %v", lag, leastCost, random)
		require.Less(t, leastCost.p95, random.p95)
	}
}

// Conversations that begin alike would be scattered over the replicas, and their
// prompts computed again each time. The preferred replica must hit the cache far
// more often than a random one, without longer waits when the servers are busy.
func TestPreferredReplicaRaisesCacheHits(t *testing.T) {
	for _, rate := range []float64{200, 330} {
		options := simDefaults()
		options.mixedLengths = true
		options.burstFactor = 1.4
		options.rate = rate
		options.prefixCount = 1000
		preferred := simulate(options)
		options.ignorePrefix = true
		random := simulate(options)
		t.Logf("rate %v: preferred replica %v; random %v", rate, preferred, random)
		require.Greater(t, preferred.hitRate, 2*random.hitRate)
		require.LessOrEqual(t, preferred.p95, random.p95)
	}
}
