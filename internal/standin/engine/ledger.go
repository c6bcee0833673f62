package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/server"
)

// runsKept bounds the requests whose runs are counted. The first ones are
// kept, so that a count never begins anew; the rest are RunsNotKept.
const runsKept = 1 << 17

// Stats are the engine's counters, over all its lives.
type Stats struct {
	Incarnation ident.Incarnation
	// Runs counts, for each request id, how often the engine began to run it.
	Runs        map[ident.RequestID]int
	RunsNotKept int
	// Completed counts whole answers, Cancelled runs whose client went away or
	// cancelled, Failed those that a fault switch ended.
	Completed       int
	Cancelled       int
	Failed          int
	TokensGenerated int64
	OrdersReceived  int
	// Overcommits counts loads over the free memory.
	Overcommits int
	Crashes     int
	// RefusedLeaving counts requests that came although the engine was leaving.
	RefusedLeaving int `json:",omitempty"`
}

// ledger counts. Its zero value is empty.
type ledger struct {
	mu    sync.Mutex
	stats Stats
}

func (l *ledger) count(change func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.stats)
}

func (l *ledger) ran(request ident.RequestID) {
	l.count(func(s *Stats) {
		if s.Runs == nil {
			s.Runs = make(map[ident.RequestID]int)
		}
		if _, known := s.Runs[request]; !known && len(s.Runs) >= runsKept {
			s.RunsNotKept++
			return
		}
		s.Runs[request]++
	})
}

func (l *ledger) ended(how ending) {
	l.count(func(s *Stats) {
		switch how {
		case completed:
			s.Completed++
		case cancelled:
			s.Cancelled++
		case cutOff, endedEarly:
			s.Failed++
		}
	})
}

func (l *ledger) token() {
	l.count(func(s *Stats) { s.TokensGenerated++ })
}

func (l *ledger) orderReceived() {
	l.count(func(s *Stats) { s.OrdersReceived++ })
}

func (l *ledger) overcommitted() {
	l.count(func(s *Stats) { s.Overcommits++ })
}

func (l *ledger) crashed() {
	l.count(func(s *Stats) { s.Crashes++ })
}

func (l *ledger) refusedLeaving() {
	l.count(func(s *Stats) { s.RefusedLeaving++ })
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.ledger.mu.Lock()
	stats := e.ledger.stats
	stats.Runs = maps.Clone(stats.Runs)
	e.ledger.mu.Unlock()
	stats.Incarnation = e.Incarnation()
	return stats
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(e.Stats())
	server.WriteJSON(w, http.StatusOK, body, err)
}
