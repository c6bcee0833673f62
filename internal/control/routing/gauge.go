package routing

import (
	"math"
	"sync/atomic"
	"time"

	"cicadaloom/internal/control/admission"
)

// Weights of a new measurement in the smoothed times.
const (
	promptWeight     = 0.1
	generationWeight = 0.1
	usualWeight      = 0.1
)

// believeFor is the age at which a report counts half.
const believeFor = 150 * time.Millisecond

// leastMeasured stands for a time too short to measure: zero means unknown.
const leastMeasured = time.Microsecond

// Ejection of a server that fails: after failuresToEject failures in a row it
// gets no work for ejectFor, doubled with each further failure up to ejectMost.
// A server that died, hangs or is cut off is so left alone within a few
// requests, long before the platform's lagging list drops it; after the pause
// one request tries it again.
const (
	failuresToEject = 3
	ejectFor        = 500 * time.Millisecond
	ejectMost       = 15 * time.Second
)

// unknownSlots is taken for servers that have not said how much they can run at once.
const unknownSlots = 8

// Gauge has the load of one server: what this host has under way there, which
// traffic goroutines count, and what others have there, which the control
// goroutine believes. Every field is atomic, and each is right by itself: a
// choice that reads some before and some after a report is as good as one a
// moment earlier or later. The zero value works.
type Gauge struct {
	underWay   atomic.Int64
	history    history
	prompt     atomic.Uint64 // smoothed seconds, as float64 bits
	generation atomic.Uint64 // smoothed seconds, as float64 bits
	failures   atomic.Int64
	// ejectedUntil is Unix nanoseconds; zero while the server is in use.
	ejectedUntil atomic.Int64
	// others is the part of the last report's queue that was not this host's
	// own; reportedAt is Unix nanoseconds: when the server took that report.
	others     atomic.Int64
	reportedAt atomic.Int64
	// queue is the last report's whole queue, for the baseline LeastReported.
	queue atomic.Int64
	usual atomic.Uint64 // others, smoothed over the reports, as float64 bits
	// peers is what the peers' last words add up to.
	peers atomic.Int64
	// uses has the classes and teams that share the server.
	uses admission.Server
	// slots is how many requests can run at once, as the server says; 0 unknown.
	slots atomic.Int64
	// trustUntil is Unix nanoseconds: until then a report stands behind the load.
	trustUntil atomic.Int64
}

// Begin counts a request that is about to be sent. It tells whether the request
// is likely to wait there for a slot.
func (g *Gauge) Begin(now time.Time) bool {
	g.count(now, 1)
	return g.Queue(now) > g.Slots()
}

// Timing is how long a whole answer took. The zero Timing teaches nothing.
type Timing struct {
	// FirstToken and Whole count from the sending. FirstToken is zero where it
	// is not known, as with an answer that came in one piece.
	FirstToken time.Duration
	Whole      time.Duration
	// Queued is what Begin said.
	Queued bool
}

// Answered counts the end of a request that the server answered whole.
func (g *Gauge) Answered(now time.Time, timing Timing) {
	g.count(now, -1)
	g.failures.Store(0)
	g.ejectedUntil.Store(0)
	g.learn(timing)
}

// learn takes in a server's own pace, without its queue. Were the wait in the
// queue learnt too, a server that was once busy would look slow: it then gets no
// requests, and so nothing corrects its figure.
func (g *Gauge) learn(timing Timing) {
	switch {
	case timing.Whole == 0:
	case timing.FirstToken > 0:
		smooth(&g.generation, (timing.Whole - timing.FirstToken).Seconds(), generationWeight)
		if !timing.Queued {
			smooth(&g.prompt, timing.FirstToken.Seconds(), promptWeight)
		}
	case !timing.Queued:
		smooth(&g.generation, (timing.Whole - g.Prompt()).Seconds(), generationWeight)
	}
}

// Refused counts the end of a request that the server would not run. A refusal
// is an answer: it does not eject.
func (g *Gauge) Refused(now time.Time) {
	g.count(now, -1)
}

// Cancelled counts the end of a request that nobody waits for any more.
func (g *Gauge) Cancelled(now time.Time) {
	g.count(now, -1)
}

// Failed counts the end of a request that was cut, hung or could not connect.
func (g *Gauge) Failed(now time.Time) {
	g.count(now, -1)
	failures := g.failures.Add(1)
	if failures < failuresToEject {
		return
	}
	pause := ejectFor
	for i := int64(failuresToEject); i < failures && pause < ejectMost; i++ {
		pause *= 2
	}
	g.ejectedUntil.Store(now.Add(min(pause, ejectMost)).UnixNano())
}

// UnderWay gives the number of requests that this host has at the server.
func (g *Gauge) UnderWay() int64 {
	return g.underWay.Load()
}

// Ejected tells whether the server is left alone at the moment.
func (g *Gauge) Ejected(now time.Time) bool {
	return g.ejectedUntil.Load() > now.UnixNano()
}

func (g *Gauge) count(now time.Time, change int64) {
	after := g.underWay.Add(change)
	g.history.note(now, after-change, after)
}

// UnderWayAt gives the number of requests that this host had at the server at
// an instant of the last seconds.
func (g *Gauge) UnderWayAt(then, now time.Time) int64 {
	return g.history.at(then, now, g.UnderWay())
}

// Queue gives how many requests are believed to be at the server.
//
// A report says less of the queue the older it is: after a few answers' time,
// all that it counted has gone. Were it believed until the next one comes, all
// hosts would go on sending to what looked idle in it until they had filled it,
// and then all leave it. So it fades into what is usual at that server. Peers'
// word is a lower bound: what they have there is there.
func (g *Gauge) Queue(now time.Time) float64 {
	age := float64(now.UnixNano() - g.reportedAt.Load())
	usual := math.Float64frombits(g.usual.Load())
	others := usual + (float64(g.others.Load())-usual)/(1+max(age, 0)/float64(believeFor))
	return max(others, float64(g.peers.Load())) + float64(g.underWay.Load())
}

// Idle tells that nothing is known to be under way at the server.
func (g *Gauge) Idle() bool {
	return g.underWay.Load() == 0 && g.others.Load() == 0 && g.peers.Load() == 0
}

// reported takes in a report's queue and the part of it that was not this host's.
func (g *Gauge) reported(at time.Time, queue, others int64) {
	g.queue.Store(queue)
	g.others.Store(others)
	g.reportedAt.Store(at.UnixNano())
	smooth(&g.usual, float64(others), usualWeight)
}

// Slots gives how many requests the server can run at once.
func (g *Gauge) Slots() float64 {
	if slots := g.slots.Load(); slots > 0 {
		return float64(slots)
	}
	return unknownSlots
}

// Known tells that a report stands behind the load.
func (g *Gauge) Known(now time.Time) bool {
	return g.trustUntil.Load() > now.UnixNano()
}

// Prompt gives the smoothed time from a free slot to the first token.
func (g *Gauge) Prompt() time.Duration {
	return orGuess(&g.prompt, guessPrompt)
}

// Generation gives the smoothed time from the first token to the last.
func (g *Gauge) Generation() time.Duration {
	return orGuess(&g.generation, guessGeneration)
}

func orGuess(cell *atomic.Uint64, guess time.Duration) time.Duration {
	if measured := math.Float64frombits(cell.Load()); measured > 0 {
		return time.Duration(measured * float64(time.Second))
	}
	return guess
}

func smooth(cell *atomic.Uint64, value, weight float64) {
	value = max(value, leastMeasured.Seconds())
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
