package claims

import (
	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

func (m *Machine) onPageRead(e PageRead) {
	p := m.partitions[e.Partition]
	if !p.isReading || e.CallID != p.callID {
		return
	}
	p.isReading = false
	if e.Err != nil {
		m.closeAllPartitions()
		return
	}
	head, segments, err := p.splitPages(e.Entries)
	if err != nil {
		m.closeUnreadable(p, err)
		return
	}
	if len(p.requestedKeys) > 0 {
		m.updateToHead(p, head, segments)
		return
	}
	if err := p.replayLog(head, segments); err != nil {
		m.closeUnreadable(p, err)
		return
	}
	m.finishRead(p)
}

// updateToHead replays a head that was read and requests the segments that were
// sealed since the last read. Where one of these is already deleted, or there are
// more than maxSegmentReads, it reads the whole log instead.
func (m *Machine) updateToHead(p *partition, head store.Entry, segments map[uint64]page) {
	first := p.firstSegment
	missing, err := p.applyHead(head, segments)
	switch {
	case err != nil:
		m.closeUnreadable(p, err)
	case len(missing) > maxSegmentReads || len(missing) > 0 && len(segments) < len(p.requestedKeys)-1:
		p.isLoaded = false
		m.startRead(p)
	case len(missing) > 0:
		m.startRead(p, missing...)
	default:
		if p.firstSegment != first {
			p.dropExpiredRecords(m.expiryCutoff())
		}
		m.finishRead(p)
	}
}

func (m *Machine) finishRead(p *partition) {
	p.outcomeUnknown = false
	p.freshStep = p.callStep
	m.advance(p)
}

func (m *Machine) onSwapAnswered(e SwapAnswered) {
	p := m.partitions[e.Partition]
	if p.inFlight == nil || e.CallID != p.callID {
		return
	}
	switch {
	case e.Err == nil && e.Result.Swapped:
		m.finishSwap(p, e.Result)
	case e.Err == nil:
		p.lostSwaps = min(p.lostSwaps+1, maxLostSwaps)
		m.requeueBatch(p, false)
		m.updateToCurrent(p, e.Result)
	case errors.Is(e.Err, store.ErrUnavailable):
		m.requeueBatch(p, false)
		m.closeAllPartitions()
	default:
		// The swap may have taken effect, or may still do so: none of its claims
		// is granted, or refused as not written, until the head is read again.
		m.requeueBatch(p, true)
		p.outcomeUnknown = true
		m.advance(p)
	}
}

// finishSwap adds the written batch to the partition's state before it answers the
// tasks of the batch.
func (m *Machine) finishSwap(p *partition, result store.SwapResult) {
	b := p.inFlight
	p.lostSwaps = max(p.lostSwaps-1, 0)
	p.revision = result.Revision
	p.freshStep = p.callStep
	p.rawEntries, p.expiry = b.rawEntries, b.expiry
	if b.sealsSegment {
		p.sealActive()
	}
	if b.firstSegment != p.firstSegment {
		p.firstSegment = b.firstSegment
		p.dropSegmentsBefore(b.firstSegment)
		p.dropExpiredRecords(m.expiryCutoff())
	}
	p.applyEntries(b.entries)
	for _, t := range b.tasks {
		if t.phase == phaseDone {
			continue // refused at its deadline meanwhile; its release is queued
		}
		if t.kind == kindClaim {
			m.grant(t)
			continue
		}
		m.answerUpdate(t, true)
	}
	p.inFlight = nil
	m.advance(p)
}

// requeueBatch returns the tasks of the batch in flight to the front of the queue,
// ahead of those that arrived later.
func (m *Machine) requeueBatch(p *partition, mayBeInLog bool) {
	var queue []*task
	for _, t := range p.inFlight.tasks {
		if t.phase == phaseDone {
			continue
		}
		t.phase = phaseQueued
		t.mayBeInLog = t.mayBeInLog || mayBeInLog
		queue = append(queue, t)
	}
	p.queue = append(queue, p.queue...)
	p.inFlight = nil
}

// updateToCurrent replays the head that a failed swap returned.
func (m *Machine) updateToCurrent(p *partition, result store.SwapResult) {
	for _, e := range result.Current {
		if e.Key == p.headKey() {
			p.requestedKeys = nil
			m.updateToHead(p, e, nil)
			return
		}
	}
	p.outcomeUnknown = true
	m.advance(p)
}

// closeAllPartitions refuses the waiting claims of all partitions when the key-value
// service is down, so that their callers get a retry time at once instead of a
// timeout. Finishes and releases stay queued.
func (m *Machine) closeAllPartitions() {
	for _, p := range m.partitions {
		m.closePartition(p, "the key-value service does not answer")
	}
}

// closeUnreadable closes a partition whose pages are invalid, missing or older than
// before. Its claims are refused until the pages are repaired: a state without some
// of them would lack claims, and their requests could run twice.
func (m *Machine) closeUnreadable(p *partition, err error) {
	p.isLoaded = false
	m.closePartition(p, err.Error())
}

// closePartition refuses the queued claims of a partition and lets it make no call
// for Backoff.
func (m *Machine) closePartition(p *partition, reason string) {
	p.closedUntil = m.now.Add(m.options.Backoff)
	p.closedReason = reason
	queued := p.queue
	p.queue = nil
	for _, t := range queued {
		if t.phase == phaseQueued && t.kind == kindClaim {
			m.refuse(t, reason, p.closedUntil)
			continue
		}
		p.queue = append(p.queue, t)
	}
	if len(p.queue) > 0 {
		m.wakePartition(p, p.closedUntil)
	}
}
