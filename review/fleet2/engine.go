package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// engine is what a server with models has loaded, as the pages describe it. All sizes are in MB.
type engine struct {
	// sizes are those of all models, memory is what the engine holds.
	sizes  map[string]float64
	memory float64

	mu       sync.Mutex
	loaded   map[string]bool
	busy     bool
	sequence int64
	fencing  int64
	// overcommitted is the order that asked for more than memory holds, empty if none did.
	overcommitted string
}

func newEngine(sizes map[string]float64, memory float64, loaded ...string) *engine {
	e := &engine{
		sizes:  sizes,
		memory: memory,
		loaded: make(map[string]bool),
	}
	for _, model := range loaded {
		e.loaded[model] = true
	}
	return e
}

func (e *engine) has(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded[model]
}

func (e *engine) count() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

// models lists what is loaded, as entries and reports do.
func (e *engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for name := range e.loaded {
		names = append(names, name)
	}
	sort.Strings(names)
	listed := []map[string]any{}
	for _, name := range names {
		listed = append(listed, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return listed
}

func (s *server) serveReport(w http.ResponseWriter) {
	models := s.engine.models()
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "models": models, "busy": s.engine.busy, "sequence": s.engine.sequence, "queued": max(running-s.slots, 0),
		"active": min(running, s.slots), "kv_used": 0, "kv_total": cacheTokens, "handles": 0, "born": s.born,
	})
}

type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Holder       string `json:"holder"`
	Fencing      int64  `json:"fencing_token"`
	Precondition *int64 `json:"precondition"`
}

// loadTime is how long an engine takes for an order.
const loadTime = time.Second

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var wanted order
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil || wanted.Holder == "" || wanted.Fencing == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, carryOut := s.engine.accept(&wanted)
	s.record.printf("server %s answers %d to the order of %s with token %d: %s %s", s.id, status, wanted.Holder, wanted.Fencing, wanted.Operation, wanted.Model)
	w.WriteHeader(status)
	if s.engine.isOvercommitted() {
		s.record.printf("server %s crashes: it was ordered to load more than it holds", s.id)
		go s.stop()
		return
	}
	if carryOut != nil {
		time.AfterFunc(loadTime, carryOut)
	}
}

func (e *engine) isOvercommitted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommitted != ""
}

// accept answers an order, and returns what carries it out if it is accepted.
func (e *engine) accept(wanted *order) (int, func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case wanted.Fencing < e.fencing:
		return http.StatusPreconditionFailed, nil
	case e.busy || wanted.Precondition != nil && *wanted.Precondition != e.sequence:
		return http.StatusConflict, nil
	}
	e.fencing = wanted.Fencing
	size, known := e.sizes[wanted.Model]
	isLoad := wanted.Operation == "load"
	switch {
	case !known || wanted.Adapter != "":
		return http.StatusBadRequest, nil
	case e.loaded[wanted.Model] == isLoad:
		return http.StatusOK, nil
	}
	e.sequence++
	e.busy = true
	used := size
	for name := range e.loaded {
		used += e.sizes[name]
	}
	if isLoad && used > e.memory {
		e.overcommitted = fmt.Sprintf("%s needs %.0f of %.0f", wanted.Model, used, e.memory)
	}
	return http.StatusAccepted, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy = false
		if isLoad {
			e.loaded[wanted.Model] = true
		} else {
			delete(e.loaded, wanted.Model)
		}
	}
}

// eventInterval is the time between two events of a stream.
const eventInterval = 200 * time.Millisecond

// serveStream answers with events for the time that the work takes.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range int(s.work / eventInterval) {
		select {
		case <-s.isGone:
			panic(http.ErrAbortHandler)
		default:
		}
		if !pause(r.Context(), eventInterval) {
			s.record.printf("server %s drops %s after %d events", s.id, id, n)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n+1, n+1, id)
		_ = control.Flush() // fails only if the caller has left
	}
	s.record.printf("server %s has completed %s", s.id, id)
}
