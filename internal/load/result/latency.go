package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms count microseconds up to longest with three digits; what takes
// longer counts as longest.
const (
	longest = 10 * time.Minute
	digits  = 3
)

// latencies is a histogram of times. Its zero value is empty.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func (l *latencies) add(value time.Duration) {
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, longest.Microseconds(), digits)
	}
	// Values are kept within the histogram's range, so it takes each.
	_ = l.histogram.RecordValue(min(max(value, 0), longest).Microseconds())
}

// Quantiles are how long the faster 50, 95 and 99 of a hundred took at most.
type Quantiles struct {
	Count int64
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

func (l *latencies) quantiles() Quantiles {
	if l.histogram == nil {
		return Quantiles{}
	}
	at := func(percentile float64) time.Duration {
		return time.Duration(l.histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Quantiles{
		Count: l.histogram.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   time.Duration(l.histogram.Max()) * time.Microsecond,
	}
}
