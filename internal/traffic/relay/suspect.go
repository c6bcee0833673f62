package relay

import (
	"net/http"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/suspects"
)

// unsuspected refuses a request of a content under which servers have died. Now and
// then one request crashes each server that runs it, and comes again with the same
// content; each time it takes all that runs beside it. Requests without a body are
// not told apart by their content: many of them are alike, and none is suspected.
func (s *serving) unsuspected() bool {
	if len(s.request.Body) == 0 {
		return true
	}
	s.fingerprint = s.request.Fingerprint()
	s.verdict = s.handler.Knowledge.Verdict(s.fingerprint)
	if s.verdict == suspects.Refuse {
		s.fail(http.StatusBadGateway, "servers have died under this request")
		return false
	}
	return true
}

// noteSuspect tells what a send says of the request's content.
func (s *serving) noteSuspect(ticket *balance.Ticket, sent *sent) {
	if len(s.request.Body) == 0 {
		return
	}
	switch {
	case sent.result == balance.Broken && !sent.proof:
		s.handler.Knowledge.Lost(suspects.Loss{
			Fingerprint: s.fingerprint,
			Request:     s.request.ID,
			Address:     ticket.Address,
			Life: suspects.Life{
				Server:      ticket.Server,
				Incarnation: ticket.Incarnation,
			},
		})
	case sent.result == balance.Answered && s.verdict == suspects.Alone:
		s.handler.Knowledge.Cleared(s.fingerprint)
	}
}
