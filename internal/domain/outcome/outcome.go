// Package outcome says whether a request was run, and makes sure that the
// saying is true.
//
// A refusal that says "not run" must be true even when hosts die, answers are
// lost and orders arrive late. So nobody states an outcome: a Trail records
// what happened to the request, and the outcome follows from the record. The
// only way to NotRun is a Trail on which nothing was sent, or on which every
// send was followed by the backend server's own refusal.
//
// # Usage
//
//	var trail outcome.Trail
//	trail.Sending(attempt)      // before the first byte leaves
//	trail.Refused(attempt)      // the server said that it did not run it
//	trail.Outcome()             // NotRun: the only send was refused
//
// The zero Trail is a request of which nothing was sent. The zero Outcome is
// MayHaveRun, the one that is always true.
//
// A Trail belongs to the goroutine that serves the request.
package outcome

import "cicadaloom/internal/domain/ident"

// Outcome says whether a request was run. It can't be built outside this
// package other than as its zero value, MayHaveRun.
type Outcome struct {
	run run
}

type run uint8

const (
	mayHaveRun run = iota
	notRun
	ran
)

// String gives the word that callers read in an error's "run" field.
func (o Outcome) String() string {
	switch o.run {
	case notRun:
		return "NotRun"
	case ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// IsNotRun tells whether the request provably was not run.
func (o Outcome) IsNotRun() bool {
	return o.run == notRun
}

// IsRan tells whether the request provably was run to its end.
func (o Outcome) IsRan() bool {
	return o.run == ran
}

// Trail is the record of one request's way through this host.
type Trail struct {
	inDoubt  map[ident.AttemptID]struct{}
	finished bool
	claimed  bool
}

// Sending records that an attempt is about to leave. It must be called before
// the first byte: after it, a crash of any party leaves the attempt in doubt.
func (t *Trail) Sending(attempt ident.AttemptID) {
	if t.inDoubt == nil {
		t.inDoubt = make(map[ident.AttemptID]struct{})
	}
	t.inDoubt[attempt] = struct{}{}
}

// Refused records the proof that an attempt was not run: the backend server
// itself said so, or no connection to it came about.
func (t *Trail) Refused(attempt ident.AttemptID) {
	delete(t.inDoubt, attempt)
}

// Finished records that an attempt's whole answer, with its end mark, came back.
func (t *Trail) Finished(attempt ident.AttemptID) {
	if _, sent := t.inDoubt[attempt]; sent {
		t.finished = true
	}
}

// FoundClaimed records that another attempt at this request holds its claim,
// so that it may be running elsewhere.
func (t *Trail) FoundClaimed() {
	t.claimed = true
}

// FoundFinished records that the claims show the request run to its end.
func (t *Trail) FoundFinished() {
	t.finished = true
}

// Outcome gives what the record proves.
func (t *Trail) Outcome() Outcome {
	switch {
	case t.finished:
		return Outcome{run: ran}
	case t.claimed || len(t.inDoubt) > 0:
		return Outcome{run: mayHaveRun}
	default:
		return Outcome{run: notRun}
	}
}
