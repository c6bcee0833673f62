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

// BodyLimit is the largest request body, in bytes.
const BodyLimit = 8 << 20

// RequestFaults tells a Server which faults apply to its requests.
type RequestFaults struct {
	// Changed returns a channel that is closed when the faults change next.
	Changed func() <-chan struct{}
	// IsFrozen reports whether requests are held, IsDown whether their connections
	// are closed.
	IsFrozen func() bool
	IsDown   func() bool
	// ExemptPaths are the paths that no fault applies to.
	ExemptPaths []string
	// IgnoreCancel holds a request even after its client has disconnected, as a
	// paused process does with a request that it has received.
	IgnoreCancel bool
}

// ApplyFaults returns a handler that applies the faults before it calls next. It
// reads the body of each request first: only then does net/http notice that a
// client has disconnected.
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

// WaitWhileFrozen waits while requests are frozen. It returns false if the request
// must not go on: the service is down, the context has ended or the server stops.
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

// Pause waits for the given time. It returns false if the context ends earlier.
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

// Route adapts a handler to bunrouter. The adapter of bunrouter itself recovers
// from all panics, including the one by which CutConnection makes net/http close
// the connection: the client would take the cut answer for a complete one.
func Route(handler http.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		handler(w, r.Request)
		return nil
	}
}

// PathParam returns a path parameter. If the path has escapes that matter, such as
// %2F, bunrouter matches the escaped path and leaves the escapes in the parameter.
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

// CutConnection ends a request by closing its connection without an answer. It
// panics, and so does not return.
func CutConnection() {
	panic(http.ErrAbortHandler)
}

// ReadBody reads a request's whole body and puts it back. Only then does net/http
// notice that a client has disconnected. If it returns false, the answer is
// written.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, BodyLimit))
	if err != nil {
		http.Error(w, "body too large or cut", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, true
}

// WriteJSON writes an encoded answer, or err with status 500.
func WriteJSON(w http.ResponseWriter, status int, body []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}
