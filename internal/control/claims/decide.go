package claims

import "time"

// need says what a queued task needs before it can be answered.
type need uint8

const (
	needNothing need = iota
	needWrite
	// needRead: the log must be read again, since the answer would rest on a state
	// that may be older than the task.
	needRead
)

// liveRecord returns the record of a key, nil where there is none or it has expired.
func (m *Machine) liveRecord(p *partition, key keyID) *record {
	r := p.records[key]
	if r == nil || r.keepUntil.Before(m.expiryCutoff()) {
		return nil
	}
	return r
}

// expiryCutoff is the time such that all hosts, whatever their clocks say, agree that
// an earlier KeepUntil has passed.
func (m *Machine) expiryCutoff() time.Time {
	return m.now.Add(-m.options.ClockMargin)
}

// decide answers a queued task, or returns what it needs first.
func (m *Machine) decide(p *partition, t *task) need {
	r := m.liveRecord(p, t.key)
	fresh := p.freshStep >= t.arrivalStep
	switch t.kind {
	case kindClaim:
		return m.decideClaim(p, t, r, fresh)
	case kindFinish:
		return m.decideFinish(t, r, fresh)
	default:
		return m.decideRelease(t, r, fresh)
	}
}

func (m *Machine) decideClaim(p *partition, t *task, r *record, fresh bool) need {
	switch {
	case r == nil || r.kind == kindRelease && r.attempt != t.attempt:
		return needWrite
	case r.kind == kindClaim && r.attempt == t.attempt:
		m.grant(t)
	case !fresh && r.kind != kindFinish:
		return needRead
	case r.kind == kindRelease:
		t.mayBeInLog = false // its release is in the log
		m.refuse(t, "the attempt was withdrawn", time.Time{})
	case r.claimFingerprint != t.claim.Fingerprint && r.claimFingerprint != 0:
		m.answerClaim(t, Answer{
			Verdict: KeyReused,
			Proof:   ProofAttemptNotRun,
			Reason:  "the idempotency key belongs to a request of other content",
		})
	case r.kind == kindFinish:
		m.answerFinished(t, r)
	default:
		m.awaitFinish(p, t)
	}
	return needNothing
}

func (m *Machine) decideFinish(t *task, r *record, fresh bool) need {
	switch {
	case r != nil && r.attempt == t.attempt && r.kind == kindClaim:
		return needWrite
	case r != nil && r.attempt == t.attempt && r.kind == kindFinish:
		m.answerUpdate(t, true)
	case !fresh:
		return needRead
	default:
		m.answerUpdate(t, false)
	}
	return needNothing
}

// decideRelease writes a release also where no claim is in the log, see the package
// comment. Where another attempt holds the key no release is needed: a late swap with
// the claim fails, and its writer reads the head again.
func (m *Machine) decideRelease(t *task, r *record, fresh bool) need {
	switch {
	case r == nil || r.attempt == t.attempt && r.kind == kindClaim:
		return needWrite
	case r.attempt == t.attempt:
		m.answerUpdate(t, r.kind == kindRelease)
	case r.kind == kindRelease:
		return needWrite
	case !fresh:
		return needRead
	default:
		m.answerUpdate(t, true)
	}
	return needNothing
}

func (m *Machine) answerFinished(t *task, r *record) {
	m.answerClaim(t, Answer{
		Verdict:     Finished,
		Status:      r.status,
		ContentType: r.contentType,
		BodyKept:    r.bodyKept,
		Body:        r.body,
		Digest:      r.digest,
		Reason:      "the request was run before",
	})
}

// awaitFinish lets a claim wait for the finish of the attempt that holds the key, so
// that a caller that repeats a running request gets its answer.
func (m *Machine) awaitFinish(p *partition, t *task) {
	if t.phaseEnd.IsZero() {
		t.phaseEnd = m.finishWaitEnd(t)
	}
	if !m.now.Before(t.phaseEnd) {
		m.answerClaimedByOther(t)
		return
	}
	t.phase = phaseAwaitingFinish
	p.finishWaiters[t.key] = append(p.finishWaiters[t.key], t)
	m.wakeTask(t, earlier(t.phaseEnd, m.now.Add(m.options.FinishPollInterval)))
}

// pollForFinish queues a waiting claim again, so that the log is read for it. Any
// host may write the finish: one that was frozen, or one with another view of who
// owns the partition. Without the poll this machine would see the finish only with
// its own next swap, and the caller would wait to the end of its time for an answer
// that was already in the log.
func (m *Machine) pollForFinish(t *task) {
	p := m.partitionFor(t.key)
	waiters := p.finishWaiters[t.key]
	for i := range waiters {
		if waiters[i] == t {
			p.finishWaiters[t.key] = append(waiters[:i:i], waiters[i+1:]...)
			break
		}
	}
	if len(p.finishWaiters[t.key]) == 0 {
		delete(p.finishWaiters, t.key)
	}
	t.arrivalStep = m.step
	m.enqueue(t)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (m *Machine) answerClaimedByOther(t *task) {
	m.answerClaim(t, Answer{
		Verdict: ClaimedByOther,
		RetryAt: m.now.Add(m.options.Backoff),
		Reason:  "another attempt at the request holds its key and may have run",
	})
}

// decideQueue answers all queued tasks that need no call. It returns the tasks to be
// written, in order, and whether any task needs another read. Answering a task may
// queue others, such as the release of a refused claim; these are decided too.
func (m *Machine) decideQueue(p *partition) ([]*task, bool) {
	var kept, writes []*task
	needsRead := false
	for i := 0; i < len(p.queue); i++ {
		t := p.queue[i]
		if t.phase != phaseQueued {
			continue
		}
		switch m.decide(p, t) {
		case needWrite:
			writes = append(writes, t)
			kept = append(kept, t)
		case needRead:
			needsRead = true
			kept = append(kept, t)
		}
	}
	p.queue = kept
	return writes, needsRead
}
