package engine

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// cachedTimeSaving is the share of the first token's time that is saved if the
// whole prompt is cached.
const cachedTimeSaving = 0.8

// Reasons for which a request is refused without having run.
var (
	errQueueFull      = errors.New("queue is full")
	errDeadlinePassed = errors.New("deadline passed in the queue")
	errCancelled      = errors.New("cancelled in the queue")
)

// ticket is a request's entry in the queue.
type ticket struct {
	priority int
	arrival  int64
	granted  chan struct{} // closed when the request has got a slot
}

// acquire waits for a slot. If it returns nil, the caller must call release.
func (inc *incarnation) acquire(ctx context.Context, priority int, deadline time.Time) error {
	queued, err := inc.enqueue(priority)
	if err != nil {
		return err
	}
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, deadline, errDeadlinePassed)
		defer cancel()
	}
	select {
	case <-queued.granted:
		return nil
	case <-ctx.Done():
	}
	inc.abandon(queued)
	if errors.Is(context.Cause(ctx), errDeadlinePassed) {
		return errDeadlinePassed
	}
	return errCancelled
}

func (inc *incarnation) enqueue(priority int) (*ticket, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.running >= inc.engine.options.Slots && len(inc.queue) >= inc.engine.options.QueueLimit {
		return nil, errQueueFull
	}
	inc.lastArrival++
	queued := &ticket{
		priority: priority,
		arrival:  inc.lastArrival,
		granted:  make(chan struct{}),
	}
	index, _ := slices.BinarySearchFunc(inc.queue, queued, (*ticket).compare)
	inc.queue = slices.Insert(inc.queue, index, queued)
	inc.grantFreeSlots()
	return queued, nil
}

func (t *ticket) compare(other *ticket) int {
	if t.priority != other.priority {
		return t.priority - other.priority
	}
	return int(t.arrival - other.arrival)
}

// grantFreeSlots gives free slots to the head of the queue. The caller holds mu.
func (inc *incarnation) grantFreeSlots() {
	for inc.running < inc.engine.options.Slots && len(inc.queue) > 0 {
		inc.running++
		close(inc.queue[0].granted)
		inc.queue = slices.Delete(inc.queue, 0, 1)
	}
}

// abandon removes a ticket from the queue, or releases its slot if it was granted
// one meanwhile.
func (inc *incarnation) abandon(queued *ticket) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if index := slices.Index(inc.queue, queued); index >= 0 {
		inc.queue = slices.Delete(inc.queue, index, index+1)
		return
	}
	inc.running--
	inc.grantFreeSlots()
}

func (inc *incarnation) release() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.running--
	inc.grantFreeSlots()
}

// firstTokenTime returns the time to the first token, given the cached share of
// the prompt.
func (inc *incarnation) firstTokenTime(cached float64) time.Duration {
	return inc.applySlowFactor(float64(inc.engine.options.FirstTokenTime) * (1 - cachedTimeSaving*cached))
}

// tokenTime returns the time of one further token at the current number of running
// requests.
func (inc *incarnation) tokenTime() time.Duration {
	inc.mu.Lock()
	occupancy := float64(inc.running) / float64(inc.engine.options.Slots)
	inc.mu.Unlock()
	return inc.applySlowFactor(float64(inc.engine.options.TimePerToken) * (1 + occupancy))
}

func (inc *incarnation) applySlowFactor(nanoseconds float64) time.Duration {
	if factor := inc.engine.Faults.Get().SlowFactor; factor > 0 {
		nanoseconds *= factor
	}
	return time.Duration(nanoseconds)
}

// estimateQueueTime estimates the time in which a full queue is worked off, for
// Retry-After.
func (inc *incarnation) estimateQueueTime() time.Duration {
	options := &inc.engine.options
	runTime := options.FirstTokenTime + defaultTokens*2*options.TimePerToken
	return inc.applySlowFactor(float64(runTime) * float64(options.QueueLimit) / float64(options.Slots))
}
