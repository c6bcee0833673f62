package relay

import (
	"context"
	"net/http"
	"strings"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/upstream"
)

// sent is what became of one send.
type sent struct {
	result balance.Result
	// finished tells that the client has its answer.
	finished bool
	// proof tells that the request did not run.
	proof  bool
	status int
	why    string
}

// wholeAnswer is an answer in one piece.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// maxWhole bounds the answers that are read before a byte is passed on.
const maxWhole = 16 << 20

// send sends the request to one server and passes the answer on, if it is one.
func (s *serving) send(ctx context.Context, ticket *balance.Ticket) sent {
	h := s.handler
	header := s.request.Header
	h.Codec.Encode(header, &Attempt{
		Server:      ticket.Server,
		Deadline:    s.deadline,
		Priority:    s.route.Priority,
		ResumeAfter: s.stream.lastID,
		Version:     s.stream.version,
	})
	exchange, err := h.Upstream.Send(ctx, upstream.Request{
		Address:  ticket.Address,
		Deadline: s.deadline,
		Method:   s.request.Method,
		Target:   s.request.Target,
		Host:     s.request.Host,
		Header:   header,
		Body:     s.request.Body,
		Once:     !s.route.MayRepeat(),
	})
	if err != nil {
		return s.unanswered(ctx, err)
	}
	defer exchange.Close()
	response := exchange.Response
	answer := h.Codec.DecodeAnswer(response.StatusCode, response.Header)
	if answer.Request != s.request.ID || !answer.Signed && !answer.NotRun {
		return sent{
			result: balance.Broken,
			status: response.StatusCode,
			why:    "the answer is not this request's",
		}
	}
	if answer.Load.Slots > 0 {
		ticket.Heard(answer.Load.Running, answer.Load.Waiting)
	}
	if answer.NotRun {
		return s.refusedBy(exchange, ticket, &answer)
	}
	if s.route.Kind == route.Stream && response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		return s.passStream(ctx, exchange, ticket, &answer)
	}
	return s.passWhole(ctx, exchange, ticket)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// unanswered sorts a send that brought no answer.
func (s *serving) unanswered(ctx context.Context, err error) sent {
	result := sent{
		result: balance.Broken,
		proof:  !upstream.MayHaveArrived(err),
		why:    err.Error(),
	}
	switch {
	case ctx.Err() != nil && s.ctx.Err() != nil:
		result.result = balance.Left
	case ctx.Err() != nil || s.overdue():
		result.result = balance.Silent
	case upstream.NotReached(err):
		result.result = balance.Unreached
	}
	return result
}

// refusedBy takes a server's proof that it did not run the request.
func (s *serving) refusedBy(exchange *upstream.Exchange, ticket *balance.Ticket, answer *Answer) sent {
	if _, err := httpsend.ReadBody(exchange.Response.Body, maxWhole); err == nil {
		exchange.Keep()
	}
	result := sent{
		result: balance.Refused,
		proof:  true,
		status: exchange.Response.StatusCode,
		why:    "the server refused the request",
	}
	switch {
	case answer.Misplaced && answer.Instance != "" && answer.Instance != ticket.Server:
		result.result = balance.Misplaced
		result.why = "another server has the address"
	case answer.Misplaced:
		result.result = balance.NotHeld
		result.why = "the server does not hold the weights"
	}
	return result
}

// passWhole reads an answer to its end and then passes it on: one that is cut on
// the way must not reach the client, and a request that may be repeated can go to
// another server instead.
func (s *serving) passWhole(ctx context.Context, exchange *upstream.Exchange, ticket *balance.Ticket) sent {
	response := exchange.Response
	ticket.Started(s.handler.Now())
	body, err := httpsend.ReadBody(response.Body, maxWhole)
	if err != nil {
		result := sent{
			result: balance.Broken,
			status: response.StatusCode,
			why:    "the answer was cut",
		}
		if ctx.Err() != nil {
			result.result = balance.Left
		}
		return result
	}
	exchange.Keep()
	answer := &wholeAnswer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return s.failedBy(answer)
	}
	if s.stream.begun {
		return sent{
			result: balance.Broken,
			status: response.StatusCode,
			why:    "the stream was not resumed",
		}
	}
	s.pass(answer)
	return sent{
		result:   balance.Answered,
		finished: true,
		status:   answer.status,
	}
}

// failedBy keeps a server's own failure, to be passed on if nothing better comes.
// A status that promises "not run" is not passed on without the server's proof.
func (s *serving) failedBy(answer *wholeAnswer) sent {
	if answer.status != http.StatusServiceUnavailable {
		s.last = answer
	}
	return sent{
		result: balance.Failed,
		status: answer.status,
		why:    "the server failed the request",
	}
}
