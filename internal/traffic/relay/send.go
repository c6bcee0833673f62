package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/upstream"
)

// sendResult is the outcome of one send.
type sendResult struct {
	result balance.Result
	// finished reports that the client has its answer.
	finished bool
	// provedNotRun reports that the request provably did not run.
	provedNotRun bool
	status       int
	// restUntil is until when the server wants no requests from this host.
	restUntil time.Time
	reason    string
}

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// maxBufferedAnswerBytes bounds the answers that are read in full before they are
// passed on.
const maxBufferedAnswerBytes = 16 << 20

// maxRefusalBytes bounds the body of a refusal, which is dropped.
const maxRefusalBytes = 64 << 10

// send sends the request to one server, and passes the answer on to the client if it is
// valid.
func (s *requestState) send(ctx context.Context, ticket *balance.Ticket) sendResult {
	h := s.handler
	header := s.request.Header
	h.Codec.Encode(header, &Attempt{
		Server:      ticket.Server,
		Deadline:    s.deadline,
		Priority:    s.priority(),
		HidesKey:    s.hidesKey,
		Account:     accountName(s.account),
		ResumeAfter: s.stream.lastEventID,
		Version:     s.stream.version,
	})
	sentAt := h.Now()
	exchange, err := h.Upstream.Send(ctx, upstream.Request{
		Address: ticket.Address,
		Path: h.ControlPlane.PathTo(paths.Server{
			Name:        ticket.Server,
			Incarnation: ticket.Incarnation,
		}, ticket.Address),
		ID:         string(s.request.ID),
		Deadline:   s.deadline,
		Method:     s.request.Method,
		Target:     s.request.Target,
		Host:       s.request.Host,
		Header:     header,
		Body:       s.request.Body,
		NeedsFresh: !s.route.MayRepeat(),
	})
	if err != nil {
		return s.classifySendError(ctx, err)
	}
	defer exchange.Close()
	response := exchange.Response
	answer := h.Codec.DecodeAnswer(response.StatusCode, response.Header)
	if answer.RequestID != s.request.ID || !answer.Signed && !answer.NotRun {
		return sendResult{
			result: balance.Broken,
			status: response.StatusCode,
			reason: "the answer is not this request's",
		}
	}
	s.recordSignals(ticket, sentAt, &answer)
	if answer.ServerLoad.Slots > 0 {
		ticket.UpdateLoad(answer.ServerLoad.Running, answer.ServerLoad.Waiting)
	}
	if answer.NotRun {
		return s.handleRefusal(exchange, ticket, &answer)
	}
	if s.route.Kind == route.Stream && response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		return s.passStream(ctx, exchange, ticket, &answer)
	}
	return s.passBuffered(ctx, exchange, ticket)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// classifySendError maps a send without an answer to its result.
func (s *requestState) classifySendError(ctx context.Context, err error) sendResult {
	result := sendResult{
		result:       balance.Broken,
		provedNotRun: !upstream.MayHaveArrived(err),
		reason:       err.Error(),
	}
	switch {
	case ctx.Err() != nil && s.ctx.Err() != nil:
		result.result = balance.Left
	case ctx.Err() != nil || s.isPastDeadline():
		result.result = balance.Silent
	case upstream.HasDetour(err):
		result.result = balance.Detoured
	case upstream.IsUnreached(err):
		result.result = balance.Unreached
	}
	return result
}

// handleRefusal maps a server's proof that it did not run the request to a result.
func (s *requestState) handleRefusal(exchange *upstream.Exchange, ticket *balance.Ticket, answer *Answer) sendResult {
	if _, err := httpsend.ReadBody(exchange.Response.Body, maxRefusalBytes); err == nil {
		exchange.ReleaseUnfinished()
	}
	result := sendResult{
		result:       balance.Refused,
		provedNotRun: true,
		status:       exchange.Response.StatusCode,
		restUntil:    answer.Signals.RestUntil,
		reason:       "the server refused the request",
	}
	switch {
	case answer.Misplaced && answer.Instance != "" && answer.Instance != ticket.Server:
		result.result = balance.Misplaced
		result.reason = "another server has the address"
	case answer.Misplaced:
		result.result = balance.NotHeld
		result.reason = "the server does not hold the weights"
	}
	return result
}

// passBuffered reads an answer to its end before passing it on: an answer that is cut on
// the way must not reach the client, and a request that may be repeated can go to another
// server instead.
func (s *requestState) passBuffered(ctx context.Context, exchange *upstream.Exchange, ticket *balance.Ticket) sendResult {
	response := exchange.Response
	ticket.RecordFirstByte(s.handler.Now())
	body, err := httpsend.ReadBody(response.Body, maxBufferedAnswerBytes)
	if err != nil {
		result := sendResult{
			result: balance.Broken,
			status: response.StatusCode,
			reason: "the answer was cut",
		}
		if ctx.Err() != nil {
			result.result = balance.Left
		}
		return result
	}
	isFailure := response.StatusCode >= http.StatusInternalServerError
	if isFailure || s.stream.started {
		exchange.ReleaseUnfinished()
	} else {
		exchange.Release()
	}
	answer := &bufferedAnswer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	if isFailure {
		return s.handleServerFailure(answer)
	}
	if s.stream.started {
		return sendResult{
			result: balance.Broken,
			status: response.StatusCode,
			reason: "the stream was not resumed",
		}
	}
	if response.StatusCode < http.StatusMultipleChoices {
		s.recordAnswerBegun(ticket, s.handler.Now())
	}
	s.writeAnswer(answer)
	return sendResult{
		result:   balance.Answered,
		finished: true,
		status:   answer.status,
	}
}

// handleServerFailure keeps a server's failure answer, to be passed on if no later attempt
// succeeds. A 503 promises "not run" and is not passed on without the server's proof.
func (s *requestState) handleServerFailure(answer *bufferedAnswer) sendResult {
	if answer.status != http.StatusServiceUnavailable {
		s.lastFailure = answer
	}
	return sendResult{
		result: balance.Failed,
		status: answer.status,
		reason: "the server failed the request",
	}
}
