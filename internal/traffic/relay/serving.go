package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/upstream"
	"cicadaloom/internal/traffic/limiter"
)

// requestState is the state of one request in progress.
type requestState struct {
	handler *Handler
	writer  http.ResponseWriter
	ctx     context.Context
	arrived time.Time
	request request.Request
	route   *route.Route
	// routes is the table that the route is of.
	routes *routetable.Table
	// account is the client's account, nil if it has none. hidesKey is set if the
	// configuration has accounts: their keys must not be forwarded.
	account  *account.Account
	hidesKey bool
	// grant is what the request may use of the account's limit.
	grant   quota.Grant
	service ident.ServiceName
	// engine describes the models of the service's engines, nil for services without
	// models.
	engine *route.Engine
	pool   *balance.Pool
	// deadline is when the request must have its answer: the client's own deadline or the
	// route's, whichever is earlier; zero if there is none.
	deadline time.Time
	history  outcome.AttemptHistory
	// proof is the strongest proof of the sends that did not run the request.
	proof proof
	tried []ident.ServerName
	// sends counts all sends, arrivals the sends that may have reached a server, runs the
	// sends that may have run, and detours the sends that a detour replaces.
	sends    int
	arrivals int
	detours  int
	runs     int
	// stream is the state of a streamed answer that has started.
	stream stream
	// build is the only build of the software that may go on with the stream; empty if any may
	// answer.
	build ident.Build
	// releaseReservation releases the engine's slot that is reserved for the current send;
	// nil without a reservation.
	releaseReservation func()
	// queued reports that the scheduler could not reserve a slot yet, and is to be asked
	// again.
	queued bool
	// overloadedFor is for how long all engines that can answer are booked ahead, set if
	// that is too long for this request.
	overloadedFor time.Duration
	// closedUntil is when the first server accepts a request again by its own word, set if that
	// is too late for this request.
	closedUntil time.Time
	// undecidedUntil is when permits may be asked for again after no issuer has decided.
	undecidedUntil time.Time
	// permit is that of the current send, until it is settled.
	permit limiter.Permit
	// queueTime is how long the request waited for its turn at engines; prefillTime is the
	// expected prefill at the engine of the last send.
	queueTime   time.Duration
	prefillTime time.Duration
	fingerprint ident.Fingerprint
	verdict     suspects.Verdict
	// crashingBuilds are the builds of the software that crash under a part of the prompt,
	// hasSuspectPart is whether others may do so.
	crashingBuilds []ident.Build
	hasSuspectPart bool
	// answerBegun is whether the server of the current send has begun its answer.
	answerBegun bool
	// lastFailure is the last failure answer of a server, to be passed on if no later
	// attempt succeeds.
	lastFailure *bufferedAnswer
	// hold counts the bytes of the request's body and of the answer that is read.
	hold heldbytes.Hold
}

// Limits on one request.
const (
	// maxSends bounds the sends of one request, including those that provably did not run.
	maxSends = 4
	// serverPollInterval is how often a request that waits for a server tries again, even
	// without a change in the pool.
	serverPollInterval = 40 * time.Millisecond
	// serverWaitShare is the share of a request's time that it may wait for its weights to
	// be loaded; after that too little time is left to answer.
	serverWaitShare = 0.6
)

// Values of Retry-After.
const (
	// busyRetryAfter is when a service whose servers are all busy or unavailable may have
	// free capacity again.
	busyRetryAfter = 400 * time.Millisecond
	// loadRetryAfter is when weights that no server holds may have been loaded.
	loadRetryAfter = 1500 * time.Millisecond
)

func (s *requestState) serve(services map[ident.ServiceName]route.Service) {
	h := s.handler
	s.deadline = s.arrived.Add(s.route.Timeout)
	if s.route.Timeout <= 0 {
		s.deadline = time.Time{}
	}
	if d := s.request.Deadline; !d.IsZero() && (s.deadline.IsZero() || d.Before(s.deadline)) {
		s.deadline = d
	}
	if s.refuseIfTooLate() {
		return
	}
	s.service = routetable.PickService(s.route, h.Random())
	ctx, cancel := s.withDeadline(s.deadline)
	defer cancel()
	if s.isResumption() && !s.bindToOrigin(ctx) {
		return
	}
	s.engine = services[s.service].Engine
	s.pool = h.ControlPlane.Pool(s.service)
	if s.pool == nil {
		s.refuse(busyRetryAfter, "no server of the service is known")
		return
	}
	if s.engine != nil && !s.engine.Declares(s.request.Model, s.request.Adapter) {
		// Such a request could wait until its deadline. Undeclared weights must not count
		// as demand: a client could make the leader try to load them for ever.
		s.refuse(loadRetryAfter, "the weights are not declared")
		return
	}
	s.fingerprint = s.request.Fingerprint(accountName(s.account))
	if s.isRefusedSuspect() {
		s.endRefusedSuspect()
		return
	}
	if !s.admit() {
		return
	}
	h.Budget.CountRequest(s.arrived, s.service)
	s.pool.CountArrival(s.request.Weights(), s.request.PromptTokens)
	upstream.RemoveHopByHop(s.request.Header)
	for s.attemptSend(ctx) {
	}
}

// withDeadline returns a context that ends when the client leaves, at the deadline if there
// is one, or when the host shuts down.
func (s *requestState) withDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	var ctx context.Context
	var cancel context.CancelFunc
	if deadline.IsZero() {
		ctx, cancel = context.WithCancel(s.ctx)
	} else {
		ctx, cancel = context.WithDeadline(s.ctx, deadline)
	}
	release := context.AfterFunc(s.handler.Shutdown, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// attemptSend makes one send. It reports whether another one is to follow.
func (s *requestState) attemptSend(ctx context.Context) bool {
	h := s.handler
	if s.arrivals > 0 && !s.mayRetry(ctx) {
		s.abandon("the retry budget is spent")
		return false
	}
	ticket := s.takeServer(ctx)
	if ticket == nil {
		return false
	}
	if s.refuseIfTooLate() {
		s.dropTicket(ticket)
		return false
	}
	if s.hasLostKey(ctx) {
		s.dropTicket(ticket)
		s.endWithoutKey()
		return false
	}
	if s.isRefusedSuspect() {
		s.dropTicket(ticket)
		s.endRefusedSuspect()
		return false
	}
	if slices.Contains(s.crashingBuilds, ticket.Build) {
		s.dropTicket(ticket)
		return true
	}
	s.answerBegun = false
	attempt := ident.AttemptID(strconv.Itoa(s.sends))
	s.sends++
	s.tried = append(s.tried, ticket.Server)
	s.history.RecordSend(attempt)
	sent := s.send(ctx, ticket)
	now := h.Now()
	switch sent.result {
	case balance.Unreached:
	case balance.Detoured:
		s.detours++
	default:
		s.arrivals++
	}
	s.endSend(ticket, now, sent.result)
	s.recordProof(&sent)
	if sent.proof != "" {
		s.history.RecordRefusal(attempt)
	} else {
		s.runs++
	}
	s.logSend(ticket, &sent, now)
	s.reportSuspect(ticket, &sent, now)
	if sent.finished {
		s.recordStreamGap()
		if sent.answer != nil {
			s.writeAnswer(sent.answer)
		}
		s.logDone(sent.status, sent.reason)
		return false
	}
	return s.retryOrEnd(ctx, &sent)
}

// takeServer chooses a server and waits until the request is to be sent there. A server whose
// answers have said meanwhile that it accepts no request is not sent to: another one is chosen.
// It returns nil after it has ended the request.
func (s *requestState) takeServer(ctx context.Context) *balance.Ticket {
	for {
		ticket := s.chooseServer(ctx)
		if ticket == nil || !s.waitToSend(ctx, ticket) {
			return nil
		}
		if s.mayStillSend(ticket) {
			return ticket
		}
		s.dropTicket(ticket)
	}
}

// mayRetry takes a retry token from this host's budget, or borrows one that other hosts do
// not need. A send that reached no server needs no token: the next send is the first that
// arrives.
func (s *requestState) mayRetry(ctx context.Context) bool {
	h := s.handler
	return h.Budget.Take(h.Now(), s.service) || h.ControlPlane.Borrow(ctx, s.service)
}

// recordStreamGap reports to the pool whether an engine's stream paused for too long. A
// stream that continued at another engine is not counted: its pause says nothing about how
// an engine interleaves prefill with its streams.
func (s *requestState) recordStreamGap() {
	if s.engine != nil && s.stream.started && s.route.EventGap > 0 && s.runs <= 1 {
		s.pool.RecordStream(s.stream.longestGap > s.route.EventGap)
	}
}

// waitToSend waits until the time that the scheduler set for the send. It reports whether
// the request is still wanted then.
func (s *requestState) waitToSend(ctx context.Context, ticket *balance.Ticket) bool {
	h := s.handler
	s.prefillTime = ticket.PrefillTime
	wait := ticket.SendAt.Sub(h.Now())
	s.queueTime += max(wait, 0)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	}
	s.dropTicket(ticket)
	s.endCancelled()
	return false
}

// dropTicket releases a ticket whose request is not sent.
func (s *requestState) dropTicket(ticket *balance.Ticket) {
	s.settlePermit(ticket, limiter.NotSent())
	s.endSend(ticket, s.handler.Now(), balance.Left)
}

// endSend releases the ticket and the reservation of a send that has ended.
func (s *requestState) endSend(ticket *balance.Ticket, now time.Time, result balance.Result) {
	ticket.Done(now, result)
	if result == balance.Unreached {
		s.settlePermit(ticket, limiter.NotSent())
	}
	s.settlePermit(ticket, limiter.Unanswered()) // unless it is settled
	if s.releaseReservation != nil {
		s.releaseReservation()
		s.releaseReservation = nil
	}
}

// endCancelled ends a request whose client has left or whose deadline has passed.
func (s *requestState) endCancelled() {
	if s.ctx.Err() != nil {
		s.abort("the client has left")
	}
	s.timeOut()
}

// retryOrEnd decides whether another send follows one that brought no answer, and ends the
// request if not.
func (s *requestState) retryOrEnd(ctx context.Context, sent *sendResult) bool {
	switch {
	case s.ctx.Err() != nil:
		s.abort("the client has left")
	case ctx.Err() != nil || s.isPastDeadline():
		s.timeOut()
	case sent.endsRequest || sent.proof == "" && !s.route.MayRepeat():
		s.abandon(sent.reason)
	case s.runs >= s.route.MaxAttempts || s.hasSentEnough() || s.runs > 0 && s.mayCrashAnother():
		s.abandon(sent.reason)
	default:
		return true
	}
	return false
}

// hasSentEnough reports whether the request has been sent as often as is allowed.
func (s *requestState) hasSentEnough() bool {
	return s.sends-min(s.detours, maxSends) >= maxSends
}

// isPastDeadline reports whether the deadline has passed. The connection's own deadline is
// set to the same time as the context's and may fire first: the request must then be
// neither sent again nor reported as a broken connection.
func (s *requestState) isPastDeadline() bool {
	return !s.deadline.IsZero() && !s.handler.Now().Before(s.deadline)
}
