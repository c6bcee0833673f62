package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/peer/plain"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeStream = "text/event-stream"
	streamEnd         = "[DONE]"
)

// Plain serves a request to a plain service. It gives nil where the caller got
// its whole answer.
func (d *Dispatcher) Plain(ctx context.Context, request Plain, sink Sink) *Failure {
	target, found := d.Knowledge.Table().Service(request.Service)
	if !found {
		return Untouched(CodeServiceNotFound, "no team declares a service "+string(request.Service), time.Time{})
	}
	if failure := classify(&request.Request, target); failure != nil {
		return failure
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	j := d.begin(&request.Request, target, !target.Service.ForbidsRepeat(request.Method))
	e := errand{
		journey: j,
		plain:   &request,
		sink:    sink,
	}
	return j.finish(j.serve(ctx, sink, e.run))
}

// errand is a request to a plain service on its way.
type errand struct {
	*journey
	plain  *Plain
	sink   Sink
	answer Whole
}

func (e *errand) run(ctx context.Context) (Whole, *Failure) {
	for {
		choice, failure := e.choose(ctx)
		if failure != nil {
			return e.answer, failure
		}
		again, failure := e.attemptAt(ctx, choice)
		if !again {
			return e.answer, failure
		}
	}
}

func (e *errand) attemptAt(ctx context.Context, choice routing.Choice) (bool, *Failure) {
	e.setOut(choice)
	watched, watch := e.watch(ctx, e.firstSign())
	defer watch.stop()
	header := http.Header{}
	header.Set("Content-Type", e.plain.ContentType)
	if e.request.Key != "" {
		header.Set("Idempotency-Key", string(e.request.Key))
	}
	answer, refusal := e.Plains.Do(watched, choice.Replica.Address, &plain.Request{
		Method:    e.plain.Method,
		Path:      e.plain.Path,
		Header:    header,
		Body:      e.plain.Body,
		RequestID: e.plain.ID,
		Deadline:  e.plain.Deadline,
		Once:      !e.mayRepeat,
	})
	if refusal != nil {
		return e.unanswered(ctx, choice, refusal, watch.stalled())
	}
	return false, e.answered(choice, answer)
}

func (e *errand) answered(choice routing.Choice, answer *plain.Answer) *Failure {
	e.trail.Finished(e.attempt)
	e.first()
	elapsed := e.firstAt.Sub(e.sentAt)
	choice.Replica.Gauge.Answered(e.firstAt, routing.Timing{
		FirstToken: elapsed,
		Whole:      elapsed,
		Queued:     e.queued,
	})
	e.answer = Whole{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
	}
	if err := e.sink.Whole(e.answer); err != nil {
		return e.fail(CodeCancelled, "the caller has gone", time.Time{})
	}
	return nil
}

func (e *errand) unanswered(ctx context.Context, choice routing.Choice, refusal *plain.Refusal, stalled bool) (bool, *Failure) {
	if refusal.ProvesNotRun() {
		return e.refused(choice, refusal)
	}
	if ctx.Err() != nil {
		choice.Replica.Gauge.Cancelled(e.Now())
		return false, e.gaveUp(ctx)
	}
	e.lost(choice, refusal, stalled)
	if e.mayTryAgain(false) && e.Budget.Retry() {
		return true, nil
	}
	return false, e.fail(CodeBackendFailed, "the service fell silent: "+errors.Cause(refusal).Error(), e.retryAt())
}
