package relay

import (
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/backend"
)

// recordSignals records what a server's answer says about the requests that the server
// accepts. An answer of another server that has the address now says nothing about this one.
func (s *requestState) recordSignals(ticket *balance.Ticket, sentAt time.Time, answer *Answer) {
	if answer.Instance != "" && answer.Instance != ticket.Server {
		return
	}
	h := s.handler
	now := h.Now()
	change := ticket.Pressure.Record(sentAt, now, answer.Signals)
	if change == (backpressure.Change{}) {
		return
	}
	server := []zap.Field{
		zap.String("Server", string(ticket.Server)),
		zap.String("Incarnation", string(ticket.Incarnation)),
		zap.String("Request", string(s.request.ID)),
	}
	if change.LimitNamed {
		h.Metrics.recordSignal("RequestLimit")
		h.Log.Info("server names a request limit", append(server, zap.Float64("Limit", float64(answer.Signals.RequestLimit.Rate)))...)
	}
	if change.LimitEnded {
		h.Log.Info("server names no request limit any more", server...)
		h.ControlPlane.ReportLimitEnded(newPermitAsk(ticket, backend.RequestLimit{}, sentAt))
	}
	if change.RestBegan {
		h.Metrics.recordSignal("Rest")
		h.Log.Info("server asks for rest", append(server, zap.Duration("For", answer.Signals.RestUntil.Sub(now)))...)
	}
	if change.LeavingBegan {
		h.Metrics.recordSignal("Leaving")
		h.Log.Info("server says that it is leaving", server...)
	}
}
