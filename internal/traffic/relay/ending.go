package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/upstream"
)

// giveUp ends a request that can't be sent again.
func (s *serving) giveUp(why string) {
	s.giveUpUntil(retryBusy, why)
}

func (s *serving) giveUpUntil(comeBack time.Duration, why string) {
	switch {
	case s.stream.begun:
		s.abort(why)
	case s.trail.Outcome().IsNotRun():
		s.refuse(comeBack, why)
	case s.last != nil:
		s.pass(s.last)
		s.done(s.last.status, why)
	default:
		s.fail(http.StatusBadGateway, why)
	}
}

func (s *serving) timeOut() {
	why := "the time is over"
	if s.handler.Ended.Err() != nil {
		why = "the host stops"
	}
	switch {
	case s.stream.begun:
		s.abort(why)
	case s.trail.Outcome().IsNotRun():
		s.refuse(retryBusy, why)
	default:
		s.fail(http.StatusGatewayTimeout, why)
	}
}

// refuse says that the request has not run, and when to come back. Its outcome
// comes from the trail: nobody can say so without proof.
func (s *serving) refuse(comeBack time.Duration, why string) {
	s.writer.Header().Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 2, 64))
	s.fail(http.StatusServiceUnavailable, why)
}

// fail answers with a failure of our own.
func (s *serving) fail(status int, why string) {
	header := s.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(why)+1))
	s.writer.WriteHeader(status)
	_, _ = io.WriteString(s.writer, why+"\n") // a client that has gone reads nothing
	s.done(status, why)
}

// abort ends the client's connection without an end of the answer.
func (s *serving) abort(why string) {
	s.done(0, why)
	panic(http.ErrAbortHandler)
}

// pass gives a server's whole answer to the client.
func (s *serving) pass(answer *wholeAnswer) {
	copyHeader(s.writer.Header(), answer.header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	s.writer.WriteHeader(answer.status)
	_, _ = s.writer.Write(answer.body) // a client that has gone reads nothing
}

func copyHeader(to, from http.Header) {
	upstream.RemovePerConnection(from)
	for name, values := range from {
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		to["Content-Type"] = nil // or net/http would guess one
	}
}

// done notes the outcome of the request.
func (s *serving) done(status int, why string) {
	now := s.handler.Now()
	s.handler.Metrics.answered(s.route, status, now.Sub(s.arrived))
	s.handler.Log.Info("answered",
		zap.String("Request", string(s.request.ID)),
		zap.String("Route", s.routeName()),
		zap.Duration("Objective", s.objective()),
		zap.Duration("AllowedGap", s.allowedGap()),
		zap.Int64("Configuration", int64(s.configuration)),
		zap.String("Service", string(s.service)),
		zap.String("Model", string(s.request.Model)),
		zap.String("Adapter", string(s.request.Adapter)),
		zap.Int64("Prompt", int64(s.request.Prompt)),
		zap.String("Server", string(s.lastServer())),
		zap.Int("Status", status),
		zap.Int("Sends", s.sends),
		zap.String("Outcome", s.trail.Outcome().String()),
		zap.Duration("Took", now.Sub(s.arrived)),
		zap.Duration("Paced", s.paced),
		zap.Duration("Reading", s.reading),
		zap.Duration("FirstEvent", s.stream.firstAfter),
		zap.Duration("LongestGap", s.stream.longestGap),
		zap.String("Why", why),
	)
}

// lastServer is the server that had the request last.
func (s *serving) lastServer() ident.ServerName {
	if len(s.tried) == 0 {
		return ""
	}
	return s.tried[len(s.tried)-1]
}

func (s *serving) objective() time.Duration {
	if s.route == nil {
		return 0
	}
	return s.route.Objective
}

func (s *serving) allowedGap() time.Duration {
	if s.route == nil {
		return 0
	}
	return s.route.Gap
}

func (s *serving) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}

func (s *serving) logSend(ticket *balance.Ticket, sent *sent, now time.Time) {
	s.handler.Metrics.sent(s.service, sent.result)
	if sent.result == balance.Answered {
		return
	}
	s.handler.Log.Info("send failed",
		zap.String("Request", string(s.request.ID)),
		zap.String("Server", string(ticket.Server)),
		zap.String("Incarnation", string(ticket.Incarnation)),
		zap.String("Result", string(sent.result)),
		zap.Int("Status", sent.status),
		zap.Bool("ProvedNotRun", sent.proof),
		zap.Duration("Expected", ticket.Expected),
		zap.Duration("After", now.Sub(s.arrived)),
		zap.String("Why", sent.why),
	)
}
