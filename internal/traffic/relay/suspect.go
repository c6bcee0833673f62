package relay

import (
	"net/http"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/suspects"
)

// allowedBySuspects refuses a request that its caller has sent before, if servers have
// crashed under it. Some requests crash each server that runs them, and are sent again; each
// time all other requests in flight at that server are lost too.
func (s *requestState) allowedBySuspects() bool {
	s.fingerprint = s.request.Fingerprint()
	s.verdict = s.handler.ControlPlane.Verdict(s.fingerprint)
	if s.verdict == suspects.Refuse {
		s.fail(http.StatusBadGateway, "servers have died under this request")
		return false
	}
	return true
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
		})
	case sent.result == balance.Answered:
		answered.Add(now, s.fingerprint)
		if s.verdict == suspects.ServeAlone {
			s.handler.ControlPlane.ReportCleared(s.fingerprint)
		}
	}
}
