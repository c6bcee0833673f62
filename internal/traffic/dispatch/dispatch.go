// Package dispatch serves one request from the moment that its caller has been
// understood until its caller has an answer: it claims it where it may not be
// repeated, sends it to backend servers, and sees that the answer is whole.
//
// Everything here runs on the goroutine of the request. What the host knows is
// read from snapshots (Knowledge), and what other parts of the process should
// learn is told by typed messages (Reporter). The package keeps no state of its
// own but counters.
//
// # Usage
//
//	dispatcher := dispatch.Dispatcher{
//		Knowledge: loop,
//		Claims:    loop,
//		Reporter:  loop,
//		Engines:   engine.NewClient(),
//		Plains:    plain.NewClient(),
//		Policy:    routing.LeastCost{},
//	}
//	if failure := dispatcher.Chat(ctx, chat, sink); failure != nil {
//		// answer with failure.Status(), failure.Code, failure.Outcome
//	}
//
// # What holds
//
// A request that may not be repeated and carries an idempotency key is sent
// only after its claim is durable in the platform's key-value service. Without
// a key it gets one try, ever. A request is sent a second time only when the
// first time provably did not run it, or when it may be repeated, the retry
// budget has room and its deadline allows. What a failure says of the outcome
// comes from the request's trail (package outcome) and from nothing else.
package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/admission"
	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/peer/engine"
	"cicadaloom/internal/peer/plain"
)

// Knowledge is what the host knows, as snapshots that never change.
type Knowledge interface {
	Table() *routing.Table
	Suspects() *suspects.View
}

// Reporter takes what the request's way has shown. It must not block.
type Reporter interface {
	Finished(sample burn.Sample)
	Died(loss suspects.Loss)
	Cleared(fingerprint ident.Fingerprint)
}

// Engines sends requests to model engines.
type Engines interface {
	Chat(ctx context.Context, address string, call engine.Call) (*engine.Stream, error)
}

// Plains sends requests to plain services.
type Plains interface {
	Do(ctx context.Context, address string, request *plain.Request) (*plain.Answer, *plain.Refusal)
}

// Dispatcher serves requests. All fields but Budget, Link and Decisions must be set.
type Dispatcher struct {
	Knowledge Knowledge
	Claims    Claims
	Reporter  Reporter
	Engines   Engines
	Plains    Plains
	Policy    routing.Policy
	Budget    *Budget
	// Link is the way to other regions; nil keeps requests in this one.
	Link    *Link
	Log     *zap.Logger
	Metrics Metrics
	// Decisions keeps failures for those who ask why; nil keeps none.
	Decisions *decisions.Log
	// Now is the wall clock; time.Now unless a test sets it.
	Now func() time.Time
	// Dice gives random bits.
	Dice func() uint64

	proven proven
	deaths deaths
}

// journey is one request on its way through this host.
type journey struct {
	*Dispatcher
	request     *Request
	target      *routing.Target
	mayRepeat   bool
	fingerprint ident.Fingerprint
	verdict     suspects.Verdict
	trail       outcome.Trail
	routing     routing.Request
	arrived     time.Time
	promised    time.Time
	firstAt     time.Time
	// late tells that the answer came whole and not in its promised time.
	late bool
	// claimed is the attempt id that holds the request's claim; each send has
	// an attempt id of its own.
	claimed ident.AttemptID
	attempt ident.AttemptID
	// sentAt and queued are the last attempt's: when it was sent, and whether a
	// queue was expected before it.
	sentAt time.Time
	queued bool
	// class is the place of the request's class in the document, the first 0;
	// ticket is the last attempt's place at its server.
	class  int
	ticket admission.Ticket
	// crossing is the last attempt's way over the link, if it took that.
	crossing Crossing
	// losses counts the backend servers that fell silent while the request was there.
	losses int
}

// begin starts a journey. asked is what of the request is neither in its target
// nor in its body.
func (d *Dispatcher) begin(request *Request, target *routing.Target, mayRepeat bool, asked ...string) *journey {
	now := d.Now()
	j := &journey{
		Dispatcher:  d,
		request:     request,
		target:      target,
		mayRepeat:   mayRepeat,
		fingerprint: request.fingerprint(append(asked, target.Label())...),
		arrived:     now,
		promised:    now.Add(target.Promise.FirstToken),
		class:       classIndex(request.Class, target.Document),
	}
	j.verdict = d.Knowledge.Suspects().Verdict(j.fingerprint)
	j.routing = routing.Request{
		Now:      now,
		Deadline: request.Deadline,
		Dice:     d.Dice(),
		Prefix:   uint64(j.fingerprint),
		Alone:    j.verdict == suspects.Alone,

		Fingerprint: uint64(j.fingerprint),
		Confined:    !d.proven.has(j.fingerprint),
	}
	return j
}

// fail makes the final answer to a request that is given up.
func (j *journey) fail(code Code, message string, retryAt time.Time) *Failure {
	result := j.trail.Outcome()
	return &Failure{
		Code:    code,
		Message: message,
		Outcome: result,
		RetryAt: retryAt,
		// A client that repeats by itself what may have run, and may not be
		// repeated, only gets the same answer again at best.
		Final: !j.mayRepeat && !result.IsNotRun(),
	}
}

// finish counts the request and logs its end.
func (j *journey) finish(failure *Failure) *Failure {
	result := burn.InTime
	switch {
	case failure != nil && failure.Code == CodeCancelled:
		// Nobody waited any more: it says nothing about the service.
		j.records().cancelled(j.about(), failure)
		return failure
	case failure != nil && failure.Outcome.IsNotRun():
		result = burn.Refused
	case failure != nil:
		result = burn.Failed
	case j.late:
		result = burn.Late
	}
	key := burn.Key{
		Team:  j.target.Team,
		Class: j.request.Class,
		Model: ident.ModelName(j.target.Label()),
	}
	j.Reporter.Finished(burn.Sample{
		Key:    key,
		Result: result,
	})
	j.Metrics.finished(key, result)
	if failure == nil {
		j.records().answered(j.about(), result, j.Now().Sub(j.arrived))
		return nil
	}
	j.Metrics.failed(failure)
	j.records().Failed(j.Now(), j.about(), failure)
	return failure
}
