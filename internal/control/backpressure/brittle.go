package backpressure

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/unit"
)

// brittleService is what the servers of a service have said last about the refusals that they bear.
type brittleService struct {
	statement atomic.Pointer[backend.Brittleness]
}

func (s *brittleService) last() backend.Brittleness {
	if s == nil {
		return backend.Brittleness{}
	}
	return valueOf(&s.statement)
}

// learn applies a statement. It reports whether the service has become brittle.
func (s *brittleService) learn(statement backend.Brittleness) bool {
	for {
		known := s.statement.Load()
		var before backend.Brittleness
		if known != nil {
			before = *known
		}
		merged := before.Merge(statement)
		if merged == before {
			return false
		}
		if s.statement.CompareAndSwap(known, &merged) {
			return merged.MaxRefusals > 0 && before.MaxRefusals == 0
		}
	}
}

func valueOf(statement *atomic.Pointer[backend.Brittleness]) backend.Brittleness {
	if known := statement.Load(); known != nil {
		return *known
	}
	return backend.Brittleness{}
}

// statementTTL is how long a server's own statement takes precedence over that of its service. It
// is shorter than the time from a server's first such statement until it may fall over.
const statementTTL = 2 * time.Second

// Brittleness returns the statement that counts for the server now.
func (s *Server) Brittleness(now time.Time) backend.Brittleness {
	if s == nil {
		return backend.Brittleness{}
	}
	own, service := valueOf(&s.statement), s.service.Load().last()
	if service.StatedAt.IsZero() || now.Sub(own.StatedAt) < statementTTL {
		return own
	}
	return service
}

// MaxRefusals returns how many refusals a second the server bears from all hosts together, 0 if it
// is not brittle.
func (s *Server) MaxRefusals(now time.Time) unit.Rate {
	return s.Brittleness(now).MaxRefusals
}

// RecordBrittleness applies what an answer that arrived now, to a request sent at sentAt, says about
// refusals, nothing if maxRefusals is 0. It reports whether the server has become brittle.
func (s *Server) RecordBrittleness(sentAt, now time.Time, maxRefusals unit.Rate) bool {
	if s == nil {
		return false
	}
	service := s.service.Load()
	if maxRefusals == 0 && !isEndedBy(valueOf(&s.statement), sentAt) && !isEndedBy(service.last(), sentAt) {
		return false
	}
	wasBrittle := s.MaxRefusals(now) > 0
	statement := backend.Brittleness{
		MaxRefusals: maxRefusals,
		StatedAt:    now,
	}
	s.statement.Store(&statement)
	if service != nil {
		service.learn(statement)
	}
	return maxRefusals > 0 && !wasBrittle
}

// isEndedBy reports whether an answer that says nothing of refusals, to a request sent at sentAt,
// ends a statement.
func isEndedBy(statement backend.Brittleness, sentAt time.Time) bool {
	return statement.MaxRefusals > 0 && sentAt.After(statement.StatedAt)
}

const (
	// spreadTTL is how long after it was made a statement is sent to other hosts.
	spreadTTL = time.Minute
	// maxSpread bounds the statements in a message.
	maxSpread = 64
)

// Brittleness returns the latest statements of the services, for other hosts.
func (t *Table) Brittleness(now time.Time) []backend.ServiceBrittleness {
	t.mu.Lock()
	defer t.mu.Unlock()
	var statements []backend.ServiceBrittleness
	for name, service := range t.services {
		if last := service.last(); now.Sub(last.StatedAt) < spreadTTL {
			statements = append(statements, backend.ServiceBrittleness{
				Service:     name,
				Brittleness: last,
			})
		}
	}
	slices.SortFunc(statements, func(a, b backend.ServiceBrittleness) int {
		return cmp.Or(b.StatedAt.Compare(a.StatedAt), cmp.Compare(a.Service, b.Service))
	})
	return statements[:min(len(statements), maxSpread)]
}

// LearnBrittleness applies a statement that another host has received. It reports whether the service
// has become brittle.
func (t *Table) LearnBrittleness(statement backend.ServiceBrittleness) bool {
	return t.service(statement.Service).learn(statement.Brittleness)
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
