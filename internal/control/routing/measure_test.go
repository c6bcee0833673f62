package routing

import (
	"testing"
	"time"
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
