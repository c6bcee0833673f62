// Package decisions keeps the newest decisions of a host and why they were
// taken, so that an operator can ask about one by its id: a request that was
// refused or failed, an attempt that was lost, a move of a model.
//
// A Log is bounded, to 1 MiB and the texts in it: each kind has a ring of its
// own, so that a storm of refusals pushes out older refusals and nothing else.
// Adding costs a short critical section and no allocation once the ring is full;
// only failures and moves are added, never a request that was answered.
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
// A decision lives on the host that took it and goes with it; what several hosts
// gave is put in one order by Merge.
package decisions

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Kind tells what was decided.
type Kind string

// The kinds of decisions.
const (
	// KindFailure is a request that was refused or given up.
	KindFailure Kind = "Failure"
	// KindLoss is an attempt at a backend server that fell silent.
	KindLoss Kind = "LostAttempt"
	// KindMove is an order to load or unload weights.
	KindMove Kind = "Move"
)

// Bounds of a Log: 4,096 decisions in all.
const (
	maxFailures = 2560
	maxLosses   = 1024
	maxMoves    = 512
	// maxText bounds what callers and backend servers have a part in: a message,
	// and the name of a model, which can be as long as a request's body.
	maxText = 512
)

// Decision is one decision with its reason and numbers. Fields that its kind
// does not have are zero.
type Decision struct {
	Kind Kind
	At   time.Time
	// Host is the host that decided; Add fills it in.
	Host ident.HostID
	// Team is empty where the request was refused before its team was known, and
	// for weights that no team declares any more.
	Team    ident.TeamName
	Request ident.RequestID
	Attempt ident.AttemptID
	Order   ident.OrderID
	// Target is a model, an adapter or a plain service.
	Target string
	Class  ident.ClassName
	Server ident.ServerName
	// Code is the failure's code, or what a move's order does.
	Code string
	// Run says of a failure whether the request was run.
	Run string
	// Message says why, in words; of a move it is the reason's name.
	Message string
	RetryAt time.Time
	// Have and Want are replicas of the model that gains, before a move.
	Have int
	Want int
}

// Query asks for decisions.
type Query struct {
	// ID is a request's, attempt's or order's; empty asks for the newest.
	ID string
	// Team sees its own decisions, unless AllTeams is set. Those of no team are
	// shown to whoever knows their id.
	Team     ident.TeamName
	AllTeams bool
	// Limit bounds the answer; MaxLimit where it is zero or more than that.
	Limit int
}

// MaxLimit is the most that one answer has.
const MaxLimit = 200

func (q *Query) limit() int {
	if q.Limit <= 0 || q.Limit > MaxLimit {
		return MaxLimit
	}
	return q.Limit
}

func (q *Query) takes(d *Decision) bool {
	if q.ID == "" {
		return q.AllTeams || d.Team == q.Team
	}
	if string(d.Request) != q.ID && string(d.Order) != q.ID && string(d.Attempt) != q.ID {
		return false
	}
	return q.AllTeams || d.Team == q.Team || d.Team == ""
}

// Log keeps a host's newest decisions. It is safe for many goroutines; a nil
// Log keeps nothing.
type Log struct {
	host     ident.HostID
	mu       sync.Mutex
	failures ring
	losses   ring
	moves    ring
}

// NewLog gives an empty log of a host.
func NewLog(host ident.HostID) *Log {
	return &Log{
		host:     host,
		failures: ring{most: maxFailures},
		losses:   ring{most: maxLosses},
		moves:    ring{most: maxMoves},
	}
}

// Add keeps a decision and lets the oldest of its kind go where there is no
// room.
func (l *Log) Add(d Decision) {
	if l == nil {
		return
	}
	d.Host = l.host
	d.Message = shortened(d.Message)
	d.Target = shortened(d.Target)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch d.Kind {
	case KindFailure:
		l.failures.add(&d)
	case KindLoss:
		l.losses.add(&d)
	case KindMove:
		l.moves.add(&d)
	}
}

// Find gives the decisions that a query asks for, the newest first.
func (l *Log) Find(q Query) []Decision {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return Merge(q.limit(), l.failures.find(&q), l.losses.find(&q), l.moves.find(&q))
}
