package routing

import (
	"math"
	"sync/atomic"
	"time"

	"cicadaloom/internal/control/admission"
)

// Weights of a new measurement in the exponential moving averages.
const (
	prefillWeight    = 0.1
	generationWeight = 0.1
	othersWeight     = 0.1
)

// reportHalfAge is the age at which a report counts half.
const reportHalfAge = 150 * time.Millisecond

// minMeasured replaces a time too short to measure, since zero means unknown.
const minMeasured = time.Microsecond

// Ejection of a failing server: after failuresToEject failures in a row it gets no
// requests for minEjection, doubled with each further failure up to maxEjection. So
// a server that has crashed, hangs or is cut off loses only a few requests, long
// before the platform's lagging list drops it. After the ejection it gets requests
// again.
const (
	failuresToEject = 3
	minEjection     = 500 * time.Millisecond
	maxEjection     = 15 * time.Second
)

// defaultSlots is assumed for servers that have not reported their number of slots.
const defaultSlots = 8

// LoadTracker tracks the load of one server: this host's requests in flight there,
// which traffic goroutines count, and those of other hosts, which the control
// goroutine takes from load reports and peers. All fields are atomic and
// independent: a choice that reads some before and some after a report is as good
// as one made a moment earlier or later. The zero value works.
type LoadTracker struct {
	inFlight        atomic.Int64
	inFlightHistory countHistory
	prefill         atomic.Uint64 // moving average of seconds, as float64 bits
	generation      atomic.Uint64 // moving average of seconds, as float64 bits
	failures        atomic.Int64
	// ejectedUntil is in Unix nanoseconds; zero while the server is in use.
	ejectedUntil atomic.Int64
	// othersInReport is the part of the last report's queue that was not this host's
	// own requests; reportedAt is in Unix nanoseconds: when the server made that
	// report.
	othersInReport atomic.Int64
	reportedAt     atomic.Int64
	// reportedQueue is the whole queue of the last report, for the baseline
	// LeastReported.
	reportedQueue atomic.Int64
	othersAverage atomic.Uint64 // moving average of othersInReport, as float64 bits
	// peersInFlight is the sum of the requests in flight that the peers last
	// reported.
	peersInFlight atomic.Int64
	// admission has the classes and teams that share the server.
	admission admission.Server
	// slots is how many requests the server can run at once, as it reports; 0 if
	// unknown.
	slots atomic.Int64
	// reportValidUntil is in Unix nanoseconds: until then the last report is used.
	reportValidUntil atomic.Int64
}

// StartRequest counts a request that is about to be sent. It reports whether the
// request is likely to wait there for a slot.
func (t *LoadTracker) StartRequest(now time.Time) bool {
	t.addInFlight(now, 1)
	return t.EstimateQueue(now) > t.Slots()
}

// Timing is how long a whole answer took. The zero Timing changes no average.
type Timing struct {
	// FirstToken and Total are measured from the sending of the request. FirstToken
	// is zero if unknown, as with an answer that came in one piece.
	FirstToken time.Duration
	Total      time.Duration
	// Queued is what StartRequest returned.
	Queued bool
}

// RecordAnswer counts the end of a request that the server has answered whole.
func (t *LoadTracker) RecordAnswer(now time.Time, timing Timing) {
	t.addInFlight(now, -1)
	t.failures.Store(0)
	t.ejectedUntil.Store(0)
	t.updateTimes(timing)
}

// updateTimes updates the averages of the server's own times, without the wait in
// its queue. If that wait were included, a server that was once busy would look
// slow: it would get no more requests, and so nothing would correct its figure.
func (t *LoadTracker) updateTimes(timing Timing) {
	switch {
	case timing.Total == 0:
	case timing.FirstToken > 0:
		updateAverage(&t.generation, (timing.Total - timing.FirstToken).Seconds(), generationWeight)
		if !timing.Queued {
			updateAverage(&t.prefill, timing.FirstToken.Seconds(), prefillWeight)
		}
	case !timing.Queued:
		updateAverage(&t.generation, (timing.Total - t.PrefillTime()).Seconds(), generationWeight)
	}
}

// RecordRefusal counts the end of a request that the server has refused to run. A
// refusal is an answer: it does not eject.
func (t *LoadTracker) RecordRefusal(now time.Time) {
	t.addInFlight(now, -1)
}

// RecordCancellation counts the end of a request whose caller no longer waits.
func (t *LoadTracker) RecordCancellation(now time.Time) {
	t.addInFlight(now, -1)
}

// RecordFailure counts the end of a request that was cut off, hung or could not
// connect.
func (t *LoadTracker) RecordFailure(now time.Time) {
	t.addInFlight(now, -1)
	failures := t.failures.Add(1)
	if failures < failuresToEject {
		return
	}
	ejection := minEjection
	for i := int64(failuresToEject); i < failures && ejection < maxEjection; i++ {
		ejection *= 2
	}
	t.ejectedUntil.Store(now.Add(min(ejection, maxEjection)).UnixNano())
}

// InFlight returns the number of requests that this host has at the server.
func (t *LoadTracker) InFlight() int64 {
	return t.inFlight.Load()
}

// IsEjected reports whether the server gets no requests because of its failures.
func (t *LoadTracker) IsEjected(now time.Time) bool {
	return t.ejectedUntil.Load() > now.UnixNano()
}

func (t *LoadTracker) addInFlight(now time.Time, change int64) {
	after := t.inFlight.Add(change)
	t.inFlightHistory.record(now, after-change, after)
}

// InFlightAt returns the number of requests that this host had at the server at an
// instant of the last seconds.
func (t *LoadTracker) InFlightAt(then, now time.Time) int64 {
	return t.inFlightHistory.countAt(then, now, t.InFlight())
}

// EstimateQueue returns the estimated number of requests at the server.
//
// The older a report, the less it says about the queue: after the time of a few
// answers, all requests that it counted have ended. If it were trusted until the
// next one, all hosts would send to a server that looked idle in it until they had
// filled it, and then all avoid it. So the estimate decays towards the average of
// the other hosts' requests there. What peers report in flight is a lower bound.
func (t *LoadTracker) EstimateQueue(now time.Time) float64 {
	age := float64(now.UnixNano() - t.reportedAt.Load())
	average := math.Float64frombits(t.othersAverage.Load())
	others := average + (float64(t.othersInReport.Load())-average)/(1+max(age, 0)/float64(reportHalfAge))
	return max(others, float64(t.peersInFlight.Load())) + float64(t.inFlight.Load())
}

// IsIdle reports whether no request is known to be in flight at the server.
func (t *LoadTracker) IsIdle() bool {
	return t.inFlight.Load() == 0 && t.othersInReport.Load() == 0 && t.peersInFlight.Load() == 0
}

// applyReport stores a report's queue and the part of it that was not this host's
// own requests.
func (t *LoadTracker) applyReport(at time.Time, queue, others int64) {
	t.reportedQueue.Store(queue)
	t.othersInReport.Store(others)
	t.reportedAt.Store(at.UnixNano())
	updateAverage(&t.othersAverage, float64(others), othersWeight)
}

// Slots returns how many requests the server can run at once.
func (t *LoadTracker) Slots() float64 {
	if slots := t.slots.Load(); slots > 0 {
		return float64(slots)
	}
	return defaultSlots
}

// HasValidReport reports whether a valid report is available.
func (t *LoadTracker) HasValidReport(now time.Time) bool {
	return t.reportValidUntil.Load() > now.UnixNano()
}

// PrefillTime returns the average time from a free slot to the first token.
func (t *LoadTracker) PrefillTime() time.Duration {
	return averageOr(&t.prefill, defaultPrefillTime)
}

// GenerationTime returns the average time from the first token to the last.
func (t *LoadTracker) GenerationTime() time.Duration {
	return averageOr(&t.generation, defaultGenerationTime)
}

func averageOr(cell *atomic.Uint64, fallback time.Duration) time.Duration {
	if measured := math.Float64frombits(cell.Load()); measured > 0 {
		return time.Duration(measured * float64(time.Second))
	}
	return fallback
}

func updateAverage(cell *atomic.Uint64, value, weight float64) {
	value = max(value, minMeasured.Seconds())
	for {
		old := cell.Load()
		next := value
		if old != 0 {
			next = math.Float64frombits(old)*(1-weight) + value*weight
		}
		if cell.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
