package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/cespare/xxhash/v2"
)

// keyID identifies a key in the log: each team has its own keys.
type keyID struct {
	team ident.TeamName
	key  ident.IdempotencyKey
}

// taskID identifies a task at one host.
type taskID struct {
	attempt ident.AttemptID
	kind    entryKind
}

// phase says what a task waits for.
type phase uint8

const (
	phaseQueued phase = iota
	// phaseForwarded: the partition owner's answer.
	phaseForwarded
	// phaseInFlight: the result of the swap that has the task's entry.
	phaseInFlight
	// phaseAwaitingFinish: the finish of the attempt that holds the key.
	phaseAwaitingFinish
	phaseDone
)

// task is a claim, finish or release that is not answered yet.
type task struct {
	kind    entryKind
	key     keyID
	attempt ident.AttemptID
	origin  ident.HostID
	phase   phase
	// forwardedTo is the partition owner to which the task was forwarded last.
	forwardedTo ident.HostID
	// arrivalStep is the machine's step at which the task arrived. A state read at
	// that step or later is recent enough to answer it.
	arrivalStep uint64
	arrivedAt   time.Time
	// phaseEnd is when a task stops waiting for the owner or for a finish.
	phaseEnd time.Time
	// mayBeInLog says that a claim was sent in a call with an unknown outcome: it may
	// be in the log, or may still be written.
	mayBeInLog bool
	// sawKeyFree says that the key was free in a log read after the claim arrived.
	sawKeyFree bool

	claim  Claim
	finish Finish

	deadline time.Time
	// finishWaitLimit is until when a claim of this host may wait for another
	// attempt's finish.
	finishWaitLimit time.Time
}

func newClaimTask(c Claim, step uint64, now time.Time) *task {
	return &task{
		kind: kindClaim,
		key: keyID{
			team: c.Team,
			key:  c.Key,
		},
		attempt:         c.Attempt,
		origin:          c.Origin,
		arrivalStep:     step,
		arrivedAt:       now,
		claim:           c,
		deadline:        c.Deadline,
		finishWaitLimit: now.Add(c.Deadline.Sub(now) / finishWaitDivisor),
	}
}

func newFinishTask(f Finish, step uint64, now time.Time) *task {
	if !f.BodyOmitted {
		f.Digest = xxhash.Sum64(f.Body)
	}
	if len(f.Body) > MaxBodySize || len(f.ContentType) > maxContentTypeSize {
		f.BodyOmitted = true
		f.Body = nil
		f.ContentType = ""
	}
	return &task{
		kind: kindFinish,
		key: keyID{
			team: f.Team,
			key:  f.Key,
		},
		attempt:     f.Attempt,
		origin:      f.Origin,
		arrivalStep: step,
		arrivedAt:   now,
		finish:      f,
	}
}

func newReleaseTask(r Release, step uint64, now time.Time) *task {
	return &task{
		kind: kindRelease,
		key: keyID{
			team: r.Team,
			key:  r.Key,
		},
		attempt:     r.Attempt,
		origin:      r.Origin,
		arrivalStep: step,
		arrivedAt:   now,
	}
}

func (t *task) id() taskID {
	return taskID{
		attempt: t.attempt,
		kind:    t.kind,
	}
}

// isLocal reports whether the task was submitted at this host, not forwarded by
// another one.
func (t *task) isLocal() bool {
	return t.origin == ""
}

// answerClaim ends a claim.
func (m *Machine) answerClaim(t *task, a Answer) {
	m.removeTask(t)
	a.Team = t.key.team
	a.Key = t.key.key
	a.Attempt = t.attempt
	a.Origin = t.origin
	m.emit(a)
}

// answerUpdate ends a finish or release.
func (m *Machine) answerUpdate(t *task, recorded bool) {
	m.removeTask(t)
	if recorded {
		delete(m.grantedUntil, t.attempt)
	}
	m.emit(UpdateResult{
		Attempt:  t.attempt,
		Origin:   t.origin,
		Recorded: recorded,
	})
}

func (m *Machine) removeTask(t *task) {
	t.phase = phaseDone
	if m.tasks[t.id()] == t {
		delete(m.tasks, t.id())
	}
}

// grant answers a claim that is in the log.
func (m *Machine) grant(t *task) {
	t.mayBeInLog = true // it is in the log: a refusal must release it
	if !m.now.Before(t.deadline) {
		m.refuse(t, "the deadline passed before the claim was written", time.Time{})
		return
	}
	if t.isLocal() {
		m.grantedUntil[t.attempt] = t.claim.KeepUntil
		m.wakeTask(t, t.claim.KeepUntil)
	}
	m.answerClaim(t, Answer{
		Verdict: Granted,
	})
}

// refuse answers that an attempt was not run. For a local claim this is true even
// where its entry is in the log or gets there later, since no grant follows the
// answer. For a forwarded claim that may be in the log only the origin may say so: it
// may have found the claim there itself and sent the request, and a release by this
// host would free the key while the request runs.
func (m *Machine) refuse(t *task, reason string, retryAt time.Time) {
	mayBeInLog := t.mayBeInLog || t.phase == phaseInFlight || t.phase == phaseForwarded
	verdict, proof := Refused, ProofAttemptNotRun
	if t.sawKeyFree {
		proof = ProofKeyFree
	}
	if mayBeInLog && !t.isLocal() {
		verdict, proof = Unknown, ProofNone
	}
	m.answerClaim(t, Answer{
		Verdict: verdict,
		Proof:   proof,
		RetryAt: retryAt,
		Reason:  reason,
	})
	if mayBeInLog && t.isLocal() {
		m.withdraw(t)
	}
}

// withdraw releases a refused claim that may be in the log.
func (m *Machine) withdraw(t *task) {
	m.submitUpdate(newReleaseTask(Release{
		Team:    t.key.team,
		Key:     t.key.key,
		Attempt: t.attempt,
	}, m.step, m.now))
}
