package gateway

import (
	"math/rand/v2"
	"runtime"
	"runtime/metrics"
	"time"

	"cicadaloom/internal/control/overload"
)

// schedulingLatencies is the runtime's histogram of how long goroutines wait for the processor.
const schedulingLatencies = "/sched/latencies:seconds"

// processorLoad samples how long goroutines wait for the processor.
type processorLoad struct {
	detector overload.Detector

	// The other fields belong to the goroutine that takes the samples.
	metrics []metrics.Sample
	// counted has the counts since the process started, at the last sample.
	counted overload.Sample
}

// admitConnection reports whether to serve a new connection of a client.
func (g *Gateway) admitConnection() bool {
	if g.processor.detector.Admits(rand.Float64()) {
		return true
	}
	g.shed.Inc()
	return false
}

// idleSampleInterval is between two samples while the host has no requests.
const idleSampleInterval = time.Second

// runLoadSamples samples the processor's load at regular intervals, whether connections come or not.
func (g *Gateway) runLoadSamples() error {
	for g.tomb.Alive() {
		interval := overload.SampleInterval
		if g.handler.InFlight() == 0 {
			interval = idleSampleInterval
		}
		g.sleep(interval)
		asked := time.Now()
		runtime.Gosched() // until all goroutines that are ready have had their turn
		now := time.Now()
		g.processor.sample(now, now.Sub(asked))
	}
	return nil
}

func (p *processorLoad) sample(now time.Time, wait time.Duration) {
	before := p.counted
	p.counted = p.count(now)
	if before.At.IsZero() {
		return
	}
	p.detector.Observe(overload.Sample{
		At:      now,
		Delayed: p.counted.Delayed - before.Delayed,
		Total:   p.counted.Total - before.Total,
		Wait:    wait,
	})
}

// count counts the goroutines that have got the processor since the process started.
func (p *processorLoad) count(now time.Time) overload.Sample {
	counted := overload.Sample{
		At: now,
	}
	if p.metrics == nil {
		p.metrics = []metrics.Sample{{
			Name: schedulingLatencies,
		}}
	}
	metrics.Read(p.metrics)
	if p.metrics[0].Value.Kind() != metrics.KindFloat64Histogram {
		return counted // this version of the runtime doesn't have it
	}
	histogram := p.metrics[0].Value.Float64Histogram()
	for i, count := range histogram.Counts {
		counted.Total += count
		if histogram.Buckets[i] >= overload.DelayThreshold.Seconds() {
			counted.Delayed += count
		}
	}
	return counted
}
