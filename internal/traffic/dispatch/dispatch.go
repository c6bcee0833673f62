// Package dispatch serves parsed requests of callers: it claims a request that
// must run at most once, chooses backend servers and sends the request to them,
// retries where that is safe, and passes the answer to the caller's Sink.
//
// Package caller parses HTTP requests and calls Dispatcher.ServeChat for models
// and Dispatcher.ServePlain for plain services. Each call runs on the goroutine
// of its request. It reads the host's state from immutable snapshots
// (ControlPlane) and reports events by calls that don't block (Reporter). State
// that requests share is atomic: the retry budget, the link limiter, the
// counters, and the contents known to be harmless.
//
// # Usage
//
//	dispatcher := dispatch.Dispatcher{
//		ControlPlane:  loop,
//		Claims:        loop,
//		Reporter:      loop,
//		Limits:        loop,
//		Engines:       &engine.Client{},
//		PlainServices: &plain.Client{},
//		Policy:        routing.LeastCost{},
//		RetryBudget:   dispatch.NewRetryBudget(percent),
//		Log:           log,
//		Now:           time.Now,
//		Random:        rand.Uint64,
//	}
//	if failure := dispatcher.ServeChat(ctx, chat, sink); failure != nil {
//		// answer with failure.Status(), failure.Code, failure.Outcome
//	}
//
// # Guarantees
//
// A request that may not be repeated and carries an idempotency key is sent
// only after its claim is durable in the platform's key-value service. Without
// a key it has no claim, and is not sent again once an attempt may have run it.
// A request is sent a second time only if the first attempt provably did not
// run it, or if it may be repeated, the retry budget allows it and the deadline
// has not passed. The outcome that a failure reports comes only from the
// request's attempt history (package outcome).
package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/admission"
	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/peer/engine"
	"cicadaloom/internal/peer/plain"
	"cicadaloom/internal/traffic/limiter"
)

// ControlPlane provides immutable snapshots of the host's state.
type ControlPlane interface {
	Table() *routing.Table
	Suspects() *suspects.View
}

// Reporter receives the results of requests. Its methods must not block.
type Reporter interface {
	ReportResult(sample burn.Sample)
	ReportLostAttempt(loss suspects.LostAttempt)
	ReportCleared(fingerprint ident.Fingerprint)
}

// Limits gets permits for requests to servers that name a request limit or are brittle. Its
// methods may ask other hosts; SettlePermit and ReportLimitEnded don't wait.
type Limits interface {
	Permit(ctx context.Context, ask permits.Ask) permits.Answer
	SettlePermit(issuer pacing.Host, ask permits.Ask)
	ReportLimitEnded(ask permits.Ask)
}

// Engines sends requests to engines.
type Engines interface {
	Chat(ctx context.Context, address string, call engine.Call) (*engine.Stream, error)
}

// PlainServices sends requests to plain services.
type PlainServices interface {
	Do(ctx context.Context, address string, request *plain.Request) (*plain.Answer, *plain.Refusal)
}

// Dispatcher serves requests. All fields but LinkLimiter, Metrics and Decisions
// must be set. It is safe for concurrent use.
type Dispatcher struct {
	ControlPlane  ControlPlane
	Claims        Claims
	Reporter      Reporter
	Limits        Limits
	Engines       Engines
	PlainServices PlainServices
	Policy        routing.Policy
	RetryBudget   *RetryBudget
	// LinkLimiter limits traffic to other regions; nil keeps requests in this
	// one.
	LinkLimiter *LinkLimiter
	Log         *zap.Logger
	Metrics     Metrics
	// Decisions records failures for later queries; nil records none.
	Decisions *decisions.Log
	// Now returns the wall-clock time; it is time.Now unless a test sets it.
	Now func() time.Time
	// Random returns random bits.
	Random func() uint64

	harmless    harmlessContents
	crashNotice crashNotice
}

// requestHandler is the state of one request in progress.
type requestHandler struct {
	*Dispatcher
	request      *Request
	target       *routing.Target
	mayRepeat    bool
	fingerprint  ident.Fingerprint
	verdict      suspects.Verdict
	history      outcome.AttemptHistory
	routing      routing.Request
	arrivedAt    time.Time
	promisedAt   time.Time
	firstTokenAt time.Time
	// answeredLate reports whether the answer was complete but missed its
	// promised time.
	answeredLate bool
	// claimAttempt is the attempt ID that holds the request's claim; each send
	// has an attempt ID of its own.
	claimAttempt ident.AttemptID
	attempt      ident.AttemptID
	// sentAt and wasQueued belong to the latest attempt: when it was sent, and
	// whether a queue was expected at the server.
	sentAt    time.Time
	wasQueued bool
	// permit is that of the latest attempt, until it is settled.
	permit limiter.Permit
	// classPosition is the position of the request's class in the document,
	// from 0; ticket is the latest attempt's admission at its server.
	classPosition int
	ticket        admission.Ticket
	// linkTransfer counts the latest attempt's traffic over the link, if it is
	// sent to another region.
	linkTransfer LinkTransfer
	// lostAttempts counts attempts whose backend server closed the connection
	// without a complete answer.
	lostAttempts int
}

// newHandler returns the handler of a request. contentParts identify what is
// requested beyond target and body; they are part of the fingerprint.
func (d *Dispatcher) newHandler(request *Request, target *routing.Target, mayRepeat bool, contentParts ...string) *requestHandler {
	now := d.Now()
	h := &requestHandler{
		Dispatcher:    d,
		request:       request,
		target:        target,
		mayRepeat:     mayRepeat,
		fingerprint:   request.fingerprint(append(contentParts, target.Label())...),
		arrivedAt:     now,
		promisedAt:    now.Add(target.Promise.FirstToken),
		classPosition: classPositionOf(request.Class, target.Document),
	}
	h.verdict = d.ControlPlane.Suspects().Verdict(h.fingerprint)
	h.routing = routing.Request{
		Now:        now,
		Deadline:   request.Deadline,
		Random:     d.Random(),
		PrefixHash: uint64(h.fingerprint),
		IdleOnly:   h.verdict == suspects.ServeAlone,

		Fingerprint: uint64(h.fingerprint),
		PairOnly:    !d.harmless.has(h.fingerprint),
	}
	return h
}

// fail returns the final failure of a request.
func (h *requestHandler) fail(code Code, message string, retryAt time.Time) *Failure {
	result := h.history.Outcome()
	return &Failure{
		Code:    code,
		Message: message,
		Outcome: result,
		RetryAt: retryAt,
		// A client that automatically repeats a request that may have run, and
		// may not be repeated, can at best get the same answer again.
		ForbidsRetry: !h.mayRepeat && !result.IsNotRun(),
	}
}

// recordResult counts the request, reports its result and logs its end.
func (h *requestHandler) recordResult(failure *Failure) *Failure {
	result := burn.InTime
	switch {
	case failure != nil && failure.Code == CodeCancelled:
		// The caller cancelled the request; that says nothing about the
		// service.
		h.records().recordCancelled(h.requestInfo(), failure)
		return failure
	case failure != nil && failure.Outcome.IsNotRun():
		result = burn.Refused
	case failure != nil:
		result = burn.Failed
	case h.answeredLate:
		result = burn.Late
	}
	key := burn.Key{
		Team:  h.target.Team,
		Class: h.request.Class,
		Model: ident.ModelName(h.target.Label()),
	}
	h.Reporter.ReportResult(burn.Sample{
		Key:    key,
		Result: result,
	})
	h.Metrics.countRequest(key, result)
	if failure == nil {
		h.records().recordAnswered(h.requestInfo(), result, h.Now().Sub(h.arrivedAt))
		return nil
	}
	h.Metrics.countFailure(failure)
	h.records().RecordFailure(h.Now(), h.requestInfo(), failure)
	return failure
}
