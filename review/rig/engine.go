package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Order is an order as it arrived at an engine.
type Order struct {
	At        time.Time
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	// Precondition is the number of accepted orders at which the order is valid.
	Precondition int64  `json:"precondition"`
	Holder       string `json:"holder"`
	Fencing      int64  `json:"fencing_token"`
}

// Engine is a model replica that holds one model, and adapters of it as it is ordered. It
// doesn't check fencing tokens. The fields above Start's must be set before it.
type Engine struct {
	ID           string
	Service      string
	DataCentre   string
	Slots        int
	Model        string
	AdapterSlots int
	// Ordered is called for each order, with the status of its answer.
	Ordered func(order *Order, status int)

	// Address is where the engine answers.
	Address string

	store    *Store
	server   *http.Server
	born     int64
	mu       sync.Mutex
	adapters []string
	sequence int64
	stopped  chan struct{}
}

// Start starts the engine, which registers itself in the store.
func (e *Engine) Start(store *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.Address = listener.Addr().String()
	e.store = store
	e.born = time.Now().UnixMilli()
	e.stopped = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadaloom/report", e.serveReport)
	mux.HandleFunc("POST /cicadaloom/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	e.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = e.server.Serve(listener) }() // it ends with Stop
	if err := e.register(); err != nil {
		return err
	}
	go e.beat()
	return nil
}

// Stop closes the engine.
func (e *Engine) Stop() {
	close(e.stopped)
	_ = e.server.Close()
}

func (e *Engine) beat() {
	for {
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeatInterval):
			_ = e.register() // the entry can always be encoded
		}
	}
}

// models describes what the engine holds. The caller holds mu.
func (e *Engine) models() []map[string]any {
	return []map[string]any{{
		"name":     e.Model,
		"version":  1,
		"adapters": append([]string{}, e.adapters...),
	}}
}

func (e *Engine) register() error {
	e.mu.Lock()
	entry := map[string]any{
		"service":           e.Service,
		"address":           e.Address,
		"zone":              e.DataCentre,
		"version":           "v1",
		"slots":             e.Slots,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"stage":             "both",
		"models":            e.models(),
		"sequence":          e.sequence,
		"born":              e.born,
	}
	e.mu.Unlock()
	return e.store.Put("servers/"+e.ID, entry)
}

func (e *Engine) isOther(r *http.Request) bool {
	expected := r.Header.Get("Expect-Instance")
	return expected != "" && expected != e.ID
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.isOther(r) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage":    "both",
		"models":   e.models(),
		"busy":     false,
		"sequence": e.sequence,
		"queued":   0,
		"active":   0,
		"kv_used":  0,
		"kv_total": 127221,
		"handles":  0,
		"born":     e.born,
	})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	order := Order{
		At: time.Now(),
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || e.isOther(r) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.carryOut(&order)
	e.Ordered(&order, status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of its answer. The caller holds mu.
func (e *Engine) carryOut(order *Order) int {
	at := slices.Index(e.adapters, order.Adapter)
	switch {
	case order.Precondition != e.sequence:
		return http.StatusConflict
	case order.Model != e.Model || order.Adapter == "":
		return http.StatusBadRequest
	case order.Operation == "load" && at >= 0:
		return http.StatusOK
	case order.Operation == "load" && len(e.adapters) < e.AdapterSlots:
		e.adapters = append(e.adapters, order.Adapter)
		e.sequence++
		return http.StatusAccepted
	case order.Operation == "unload" && at >= 0:
		e.adapters = slices.Delete(e.adapters, at, at+1)
		e.sequence++
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// serveRequest answers a request for the model or one of its adapters.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	holds := model == e.Model && (adapter == "" || slices.Contains(e.adapters, adapter))
	e.mu.Unlock()
	if e.isOther(r) || !holds {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Stamp", e.ID)
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", e.Slots))
	_, _ = fmt.Fprintln(w, "done") // an error means that the caller has left
}
