package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"
)

// BodyLimit bounds a request's body.
const BodyLimit = 8 << 20

// RequestFaults is how a stand-in's switches fail its requests.
type RequestFaults struct {
	// Changed returns a channel that is closed when the switches change next.
	Changed func() <-chan struct{}
	// IsFrozen holds requests until it is false, Down cuts them.
	IsFrozen func() bool
	IsDown   func() bool
	// ExemptPaths has the paths that get through whatever the switches say.
	ExemptPaths []string
	// IgnoreCancel holds a request also when its client has gone, as a paused
	// process does that took it.
	IgnoreCancel bool
}

// ApplyFaults puts a gate before a handler. The body of each request is read first:
// only then does net/http notice that a client went away.
func (s *Server) ApplyFaults(faults RequestFaults, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(faults.ExemptPaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		if _, ok := ReadBody(w, r); !ok {
			return
		}
		if faults.IgnoreCancel {
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		if !s.WaitWhileFrozen(r.Context(), faults) {
			CutConnection()
		}
		next.ServeHTTP(w, r)
	})
}

// WaitWhileFrozen waits while the gate is frozen, and tells whether to go on: not when the
// faults is down, the context ended or the server stops.
func (s *Server) WaitWhileFrozen(ctx context.Context, faults RequestFaults) bool {
	for {
		change := faults.Changed()
		if !faults.IsFrozen() {
			return !faults.IsDown()
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		case <-s.stopping:
			return false
		}
	}
}

// Pause tells whether the time passed before the context ended.
func Pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Route makes a handler for bunrouter. Its own adapter recovers from every
// panic, also from the one by which Cut has net/http drop the connection: a cut
// answer would look like one that ended in order.
func Route(handler http.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		handler(w, r.Request)
		return nil
	}
}

// PathParam reads a part of the path. Where a path has escapes that matter, such as
// %2F, bunrouter matches it as it came and leaves them in.
func PathParam(r bunrouter.Request, name string) string {
	value := r.Param(name)
	if r.URL.RawPath == "" {
		return value
	}
	unescaped, err := url.PathUnescape(value)
	if err != nil {
		return value
	}
	return unescaped
}

// CutConnection ends a request by closing its connection without an answer. It does not return.
func CutConnection() {
	panic(http.ErrAbortHandler)
}

// ReadBody reads a request's body to its end and puts it back. Only then does
// net/http notice that a client went away.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, BodyLimit))
	if err != nil {
		http.Error(w, "body too large or cut", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, true
}

// WriteJSON writes an encoded answer.
func WriteJSON(w http.ResponseWriter, status int, body []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the reader is gone: nothing to tell it
}
