package claims

import "time"

// need says what a queued task lacks.
type need uint8

const (
	needNothing need = iota
	needWrite
	// needFresh: the log must be read once more, since the answer rests on a
	// state that may be older than the question.
	needFresh
)

// record gives the state of a key, nil where it is free to claim.
func (m *Machine) record(p *partition, key keyID) *record {
	r := p.records[key]
	if r == nil || r.keepUntil.Before(m.lapsed()) {
		return nil
	}
	return r
}

// lapsed is the KeepUntil before which all hosts agree that it has passed.
func (m *Machine) lapsed() time.Time {
	return m.now.Add(-m.options.ClockMargin)
}

// judge settles a queued task, or tells what it needs.
func (m *Machine) judge(p *partition, t *task) need {
	r := m.record(p, t.key)
	fresh := p.freshStep >= t.arrived
	switch t.kind {
	case kindClaim:
		return m.judgeClaim(p, t, r, fresh)
	case kindFinish:
		return m.judgeFinish(t, r, fresh)
	default:
		return m.judgeRelease(t, r, fresh)
	}
}

func (m *Machine) judgeClaim(p *partition, t *task, r *record, fresh bool) need {
	switch {
	case r == nil || r.kind == kindRelease && r.attempt != t.attempt:
		return needWrite
	case r.kind == kindClaim && r.attempt == t.attempt:
		m.grant(t)
	case !fresh && r.kind != kindFinish:
		return needFresh
	case r.kind == kindRelease:
		t.doubt = false // the mark of its release is in the log
		m.refuse(t, "the attempt was withdrawn", time.Time{})
	case r.holder != t.claim.Fingerprint && r.holder != 0:
		m.answer(t, Answer{
			Verdict: KeyReused,
			Proof:   ProofAttempt,
			Reason:  "the idempotency key belongs to a request of other content",
		})
	case r.kind == kindFinish:
		m.finished(t, r)
	default:
		m.watch(p, t)
	}
	return needNothing
}

func (m *Machine) judgeFinish(t *task, r *record, fresh bool) need {
	switch {
	case r != nil && r.attempt == t.attempt && r.kind == kindClaim:
		return needWrite
	case r != nil && r.attempt == t.attempt && r.kind == kindFinish:
		m.recorded(t, true)
	case !fresh:
		return needFresh
	default:
		m.recorded(t, false)
	}
	return needNothing
}

// judgeRelease writes a release also where no claim is seen, see the package
// comment. Where another attempt holds the key, the claim can't land any more
// without its writer seeing that.
func (m *Machine) judgeRelease(t *task, r *record, fresh bool) need {
	switch {
	case r == nil || r.attempt == t.attempt && r.kind == kindClaim:
		return needWrite
	case r.attempt == t.attempt:
		m.recorded(t, r.kind == kindRelease)
	case r.kind == kindRelease:
		return needWrite
	case !fresh:
		return needFresh
	default:
		m.recorded(t, true)
	}
	return needNothing
}

func (m *Machine) finished(t *task, r *record) {
	m.answer(t, Answer{
		Verdict:     Finished,
		Status:      r.status,
		ContentType: r.contentType,
		Whole:       r.whole,
		Body:        r.body,
		Digest:      r.digest,
		Reason:      "the request was run before",
	})
}

// watch waits for the finish of the attempt that holds the key, so that a
// caller that repeats a running request gets its answer.
func (m *Machine) watch(p *partition, t *task) {
	if t.until.IsZero() {
		t.until = m.watchUntil(t)
	}
	if !m.now.Before(t.until) {
		m.claimedByOther(t)
		return
	}
	t.phase = phaseWatching
	p.watchers[t.key] = append(p.watchers[t.key], t)
	m.wakeTask(t, earlier(t.until, m.now.Add(m.options.WatchLook)))
}

// lookAgain reads the log anew for a task that waits for a finish. Any host may
// write that finish: one that was frozen, or that takes another host for the
// home. This machine would see it only with its own next swap, and the caller
// would wait to the end for an answer that had long been there.
func (m *Machine) lookAgain(t *task) {
	p := m.partitionOf(t.key)
	waiting := p.watchers[t.key]
	for i := range waiting {
		if waiting[i] == t {
			p.watchers[t.key] = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	if len(p.watchers[t.key]) == 0 {
		delete(p.watchers, t.key)
	}
	t.arrived = m.step
	m.enqueue(t)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (m *Machine) claimedByOther(t *task) {
	m.answer(t, Answer{
		Verdict: ClaimedByOther,
		RetryAt: m.now.Add(m.options.Backoff),
		Reason:  "another attempt at the request holds its key and may have run",
	})
}

// settleQueue settles all queued tasks that need no write. It gives those that
// do, in order, and whether one needs a fresh reading. Settling a task may queue
// others, such as the release of a claim that is refused; they are judged too.
func (m *Machine) settleQueue(p *partition) ([]*task, bool) {
	var kept, writes []*task
	stale := false
	for i := 0; i < len(p.queue); i++ {
		t := p.queue[i]
		if t.phase != phaseQueued {
			continue
		}
		switch m.judge(p, t) {
		case needWrite:
			writes = append(writes, t)
			kept = append(kept, t)
		case needFresh:
			stale = true
			kept = append(kept, t)
		}
	}
	p.queue = kept
	return writes, stale
}
