package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// observe takes as many samples in a row, and returns the time of the next one.
func observe(d *Detector, at time.Time, samples int, delayed uint64) time.Time {
	for range samples {
		d.Observe(Sample{
			At:      at,
			Delayed: delayed,
			Total:   100,
		})
		at = at.Add(SampleInterval)
	}
	return at
}

// Guards against a host that lets all requests wait for its processor until their deadlines pass.
func TestOverloadedHostShedsConnections(t *testing.T) {
	var d Detector
	require.True(t, d.Admits(0))
	observe(&d, start, 20, 60)
	require.False(t, d.Admits(0.5))
	require.True(t, d.Admits(maxShare), "a host that accepts no connection looks like one that is down")
}

// Guards against a host that sheds connections because it was suspended once, or after its load
// has fallen.
func TestHostAdmitsAllAfterOverload(t *testing.T) {
	var suspended Detector
	next := observe(&suspended, start, 1, 100)
	require.LessOrEqual(t, suspended.Share(), raise)
	observe(&suspended, next, 2, 0)
	require.True(t, suspended.Admits(0))

	var idle Detector
	observe(&idle, start, 20, 60)
	observe(&idle, start.Add(10*time.Second), 1, 0)
	require.True(t, idle.Admits(0), "without connections there are no samples")
}

// Guards against a busy host that sheds connections although its requests hardly wait.
func TestBusyHostAdmitsAll(t *testing.T) {
	var d Detector
	observe(&d, start, 50, 20)
	require.True(t, d.Admits(0))
}

// Guards against a host that takes on more and more requests, since most of them wait for a lock and
// not for the processor.
func TestHostShedsConnectionsWhileItsOwnWorkWaits(t *testing.T) {
	var d Detector
	at := start
	for range 5 {
		d.Observe(Sample{
			At:    at,
			Total: 1000,
			Wait:  3 * maxWait,
		})
		at = at.Add(SampleInterval)
	}
	require.False(t, d.Admits(maxShare-0.01))
	require.True(t, d.Admits(maxShare), "a host that accepts no connection looks like one that is down")
	for range 40 {
		d.Observe(Sample{
			At:    at,
			Total: 1000,
			Wait:  maxWait / 2,
		})
		at = at.Add(SampleInterval)
	}
	require.True(t, d.Admits(0))
}
