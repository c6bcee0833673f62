package relay

import (
	"cmp"
	"context"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

// chooseServer takes a ticket for a server, and waits for one while an answer in time is
// still possible. It returns nil after it has ended the request.
func (s *requestState) chooseServer(ctx context.Context) *balance.Ticket {
	h := s.handler
	criteria := balance.Criteria{
		Weights:  s.request.Weights(),
		Parts:    s.request.PromptParts,
		Prompt:   s.request.PromptTokens,
		Output:   cmp.Or(s.request.EstimatedOutputTokens, s.request.MaxOutputTokens),
		Deadline: s.deadline,
		EventGap: s.route.EventGap,
		Build:    s.build,
		Avoided:  s.crashingBuilds,
		Tried:    s.tried,
		Random:   h.Random(),
	}
	ticket, verdict := s.takeOpenTicket(ctx, criteria)
	if ticket != nil || s.refuseIfOverloaded() || s.refuseIfClosed() {
		return ticket
	}
	if len(s.tried) > 0 && verdict == balance.NoneTakes {
		criteria.Tried = nil // the same server again is better than none
	}
	return s.awaitServer(ctx, criteria, verdict)
}

// awaitServer waits for a server that accepts the request, until serverWaitDeadline. It
// returns nil after it has ended the request.
func (s *requestState) awaitServer(ctx context.Context, criteria balance.Criteria, verdict balance.Verdict) *balance.Ticket {
	h := s.handler
	if verdict == balance.NoneRuns {
		s.refuseWithoutBuild()
		return nil
	}
	if verdict == balance.NoneHolds {
		s.pool.CountMissing(criteria.Weights)
	}
	endWait := s.pool.CountWaiting(criteria.Weights)
	defer endWait()
	until := s.serverWaitDeadline()
	timer := time.NewTimer(serverPollInterval)
	defer timer.Stop()
	for {
		if verdict == balance.NoneHolds {
			h.ControlPlane.ReportMissingWeights()
		}
		if s.isRefusedSuspect() {
			s.endRefusedSuspect()
			return nil
		}
		if s.refuseIfTooLate() {
			return nil
		}
		criteria.Avoided = s.crashingBuilds
		changed := s.pool.Changed()
		var ticket *balance.Ticket
		if ticket, verdict = s.takeOpenTicket(ctx, criteria); ticket != nil || s.refuseIfOverloaded() || s.refuseIfClosed() {
			return ticket
		}
		if verdict == balance.NoneRuns {
			s.refuseWithoutBuild()
			return nil
		}
		if !h.Now().Before(until) {
			s.refuseUnserved(verdict)
			return nil
		}
		timer.Reset(serverPollInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			s.endCancelled()
			return nil
		}
	}
}

// takeQueuedTicket takes a ticket, and asks the prompt scheduler again for as long as it
// neither reserves a slot nor finds all engines overloaded, and the request may be sent.
func (s *requestState) takeQueuedTicket(ctx context.Context, criteria balance.Criteria) (*balance.Ticket, balance.Verdict) {
	ticket, verdict := s.takeTicket(ctx, criteria)
	for s.queued && ctx.Err() == nil && !s.isRefusedSuspect() {
		criteria.Avoided = s.crashingBuilds
		ticket, verdict = s.takeTicket(ctx, criteria)
	}
	return ticket, verdict
}

// takeTicket takes a ticket if a server accepts the request. For a prompt the scheduler
// chooses the engine and the time to send.
func (s *requestState) takeTicket(ctx context.Context, criteria balance.Criteria) (*balance.Ticket, balance.Verdict) {
	h := s.handler
	if s.engine == nil {
		return s.pool.Take(h.Now(), criteria)
	}
	s.queued = false
	candidates, verdict := s.pool.Candidates(h.Now(), criteria)
	if verdict != balance.Found {
		return nil, verdict
	}
	reserveStarted := h.Now()
	reservation, release := h.ControlPlane.Reserve(ctx, s.request.Model, s.newPrompt(candidates))
	s.queueTime += h.Now().Sub(reserveStarted)
	switch {
	case reservation.QueueFull:
		s.overloadedFor = reservation.StartDelay
		return nil, balance.NoneTakes
	case !reservation.Booked:
		s.queued = true
		return nil, balance.NoneTakes
	}
	ticket := s.pool.TakeReserved(h.Now(), criteria, reservation)
	if ticket == nil {
		release()
		return nil, balance.NoneTakes // the engine has left or filled up since it was listed as a candidate
	}
	s.releaseReservation = release
	return ticket, balance.Found
}

// newPrompt describes the request to the prompt scheduler.
func (s *requestState) newPrompt(candidates []pacing.Candidate) *pacing.Prompt {
	prompt := &pacing.Prompt{
		Candidates: candidates,
		PrefillGap: s.pool.PrefillCooldown(),
		Ticket:     pacing.Ticket(s.handler.Random()),
		Objective:  s.arrived.Add(s.route.Objective),
		AbandonAt:  s.queueDeadline(),
		Priority:   s.urgency(),
	}
	if s.hidesKey {
		prompt.Account = cmp.Or(accountName(s.account), noAccount)
		prompt.Weight = s.routes.Accounts().Weight(s.account)
	}
	return prompt
}

// noAccount stands for the account of all clients that have none, where others have one.
const noAccount ident.AccountName = "(none)"

// refuseIfOverloaded ends a request that no engine can start in time. It reports whether it
// did.
func (s *requestState) refuseIfOverloaded() bool {
	if s.overloadedFor == 0 {
		return false
	}
	s.abandonWithRetryAfter(s.overloadRetryAfter(), "the engines have too much before them")
	return true
}

// overloadRetryAfter is when a caller may retry if no engine could start its request in
// time. The cause, a model being loaded or an overload, lasts for some seconds; a caller
// that retries sooner is refused again. The random spread keeps callers that were refused
// together from retrying together. An account beyond its share may have no room for longer than
// its caller has time: it is told to come back while an answer would still be of use.
func (s *requestState) overloadRetryAfter() time.Duration {
	after := s.overloadedFor
	if s.hidesKey && !s.deadline.IsZero() {
		after = min(after, time.Duration(maxRetryAfterShare*float64(s.deadline.Sub(s.handler.Now()))))
	}
	return s.spread(max(after, minOverloadRetryAfter))
}

// spread extends a time by a random part.
func (s *requestState) spread(after time.Duration) time.Duration {
	random := float64(s.handler.Random()%1024) / 1024
	return time.Duration(float64(after) * (1 + retryAfterSpread*random))
}

const (
	// minOverloadRetryAfter is a little longer than loading a replica from disk takes. The
	// wait that the queue expects is often shorter, and a caller that retries then is
	// refused twice.
	minOverloadRetryAfter = 1500 * time.Millisecond
	// retryAfterSpread is the random part added to the time, as a share of it.
	retryAfterSpread = 0.25
)

// queueDeadline is when a prompt stops waiting for an engine. A request that has been sent
// before may still be answered, and waits until its deadline.
func (s *requestState) queueDeadline() time.Time {
	if s.sends > 0 {
		return s.deadline
	}
	at := s.arrived.Add(pacing.QueueTimeout(s.route.Objective, s.priority()))
	if !s.deadline.IsZero() && s.deadline.Before(at) {
		return s.deadline
	}
	return at
}

// serverWaitDeadline is when a request that no server accepts is abandoned.
func (s *requestState) serverWaitDeadline() time.Time {
	if s.deadline.IsZero() {
		return s.arrived.Add(loadRetryAfter)
	}
	return s.arrived.Add(time.Duration(serverWaitShare * float64(s.deadline.Sub(s.arrived))))
}

func (s *requestState) refuseUnserved(verdict balance.Verdict) {
	if verdict == balance.NoneHolds {
		s.abandonWithRetryAfter(loadRetryAfter, "no server holds the weights")
		return
	}
	s.abandonWithRetryAfter(busyRetryAfter, "no server takes the request")
}
