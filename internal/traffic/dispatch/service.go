package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/plain"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeStream = "text/event-stream"
	streamEnd         = "[DONE]"
)

// ServePlain serves a request to a plain service. It returns nil if the caller
// got the complete answer.
func (d *Dispatcher) ServePlain(ctx context.Context, request PlainRequest, sink Sink) *Failure {
	target, found := d.ControlPlane.Table().Service(request.Service)
	if !found {
		return d.recordRefusal(&request.Request, string(request.Service), "", NewNotSentFailure(CodeServiceNotFound, "no team declares a service "+string(request.Service), time.Time{}))
	}
	if failure := resolveClass(&request.Request, target); failure != nil {
		return d.recordRefusal(&request.Request, target.Label(), target.Team, failure)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	h := d.newHandler(&request.Request, target, !target.Service.ForbidsRepeat(request.Method),
		request.Method, request.Path, request.Header.Get("Content-Type"))
	handler := plainHandler{
		requestHandler: h,
		plain:          &request,
		sink:           sink,
	}
	return h.recordResult(h.serve(ctx, sink, handler.sendUntilAnswered))
}

// plainHandler is the state of a request to a plain service in progress.
type plainHandler struct {
	*requestHandler
	plain  *PlainRequest
	sink   Sink
	answer Answer
}

func (h *plainHandler) sendUntilAnswered(ctx context.Context) (Answer, *Failure) {
	for {
		choice, failure := h.takeReplica(ctx)
		if failure != nil {
			return h.answer, failure
		}
		shouldRetry, failure := h.sendAttempt(ctx, choice)
		if !shouldRetry {
			return h.answer, failure
		}
	}
}

func (h *plainHandler) sendAttempt(ctx context.Context, choice routing.Choice) (bool, *Failure) {
	h.startAttempt(choice)
	defer h.endAttempt()
	watchedCtx, dog := h.startWatchdog(ctx, h.firstResponseTimeout())
	defer dog.stop()
	answer, refusal := h.PlainServices.Do(watchedCtx, choice.Replica.Address, &plain.Request{
		Method:    h.plain.Method,
		Path:      h.plain.Path,
		Header:    h.plain.Header,
		Body:      h.plain.Body,
		RequestID: h.plain.ID,
		Deadline:  h.plain.Deadline,
		Once:      !h.mayRepeat,
	})
	if refusal != nil {
		h.recordSignals(choice, refusal.Signals)
		return h.handleError(ctx, choice, refusal, dog.hasStalled())
	}
	h.recordSignals(choice, answer.Signals)
	return false, h.finishAnswered(choice, answer)
}

func (h *plainHandler) finishAnswered(choice routing.Choice, answer *plain.Answer) *Failure {
	h.history.RecordFinish(h.attempt)
	h.recordFirstToken()
	h.answeredLate = h.firstTokenAt.After(h.promisedAt)
	elapsed := h.firstTokenAt.Sub(h.sentAt)
	choice.Replica.LoadTracker.RecordAnswer(h.firstTokenAt, routing.Timing{
		FirstToken: elapsed,
		Total:      elapsed,
		Queued:     h.wasQueued,
	})
	h.ticket.Release(true)
	h.harmless.add(h.fingerprint)
	h.linkTransfer.CountReceived(h.firstTokenAt, unit.Bytes(len(answer.Body)))
	h.answer = Answer{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Header:      answer.Header,
		Body:        answer.Body,
	}
	if err := h.sink.SendAnswer(h.answer); err != nil {
		return h.fail(CodeCancelled, "the caller has gone", time.Time{})
	}
	return nil
}

func (h *plainHandler) handleError(ctx context.Context, choice routing.Choice, refusal *plain.Refusal, hasStalled bool) (bool, *Failure) {
	if refusal.ProvesNotRun() {
		return h.handleRefusal(choice, refusal)
	}
	if ctx.Err() != nil {
		choice.Replica.LoadTracker.RecordCancellation(h.Now())
		return false, h.failAbandoned(ctx)
	}
	h.recordLostAttempt(choice, refusal, hasStalled)
	if h.canRetry(false) && h.RetryBudget.TakeRetry() {
		return true, nil
	}
	return false, h.fail(CodeBackendFailed, "the service fell silent: "+errors.Cause(refusal).Error(), h.retryAt())
}
