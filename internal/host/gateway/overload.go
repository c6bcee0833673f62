package gateway

import (
	"math/rand/v2"
	"runtime/metrics"
	"sync"
	"time"

	"cicadaloom/internal/control/overload"
)

// schedulingLatencies is the runtime's histogram of how long goroutines wait for the processor.
const schedulingLatencies = "/sched/latencies:seconds"

// processorLoad samples how long goroutines wait for the processor.
type processorLoad struct {
	detector overload.Detector

	mu        sync.Mutex
	sampledAt time.Time
	samples   []metrics.Sample
	// delayed and total are the counts of the sample before.
	delayed uint64
	total   uint64
}

// admitConnection reports whether to serve a new connection of a client.
func (g *Gateway) admitConnection() bool {
	g.processor.sampleIfDue(time.Now())
	if g.processor.detector.Admits(rand.Float64()) {
		return true
	}
	g.turnedAway.Inc()
	return false
}

func (p *processorLoad) sampleIfDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sampledAt) < overload.SampleInterval {
		return
	}
	isFirst := p.sampledAt.IsZero()
	p.sampledAt = now
	delayed, total := p.count()
	sample := overload.Sample{
		At:      now,
		Delayed: delayed - p.delayed,
		Total:   total - p.total,
	}
	p.delayed, p.total = delayed, total
	if !isFirst {
		p.detector.Observe(sample)
	}
}

// count returns how many goroutines have waited for the processor since the process started: for
// overload.DelayThreshold or longer, and in all.
func (p *processorLoad) count() (delayed, total uint64) {
	if p.samples == nil {
		p.samples = []metrics.Sample{{
			Name: schedulingLatencies,
		}}
	}
	metrics.Read(p.samples)
	if p.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0, 0 // this version of the runtime doesn't have it
	}
	histogram := p.samples[0].Value.Float64Histogram()
	for i, count := range histogram.Counts {
		total += count
		if histogram.Buckets[i] >= overload.DelayThreshold.Seconds() {
			delayed += count
		}
	}
	return delayed, total
}
