// Package fault has Switch, which holds the simulated faults of a stand-in: a
// struct that the stand-in reads and that tests set directly and operators over
// HTTP. A Switch is safe for concurrent use.
//
// # Usage
//
//	type Faults struct {
//		Down    bool
//		DelayBy fault.Duration
//		Lose    int
//	}
//	var faults fault.Switch[Faults]
//	router.POST("/faults", server.Route(faults.ServeHTTP))
//	if faults.Get().Down { ... }
//	if faults.TakeOne(func(f *Faults) *int { return &f.Lose }) { ... }
//
// `POST /faults` replaces all faults: fields missing from its JSON are cleared, so
// `{}` clears all. `GET /faults` returns them.
package fault

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Path is the path at which stand-ins serve their Switch.
const Path = "/faults"

const maxBodyBytes = 64 << 10

// Duration is a time.Duration written as a string such as "200ms".
type Duration time.Duration

// MarshalText formats the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses what time.ParseDuration accepts. The duration must be at
// least 0.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	if parsed < 0 {
		return errors.Errorf("duration: found %s, allowed at least 0", parsed)
	}
	*d = Duration(parsed)
	return nil
}

// Switch holds a stand-in's faults. T is a struct of plain values. The zero value
// has no faults set.
type Switch[T any] struct {
	mu      sync.Mutex
	faults  T
	changed chan struct{} // closed by the next Set; nil if there is no waiter
}

// Get returns the current faults.
func (s *Switch[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces all faults.
func (s *Switch[T]) Set(faults T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// SetJSON replaces all faults with those in the JSON, as a POST does.
func (s *Switch[T]) SetJSON(from io.Reader) error {
	faults, err := decodeFaults[T](from)
	if err != nil {
		return err
	}
	s.Set(faults)
	return nil
}

// Changed returns a channel that is closed when the faults are set next. Call it
// before Get, so that no change between the two calls is missed.
func (s *Switch[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// TakeOne decrements a counter of faults that apply to the next n events, and
// reports whether the fault applies to this one.
func (s *Switch[T]) TakeOne(count func(*T) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := count(&s.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// ServeHTTP returns the faults on GET and replaces them on POST.
func (s *Switch[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		if err := s.SetJSON(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	body, err := json.Marshal(s.Get())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the client has disconnected
}

func decodeFaults[T any](from io.Reader) (T, error) {
	var faults T
	body, err := io.ReadAll(io.LimitReader(from, maxBodyBytes))
	if err != nil {
		return faults, errors.Wrap(err, "faults")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	// A misspelt field would be ignored, and a test of that fault would pass
	// without it.
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return faults, errors.Wrap(err, "faults")
	}
	return faults, nil
}
