package backpressure

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/unit"
)

// brittleStatement is what an answer has said about the refusals that its server bears.
type brittleStatement struct {
	// maxRefusals is how many refusals a second the server bears, 0 if it is not brittle.
	maxRefusals unit.Rate
	at          time.Time
}

// isEndedBy reports whether an answer that says nothing of refusals, to a request sent at sentAt,
// ends the statement.
func (b *brittleStatement) isEndedBy(sentAt time.Time) bool {
	return b != nil && b.maxRefusals > 0 && sentAt.After(b.at)
}

// brittleService is what the servers of a service have said last.
type brittleService struct {
	statement atomic.Pointer[brittleStatement]
}

func (s *brittleService) last() *brittleStatement {
	if s == nil {
		return nil
	}
	return s.statement.Load()
}

// statementTTL is how long a server's own statement takes precedence over that of its service. It
// is shorter than the time from a server's first such statement until it may fall over.
const statementTTL = 2 * time.Second

// MaxRefusals returns how many refusals a second the server bears from all hosts together, 0 if it
// is not brittle.
func (s *Server) MaxRefusals(now time.Time) unit.Rate {
	if s == nil {
		return 0
	}
	own := s.statement.Load()
	if own != nil && now.Sub(own.at) < statementTTL {
		return own.maxRefusals
	}
	latest := own
	if said := s.service.Load().last(); said != nil {
		latest = said
	}
	if latest == nil {
		return 0
	}
	return latest.maxRefusals
}

// recordStatement applies what an answer that arrived now, to a request sent at sentAt, says about
// refusals, nothing if maxRefusals is 0. It reports whether the server has become brittle.
func (s *Server) recordStatement(sentAt, now time.Time, maxRefusals unit.Rate) bool {
	service := s.service.Load()
	if maxRefusals == 0 && !s.statement.Load().isEndedBy(sentAt) && !service.last().isEndedBy(sentAt) {
		return false
	}
	wasBrittle := s.MaxRefusals(now) > 0
	statement := &brittleStatement{
		maxRefusals: maxRefusals,
		at:          now,
	}
	s.statement.Store(statement)
	if service != nil && service.accepts(statement) {
		service.statement.Store(statement)
	}
	return maxRefusals > 0 && !wasBrittle
}

// accepts reports whether a server's statement applies to its service. The end of brittleness does
// once no server has stated otherwise for statementTTL.
func (s *brittleService) accepts(statement *brittleStatement) bool {
	known := s.statement.Load()
	return statement.maxRefusals > 0 || known != nil && statement.at.Sub(known.at) >= statementTTL
}

// maxAsks is how many asks for permits a host may have in progress for a brittle server: more of
// them would load the issuer, and are refused together.
const maxAsks = 16

// BeginAsk counts an ask for a permit that begins, which EndAsk ends. It returns false if there are
// too many.
func (s *Server) BeginAsk() bool {
	if s.asks.Add(1) <= maxAsks {
		return true
	}
	s.asks.Add(-1)
	return false
}

// EndAsk ends an ask.
func (s *Server) EndAsk() {
	s.asks.Add(-1)
}
