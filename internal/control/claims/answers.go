package claims

import (
	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

func (m *Machine) onPageRead(e PageRead) {
	p := m.partitions[e.Partition]
	if !p.reading || e.Number != p.number {
		return
	}
	p.reading = false
	if e.Err != nil {
		m.serviceDown()
		return
	}
	head, segments, err := p.pages(e.Entries)
	if err != nil {
		m.unreadable(p, err)
		return
	}
	if len(p.asked) > 0 {
		m.takeHead(p, head, segments)
		return
	}
	if err := p.load(head, segments); err != nil {
		m.unreadable(p, err)
		return
	}
	m.readDone(p)
}

// takeHead brings the partition up to a head that was read, asking for segments
// that were sealed meanwhile. Where one of these is gone again or they are many,
// the whole log is read.
func (m *Machine) takeHead(p *partition, head store.Entry, segments map[uint64]page) {
	first := p.first
	missing, err := p.absorb(head, segments)
	switch {
	case err != nil:
		m.unreadable(p, err)
	case len(missing) > maxMissing || len(missing) > 0 && len(segments) < len(p.asked)-1:
		p.loaded = false
		m.read(p)
	case len(missing) > 0:
		m.read(p, missing...)
	default:
		if p.first != first {
			p.sweep(m.lapsed())
		}
		m.readDone(p)
	}
}

func (m *Machine) readDone(p *partition) {
	p.doubt = false
	p.freshStep = p.askedStep
	m.advance(p)
}

func (m *Machine) onSwapAnswered(e SwapAnswered) {
	p := m.partitions[e.Partition]
	if p.inFlight == nil || e.Number != p.number {
		return
	}
	switch {
	case e.Err == nil && e.Result.Swapped:
		m.swapped(p, e.Result)
	case e.Err == nil:
		p.losses = min(p.losses+1, maxLosses)
		m.requeue(p, false)
		m.takeCurrent(p, e.Result)
	case errors.Is(e.Err, store.ErrUnavailable):
		m.requeue(p, false)
		m.serviceDown()
	default:
		// The swap may have taken effect, or may yet: nothing in it is granted
		// or refused as unwritten before the head was read again.
		m.requeue(p, true)
		p.doubt = true
		m.advance(p)
	}
}

// swapped makes the batch part of what is known, and only then answers.
func (m *Machine) swapped(p *partition, result store.SwapResult) {
	b := p.inFlight
	p.losses = max(p.losses-1, 0)
	p.revision = result.Revision
	p.freshStep = p.askedStep
	p.raw, p.expiry = b.raw, b.expiry
	if b.seals {
		p.seal()
	}
	if b.first != p.first {
		p.first = b.first
		p.dropBefore(b.first)
		p.sweep(m.lapsed())
	}
	p.apply(b.entries)
	for _, t := range b.tasks {
		if t.phase == phaseDone {
			continue // its deadline passed meanwhile; its release is queued
		}
		if t.kind == kindClaim {
			m.grant(t)
			continue
		}
		m.recorded(t, true)
	}
	p.inFlight = nil
	m.advance(p)
}

// requeue puts a batch's tasks back, before those that came after them.
func (m *Machine) requeue(p *partition, doubt bool) {
	var queue []*task
	for _, t := range p.inFlight.tasks {
		if t.phase == phaseDone {
			continue
		}
		t.phase = phaseQueued
		t.doubt = t.doubt || doubt
		queue = append(queue, t)
	}
	p.queue = append(queue, p.queue...)
	p.inFlight = nil
}

// takeCurrent learns from a failed swap what is in the head.
func (m *Machine) takeCurrent(p *partition, result store.SwapResult) {
	for _, e := range result.Current {
		if e.Key == p.headKey() {
			p.asked = nil
			m.takeHead(p, e, nil)
			return
		}
	}
	p.doubt = true
	m.advance(p)
}

// serviceDown refuses the claims that wait, on all partitions: the callers are
// better off with a time to come back than with silence. Finishes and releases
// stay queued.
func (m *Machine) serviceDown() {
	for _, p := range m.partitions {
		m.closePartition(p, "the key-value service does not answer")
	}
}

// unreadable closes a partition of which a page can't be understood. Its
// claims are refused until it can: guessing would forget some.
func (m *Machine) unreadable(p *partition, err error) {
	p.loaded = false
	m.closePartition(p, err.Error())
}

func (m *Machine) closePartition(p *partition, reason string) {
	p.downUntil = m.now.Add(m.options.Backoff)
	p.downReason = reason
	queue := p.queue
	p.queue = nil
	for _, t := range queue {
		if t.phase == phaseQueued && t.kind == kindClaim {
			m.refuse(t, reason, p.downUntil)
			continue
		}
		p.queue = append(p.queue, t)
	}
	if len(p.queue) > 0 {
		m.wakePartition(p, p.downUntil)
	}
}
