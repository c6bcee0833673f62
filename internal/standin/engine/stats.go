package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/server"
)

// maxCountedRequests bounds the requests whose runs are counted. The first ones
// are kept, so that no count restarts; runs of the rest add to RunsNotKept.
const maxCountedRequests = 1 << 17

// Stats are the engine's counters, over all its incarnations.
type Stats struct {
	Incarnation ident.Incarnation
	// Runs counts, for each request id, how often the engine started to run it.
	Runs        map[ident.RequestID]int
	RunsNotKept int
	// Completed counts whole answers, Cancelled the runs whose client disconnected
	// or cancelled, Failed those that a fault ended.
	Completed       int
	Cancelled       int
	Failed          int
	TokensGenerated int64
	OrdersReceived  int
	// Overcommits counts load orders that exceed the free memory.
	Overcommits int
	Crashes     int
	// RefusedLeaving counts requests that arrived while the engine was leaving.
	RefusedLeaving int `json:",omitempty"`
}

// counters holds Stats under a lock. The zero value is ready to use.
type counters struct {
	mu    sync.Mutex
	stats Stats
}

func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

func (c *counters) countRun(request ident.RequestID) {
	c.update(func(s *Stats) {
		if s.Runs == nil {
			s.Runs = make(map[ident.RequestID]int)
		}
		if _, known := s.Runs[request]; !known && len(s.Runs) >= maxCountedRequests {
			s.RunsNotKept++
			return
		}
		s.Runs[request]++
	})
}

func (c *counters) countOutcome(result outcome) {
	c.update(func(s *Stats) {
		switch result {
		case completed:
			s.Completed++
		case cancelled:
			s.Cancelled++
		case connectionCut, endedEarly:
			s.Failed++
		}
	})
}

func (c *counters) countToken() {
	c.update(func(s *Stats) { s.TokensGenerated++ })
}

func (c *counters) countOrder() {
	c.update(func(s *Stats) { s.OrdersReceived++ })
}

func (c *counters) countOvercommit() {
	c.update(func(s *Stats) { s.Overcommits++ })
}

func (c *counters) countCrash() {
	c.update(func(s *Stats) { s.Crashes++ })
}

func (c *counters) countRefusedLeaving() {
	c.update(func(s *Stats) { s.RefusedLeaving++ })
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.counters.mu.Lock()
	stats := e.counters.stats
	stats.Runs = maps.Clone(stats.Runs)
	e.counters.mu.Unlock()
	stats.Incarnation = e.Incarnation()
	return stats
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(e.Stats())
	server.WriteJSON(w, http.StatusOK, body, err)
}
