// Package decisions keeps the newest decisions of a host and the reasons for them,
// so that an operator can look one up by its id: a request that was refused or
// failed, an attempt that was lost, a move of a model.
//
// A Log is bounded, to 1 MiB plus the texts in it. Each kind of decision has its own
// ring buffer, so that many refusals evict older refusals but nothing else. Once the
// ring is full, adding takes a short critical section and no allocation. Only
// failures, lost attempts and moves are added, never a request that was answered.
//
// # Usage
//
//	log := decisions.NewLog("entry-1")
//	log.Add(decisions.Decision{
//		Kind:    decisions.KindFailure,
//		At:      now,
//		Request: "req-7",
//		Code:    "too_busy",
//	})
//	found := log.Find(decisions.Query{
//		ID:       "req-7",
//		AllTeams: true,
//	})
//
// Decisions are kept only in the memory of the host that made them. Merge combines
// the decisions found on several hosts into one list.
package decisions

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	// KindFailure is a request that was refused or abandoned.
	KindFailure Kind = "Failure"
	// KindLostAttempt is an attempt at a backend server that stopped responding.
	KindLostAttempt Kind = "LostAttempt"
	// KindMove is an order to load or unload weights.
	KindMove Kind = "Move"
)

// Limits of a Log: 4,096 decisions in all.
const (
	maxFailures     = 2560
	maxLostAttempts = 1024
	maxMoves        = 512
	// maxTextBytes bounds the texts that callers and backend servers influence: a
	// message, and the name of a model, which can be as long as a request's body.
	maxTextBytes = 512
)

// Decision is one decision with its reason and numbers. Fields that its kind does
// not have are zero.
type Decision struct {
	Kind Kind
	At   time.Time
	// Host is the host that made the decision; Add sets it.
	Host ident.HostID
	// Team is empty if the request was refused before its team was known, and
	// for weights that no team declares any more.
	Team    ident.TeamName
	Request ident.RequestID
	Attempt ident.AttemptID
	Order   ident.OrderID
	// Target is a model, an adapter or a plain service.
	Target string
	Class  ident.ClassName
	Server ident.ServerName
	// Code is a failure's code, or the kind of a move's order.
	Code string
	// Run says, for a failure, whether the request was executed.
	Run string
	// Message gives the reason in words; for a move it is the reason's name.
	Message string
	RetryAt time.Time
	// ReadyReplicas and WantedReplicas are those of the model that gains a
	// replica, before the move.
	ReadyReplicas  int
	WantedReplicas int
}

// Query selects decisions.
type Query struct {
	// ID is the id of a request, attempt or order; empty selects the newest
	// decisions.
	ID string
	// Team sees its own decisions only, unless AllTeams is set. Decisions without
	// a team are also shown to any team that gives their id.
	Team     ident.TeamName
	AllTeams bool
	// Limit bounds the number of decisions returned; if it is zero or greater
	// than MaxLimit, MaxLimit does.
	Limit int
}

// MaxLimit is the maximum number of decisions that a query returns.
const MaxLimit = 200

func (q *Query) limit() int {
	if q.Limit <= 0 || q.Limit > MaxLimit {
		return MaxLimit
	}
	return q.Limit
}

func (q *Query) matches(d *Decision) bool {
	if q.ID == "" {
		return q.AllTeams || d.Team == q.Team
	}
	if string(d.Request) != q.ID && string(d.Order) != q.ID && string(d.Attempt) != q.ID {
		return false
	}
	return q.AllTeams || d.Team == q.Team || d.Team == ""
}

// Log keeps a host's newest decisions. It is safe for concurrent use. A nil Log
// keeps nothing.
type Log struct {
	host         ident.HostID
	mu           sync.Mutex
	failures     ring
	lostAttempts ring
	moves        ring
}

// NewLog returns an empty log for a host.
func NewLog(host ident.HostID) *Log {
	return &Log{
		host:         host,
		failures:     ring{capacity: maxFailures},
		lostAttempts: ring{capacity: maxLostAttempts},
		moves:        ring{capacity: maxMoves},
	}
}

// Add stores a decision. If there is no room it replaces the oldest decision of the
// same kind.
func (l *Log) Add(d Decision) {
	if l == nil {
		return
	}
	d.Host = l.host
	d.Message = truncate(d.Message)
	d.Target = truncate(d.Target)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch d.Kind {
	case KindFailure:
		l.failures.add(&d)
	case KindLostAttempt:
		l.lostAttempts.add(&d)
	case KindMove:
		l.moves.add(&d)
	}
}

// Find returns the decisions that a query selects, the newest first.
func (l *Log) Find(q Query) []Decision {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return Merge(q.limit(), l.failures.find(&q), l.lostAttempts.find(&q), l.moves.find(&q))
}
