package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/upstream"
)

// serving is one request on its way.
type serving struct {
	handler       *Handler
	writer        http.ResponseWriter
	ctx           context.Context
	arrived       time.Time
	request       request.Request
	route         *route.Route
	configuration route.Version
	service       ident.ServiceName
	// engine is what the service's servers can hold, nil for those without models.
	engine *route.Engine
	pool   *balance.Pool
	// deadline is when the request must have its answer: the client's own or the
	// route's, whichever is first.
	deadline time.Time
	trail    outcome.Trail
	tried    []ident.ServerName
	// sends counts all sends, runs those that may have run.
	sends int
	runs  int
	// stream is the state of an answer that has begun.
	stream stream
	// leavePlace gives back the place at an engine that the last send was booked for.
	leavePlace func()
	// queued tells that the prompt has waited at its pacer, and may ask again.
	queued bool
	// fullFor is for how long all engines that can answer are booked ahead, where that
	// is too long.
	fullFor time.Duration
	// paced is how long the request waited for its turn at engines, reading how long
	// the last one was expected to read it.
	paced       time.Duration
	reading     time.Duration
	fingerprint ident.Fingerprint
	verdict     suspects.Verdict
	// last is the last answer that a server gave on failing, to be passed on if
	// nothing better comes.
	last *wholeAnswer
}

// Bounds on one request.
const (
	// maxSends bounds the sends of one request, those that did not run included.
	maxSends = 4
	// pollChoice is how often a request that waits for a server looks again,
	// whatever the control says meanwhile.
	pollChoice = 40 * time.Millisecond
	// waitShare is the part of a request's time that it may wait for its weights to
	// be loaded; after it, there would be too little left to answer in.
	waitShare = 0.6
)

// Times to come back.
const (
	// retryBusy is when a service whose servers are all busy or away may have
	// room again.
	retryBusy = 400 * time.Millisecond
	// retryLoad is when weights that are held nowhere may have been loaded.
	retryLoad = 1500 * time.Millisecond
)

func (s *serving) serve(services map[ident.ServiceName]route.Service) {
	h := s.handler
	s.deadline = s.arrived.Add(s.route.Timeout)
	if s.route.Timeout <= 0 {
		s.deadline = time.Time{}
	}
	if d := s.request.Deadline; !d.IsZero() && (s.deadline.IsZero() || d.Before(s.deadline)) {
		s.deadline = d
	}
	s.service = routetable.Share(s.route, h.Dice())
	s.engine = services[s.service].Engine
	s.pool = h.Knowledge.Pool(s.service)
	if s.pool == nil {
		s.refuse(retryBusy, "no server of the service is known")
		return
	}
	if s.engine != nil && !s.engine.Declares(s.request.Model, s.request.Adapter) {
		// It could wait for as long as it likes, and what nobody has declared must not
		// count as demand: a client could make the holder load it for ever.
		s.refuse(retryLoad, "the weights are not declared")
		return
	}
	if !s.unsuspected() {
		return
	}
	h.Budget.Arrived(s.arrived, s.service)
	s.pool.Arrived(s.request.Weights(), s.request.Prompt)
	upstream.RemovePerConnection(s.request.Header)
	ctx, cancel := s.limited()
	defer cancel()
	for s.attempt(ctx) {
	}
}

// limited gives a context that ends with the client, at the deadline, or with the
// host.
func (s *serving) limited() (context.Context, context.CancelFunc) {
	var ctx context.Context
	var cancel context.CancelFunc
	if s.deadline.IsZero() {
		ctx, cancel = context.WithCancel(s.ctx)
	} else {
		ctx, cancel = context.WithDeadline(s.ctx, s.deadline)
	}
	release := context.AfterFunc(s.handler.Ended, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// attempt makes one send. It tells whether another one is to be made.
func (s *serving) attempt(ctx context.Context) bool {
	h := s.handler
	if s.sends > 0 && !h.Budget.Take(h.Now(), s.service) {
		s.giveUp("the retry budget is spent")
		return false
	}
	ticket := s.choose(ctx)
	if ticket == nil {
		return false
	}
	if !s.pace(ctx, ticket) {
		return false
	}
	attempt := ident.AttemptID(strconv.Itoa(s.sends))
	s.sends++
	s.tried = append(s.tried, ticket.Server)
	s.trail.Sending(attempt)
	sent := s.send(ctx, ticket)
	now := h.Now()
	s.endSend(ticket, now, sent.result)
	if sent.proof {
		s.trail.Refused(attempt)
	} else {
		s.runs++
	}
	s.logSend(ticket, &sent, now)
	s.noteSuspect(ticket, &sent)
	if sent.finished {
		s.noteStream()
		s.done(sent.status, sent.why)
		return false
	}
	return s.goOn(ctx, &sent)
}

// noteStream tells the pool whether the stream of an engine paused for too long. One that
// went on at another engine says nothing of how prompts are read.
func (s *serving) noteStream() {
	if s.engine != nil && s.stream.begun && s.route.Gap > 0 && s.runs <= 1 {
		s.pool.Streamed(s.stream.longestGap > s.route.Gap)
	}
}

// pace waits until the prompt may be sent.
func (s *serving) pace(ctx context.Context, ticket *balance.Ticket) bool {
	h := s.handler
	s.reading = ticket.Reading
	wait := ticket.SendAt.Sub(h.Now())
	s.paced += max(wait, 0)
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
	s.endSend(ticket, h.Now(), balance.Left)
	s.leave()
	return false
}

// endSend tells all who count what is under way at servers that a send has ended.
func (s *serving) endSend(ticket *balance.Ticket, now time.Time, result balance.Result) {
	ticket.Done(now, result)
	if s.leavePlace != nil {
		s.leavePlace()
		s.leavePlace = nil
	}
}

// leave ends a request whose client has left or whose time is over.
func (s *serving) leave() {
	if s.ctx.Err() != nil {
		s.abort("the client has left")
	}
	s.timeOut()
}

// goOn decides whether a send that brought no answer is followed by another.
func (s *serving) goOn(ctx context.Context, sent *sent) bool {
	switch {
	case s.ctx.Err() != nil:
		s.abort("the client has left")
	case ctx.Err() != nil || s.overdue():
		s.timeOut()
	case !sent.proof && !s.route.MayRepeat():
		s.giveUp(sent.why)
	case s.runs >= s.route.MaxAttempts || s.sends >= maxSends || s.verdict != suspects.Serve && s.runs > 0:
		s.giveUp(sent.why)
	default:
		return true
	}
	return false
}

// overdue tells that the time is over. The connection's own deadline is the same
// instant as the context's, and may fire first: the request must then neither be sent
// again nor end as one whose connection broke.
func (s *serving) overdue() bool {
	return !s.deadline.IsZero() && !s.handler.Now().Before(s.deadline)
}

// choose takes a server, and waits for one while that may still bring an answer.
func (s *serving) choose(ctx context.Context) *balance.Ticket {
	h := s.handler
	ask := balance.Ask{
		Weights: s.request.Weights(),
		Parts:   s.request.Parts,
		Prompt:  s.request.Prompt,
		Tried:   s.tried,
		Dice:    h.Dice(),
	}
	ticket, verdict := s.take(ctx, ask)
	for ticket == nil && s.queued && ctx.Err() == nil {
		ticket, verdict = s.take(ctx, ask)
	}
	if ticket != nil || s.full() {
		return ticket
	}
	if len(s.tried) > 0 && verdict == balance.NoneTakes {
		ask.Tried = nil // better the same server again than none
	}
	if verdict == balance.NoneHolds {
		s.pool.Missed(ask.Weights)
	}
	end := s.pool.Wait(ask.Weights)
	defer end()
	until := s.waitUntil()
	timer := time.NewTimer(pollChoice)
	defer timer.Stop()
	for {
		if verdict == balance.NoneHolds {
			h.Knowledge.Miss()
		}
		changed := s.pool.Changed()
		if ticket, verdict = s.take(ctx, ask); ticket != nil || s.full() {
			return ticket
		}
		if s.queued && ctx.Err() == nil {
			continue
		}
		if !h.Now().Before(until) {
			s.refuseWait(verdict)
			return nil
		}
		timer.Reset(pollChoice)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			s.leave()
			return nil
		}
	}
}

// take takes a server, if one takes the request: for a prompt the one that the pacer
// chooses, to be sent to when it says.
func (s *serving) take(ctx context.Context, ask balance.Ask) (*balance.Ticket, balance.Verdict) {
	h := s.handler
	if s.engine == nil {
		return s.pool.Take(h.Now(), ask)
	}
	s.queued = false
	offers, verdict := s.pool.Offers(h.Now(), ask)
	if verdict != balance.Found {
		return nil, verdict
	}
	begun := h.Now()
	slot, leave := h.Knowledge.Reserve(ctx, s.request.Model, s.prompt(offers))
	s.paced += h.Now().Sub(begun)
	switch {
	case slot.Full:
		s.fullFor = slot.Ahead
		return nil, balance.NoneTakes
	case !slot.Booked:
		s.queued = true
		return nil, balance.NoneTakes
	}
	ticket := s.pool.Hold(h.Now(), ask, slot)
	if ticket == nil {
		leave()
		return nil, balance.NoneTakes // the engine has gone, or is full, since the offer
	}
	s.leavePlace = leave
	return ticket, balance.Found
}

// prompt tells the pacer what it needs to know of the request.
func (s *serving) prompt(offers []pacing.Candidate) *pacing.Prompt {
	return &pacing.Prompt{
		Candidates: offers,
		Clear:      s.pool.Clear(),
		Ticket:     pacing.Ticket(s.handler.Dice()),
		Objective:  s.arrived.Add(s.route.Objective),
		GiveUp:     s.giveUpAt(),
		Priority:   s.route.Priority,
	}
}

// full ends a request that no engine can begin in time.
func (s *serving) full() bool {
	if s.fullFor == 0 {
		return false
	}
	s.giveUpUntil(s.returnIn(), "the engines have too much before them")
	return true
}

// returnIn is when a caller may come back that no engine could begin in time. What it
// waited for lasts for some seconds, a load or a crowd; who comes back sooner is refused
// again. The spread keeps those that were refused together from coming together.
func (s *serving) returnIn() time.Duration {
	spread := float64(s.handler.Dice()%1024) / 1024
	return time.Duration(float64(max(s.fullFor, leastReturn)) * (1 + returnSpread*spread))
}

const (
	leastReturn  = 1500 * time.Millisecond
	returnSpread = 0.25
)

// Bounds on how long a prompt waits for an engine. Its caller leaves when nothing has
// come for some seconds, and what it waited for is lost: on a played day 2,400 callers
// left so within 35 s, and others would have been served in their place. The less urgent
// wait less, so that the more urgent find room; but who is still in time by its objective
// waits on.
const (
	mostAhead        = 1500 * time.Millisecond
	lessByPriority   = 200 * time.Millisecond
	leastUrgentAhead = 4
)

// giveUpAt is when a prompt no longer waits for an engine. One that has been sent before
// may still be answered, and waits for as long as its time goes on.
func (s *serving) giveUpAt() time.Time {
	if s.sends > 0 {
		return s.deadline
	}
	most := mostAhead - time.Duration(min(s.route.Priority, leastUrgentAhead))*lessByPriority
	at := s.arrived.Add(max(most, s.route.Objective))
	if !s.deadline.IsZero() && s.deadline.Before(at) {
		return s.deadline
	}
	return at
}

// waitUntil is when a request that no server takes is given up.
func (s *serving) waitUntil() time.Time {
	if s.deadline.IsZero() {
		return s.arrived.Add(retryLoad)
	}
	return s.arrived.Add(time.Duration(waitShare * float64(s.deadline.Sub(s.arrived))))
}

func (s *serving) refuseWait(verdict balance.Verdict) {
	if verdict == balance.NoneHolds {
		s.giveUpUntil(retryLoad, "no server holds the weights")
		return
	}
	s.giveUpUntil(retryBusy, "no server takes the request")
}

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

// readBody reads a request's body of at most limit bytes.
func readBody(body io.Reader, length, limit int64) ([]byte, bool, error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > 0 {
		read := make([]byte, length)
		_, err := io.ReadFull(body, read)
		return read, true, err
	}
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	return read, int64(len(read)) <= limit, err
}
