package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms count microseconds with three significant digits. Values above
// maxLatency count as maxLatency.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// latencyHistogram is a histogram of durations. Its zero value is empty.
type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func (l *latencyHistogram) add(value time.Duration) {
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	// Values are clamped to the range of the histogram, so this can't fail.
	_ = l.histogram.RecordValue(min(max(value, 0), maxLatency).Microseconds())
}

// Quantiles has the 50th, 95th and 99th percentile and the maximum of a duration.
type Quantiles struct {
	Count int64
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

func (l *latencyHistogram) quantiles() Quantiles {
	if l.histogram == nil {
		return Quantiles{}
	}
	valueAt := func(percentile float64) time.Duration {
		return time.Duration(l.histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Quantiles{
		Count: l.histogram.TotalCount(),
		P50:   valueAt(50),
		P95:   valueAt(95),
		P99:   valueAt(99),
		Max:   time.Duration(l.histogram.Max()) * time.Microsecond,
	}
}
