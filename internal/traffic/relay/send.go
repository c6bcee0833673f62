package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

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
	// answer is the answer to pass on, nil if that is done or there is none. Its server has nothing
	// more to do with it.
	answer *bufferedAnswer
	// endsRequest reports that no other server is to be asked.
	endsRequest bool
	// proof is how the send is known not to have run the request.
	proof  proof
	status int
	// restUntil is until when the server wants no requests from this host.
	restUntil time.Time
	reason    string
	// connection describes the connection that the answer came on.
	connection upstream.ConnectionInfo
}

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   [][]byte
}

func (a *bufferedAnswer) length() int {
	length := 0
	for _, part := range a.body {
		length += len(part)
	}
	return length
}

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
	s.hold.UseServer(string(ticket.Server))
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
	connection := exchange.Connection()
	sent := s.handleAnswer(ctx, exchange, ticket, sentAt)
	sent.connection = connection
	return sent
}

// handleAnswer handles a server's answer, whose body is yet to be read.
func (s *requestState) handleAnswer(ctx context.Context, exchange *upstream.Exchange, ticket *balance.Ticket, sentAt time.Time) sendResult {
	h := s.handler
	response := exchange.Response
	answer := h.Codec.DecodeAnswer(response.StatusCode, response.Header)
	isStray := answer.RequestID != s.request.ID
	if isStray {
		h.Metrics.recordStrayAnswer()
	}
	if isStray || !answer.Signed && !answer.NotRun {
		return sendResult{
			result: balance.Broken,
			status: response.StatusCode,
			reason: "the answer is not this request's",
		}
	}
	s.recordSignals(ticket, sentAt, &answer)
	if answer.ServerLoad.Slots > 0 {
		h.Metrics.recordPace(answer.ServerLoad.Pace)
		ticket.UpdateLoad(h.Now(), balance.Load{
			Running: answer.ServerLoad.Running,
			Waiting: answer.ServerLoad.Waiting,
			Pace:    answer.ServerLoad.Pace,
		})
	}
	if answer.NotRun {
		return s.handleRefusal(exchange, ticket, &answer)
	}
	if s.route.Kind == route.Stream && response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		return s.passStream(ctx, exchange, ticket, &answer)
	}
	return s.readBuffered(ctx, exchange, ticket)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// classifySendError maps a send without an answer to its result.
func (s *requestState) classifySendError(ctx context.Context, err error) sendResult {
	result := sendResult{
		result: balance.Broken,
		proof:  proofOf(err),
		reason: err.Error(),
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
		result:    balance.Refused,
		proof:     refusedByServer,
		status:    exchange.Response.StatusCode,
		restUntil: answer.Signals.RestUntil,
		reason:    "the server refused the request",
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

// readBuffered reads an answer to its end before it is passed on: an answer that is cut on
// the way must not reach the client, and a request that may be repeated can go to another
// server instead. The server is done with the request then, however slowly the client reads.
func (s *requestState) readBuffered(ctx context.Context, exchange *upstream.Exchange, ticket *balance.Ticket) sendResult {
	response := exchange.Response
	ticket.RecordFirstByte(s.handler.Now())
	body, err := readAnswerBody(response.Body, response.ContentLength, &s.hold)
	if err != nil {
		return s.classifyReadError(ctx, response.StatusCode, err)
	}
	isFailure := response.StatusCode >= http.StatusInternalServerError || promisesNotRun(response.StatusCode)
	if isFailure || s.stream.started {
		exchange.ReleaseUnfinished()
	} else {
		exchange.Release()
	}
	exchange.Close()
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
	return sendResult{
		result:   balance.Answered,
		finished: true,
		answer:   answer,
		status:   answer.status,
	}
}

// classifyReadError maps an answer that was not read to its end to a result.
func (s *requestState) classifyReadError(ctx context.Context, status int, err error) sendResult {
	result := sendResult{
		result: balance.Broken,
		status: status,
		reason: "the answer was cut",
	}
	switch {
	case ctx.Err() != nil:
		result.result = balance.Left
	case errors.Is(err, httpsend.ErrNoRoom):
		s.handler.Metrics.recordNoRoom("Answer")
		result.result = balance.Left // the server is not to blame
		result.endsRequest = true
		result.reason = "the host has no memory left for the answer"
	case errors.Is(err, httpsend.ErrTooLarge):
		result.reason = "the answer is over the limit"
	}
	return result
}

// handleServerFailure keeps a server's failure answer, to be passed on if no later attempt
// succeeds. One that promises "not run" without the server's proof is not passed on.
func (s *requestState) handleServerFailure(answer *bufferedAnswer) sendResult {
	if !promisesNotRun(answer.status) {
		s.lastFailure = answer
		s.hold.KeepAnswer()
	}
	return sendResult{
		result: balance.Failed,
		status: answer.status,
		reason: "the server failed the request",
	}
}
