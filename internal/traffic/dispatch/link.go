package dispatch

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/unit"
)

const (
	// linkWindow is how far ahead of its pace the traffic over the link may run.
	linkWindow = time.Second
	// messageOverhead is what headers add to a request or an answer, and
	// chunkOverhead what framing adds to each chunk, about.
	messageOverhead unit.Bytes = 600
	chunkOverhead   unit.Bytes = 24
	// firstGuess is the size of an answer before any has been seen.
	firstGuess = 4 * unit.Kibibyte
	// answerWeight is one part in so many of a new answer in the usual size.
	answerWeight = 8
)

// Link keeps this host's part of the narrow link between regions. Traffic that
// would fill it is refused or stays in its region: a full link would delay what
// must cross it, such as the exchanges between hosts. Bytes are counted as they
// pass. An answer's size shows only at its end, so the usual size is charged at
// the beginning, or many long answers at once would overrun the budget.
//
// The zero value allows nothing. It is safe for many goroutines.
type Link struct {
	// Budget is what all hosts of the region may send each way in a second.
	Budget unit.Bytes

	out, in meter
	usual   atomic.Int64 // bytes of an answer
}

// meter is a leaky bucket: the instant at which all that was charged has passed.
type meter struct {
	emptyAt atomic.Int64 // Unix nanoseconds
}

func (m *meter) charge(now time.Time, amount, perSecond unit.Bytes) {
	length := int64(float64(amount) / float64(perSecond) * float64(time.Second))
	for {
		old := m.emptyAt.Load()
		if m.emptyAt.CompareAndSwap(old, max(old, now.UnixNano())+length) {
			return
		}
	}
}

// ahead gives how long the traffic charged so far will take.
func (m *meter) ahead(now time.Time) time.Duration {
	return max(0, time.Duration(m.emptyAt.Load()-now.UnixNano()))
}

func (l *Link) usualAnswer() unit.Bytes {
	if usual := l.usual.Load(); usual > 0 {
		return unit.Bytes(usual)
	}
	return firstGuess
}

// FreeAt tells when the link has room again, now where it has; false where it
// never has.
func (l *Link) FreeAt(now time.Time) (time.Time, bool) {
	if l == nil || l.Budget <= 0 {
		return time.Time{}, false
	}
	ahead := max(l.out.ahead(now), l.in.ahead(now))
	return now.Add(max(0, ahead-linkWindow)), true
}

// Crossing is one attempt that goes over the link. The zero Crossing is an
// attempt that stays in its region and counts nothing.
type Crossing struct {
	link      *Link
	perSecond unit.Bytes
	charged   unit.Bytes
	received  unit.Bytes
}

// Begin counts a request and the usual answer against this host's part of the
// budget, which is divided over the live hosts of the region.
func (l *Link) Begin(now time.Time, request unit.Bytes, hosts int) Crossing {
	crossing := Crossing{
		link:      l,
		perSecond: max(1, l.Budget/unit.Bytes(max(1, hosts))),
		charged:   l.usualAnswer(),
		received:  messageOverhead,
	}
	l.out.charge(now, request+messageOverhead, crossing.perSecond)
	l.in.charge(now, crossing.charged, crossing.perSecond)
	return crossing
}

// Received counts a part of the answer. What goes beyond the usual size is
// charged as it comes.
func (c *Crossing) Received(now time.Time, amount unit.Bytes) {
	if c.link == nil {
		return
	}
	c.received += amount + chunkOverhead
	if over := c.received - c.charged; over > 0 {
		c.link.in.charge(now, over, c.perSecond)
		c.charged = c.received
	}
}

// End sets the charge right. Ending twice is ending once.
func (c *Crossing) End(now time.Time) {
	if c.link == nil {
		return
	}
	c.link.in.charge(now, c.received-c.charged, c.perSecond)
	usual := c.link.usualAnswer()
	c.link.usual.Store(int64(usual + (c.received-usual)/answerWeight))
	c.link = nil
}
