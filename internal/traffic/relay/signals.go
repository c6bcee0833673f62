package relay

import (
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/traffic/limiter"
)

// recordSignals records what a server's answer says about the requests that the server
// accepts. An answer of another server that has the address now says nothing about this one.
func (s *requestState) recordSignals(ticket *balance.Ticket, sentAt time.Time, answer *Answer) {
	if answer.Instance != "" && answer.Instance != ticket.Server {
		return
	}
	h := s.handler
	target := targetOf(ticket)
	change := target.Record(h.Log, zap.String("Request", string(s.request.ID)), sentAt, h.Now(), answer.Signals)
	h.Metrics.recordSignals(change)
	s.settlePermit(ticket, limiter.Answered(h.Now(), answer.Signals.IsFull))
	if change.BrittleBegan {
		h.ControlPlane.ReportBrittle()
	}
	if change.LimitEnded {
		h.ControlPlane.ReportLimitEnded(target.LimitEnded(sentAt))
	}
}
