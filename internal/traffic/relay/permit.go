package relay

import (
	"context"
	"slices"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/unit"
)

const (
	// permitPatience is how long a request waits for a permit while other servers may answer.
	permitPatience = 30 * time.Millisecond
	// permitTTL is how long after its instant a permit can be used: a host that was suspended
	// must not send all that has waited there at once.
	permitTTL = 250 * time.Millisecond
)

// permit is the right to send one request to a server with a request limit. The zero value is
// that of a request without one.
type permit struct {
	limit     unit.Rate
	expiresAt time.Time
}

// takeOpenTicket takes a ticket for a server that accepts the request by its own word. Where no
// server does now, it books the first instant at which one does; if that is too late for the
// request, closedUntil is set.
func (s *requestState) takeOpenTicket(ctx context.Context, criteria balance.Criteria) (*balance.Ticket, balance.Verdict) {
	ticket, verdict := s.takePermittedTicket(ctx, criteria, s.handler.Now().Add(permitPatience))
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
// has a permit free by sendBy.
func (s *requestState) takePermittedTicket(ctx context.Context, criteria balance.Criteria, sendBy time.Time) (*balance.Ticket, balance.Verdict) {
	criteria.Tried = slices.Clone(criteria.Tried)
	for {
		ticket, verdict := s.takeQueuedTicket(ctx, criteria)
		if ticket == nil || s.acquirePermit(ctx, ticket, sendBy) {
			return ticket, verdict
		}
		criteria.Tried = append(criteria.Tried, ticket.Server)
		s.endSend(ticket, s.handler.Now(), balance.Left)
		if ctx.Err() != nil {
			return nil, balance.NoneTakes
		}
	}
}

// acquirePermit gets the permit for a send, if the server has a limit, and delays the send until
// the permit's instant.
func (s *requestState) acquirePermit(ctx context.Context, ticket *balance.Ticket, sendBy time.Time) bool {
	s.permit = permit{}
	state := ticket.Pressure.State()
	if !state.HasLimit {
		return true
	}
	ask := newPermitAsk(ticket, backend.RequestLimit{
		Statement: backend.LimitNamed,
		Rate:      state.Limit,
	}, state.LimitNamedAt)
	ask.NeedsSend = true
	ask.SendBy = sendBy
	answer := s.handler.ControlPlane.Permit(ctx, ask)
	ticket.Pressure.LearnLimit(answer.Limit, answer.LimitAt)
	if answer.Outcome != permits.Granted {
		ticket.Pressure.SetPermitAt(answer.SendAt)
		if !answer.SendAt.After(sendBy) {
			s.undecidedUntil = answer.SendAt
		}
		return false
	}
	if answer.SendAt.After(ticket.SendAt) {
		ticket.SendAt = answer.SendAt
	}
	s.permit = permit{
		limit:     ticket.Pressure.State().Limit,
		expiresAt: ticket.SendAt.Add(permitTTL),
	}
	return true
}

// mayStillSend reports whether what the server's answers have said meanwhile allows a send
// whose time has come.
func (s *requestState) mayStillSend(ticket *balance.Ticket) bool {
	state := ticket.Pressure.State()
	now := s.handler.Now()
	switch {
	case state.IsLeaving || state.IsResting(now):
		return false
	case state.HasLimit:
		return state.Limit >= s.permit.limit && now.Before(s.permit.expiresAt)
	}
	return true
}

func newPermitAsk(ticket *balance.Ticket, limit backend.RequestLimit, at time.Time) permits.Ask {
	return permits.Ask{
		Server:      ticket.Server,
		Incarnation: ticket.Incarnation,
		Region:      ticket.Region,
		Limit:       limit,
		LimitAt:     at,
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
