package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/overload"
)

// Guards against a host that can't tell its own overload because the runtime's histogram is missing
// or read wrongly.
func TestWaitsForProcessorAreCounted(t *testing.T) {
	var load processorLoad
	before := load.count(time.Now())
	done := make(chan struct{})
	for range 1000 {
		go func() { done <- struct{}{} }()
	}
	for range 1000 {
		<-done
	}
	after := load.count(time.Now())
	require.Greater(t, after.Total, before.Total)
	require.Less(t, after.Delayed-before.Delayed, after.Total-before.Total)
}

// Guards against a host that does not notice its overload while the goroutine that accepts
// connections waits, too.
func TestLoadIsSampledWhileNoConnectionComes(t *testing.T) {
	f := newFleet(t)
	f.start("a")
	detector := &f.hosts["a"].processor.detector
	detector.Observe(overload.Sample{
		At:   time.Now().Add(-time.Minute),
		Wait: time.Second,
	})
	require.False(t, detector.Admits(0))
	f.eventually(func() bool { return detector.Admits(0) }, "the load has been sampled since")
}
