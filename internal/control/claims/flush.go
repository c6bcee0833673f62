package claims

import (
	"time"

	"cicadaloom/internal/domain/store"
)

// batch is a swap in flight, and the state of the partition after it.
type batch struct {
	tasks        []*task
	entries      []entry
	firstSegment uint64
	// rawEntries has the active entries and those of the batch, also where the batch
	// seals them into a segment.
	rawEntries   []byte
	expiry       time.Time
	sealsSegment bool
	// needsRead says that a task can be refused only after another read.
	needsRead bool
	deletes   []string
}

// advance starts the partition's next call, if one is needed and none is in flight.
// It is called after each change of the partition.
func (m *Machine) advance(p *partition) {
	if p.hasCallInFlight() || p.isAdvancing || len(p.queue) == 0 {
		return
	}
	if m.now.Before(p.closedUntil) {
		m.wakePartition(p, p.closedUntil)
		return
	}
	if !p.isLoaded || p.outcomeUnknown {
		m.startRead(p)
		return
	}
	p.isAdvancing = true
	writes, needsRead := m.decideQueue(p)
	m.callWhenDue(p, writes, needsRead)
	p.isAdvancing = false
}

// callWhenDue swaps or reads when the rate limit of either allows it. A successful
// swap proves the state current as a read does, so it comes first.
func (m *Machine) callWhenDue(p *partition, writes []*task, needsRead bool) {
	if len(writes) > 0 {
		dueAt := m.nextSwapAt(p, writes)
		if !m.now.Before(dueAt) {
			m.startSwap(p, writes)
			return
		}
		m.wakePartition(p, dueAt)
	}
	m.readWhenDue(p, needsRead)
}

func (m *Machine) readWhenDue(p *partition, needsRead bool) {
	if !needsRead {
		return
	}
	dueAt := p.lastReadAt.Add(m.options.SwapInterval)
	if !m.now.Before(dueAt) {
		m.startRead(p)
		return
	}
	m.wakePartition(p, dueAt)
}

// swapCost is the time that a swap takes from the partition's rate limit. It doubles
// with each lost swap: hosts that disagree about the owner make each other's swaps
// fail, and these swaps must not fill the key-value service.
func (m *Machine) swapCost(p *partition) time.Duration {
	return m.options.SwapInterval << p.lostSwaps
}

// nextSwapAt is the earliest time for the next swap of a partition. No caller waits
// for a finish or release, so without a claim to take them along they are delayed by
// up to FinishDelay.
func (m *Machine) nextSwapAt(p *partition, writes []*task) time.Time {
	dueAt := p.chargedUntil.Add(-time.Duration(m.options.SwapBurst-1) * m.swapCost(p))
	for _, t := range writes {
		if t.kind == kindClaim {
			return dueAt
		}
	}
	delayEnd := writes[0].arrivedAt.Add(m.options.FinishDelay)
	if m.stopping || dueAt.After(delayEnd) {
		return dueAt
	}
	return delayEnd
}

// chargeSwap takes a swap made now from the partition's rate limit.
func (m *Machine) chargeSwap(p *partition) {
	if p.chargedUntil.Before(m.now) {
		p.chargedUntil = m.now
	}
	p.chargedUntil = p.chargedUntil.Add(m.swapCost(p))
}

// startRead requests the head and the given segments, or the whole log where the
// partition is not loaded. Each key is read by itself, the head first: segments never
// change, so the segments that the head refers to are still as they were when the
// head was written.
func (m *Machine) startRead(p *partition, segments ...uint64) {
	p.callID++
	p.isReading = true
	p.requestedKeys = nil
	p.callStep = m.step
	p.lastReadAt = m.now
	if p.isLoaded {
		p.requestedKeys = append(p.requestedKeys, p.headKey())
	}
	for _, number := range segments {
		p.requestedKeys = append(p.requestedKeys, p.segmentKey(number))
	}
	m.emit(ReadPartition{
		Partition: p.index,
		CallID:    p.callID,
		Keys:      p.requestedKeys,
		Prefix:    p.prefix(),
	})
}

// startSwap sends the tasks to be written that fit into one swap.
func (m *Machine) startSwap(p *partition, writes []*task) {
	b := m.buildBatch(p, writes)
	p.queue = queuedTasks(p.queue)
	if len(b.tasks) == 0 {
		// The log had no space for any task. Refusing them may have queued releases.
		m.wakePartition(p, m.now.Add(m.options.SwapInterval))
		m.readWhenDue(p, b.needsRead)
		return
	}
	p.callID++
	p.inFlight = b
	p.callStep = m.step
	m.chargeSwap(p)
	m.emit(SwapPartition{
		Partition: p.index,
		CallID:    p.callID,
		Swap:      p.newSwap(b),
	})
}

// newSwap compares the head only, since segments change only together with it.
func (p *partition) newSwap(b *batch) store.Swap {
	swap := store.Swap{
		Compares: []store.Compare{{
			Key:      p.headKey(),
			Revision: p.revision,
		}},
		Deletes: b.deletes,
	}
	active, raw := p.activeSegment, b.rawEntries
	if b.sealsSegment {
		swap.Puts = append(swap.Puts, store.Put{
			Key:   p.segmentKey(active),
			Value: raw,
		})
		active, raw = active+1, nil
	}
	swap.Puts = append(swap.Puts, store.Put{
		Key:   p.headKey(),
		Value: encodeHead(b.firstSegment, active, raw),
	})
	return swap
}

// buildBatch puts the tasks that fit into a batch. It adds one entry for a key at
// most: the next task for the key is decided on the state after the batch.
func (m *Machine) buildBatch(p *partition, writes []*task) *batch {
	b := &batch{
		firstSegment: p.firstSegment,
		rawEntries:   append([]byte(nil), p.rawEntries...),
		expiry:       p.expiry,
	}
	m.dropExpiredSegments(p, b)
	isFull := p.sealedSize(b.firstSegment) >= m.options.MaxSealedSize
	addedKeys := make(map[keyID]bool)
	for _, t := range writes {
		if addedKeys[t.key] {
			continue
		}
		addedKeys[t.key] = true
		e := m.newEntry(p, t)
		rawEntries := appendEntry(b.rawEntries, &e)
		if isFull && len(rawEntries) > m.headLimit(t) {
			b.needsRead = !m.refuseForSpace(p, t) || b.needsRead
			continue
		}
		if len(rawEntries)-len(p.rawEntries) > maxBatchSize {
			break
		}
		b.rawEntries = rawEntries
		b.expiry = latestKeepUntil(b.expiry, []entry{e})
		b.entries = append(b.entries, e)
		b.tasks = append(b.tasks, t)
	}
	b.sealsSegment = !isFull && len(b.rawEntries) > m.options.SegmentSize
	for _, t := range b.tasks {
		t.phase = phaseInFlight
	}
	return b
}

// dropExpiredSegments deletes, with the batch, the oldest segments of which all
// entries have expired.
func (m *Machine) dropExpiredSegments(p *partition, b *batch) {
	for _, s := range p.sealed {
		if !s.expiry.Before(m.expiryCutoff()) || len(b.deletes) == maxSwapDeletes {
			return
		}
		b.deletes = append(b.deletes, p.segmentKey(s.number))
		b.firstSegment = s.number + 1
	}
}

// sealedSize is the size in bytes of the sealed segments from first on.
func (p *partition) sealedSize(first uint64) int {
	size := 0
	for _, s := range p.sealed {
		if s.number >= first {
			size += s.sizeBytes
		}
	}
	return size
}

// headLimit is the size in bytes up to which a task may fill the head while no
// segment can be sealed. It is higher for finishes and releases, so that claims that
// were granted before the log was full can still be ended.
func (m *Machine) headLimit(t *task) int {
	if t.kind == kindClaim {
		return m.options.SegmentSize
	}
	return m.options.MaxFullHeadSize
}

// refuseForSpace refuses a task because the log is full: dropping a key before its
// KeepUntil to make space would let a repeat run a second time. It returns false for
// a claim that must wait for another read, which proves that no earlier attempt holds
// the key.
func (m *Machine) refuseForSpace(p *partition, t *task) bool {
	if t.kind != kindClaim {
		m.answerUpdate(t, false)
		return true
	}
	t.sawKeyFree = p.freshStep >= t.arrivalStep
	if !t.sawKeyFree {
		return false
	}
	m.refuse(t, "the log of claims is full", p.sealed[0].expiry.Add(m.options.ClockMargin))
	return true
}

func (m *Machine) newEntry(p *partition, t *task) entry {
	e := entry{
		kind:    t.kind,
		key:     t.key,
		attempt: t.attempt,
	}
	switch t.kind {
	case kindClaim:
		e.keepUntil = t.claim.KeepUntil
		e.fingerprint = t.claim.Fingerprint
		e.claimedAt = m.now
		e.host = t.origin
		if t.isLocal() {
			e.host = m.options.Host
		}
	case kindFinish:
		// The map, not liveRecord: the record may have expired since the decision.
		e.keepUntil = p.records[t.key].keepUntil
		e.status = t.finish.Status
		e.contentType = t.finish.ContentType
		e.bodyKept = !t.finish.BodyOmitted
		e.body = t.finish.Body
		e.digest = t.finish.Digest
	case kindRelease:
		e.keepUntil = m.now.Add(m.options.TombstoneTTL)
	}
	return e
}

func queuedTasks(tasks []*task) []*task {
	var queued []*task
	for _, t := range tasks {
		if t.phase == phaseQueued {
			queued = append(queued, t)
		}
	}
	return queued
}
