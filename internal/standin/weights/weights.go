// Package weights is a stand-in for the platform's weight store: it simulates the
// time that loads take.
//
// # Usage
//
//	store := weights.New(weights.Options{})
//	address, err := store.Start("127.0.0.1:0")
//	defer store.Stop()
//
// `POST /loads` answers when the load is done. A model takes
// FullSpeedLoads/LoadsPerSecond alone, 6.7 s with the defaults, and n concurrent
// models take max(1, n/FullSpeedLoads) times as long, so that the whole store
// completes at most LoadsPerSecond. An adapter takes between MinAdapterTime and
// MaxAdapterTime, by the hash of its name, and max(1, n/FullSpeedAdapterLoads)
// times as long with n concurrent adapters. When n changes, loads in progress
// speed up or slow down. `GET /status` returns the number of loads in progress and
// done.
//
// The faults, set at /faults, are Down (connections are closed without an answer),
// FreezeRequests (requests wait until it is cleared), SlowFactor (multiplies the
// time of all loads, if above 1) and FailLoads (the number of next loads that are
// answered with status 500).
//
// Each load runs in the goroutine of its HTTP handler; a mutex guards the counts.
//
// # Defaults
//
// The defaults are the platform's: about one and a half model loads a second, ten
// at once at full speed; adapters take 6 to 20 ms with up to 85 in transit.
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

// Defaults of Options.
const (
	DefaultLoadsPerSecond        = 1.5
	DefaultFullSpeedLoads        = 10
	DefaultMinAdapterTime        = 6 * time.Millisecond
	DefaultMaxAdapterTime        = 20 * time.Millisecond
	DefaultFullSpeedAdapterLoads = 85
)

// A load waits in steps of this length; each step follows the number of loads
// and the faults at its start.
const (
	modelStepTime   = 100 * time.Millisecond
	adapterStepTime = 2 * time.Millisecond
)

// Options configures a Store. Zero values take the defaults.
type Options struct {
	LoadsPerSecond        float64
	FullSpeedLoads        int
	MinAdapterTime        time.Duration
	MaxAdapterTime        time.Duration
	FullSpeedAdapterLoads int
}

// Faults are the failures that the store simulates, set at /faults.
type Faults struct {
	Down           bool
	FreezeRequests bool
	SlowFactor     float64
	FailLoads      int
}

// Store is the simulated weight store. Create it with New.
type Store struct {
	Faults  fault.Switch[Faults]
	options Options
	server  server.Server

	mu           sync.Mutex
	modelLoads   int
	adapterLoads int
	loadsDone    int64
}

// New returns a store that is not started yet.
func New(options Options) *Store {
	if options.LoadsPerSecond <= 0 {
		options.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if options.FullSpeedLoads <= 0 {
		options.FullSpeedLoads = DefaultFullSpeedLoads
	}
	if options.MinAdapterTime <= 0 {
		options.MinAdapterTime = DefaultMinAdapterTime
	}
	if options.MaxAdapterTime < options.MinAdapterTime {
		options.MaxAdapterTime = max(DefaultMaxAdapterTime, options.MinAdapterTime)
	}
	if options.FullSpeedAdapterLoads <= 0 {
		options.FullSpeedAdapterLoads = DefaultFullSpeedAdapterLoads
	}
	return &Store{
		options: options,
	}
}

// Start starts the HTTP server and returns its address.
func (s *Store) Start(listen string) (string, error) {
	router := bunrouter.New()
	router.POST(engineapi.PathWeightLoads, server.Route(s.serveLoad))
	router.GET(engineapi.PathWeightStatus, server.Route(s.serveStatus))
	router.GET(fault.Path, server.Route(s.Faults.ServeHTTP))
	router.POST(fault.Path, server.Route(s.Faults.ServeHTTP))
	return s.server.Start(listen, s.server.ApplyFaults(s.requestFaults(), router))
}

// Stop waits for the loads in progress and stops the HTTP server.
func (s *Store) Stop() error {
	return s.server.Stop()
}

// Status returns the number of loads in progress and done.
func (s *Store) Status() engineapi.WeightStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engineapi.WeightStatus{
		InTransit: s.modelLoads + s.adapterLoads,
		LoadsDone: s.loadsDone,
	}
}

func (s *Store) requestFaults() server.RequestFaults {
	return server.RequestFaults{
		Changed:     s.Faults.Changed,
		IsFrozen:    func() bool { return s.Faults.Get().FreezeRequests },
		IsDown:      func() bool { return s.Faults.Get().Down },
		ExemptPaths: []string{fault.Path},
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
	if s.Faults.TakeOne(func(f *Faults) *int { return &f.FailLoads }) {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	if !s.load(r.Context(), load) {
		server.CutConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

// load waits for the time of a load. It returns false if the client disconnects
// earlier.
func (s *Store) load(ctx context.Context, load engineapi.WeightLoad) bool {
	profile := s.profile(load)
	s.addCount(profile.concurrent, 1)
	defer s.addCount(profile.concurrent, -1)
	for remaining := profile.baseTime; remaining > 0; remaining -= profile.step {
		if !server.Pause(ctx, s.stepTime(min(remaining, profile.step), profile)) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadsDone++
	return true
}

// loadProfile is the time of a load alone, and the loads with which it shares the
// store's throughput.
type loadProfile struct {
	baseTime       time.Duration
	step           time.Duration
	concurrent     *int
	fullSpeedLoads int
}

func (s *Store) profile(load engineapi.WeightLoad) loadProfile {
	if load.Adapter != "" {
		return loadProfile{
			baseTime:       s.adapterTime(string(load.Adapter)),
			step:           adapterStepTime,
			concurrent:     &s.adapterLoads,
			fullSpeedLoads: s.options.FullSpeedAdapterLoads,
		}
	}
	seconds := float64(s.options.FullSpeedLoads) / s.options.LoadsPerSecond
	return loadProfile{
		baseTime:       time.Duration(seconds * float64(time.Second)),
		step:           modelStepTime,
		concurrent:     &s.modelLoads,
		fullSpeedLoads: s.options.FullSpeedLoads,
	}
}

// stepTime returns the time of a step at the current number of concurrent loads.
func (s *Store) stepTime(step time.Duration, profile loadProfile) time.Duration {
	slowFactor := max(1, s.Faults.Get().SlowFactor)
	s.mu.Lock()
	defer s.mu.Unlock()
	overload := max(1, float64(*profile.concurrent)/float64(profile.fullSpeedLoads))
	return time.Duration(float64(step) * overload * slowFactor)
}

// adapterTime returns the time of an adapter's load alone; the hash of the name
// spreads adapters evenly over the range.
func (s *Store) adapterTime(name string) time.Duration {
	spread := uint64(s.options.MaxAdapterTime-s.options.MinAdapterTime) + 1
	return s.options.MinAdapterTime + time.Duration(xxhash.Sum64String(name)%spread)
}

func (s *Store) addCount(count *int, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count += change
}
