package relay

import (
	"net/http"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/suspects"
)

// allowedBySuspects refuses a request with the same content as requests under which servers
// have crashed. Some requests crash each server that runs them, and are sent again with the
// same content; each time all other requests in flight at that server are lost too.
// Requests without a body can't be told apart by content, since many are alike, and are
// never suspected.
func (s *requestState) allowedBySuspects() bool {
	if len(s.request.Body) == 0 {
		return true
	}
	s.fingerprint = s.request.Fingerprint()
	s.verdict = s.handler.ControlPlane.Verdict(s.fingerprint)
	if s.verdict == suspects.Refuse {
		s.fail(http.StatusBadGateway, "servers have died under this request")
		return false
	}
	return true
}

// reportSuspect reports what a send's result says about the request's content.
func (s *requestState) reportSuspect(ticket *balance.Ticket, sent *sendResult) {
	if len(s.request.Body) == 0 {
		return
	}
	switch {
	case sent.result == balance.Broken && !sent.provedNotRun:
		s.handler.ControlPlane.ReportLostAttempt(suspects.LostAttempt{
			Fingerprint: s.fingerprint,
			Request:     s.request.ID,
			Address:     ticket.Address,
			ServerIncarnation: suspects.ServerIncarnation{
				Server:      ticket.Server,
				Incarnation: ticket.Incarnation,
			},
		})
	case sent.result == balance.Answered && s.verdict == suspects.ServeAlone:
		s.handler.ControlPlane.ReportCleared(s.fingerprint)
	}
}
