package relay

import (
	"net/http"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/suspects"
)

// isRefusedSuspect reports whether servers have crashed under the request, which its caller
// must have sent before. Some requests crash each server that runs them, and are sent again;
// each time all other requests in flight at that server are lost too.
func (s *requestState) isRefusedSuspect() bool {
	s.verdict = s.handler.ControlPlane.Verdict(s.fingerprint)
	return s.verdict == suspects.Refuse
}

func (s *requestState) endRefusedSuspect() {
	reason := "servers have died under this request"
	if s.stream.started {
		s.abort(reason)
	}
	s.fail(http.StatusBadGateway, reason)
}

// reportSuspect reports what a send's result says about the request.
func (s *requestState) reportSuspect(ticket *balance.Ticket, sent *sendResult, now time.Time) {
	answered := &s.handler.answered
	switch {
	case sent.result == balance.Broken && !sent.provedNotRun && !answered.Has(now, s.fingerprint):
		s.handler.ControlPlane.ReportLostAttempt(suspects.LostAttempt{
			Fingerprint: s.fingerprint,
			Request:     s.request.ID,
			Address:     ticket.Address,
			ServerIncarnation: suspects.ServerIncarnation{
				Server:      ticket.Server,
				Incarnation: ticket.Incarnation,
			},
			Unforeseen: len(s.request.Body) == 0 && s.verdict == suspects.Serve && s.runs <= 1,
		})
	case sent.result == balance.Answered:
		answered.Add(now, s.fingerprint)
		if s.verdict == suspects.ServeAlone {
			s.handler.ControlPlane.ReportCleared(s.fingerprint)
		}
	}
}
