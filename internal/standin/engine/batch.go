package engine

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// cachedSaving is the share of the first token's time that a cached prompt saves.
const cachedSaving = 0.8

// The ways in which a request does not get to run.
var (
	errQueueFull = errors.New("queue is full")
	errTooLate   = errors.New("deadline passed in the queue")
	errCancelled = errors.New("cancelled in the queue")
)

// ticket is a request's place in the queue.
type ticket struct {
	priority int
	arrival  int64
	granted  chan struct{} // closed when the request may run
}

// acquire waits for a slot. Without an error the user must release it.
func (l *life) acquire(ctx context.Context, priority int, deadline time.Time) error {
	place, err := l.enqueue(priority)
	if err != nil {
		return err
	}
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, deadline, errTooLate)
		defer cancel()
	}
	select {
	case <-place.granted:
		return nil
	case <-ctx.Done():
	}
	l.giveUp(place)
	if errors.Is(context.Cause(ctx), errTooLate) {
		return errTooLate
	}
	return errCancelled
}

func (l *life) enqueue(priority int) (*ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.engine.options.Slots && len(l.queue) >= l.engine.options.QueueLimit {
		return nil, errQueueFull
	}
	l.arrivals++
	place := &ticket{
		priority: priority,
		arrival:  l.arrivals,
		granted:  make(chan struct{}),
	}
	at, _ := slices.BinarySearchFunc(l.queue, place, (*ticket).compare)
	l.queue = slices.Insert(l.queue, at, place)
	l.grant()
	return place, nil
}

func (t *ticket) compare(other *ticket) int {
	if t.priority != other.priority {
		return t.priority - other.priority
	}
	return int(t.arrival - other.arrival)
}

// grant gives free slots to the queue; it is called with mu held.
func (l *life) grant() {
	for l.running < l.engine.options.Slots && len(l.queue) > 0 {
		l.running++
		close(l.queue[0].granted)
		l.queue = slices.Delete(l.queue, 0, 1)
	}
}

// giveUp takes a ticket out of the queue, or releases the slot that it was
// granted in the same moment.
func (l *life) giveUp(place *ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.queue, place); at >= 0 {
		l.queue = slices.Delete(l.queue, at, at+1)
		return
	}
	l.running--
	l.grant()
}

func (l *life) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.grant()
}

// firstTokenTime is how long the prompt takes.
func (l *life) firstTokenTime(cached float64) time.Duration {
	return l.slowed(float64(l.engine.options.FirstToken) * (1 - cachedSaving*cached))
}

// tokenTime is how long a further token takes with what runs now.
func (l *life) tokenTime() time.Duration {
	l.mu.Lock()
	share := float64(l.running) / float64(l.engine.options.Slots)
	l.mu.Unlock()
	return l.slowed(float64(l.engine.options.PerToken) * (1 + share))
}

func (l *life) slowed(length float64) time.Duration {
	if factor := l.engine.Faults.Get().SlowFactor; factor > 0 {
		length *= factor
	}
	return time.Duration(length)
}

// queueTime estimates when the queue is short again, for Retry-After.
func (l *life) queueTime() time.Duration {
	options := &l.engine.options
	run := options.FirstToken + defaultTokens*2*options.PerToken
	return l.slowed(float64(run) * float64(options.QueueLimit) / float64(options.Slots))
}
