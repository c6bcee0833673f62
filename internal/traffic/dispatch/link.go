package dispatch

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/unit"
)

const (
	// maxLinkBacklog is the limit on charged traffic, as the time that it takes
	// at this host's share of the budget, above which no transfer starts.
	maxLinkBacklog = time.Second
	// messageOverhead approximates the size of the headers of a request or an
	// answer, and chunkOverhead that of the framing of each chunk.
	messageOverhead unit.Bytes = 600
	chunkOverhead   unit.Bytes = 24
	// initialAnswerSize is the expected size of an answer before any has been
	// seen.
	initialAnswerSize = 4 * unit.Kibibyte
	// answerSizeSmoothing is the divisor of the moving average of answer sizes:
	// a new answer counts for one part in this many.
	answerSizeSmoothing = 8
)

// LinkLimiter limits the traffic that this host sends over the narrow link
// between regions. Traffic that would fill the link is refused or stays in its
// region, since a full link would delay other messages, such as the exchanges
// between hosts. Bytes are counted as they pass. The size of an answer is known
// only at its end, so the average size is charged at the start; otherwise many
// long answers at once would exceed the budget.
//
// The zero value allows no traffic. It is safe for concurrent use.
type LinkLimiter struct {
	// Budget is the number of bytes a second that all hosts of the region
	// together may send in each direction.
	Budget unit.Bytes

	out, in       leakyBucket
	averageAnswer atomic.Int64 // bytes of an answer
}

// leakyBucket holds the time at which all charged traffic will have passed.
type leakyBucket struct {
	drainedAt atomic.Int64 // Unix nanoseconds
}

func (b *leakyBucket) add(now time.Time, amount, bytesPerSecond unit.Bytes) {
	duration := int64(float64(amount) / float64(bytesPerSecond) * float64(time.Second))
	for {
		old := b.drainedAt.Load()
		if b.drainedAt.CompareAndSwap(old, max(old, now.UnixNano())+duration) {
			return
		}
	}
}

// backlog returns how long the traffic charged so far will take.
func (b *leakyBucket) backlog(now time.Time) time.Duration {
	return max(0, time.Duration(b.drainedAt.Load()-now.UnixNano()))
}

func (l *LinkLimiter) averageAnswerSize() unit.Bytes {
	if average := l.averageAnswer.Load(); average > 0 {
		return unit.Bytes(average)
	}
	return initialAnswerSize
}

// AvailableAt returns when the link has capacity, which is now if it has some,
// and false if it never has.
func (l *LinkLimiter) AvailableAt(now time.Time) (time.Time, bool) {
	if l == nil || l.Budget <= 0 {
		return time.Time{}, false
	}
	backlog := max(l.out.backlog(now), l.in.backlog(now))
	return now.Add(max(0, backlog-maxLinkBacklog)), true
}

// LinkTransfer counts one attempt that goes over the link. The zero value is an
// attempt that stays in its region and counts nothing.
type LinkTransfer struct {
	limiter        *LinkLimiter
	bytesPerSecond unit.Bytes
	charged        unit.Bytes
	received       unit.Bytes
}

// StartTransfer charges a request and an answer of average size to this host's
// share of the budget, which is split evenly over the live hosts of the region.
func (l *LinkLimiter) StartTransfer(now time.Time, request unit.Bytes, hosts int) LinkTransfer {
	transfer := LinkTransfer{
		limiter:        l,
		bytesPerSecond: max(1, l.Budget/unit.Bytes(max(1, hosts))),
		charged:        l.averageAnswerSize(),
		received:       messageOverhead,
	}
	l.out.add(now, request+messageOverhead, transfer.bytesPerSecond)
	l.in.add(now, transfer.charged, transfer.bytesPerSecond)
	return transfer
}

// CountReceived counts a part of the answer. What exceeds the charged size is
// charged as it arrives.
func (t *LinkTransfer) CountReceived(now time.Time, amount unit.Bytes) {
	if t.limiter == nil {
		return
	}
	t.received += amount + chunkOverhead
	if excess := t.received - t.charged; excess > 0 {
		t.limiter.in.add(now, excess, t.bytesPerSecond)
		t.charged = t.received
	}
}

// Finish corrects the charge to the actual size of the answer. A second call
// has no effect.
func (t *LinkTransfer) Finish(now time.Time) {
	if t.limiter == nil {
		return
	}
	t.limiter.in.add(now, t.received-t.charged, t.bytesPerSecond)
	average := t.limiter.averageAnswerSize()
	t.limiter.averageAnswer.Store(int64(average + (t.received-average)/answerSizeSmoothing))
	t.limiter = nil
}
