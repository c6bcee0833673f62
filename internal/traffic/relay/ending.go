package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/upstream"
)

// abandon ends a request that can't be sent again. Where all servers have asked for rest, its
// client may retry when the first of them accepts requests again.
func (s *requestState) abandon(reason string) {
	now := s.handler.Now()
	retryAfter := busyRetryAfter
	if opensAt, isClosed := s.pool.OpensAt(now, balance.Criteria{Weights: s.request.Weights()}); isClosed {
		retryAfter = max(retryAfter, s.spread(opensAt.Sub(now)))
	}
	s.abandonWithRetryAfter(retryAfter, reason)
}

func (s *requestState) abandonWithRetryAfter(retryAfter time.Duration, reason string) {
	switch {
	case s.stream.started:
		s.abort(reason)
	case s.history.Outcome().IsNotRun():
		s.refuse(retryAfter, reason)
	case s.lastFailure != nil:
		s.writeAnswer(s.lastFailure)
		s.logDone(s.lastFailure.status, reason)
	default:
		s.fail(http.StatusBadGateway, reason)
	}
}

func (s *requestState) timeOut() {
	reason := "the time is over"
	if s.handler.Shutdown.Err() != nil {
		reason = "the host stops"
	}
	switch {
	case s.stream.started:
		s.abort(reason)
	case s.history.Outcome().IsNotRun():
		s.refuse(busyRetryAfter, reason)
	default:
		s.fail(http.StatusGatewayTimeout, reason)
	}
}

// refuse answers that the request has not run, and when to retry.
func (s *requestState) refuse(retryAfter time.Duration, reason string) {
	s.refuseWith(http.StatusServiceUnavailable, retryAfter, reason)
}

// refuseWith answers 502 instead if the attempt history doesn't prove that the request has not run.
func (s *requestState) refuseWith(status int, retryAfter time.Duration, reason string) {
	if s.proofNotRun() == "" {
		s.fail(http.StatusBadGateway, reason)
		return
	}
	s.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	s.fail(status, reason)
}

// fail answers with an error of this host.
func (s *requestState) fail(status int, reason string) {
	header := s.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	s.writer.WriteHeader(status)
	_, _ = io.WriteString(s.writer, reason+"\n") // an error means that the client has left
	s.logDone(status, reason)
}

// abort closes the client's connection without completing the answer.
func (s *requestState) abort(reason string) {
	s.logDone(0, reason)
	panic(http.ErrAbortHandler)
}

// writeAnswer passes a server's complete answer to the client.
func (s *requestState) writeAnswer(answer *bufferedAnswer) {
	copyHeader(s.writer.Header(), answer.header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(answer.length()))
	s.writer.WriteHeader(answer.status)
	s.dropBody()
	s.writeParts(answer.body)
}

func copyHeader(to, from http.Header) {
	upstream.RemoveHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		to["Content-Type"] = nil // keeps net/http from guessing a type
	}
}

// logDone logs and counts the outcome of the request.
func (s *requestState) logDone(status int, reason string) {
	now := s.handler.Now()
	s.refundUnused()
	s.handler.Metrics.recordAnswer(s.route, status, now.Sub(s.arrived))
	notRun := s.proofNotRun()
	if promisesNotRun(status) {
		s.handler.Metrics.recordPromise(status, notRun)
	}
	if s.account != nil {
		s.handler.Metrics.recordAccount(s.account.Name, status, s.grant.Amount)
	}
	s.handler.Log.Info("answered",
		zap.String("Request", string(s.request.ID)),
		zap.String("Route", s.routeName()),
		zap.Duration("Objective", s.objective()),
		zap.Duration("AllowedGap", s.allowedGap()),
		zap.Int64("Configuration", int64(s.configurationVersion())),
		zap.String("Account", string(accountName(s.account))),
		zap.String("Service", string(s.service)),
		zap.String("Model", string(s.request.Model)),
		zap.String("Adapter", string(s.request.Adapter)),
		zap.Int64("Prompt", int64(s.request.PromptTokens)),
		zap.String("Server", string(s.lastServer())),
		zap.String("Build", string(s.build)),
		zap.String("ResumedRequest", string(s.request.ResumedRequest)),
		zap.String("ResumeAfter", s.request.ResumeAfter),
		zap.Int("Status", status),
		zap.Int("Sends", s.sends),
		zap.String("Outcome", s.history.Outcome().String()),
		zap.String("Proof", string(notRun)),
		zap.Duration("Took", now.Sub(s.arrived)),
		zap.Duration("Paced", s.queueTime),
		zap.Duration("Reading", s.prefillTime),
		zap.Duration("FirstEvent", s.stream.firstEventAfter),
		zap.Duration("LongestGap", s.stream.longestGap),
		zap.String("Why", reason),
	)
}

// lastServer is the server of the last send, empty if there was none.
func (s *requestState) lastServer() ident.ServerName {
	if len(s.tried) == 0 {
		return ""
	}
	return s.tried[len(s.tried)-1]
}

// configurationVersion is the version of the configuration that decided on the request, 0 if
// none did.
func (s *requestState) configurationVersion() route.Version {
	if s.routes == nil {
		return 0
	}
	return s.routes.Configuration().Version
}

func (s *requestState) objective() time.Duration {
	if s.route == nil {
		return 0
	}
	return s.route.Objective
}

func (s *requestState) allowedGap() time.Duration {
	if s.route == nil {
		return 0
	}
	return s.route.EventGap
}

func (s *requestState) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}

func (s *requestState) logSend(ticket *balance.Ticket, sent *sendResult, now time.Time) {
	s.handler.Metrics.recordSend(s.service, sent.result)
	if sent.result == balance.Answered {
		return
	}
	s.handler.Log.Info("send failed",
		zap.String("Request", string(s.request.ID)),
		zap.String("Server", string(ticket.Server)),
		zap.String("Incarnation", string(ticket.Incarnation)),
		zap.String("Build", string(ticket.Build)),
		zap.String("LastEvent", s.stream.lastEventID),
		zap.String("Result", string(sent.result)),
		zap.Int("Status", sent.status),
		zap.Bool("ProvedNotRun", sent.proof != ""),
		zap.String("Proof", string(sent.proof)),
		zap.String("Connection", sent.connection.String()),
		zap.Int("ConnectionRequests", sent.connection.Requests),
		zap.Duration("Rest", max(sent.restUntil.Sub(now), 0)),
		zap.Duration("Expected", ticket.ExpectedFirstByte),
		zap.Duration("After", now.Sub(s.arrived)),
		zap.String("Caller", s.request.Caller),
		zap.String("Path", s.request.Path),
		zap.Uint64("Fingerprint", uint64(s.fingerprint)),
		zap.Int("BodySize", len(s.request.Body)),
		zap.Uint64s("PromptParts", partIDs(s.request.PromptParts)),
		zap.String("Why", sent.reason),
	)
}

// partIDs returns the ids of a prompt's parts, in order.
func partIDs(parts []request.PromptPart) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for i := range parts {
		ids = append(ids, parts[i].ID)
	}
	return ids
}
