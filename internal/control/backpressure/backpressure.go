// Package backpressure keeps what backend servers' answers say about the requests that they
// accept, for one host.
//
// A Table has a Server for each incarnation of a backend server. The signals of each answer are
// recorded there, and the State is checked before each send. Servers outlive the lists of servers
// that other packages keep: a server that leaves the list and returns is treated as before.
//
// # Usage
//
//	var table backpressure.Table
//	server := table.ServerOf("booking", "i-7f3a91c2", "1778468908392")
//	change := server.Record(sentAt, now, signals)
//	if server.State().HasLimit || server.MaxRefusals(now) > 0 {
//		// ask for a permit before the next send
//	}
//
// # Order of answers
//
// Answers on different connections overtake each other. An answer without a limit ends the
// limit only if its request was sent after an answer last named one.
//
// # Brittle servers
//
// All servers of a service are brittle at the same time, and a server that falls over returns as a
// new incarnation. So what one of them says applies to those that have not answered lately. Hosts
// send each other the latest statement of each service (Table.Brittleness, Table.LearnBrittleness):
// a host may get its first answer of a service when its servers are full.
//
// A Table and its Servers are safe for concurrent use and start no goroutines. A nil Server
// accepts all requests.
package backpressure

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Table keeps the servers of one host. The zero value is ready to use.
type Table struct {
	mu       sync.Mutex
	servers  map[serverKey]*Server
	services map[ident.ServiceName]*brittleService
}

type serverKey struct {
	name        ident.ServerName
	incarnation ident.Incarnation
}

// Server is one incarnation of a backend server.
type Server struct {
	mu sync.Mutex
	// state is nil while nothing is known.
	state atomic.Pointer[State]
	// service is nil while it isn't known. statement is nil while the server has said nothing of
	// refusals.
	service   atomic.Pointer[brittleService]
	statement atomic.Pointer[backend.Brittleness]
	// asks counts this host's asks for permits that are in progress.
	asks atomic.Int64
	// unlistedSince is when the server was first found missing from the list, zero while it is
	// listed. The Table's mutex guards it.
	unlistedSince time.Time
}

// State is what a server has last asked for.
type State struct {
	// HasLimit is whether the server names a request limit. Limit is the limit, and LimitNamedAt
	// when an answer last named one.
	HasLimit     bool
	Limit        unit.Rate
	LimitNamedAt time.Time
	// PermitAt is when the next permit for the server is expected to be free.
	PermitAt time.Time
	// RestUntil is until when the server wants no requests from this host.
	RestUntil time.Time
	// IsLeaving is whether the server has said that it is about to end. An incarnation that
	// leaves does not return.
	IsLeaving bool
}

// OpensAt returns when the server accepts the next request of this host, a past instant or zero
// for at once.
func (s *State) OpensAt() time.Time {
	if s.PermitAt.After(s.RestUntil) {
		return s.PermitAt
	}
	return s.RestUntil
}

// RequestLimit returns the limit as the server has stated it.
func (s *State) RequestLimit() backend.RequestLimit {
	if !s.HasLimit {
		return backend.RequestLimit{}
	}
	return backend.RequestLimit{
		Statement: backend.LimitNamed,
		Rate:      s.Limit,
	}
}

// IsResting reports whether the server wants no requests from this host now.
func (s *State) IsResting(now time.Time) bool {
	return s.RestUntil.After(now)
}

// Change is what an answer has changed.
type Change struct {
	// LimitNamed is whether the answer names another limit than the one before, or the first;
	// LimitEnded is whether it ends the limit.
	LimitNamed bool
	LimitEnded bool
	// RestBegan is whether the answer asks for rest, which the server did not want before.
	// LeavingBegan is whether it is the first to say that the server leaves.
	RestBegan    bool
	LeavingBegan bool
	// BrittleBegan is whether the server was not known to be brittle before.
	BrittleBegan bool
}

// retention is for how long a server that is not listed is remembered.
const retention = time.Hour

// Server returns a server, a new one if it is not known; nil from a nil Table. incarnation is
// empty while it isn't known.
func (t *Table) Server(name ident.ServerName, incarnation ident.Incarnation) *Server {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := serverKey{
		name:        name,
		incarnation: incarnation,
	}
	server, known := t.servers[key]
	if !known {
		server, known = t.adoptUnknown(key)
	}
	if !known {
		server = &Server{}
		if t.servers == nil {
			t.servers = make(map[serverKey]*Server)
		}
		t.servers[key] = server
	}
	return server
}

// ServerOf is Server for a server whose service is known.
func (t *Table) ServerOf(service ident.ServiceName, name ident.ServerName, incarnation ident.Incarnation) *Server {
	server := t.Server(name, incarnation)
	if server != nil && service != "" && server.service.Load() == nil {
		server.service.Store(t.service(service))
	}
	return server
}

func (t *Table) service(name ident.ServiceName) *brittleService {
	t.mu.Lock()
	defer t.mu.Unlock()
	service, known := t.services[name]
	if !known {
		service = &brittleService{}
		if t.services == nil {
			t.services = make(map[ident.ServiceName]*brittleService)
		}
		t.services[name] = service
	}
	return service
}

// adoptUnknown moves the entry of a server without a known incarnation to the first incarnation
// that becomes known.
func (t *Table) adoptUnknown(key serverKey) (*Server, bool) {
	unknown := serverKey{
		name: key.name,
	}
	server, found := t.servers[unknown]
	if found {
		delete(t.servers, unknown)
		t.servers[key] = server
	}
	return server, found
}

// Sweep forgets the servers that have not been listed for retention. It is to be called
// regularly.
func (t *Table) Sweep(now time.Time, isListed func(name ident.ServerName, incarnation ident.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, server := range t.servers {
		switch {
		case isListed(key.name, key.incarnation):
			server.unlistedSince = time.Time{}
		case server.unlistedSince.IsZero():
			server.unlistedSince = now
		case now.Sub(server.unlistedSince) > retention:
			delete(t.servers, key)
		}
	}
}

// State returns what the server has last asked for. It must not be changed.
func (s *Server) State() *State {
	if s == nil {
		return &noState
	}
	if state := s.state.Load(); state != nil {
		return state
	}
	return &noState
}

// noState is the state of a server that has asked for nothing.
var noState State

// Record applies the signals of an answer that arrived now, to a request sent at sentAt.
func (s *Server) Record(sentAt, now time.Time, signals backend.Signals) Change {
	if s == nil {
		return Change{}
	}
	brittleBegan := s.RecordBrittleness(sentAt, now, signals.MaxRefusals)
	if signals == (backend.Signals{}) && s.state.Load() == nil {
		return Change{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := *s.State()
	change := state.applyLimit(sentAt, now, signals.RequestLimit)
	change.BrittleBegan = brittleBegan
	wasResting := state.IsResting(now)
	change.LeavingBegan = signals.IsLeaving && !state.IsLeaving
	if signals.RestUntil.After(state.RestUntil) {
		state.RestUntil = signals.RestUntil
	}
	change.RestBegan = state.IsResting(now) && !wasResting
	state.IsLeaving = state.IsLeaving || signals.IsLeaving
	s.state.Store(&state)
	return change
}

func (s *State) applyLimit(sentAt, now time.Time, limit backend.RequestLimit) Change {
	switch limit.Statement {
	case backend.LimitNamed:
		change := Change{
			LimitNamed: !s.HasLimit || s.Limit != limit.Rate,
		}
		s.HasLimit, s.Limit, s.LimitNamedAt = true, limit.Rate, now
		return change
	case backend.LimitNone:
		if s.HasLimit && sentAt.After(s.LimitNamedAt) {
			s.endLimit()
			return Change{
				LimitEnded: true,
			}
		}
	case backend.LimitUnreadable:
	}
	return Change{}
}

func (s *State) endLimit() {
	s.HasLimit, s.Limit, s.PermitAt = false, 0, time.Time{}
}

// SetPermitAt records when the next permit is expected to be free.
func (s *Server) SetPermitAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := *s.State()
	state.PermitAt = at
	s.state.Store(&state)
}

// DelayPermit records that no permit for a brittle server is free until then, unless an earlier
// instant is known.
func (s *Server) DelayPermit(now, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := *s.State()
	if state.PermitAt.After(now) && state.PermitAt.Before(until) {
		return
	}
	state.PermitAt = until
	s.state.Store(&state)
}

// FreePermit records that a permit for a brittle server has become free.
func (s *Server) FreePermit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := *s.State()
	if state.HasLimit || state.PermitAt.IsZero() {
		return
	}
	state.PermitAt = time.Time{}
	s.state.Store(&state)
}

// LearnLimit applies a statement about the limit that another host has received, if it is newer
// than this host's. Only the server's own answers start a limit.
func (s *Server) LearnLimit(limit backend.RequestLimit, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := *s.State()
	if !state.HasLimit || !at.After(state.LimitNamedAt) {
		return
	}
	switch limit.Statement {
	case backend.LimitNamed:
		state.Limit, state.LimitNamedAt = limit.Rate, at
	case backend.LimitNone:
		state.endLimit()
	case backend.LimitUnreadable:
		return
	}
	s.state.Store(&state)
}
