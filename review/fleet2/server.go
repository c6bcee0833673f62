package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server has begun.
type run struct {
	request string
	server  string
	at      time.Time
	// tenant and key are the headers with which the request came.
	tenant string
	key    string
}

// runs are the runs of all servers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(began run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, began)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// server is a backend server of a service without models, as the pages describe it. It serves one
// request at a time on a connection, for work each.
type server struct {
	id      string
	service string
	address string
	slots   int
	work    time.Duration
	born    int64
	store   *store
	runs    *runs
	record  *record
	http    *http.Server
	// engine is what a server with models has loaded; nil for one without.
	engine *engine
	// isGone is closed when the server exits.
	isGone chan struct{}

	mu      sync.Mutex
	running int
}

func startServer(s *store, all *runs, log *record, service, id string, work time.Duration) *server {
	listener := listen()
	started := &server{
		id:      id,
		service: service,
		address: listener.Addr().String(),
		slots:   serverSlots,
		work:    work,
		born:    time.Now().UnixMilli(),
		store:   s,
		runs:    all,
		record:  log,
		isGone:  make(chan struct{}),
	}
	started.http = &http.Server{
		Handler:           started,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = started.http.Serve(listener) }()
	return started
}

const (
	serverSlots = 6
	serverQueue = 24
)

// register writes the server's entry, with further fields.
func (s *server) register(state string, further map[string]any) {
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": zones[0], "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 0, "born": s.born,
	}
	if s.engine != nil {
		entry["stage"], entry["models"], entry["sequence"] = "both", s.engine.models(), s.engine.count()
	}
	maps.Copy(entry, further)
	s.store.put("servers/"+s.id, entry)
	s.record.printf("server %s registers as %s", s.id, state)
}

// unregister removes the server's entry, as that of one that leaves without a word.
func (s *server) unregister() {
	s.store.remove("servers/" + s.id)
	s.record.printf("entry of server %s is removed", s.id)
}

// stop closes the listener and all connections.
func (s *server) stop() {
	s.record.printf("server %s exits", s.id)
	close(s.isGone)
	_ = s.http.Close()
}

func (s *server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots+serverQueue {
		return false
	}
	s.running++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
		return
	case "/cicadaloom/report":
		s.serveReport(w)
		return
	case "/cicadaloom/order":
		s.serveOrder(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.engine != nil && !s.engine.has(r.Header.Get("Model")) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	began := run{
		request: id,
		server:  s.id,
		at:      time.Now(),
		tenant:  r.Header.Get("Tenant"),
		key:     r.Header.Get("Authorization"),
	}
	s.runs.add(began)
	s.record.printf("server %s runs %s, Tenant %q, Authorization %q", s.id, id, began.tenant, began.key)
	w.Header().Set("Server-Stamp", s.id+"."+id)
	if s.engine != nil {
		s.serveStream(w, r)
		return
	}
	if !pause(r.Context(), s.work) {
		return
	}
	_, _ = fmt.Fprintf(w, "done %s by %s\n", id, s.id)
}

func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
