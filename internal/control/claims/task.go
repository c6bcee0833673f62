package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/cespare/xxhash/v2"
)

// keyID is a key as the log knows it.
type keyID struct {
	team ident.TeamName
	key  ident.IdempotencyKey
}

// taskID tells the tasks of a host apart.
type taskID struct {
	attempt ident.AttemptID
	kind    entryKind
}

// phase says what a task waits for.
type phase uint8

const (
	phaseQueued phase = iota
	// phaseForwarded: the home's answer.
	phaseForwarded
	// phaseInFlight: the answer to a swap that holds the task's entry.
	phaseInFlight
	// phaseWatching: the finish of the attempt that holds the key.
	phaseWatching
	phaseDone
)

// task is a claim, finish or release on its way into the log.
type task struct {
	kind    entryKind
	key     keyID
	attempt ident.AttemptID
	origin  ident.HostID
	phase   phase
	// home is the host to which the task was forwarded last.
	home ident.HostID
	// arrived is the machine's step at which the task came in: what was read
	// in or after it is fresh enough to answer from.
	arrived uint64
	since   time.Time
	// until ends a forwarded or watching task's phase.
	until time.Time
	// doubt tells that a claim was sent on a way of which the end isn't known,
	// so that it may stand in the log, or may yet.
	doubt bool
	// sawFree tells that the log, read after the claim came in, shows its key free.
	sawFree bool

	claim  Claim
	finish Finish

	deadline time.Time
	// watchEnd is until when a claim waits for another attempt's finish.
	watchEnd time.Time
}

func claimTask(c Claim, step uint64, now time.Time) *task {
	return &task{
		kind: kindClaim,
		key: keyID{
			team: c.Team,
			key:  c.Key,
		},
		attempt:  c.Attempt,
		origin:   c.Origin,
		arrived:  step,
		since:    now,
		claim:    c,
		deadline: c.Deadline,
		watchEnd: now.Add(c.Deadline.Sub(now) / watchShare),
	}
}

func finishTask(f Finish, step uint64, now time.Time) *task {
	if !f.Cut {
		f.Digest = xxhash.Sum64(f.Body)
	}
	if len(f.Body) > MaxBody || len(f.ContentType) > maxContentType {
		f.Cut = true
		f.Body = nil
		f.ContentType = ""
	}
	return &task{
		kind: kindFinish,
		key: keyID{
			team: f.Team,
			key:  f.Key,
		},
		attempt: f.Attempt,
		origin:  f.Origin,
		arrived: step,
		since:   now,
		finish:  f,
	}
}

func releaseTask(r Release, step uint64, now time.Time) *task {
	return &task{
		kind: kindRelease,
		key: keyID{
			team: r.Team,
			key:  r.Key,
		},
		attempt: r.Attempt,
		origin:  r.Origin,
		arrived: step,
		since:   now,
	}
}

func (t *task) id() taskID {
	return taskID{
		attempt: t.attempt,
		kind:    t.kind,
	}
}

// local tells that a caller of this host waits for the task.
func (t *task) local() bool {
	return t.origin == ""
}

// answer ends a claim.
func (m *Machine) answer(t *task, a Answer) {
	m.done(t)
	a.Team = t.key.team
	a.Key = t.key.key
	a.Attempt = t.attempt
	a.Origin = t.origin
	m.emit(a)
}

// recorded ends a finish or release.
func (m *Machine) recorded(t *task, recorded bool) {
	m.done(t)
	if recorded {
		delete(m.granted, t.attempt)
	}
	m.emit(Recorded{
		Attempt:  t.attempt,
		Origin:   t.origin,
		Recorded: recorded,
	})
}

func (m *Machine) done(t *task) {
	t.phase = phaseDone
	if m.tasks[t.id()] == t {
		delete(m.tasks, t.id())
	}
}

// grant answers a claim that stands in the log.
func (m *Machine) grant(t *task) {
	t.doubt = true // it does stand there: a refusal must release it
	if !m.now.Before(t.deadline) {
		m.refuse(t, "the deadline passed before the claim was written", time.Time{})
		return
	}
	if t.local() {
		m.granted[t.attempt] = t.claim.KeepUntil
		m.wakeTask(t, t.claim.KeepUntil)
	}
	m.answer(t, Answer{
		Verdict: Granted,
	})
}

// refuse answers that an attempt was not run. For a local claim this is true
// whatever becomes of its entry, since no grant can be given after the answer.
// For a forwarded one that may stand in the log the origin decides: it may have
// found the claim there by itself, so that a release by us would free the key
// under a running request.
func (m *Machine) refuse(t *task, reason string, retryAt time.Time) {
	doubt := t.doubt || t.phase == phaseInFlight || t.phase == phaseForwarded
	verdict, proof := Refused, ProofAttempt
	if t.sawFree {
		proof = ProofKey
	}
	if doubt && !t.local() {
		verdict, proof = Unknown, ProofNone
	}
	m.answer(t, Answer{
		Verdict: verdict,
		Proof:   proof,
		RetryAt: retryAt,
		Reason:  reason,
	})
	if doubt && t.local() {
		m.withdraw(t)
	}
}

// withdraw releases a claim that was refused and may stand in the log.
func (m *Machine) withdraw(t *task) {
	m.note(releaseTask(Release{
		Team:    t.key.team,
		Key:     t.key.key,
		Attempt: t.attempt,
	}, m.step, m.now))
}
