// Package weights stands in for the platform's weight store: it paces loads.
//
// # Usage
//
//	store := weights.New(weights.Options{})
//	address, err := store.Start("127.0.0.1:0")
//	defer store.Stop()
//
// `POST /loads` answers when the load is done. A model takes
// AtOnce/LoadsPerSecond alone, 6.7 s with the defaults, and n models together
// take max(1, n/AtOnce) times as long: so the whole store gives LoadsPerSecond.
// An adapter takes between AdapterFastest and AdapterSlowest, by its name, and
// max(1, n/AdaptersAtOnce) times as long with n in transit. The pace follows n
// as it changes. `GET /status` tells how many loads go on.
//
// The fault switches are Down (connections are cut), FreezeRequests (requests
// hang until it is off), SlowFactor (all loads take as many times as long) and
// FailLoads (so many next loads are answered with status 500).
//
// # Source
//
// The figures are those of the brief: about one and a half loads a second, ten
// at once at full speed; adapters 6 to 20 ms up to 85 in transit.
package weights

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/standin/fault"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

// The defaults of Options.
const (
	DefaultLoadsPerSecond = 1.5
	DefaultAtOnce         = 10
	DefaultAdapterFastest = 6 * time.Millisecond
	DefaultAdapterSlowest = 20 * time.Millisecond
	DefaultAdaptersAtOnce = 85
)

// A load runs in steps of this length and takes the pace anew at each.
const (
	modelStep   = 100 * time.Millisecond
	adapterStep = 2 * time.Millisecond
)

// Options are the store's settings; zero values take the defaults.
type Options struct {
	LoadsPerSecond float64
	AtOnce         int
	AdapterFastest time.Duration
	AdapterSlowest time.Duration
	AdaptersAtOnce int
}

// Faults are the switches at /faults.
type Faults struct {
	Down           bool
	FreezeRequests bool
	SlowFactor     float64
	FailLoads      int
}

// Store is the stand-in.
type Store struct {
	Faults  fault.Switch[Faults]
	options Options
	server  server.Server

	mu       sync.Mutex
	models   int
	adapters int
	done     int64
}

// New makes a store.
func New(options Options) *Store {
	if options.LoadsPerSecond <= 0 {
		options.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if options.AtOnce <= 0 {
		options.AtOnce = DefaultAtOnce
	}
	if options.AdapterFastest <= 0 {
		options.AdapterFastest = DefaultAdapterFastest
	}
	if options.AdapterSlowest < options.AdapterFastest {
		options.AdapterSlowest = max(DefaultAdapterSlowest, options.AdapterFastest)
	}
	if options.AdaptersAtOnce <= 0 {
		options.AdaptersAtOnce = DefaultAdaptersAtOnce
	}
	return &Store{
		options: options,
	}
}

// Start serves the store and returns the address.
func (s *Store) Start(listen string) (string, error) {
	router := bunrouter.New()
	router.POST(engineapi.PathLoads, server.Route(s.serveLoad))
	router.GET(engineapi.PathLoadStatus, server.Route(s.serveStatus))
	router.GET(fault.Path, server.Route(s.Faults.ServeHTTP))
	router.POST(fault.Path, server.Route(s.Faults.ServeHTTP))
	return s.server.Start(listen, s.server.Guard(s.gate(), router))
}

// Stop ends the stand-in when the loads going on are done.
func (s *Store) Stop() error {
	return s.server.Stop()
}

// Status tells the loads going on and done.
func (s *Store) Status() engineapi.WeightStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engineapi.WeightStatus{
		InTransit: s.models + s.adapters,
		LoadsDone: s.done,
	}
}

func (s *Store) gate() server.Gate {
	return server.Gate{
		Changed: s.Faults.Changed,
		Frozen:  func() bool { return s.Faults.Get().FreezeRequests },
		Down:    func() bool { return s.Faults.Get().Down },
		Open:    []string{fault.Path},
	}
}

func (s *Store) serveStatus(w http.ResponseWriter, _ *http.Request) {
	body, err := engineapi.EncodeWeightStatus(s.Status())
	server.WriteJSON(w, http.StatusOK, body, err)
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	body, ok := server.ReadBody(w, r)
	if !ok {
		return
	}
	load, err := engineapi.DecodeWeightLoad(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.Faults.Take(func(f *Faults) *int { return &f.FailLoads }) {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	if !s.load(r.Context(), load) {
		server.Cut()
	}
	w.WriteHeader(http.StatusNoContent)
}

// load passes the time of a load and tells whether its client stayed.
func (s *Store) load(ctx context.Context, load engineapi.WeightLoad) bool {
	work := s.work(load)
	s.add(work.count, 1)
	defer s.add(work.count, -1)
	for left := work.alone; left > 0; left -= work.step {
		if !server.Pause(ctx, s.slowed(min(left, work.step), work)) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done++
	return true
}

// work is how long a load takes alone, and whom it shares the store with.
type work struct {
	alone  time.Duration
	step   time.Duration
	count  *int
	atOnce int
}

func (s *Store) work(load engineapi.WeightLoad) work {
	if load.Adapter != "" {
		return work{
			alone:  s.adapterTime(string(load.Adapter)),
			step:   adapterStep,
			count:  &s.adapters,
			atOnce: s.options.AdaptersAtOnce,
		}
	}
	seconds := float64(s.options.AtOnce) / s.options.LoadsPerSecond
	return work{
		alone:  time.Duration(seconds * float64(time.Second)),
		step:   modelStep,
		count:  &s.models,
		atOnce: s.options.AtOnce,
	}
}

// slowed is how long a step takes at the pace of now.
func (s *Store) slowed(step time.Duration, work work) time.Duration {
	slow := max(1, s.Faults.Get().SlowFactor)
	s.mu.Lock()
	defer s.mu.Unlock()
	crowd := max(1, float64(*work.count)/float64(work.atOnce))
	return time.Duration(float64(step) * crowd * slow)
}

// adapterTime spreads adapters evenly over their range of times.
func (s *Store) adapterTime(name string) time.Duration {
	spread := uint64(s.options.AdapterSlowest-s.options.AdapterFastest) + 1
	return s.options.AdapterFastest + time.Duration(xxhash.Sum64String(name)%spread)
}

func (s *Store) add(count *int, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count += change
}
