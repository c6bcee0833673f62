// Package outcome derives whether a request was run from a record of its attempts.
//
// An error that reports "not run" must be true even when hosts crash, answers are lost
// and messages arrive late. Therefore no code sets an outcome directly: an
// AttemptHistory records what happened to the request, and the outcome is derived from
// the record. NotRun results only if no attempt was sent, or if each attempt that was
// sent was refused by its backend server or never got a connection.
//
// # Usage
//
//	var history outcome.AttemptHistory
//	history.RecordSend(attempt)    // before the first byte is sent
//	history.RecordRefusal(attempt) // the server reported that it did not run it
//	history.Outcome()              // NotRun: the only attempt was refused
//
// The zero AttemptHistory is that of a request without attempts. The zero Outcome is
// MayHaveRun, which claims nothing.
//
// An AttemptHistory is used by one goroutine, the one that serves the request.
package outcome

import "cicadaloom/internal/domain/ident"

// Outcome is whether a request was run. Other packages can create only its zero
// value, MayHaveRun.
type Outcome struct {
	state executionState
}

type executionState uint8

const (
	mayHaveRun executionState = iota
	notRun
	ran
)

// String returns the value that callers get in an error's "run" field.
func (o Outcome) String() string {
	switch o.state {
	case notRun:
		return "NotRun"
	case ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// IsNotRun reports whether the request provably was not run.
func (o Outcome) IsNotRun() bool {
	return o.state == notRun
}

// IsRan reports whether the request provably was run to its end.
func (o Outcome) IsRan() bool {
	return o.state == ran
}

// AttemptHistory records the attempts of one request on this host.
type AttemptHistory struct {
	inDoubt    map[ident.AttemptID]struct{}
	isFinished bool
	isClaimed  bool
}

// RecordSend records that an attempt is about to be sent. It must be called before the
// first byte is: from then on a crash of any party leaves the attempt in doubt.
func (t *AttemptHistory) RecordSend(attempt ident.AttemptID) {
	if t.inDoubt == nil {
		t.inDoubt = make(map[ident.AttemptID]struct{})
	}
	t.inDoubt[attempt] = struct{}{}
}

// RecordRefusal records that an attempt provably was not run: the backend server itself
// reported so, or no connection to it was established.
func (t *AttemptHistory) RecordRefusal(attempt ident.AttemptID) {
	delete(t.inDoubt, attempt)
}

// RecordFinish records that an attempt's complete answer, with its end mark, was
// received. It ignores an attempt that isn't in doubt.
func (t *AttemptHistory) RecordFinish(attempt ident.AttemptID) {
	if _, isInDoubt := t.inDoubt[attempt]; isInDoubt {
		t.isFinished = true
	}
}

// RecordClaimFound records that another attempt at this request holds its claim, so that
// the request may be running elsewhere.
func (t *AttemptHistory) RecordClaimFound() {
	t.isClaimed = true
}

// RecordFinishFound records that, by its claim, the request has run to its end.
func (t *AttemptHistory) RecordFinishFound() {
	t.isFinished = true
}

// Outcome returns the outcome that the record proves.
func (t *AttemptHistory) Outcome() Outcome {
	switch {
	case t.isFinished:
		return Outcome{state: ran}
	case t.isClaimed || len(t.inDoubt) > 0:
		return Outcome{state: mayHaveRun}
	default:
		return Outcome{state: notRun}
	}
}
