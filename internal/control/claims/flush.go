package claims

import (
	"time"

	"cicadaloom/internal/domain/store"
)

// batch is a swap on its way, and what the partition becomes if it takes effect.
type batch struct {
	tasks   []*task
	entries []entry
	first   uint64
	// raw is of the active entries with the batch's own, also where it seals them.
	raw    []byte
	expiry time.Time
	seals  bool
	// stale tells that a task waits for a fresh reading to be refused.
	stale   bool
	deletes []string
}

// advance does the next thing that a partition can do. It is called whenever
// something about it changed.
func (m *Machine) advance(p *partition) {
	if p.busy() || p.advancing || len(p.queue) == 0 {
		return
	}
	if m.now.Before(p.downUntil) {
		m.wakePartition(p, p.downUntil)
		return
	}
	if !p.loaded || p.doubt {
		m.read(p)
		return
	}
	p.advancing = true
	writes, stale := m.settleQueue(p)
	m.callWhenDue(p, writes, stale)
	p.advancing = false
}

// callWhenDue swaps or reads, each at its pace. A swap that takes effect shows
// the log as fresh as a reading does, so it goes first.
func (m *Machine) callWhenDue(p *partition, writes []*task, stale bool) {
	if len(writes) > 0 {
		due := m.swapDue(p, writes)
		if !m.now.Before(due) {
			m.swap(p, writes)
			return
		}
		m.wakePartition(p, due)
	}
	m.readWhenDue(p, stale)
}

func (m *Machine) readWhenDue(p *partition, stale bool) {
	if !stale {
		return
	}
	due := p.lastRead.Add(m.options.Pace)
	if !m.now.Before(due) {
		m.read(p)
		return
	}
	m.wakePartition(p, due)
}

// pace is the time that a swap of the partition uses up. Hosts that take each
// other's swaps away, because they disagree about who is home, double it, so
// that their fruitless swaps don't fill the service.
func (m *Machine) pace(p *partition) time.Duration {
	return m.options.Pace << p.losses
}

// swapDue paces the swaps of a partition. Nobody waits for a finish or release,
// so these wait for claims to take them along.
func (m *Machine) swapDue(p *partition, writes []*task) time.Time {
	due := p.paidUntil.Add(-time.Duration(m.options.Burst-1) * m.pace(p))
	for _, t := range writes {
		if t.kind == kindClaim {
			return due
		}
	}
	ripe := writes[0].since.Add(m.options.FinishDelay)
	if m.stopping || due.After(ripe) {
		return due
	}
	return ripe
}

// pay books a swap made now.
func (m *Machine) pay(p *partition) {
	if p.paidUntil.Before(m.now) {
		p.paidUntil = m.now
	}
	p.paidUntil = p.paidUntil.Add(m.pace(p))
}

// read asks for the head and the segments given, or for the whole log where it
// isn't known. The head comes first: segments never change, so that those which
// it names are what it was written with, though each key is read by itself.
func (m *Machine) read(p *partition, segments ...uint64) {
	p.number++
	p.reading = true
	p.asked = nil
	p.askedStep = m.step
	p.lastRead = m.now
	if p.loaded {
		p.asked = append(p.asked, p.headKey())
	}
	for _, number := range segments {
		p.asked = append(p.asked, p.segmentKey(number))
	}
	m.emit(ReadPartition{
		Partition: p.index,
		Number:    p.number,
		Keys:      p.asked,
		Prefix:    p.prefix(),
	})
}

func (m *Machine) swap(p *partition, writes []*task) {
	b := m.fill(p, writes)
	p.queue = stillQueued(p.queue)
	if len(b.tasks) == 0 {
		// All are at the bound; what their refusal queued comes next.
		m.wakePartition(p, m.now.Add(m.options.Pace))
		m.readWhenDue(p, b.stale)
		return
	}
	p.number++
	p.inFlight = b
	p.askedStep = m.step
	m.pay(p)
	m.emit(SwapPartition{
		Partition: p.index,
		Number:    p.number,
		Swap:      p.swapOf(b),
	})
}

// swapOf compares the head alone: segments change only with it.
func (p *partition) swapOf(b *batch) store.Swap {
	swap := store.Swap{
		Compares: []store.Compare{{
			Key:      p.headKey(),
			Revision: p.revision,
		}},
		Deletes: b.deletes,
	}
	active, raw := p.active, b.raw
	if b.seals {
		swap.Puts = append(swap.Puts, store.Put{
			Key:   p.segmentKey(active),
			Value: raw,
		})
		active, raw = active+1, nil
	}
	swap.Puts = append(swap.Puts, store.Put{
		Key:   p.headKey(),
		Value: encodeHead(b.first, active, raw),
	})
	return swap
}

// fill puts as many of the tasks into a batch as fit. A key is written once in
// a batch: the next task for it is judged by what the batch made of it.
func (m *Machine) fill(p *partition, writes []*task) *batch {
	b := &batch{
		first:  p.first,
		raw:    append([]byte(nil), p.raw...),
		expiry: p.expiry,
	}
	m.dropLapsed(p, b)
	full := p.sealedFrom(b.first) >= m.options.LogSize
	taken := make(map[keyID]bool)
	for _, t := range writes {
		if taken[t.key] {
			continue
		}
		taken[t.key] = true
		e := m.entryOf(p, t)
		raw := appendEntry(b.raw, &e)
		if full && len(raw) > m.roomFor(t) {
			b.stale = !m.atBound(p, t) || b.stale
			continue
		}
		if len(raw)-len(p.raw) > maxBatch {
			break
		}
		b.raw = raw
		b.expiry = latest(b.expiry, []entry{e})
		b.entries = append(b.entries, e)
		b.tasks = append(b.tasks, t)
	}
	b.seals = !full && len(b.raw) > m.options.SegmentSize
	for _, t := range b.tasks {
		t.phase = phaseInFlight
	}
	return b
}

// dropLapsed lets the oldest segments go of which every entry has lapsed.
func (m *Machine) dropLapsed(p *partition, b *batch) {
	for _, s := range p.sealed {
		if !s.expiry.Before(m.lapsed()) || len(b.deletes) == maxDeletes {
			return
		}
		b.deletes = append(b.deletes, p.segmentKey(s.number))
		b.first = s.number + 1
	}
}

// sealedFrom is the size of the segments that stay.
func (p *partition) sealedFrom(first uint64) int {
	size := 0
	for _, s := range p.sealed {
		if s.number >= first {
			size += s.size
		}
	}
	return size
}

// roomFor is how far a task may fill the head when no segment can be sealed.
// Finishes and releases have a reserve, so that claims that were granted before
// the bound still come to an end.
func (m *Machine) roomFor(t *task) int {
	if t.kind == kindClaim {
		return m.options.SegmentSize
	}
	return m.options.ReserveSize
}

// atBound refuses rather than forgets: a key that is dropped before its
// KeepUntil would let a repeat run a second time. It tells false where the claim
// waits for a fresh reading, which proves that no earlier attempt has the key.
func (m *Machine) atBound(p *partition, t *task) bool {
	if t.kind != kindClaim {
		m.recorded(t, false)
		return true
	}
	t.sawFree = p.freshStep >= t.arrived
	if !t.sawFree {
		return false
	}
	m.refuse(t, "the log of claims is full", p.sealed[0].expiry.Add(m.options.ClockMargin))
	return true
}

func (m *Machine) entryOf(p *partition, t *task) entry {
	e := entry{
		kind:    t.kind,
		key:     t.key,
		attempt: t.attempt,
	}
	switch t.kind {
	case kindClaim:
		e.keepUntil = t.claim.KeepUntil
		e.fingerprint = t.claim.Fingerprint
		e.at = m.now
		e.host = t.origin
		if t.local() {
			e.host = m.options.Host
		}
	case kindFinish:
		// A record that lapses between judgement and here is kept as it was.
		e.keepUntil = p.records[t.key].keepUntil
		e.status = t.finish.Status
		e.contentType = t.finish.ContentType
		e.whole = !t.finish.Cut
		e.body = t.finish.Body
		e.digest = t.finish.Digest
	case kindRelease:
		e.keepUntil = m.now.Add(m.options.Tombstone)
	}
	return e
}

func stillQueued(queue []*task) []*task {
	var rest []*task
	for _, t := range queue {
		if t.phase == phaseQueued {
			rest = append(rest, t)
		}
	}
	return rest
}
