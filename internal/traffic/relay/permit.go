package relay

import (
	"context"
	"slices"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/traffic/limiter"
)

// takeOpenTicket takes a ticket for a server that accepts the request by its own word. Where no
// server does now, it books the first instant at which one does; if that is too late for the
// request, closedUntil is set.
func (s *requestState) takeOpenTicket(ctx context.Context, criteria balance.Criteria) (*balance.Ticket, balance.Verdict) {
	ticket, verdict := s.takePermittedTicket(ctx, criteria, time.Time{})
	if ticket != nil || verdict != balance.NoneTakes || s.overloadedFor > 0 {
		return ticket, verdict
	}
	opensAt, isClosed := s.pool.OpensAt(s.handler.Now(), criteria)
	if !isClosed {
		return nil, verdict
	}
	until := s.openDeadline()
	if !opensAt.After(until) && !s.handler.Now().Before(s.undecidedUntil) {
		booking := criteria
		booking.AwaitsPermit = true
		if ticket, verdict = s.takePermittedTicket(ctx, booking, until); ticket != nil {
			return ticket, verdict
		}
		opensAt, isClosed = s.pool.OpensAt(s.handler.Now(), criteria)
	}
	if isClosed && opensAt.After(until) {
		s.closedUntil = opensAt
	}
	return nil, verdict
}

// openDeadline is until when a request waits for a server that accepts none now.
func (s *requestState) openDeadline() time.Time {
	if s.engine == nil {
		return s.serverWaitDeadline()
	}
	if until := s.queueDeadline(); !until.IsZero() {
		return until
	}
	return s.arrived.Add(loadRetryAfter)
}

// takePermittedTicket takes tickets until one is for a server without a limit, or for one that
// has a permit free at once, or until an instant.
func (s *requestState) takePermittedTicket(ctx context.Context, criteria balance.Criteria, until time.Time) (*balance.Ticket, balance.Verdict) {
	criteria.Tried = slices.Clone(criteria.Tried)
	for {
		ticket, verdict := s.takeQueuedTicket(ctx, criteria)
		if ticket == nil || s.acquirePermit(ctx, ticket, until) {
			return ticket, verdict
		}
		criteria.Tried = append(criteria.Tried, ticket.Server)
		s.dropTicket(ticket)
		if ctx.Err() != nil {
			return nil, balance.NoneTakes
		}
	}
}

// acquirePermit gets the permit for a send, if the server has a limit, and delays the send until
// the permit's instant.
func (s *requestState) acquirePermit(ctx context.Context, ticket *balance.Ticket, until time.Time) bool {
	target := targetOf(ticket)
	permit, answer := target.Acquire(ctx, s.handler.ControlPlane, s.handler.Now(), until)
	if answer.Outcome != permits.Granted {
		if !answer.SendAt.After(until) {
			s.undecidedUntil = answer.SendAt
		}
		return false
	}
	s.permit = permit
	if permit.SendAt.After(ticket.SendAt) {
		ticket.SendAt = permit.SendAt
	}
	return true
}

// mayStillSend reports whether a send whose time has come still goes to the incarnation that was
// chosen, and what the server's answers have said meanwhile allows it.
func (s *requestState) mayStillSend(ticket *balance.Ticket) bool {
	target := targetOf(ticket)
	return ticket.IsCurrent() && target.Allows(s.permit, ticket.SendAt, s.handler.Now())
}

// settlePermit tells the issuer of the current send's permit what came of it.
func (s *requestState) settlePermit(ticket *balance.Ticket, settled permits.Settlement) {
	target := targetOf(ticket)
	target.Settle(s.handler.ControlPlane, s.permit, settled)
	s.permit = limiter.Permit{}
}

func targetOf(ticket *balance.Ticket) limiter.Target {
	return limiter.Target{
		Server:      ticket.Server,
		Incarnation: ticket.Incarnation,
		Region:      ticket.Region,
		Pressure:    ticket.Pressure,
	}
}

// refuseIfClosed ends a request for which all servers have said that they accept none until
// later than it can wait. It reports whether it did.
func (s *requestState) refuseIfClosed() bool {
	if s.closedUntil.IsZero() {
		return false
	}
	s.abandonWithRetryAfter(s.spread(s.closedUntil.Sub(s.handler.Now())), "the servers accept no requests for now")
	return true
}
