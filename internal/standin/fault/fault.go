// Package fault has the switch by which tests and operators make a stand-in
// fail: a struct of faults, read by the stand-in and set over HTTP.
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
//	if faults.Take(func(f *Faults) *int { return &f.Lose }) { ... }
//
// `POST /faults` replaces all faults: what its JSON leaves out is off again,
// so `{}` heals the stand-in. `GET /faults` shows them.
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

// Path is where stand-ins serve their switch.
const Path = "/faults"

const maxBodyBytes = 64 << 10

// Duration is a length of time that a person writes, as "200ms".
type Duration time.Duration

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads, of at least 0.
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

// Switch holds a stand-in's faults. Its zero value has all of them off. T is a
// struct of plain values.
type Switch[T any] struct {
	mu      sync.Mutex
	faults  T
	changed chan struct{} // closed at the next change; nil while nobody waits
}

// Get returns the faults as they are.
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

// SetJSON replaces all faults by those in the JSON, as a POST does.
func (s *Switch[T]) SetJSON(from io.Reader) error {
	faults, err := decodeFaults[T](from)
	if err != nil {
		return err
	}
	s.Set(faults)
	return nil
}

// Changed returns a channel that is closed when the faults are set next. Take
// it before Get: then no change between the two is missed.
func (s *Switch[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// TakeOne counts a fault of the kind "the next n" down and tells whether it was
// this one's turn.
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

// ServeHTTP shows the faults on GET and replaces them on POST.
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
	_, _ = w.Write(body) // the reader is gone: nothing to tell it
}

func decodeFaults[T any](from io.Reader) (T, error) {
	var faults T
	body, err := io.ReadAll(io.LimitReader(from, maxBodyBytes))
	if err != nil {
		return faults, errors.Wrap(err, "faults")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	// A misspelt switch that is silently off would make a test pass for nothing.
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return faults, errors.Wrap(err, "faults")
	}
	return faults, nil
}
