// Package server is the HTTP server that stand-ins share: it listens, stops
// gracefully, simulates a crash with a later restart, and holds or cuts requests
// as the faults say.
//
// A Server's goroutines run in a tomb, and a mutex guards its fields.
// Server.ApplyFaults wraps a handler with the faults.
//
// # Usage
//
//	var s server.Server
//	address, err := s.Start("127.0.0.1:0", handler)
//	...
//	err = s.Stop() // waits for requests in flight
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// shutdownTimeout is how long Stop waits for requests in flight.
	shutdownTimeout = 15 * time.Second
	// readHeaderTimeout bounds the time in which a client sends a request's
	// header.
	readHeaderTimeout = 10 * time.Second
	// relistenInterval is the time between attempts to listen on the old address.
	relistenInterval = 20 * time.Millisecond
)

// Server is a stand-in's HTTP server. The zero value can be started once.
type Server struct {
	tomb      tomb.Tomb
	mu        sync.Mutex
	http      *http.Server // nil from a crash to the restart
	handler   http.Handler
	address   string
	stopping  chan struct{} // closed when Stop begins
	isStopped bool          // no new goroutine may start
}

// Start listens, serves, and returns the address.
func (s *Server) Start(listen string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
	s.address = listener.Addr().String()
	s.stopping = make(chan struct{})
	// A tomb accepts no goroutine after its last one has ended. This one keeps it
	// alive between a crash and the restart, and while Stop waits for requests.
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		return nil
	})
	s.serveListener(listener)
	return s.address, nil
}

// Go runs f in the server's tomb; f must return when Dying is closed. Before the
// start and after the stop Go does nothing.
func (s *Server) Go(f func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping != nil && !s.isStopped {
		s.tomb.Go(f)
	}
}

// Dying returns a channel that is closed when the server stops and its requests
// have ended.
func (s *Server) Dying() <-chan struct{} {
	return s.tomb.Dying()
}

// serveListener serves in a new goroutine. The caller holds mu.
func (s *Server) serveListener(listener net.Listener) {
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.http = server
	s.tomb.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
}

// Stop refuses new connections, waits for the requests in flight, and returns when
// all goroutines have ended. Requests held by a fault are cut at once.
func (s *Server) Stop() error {
	s.mu.Lock()
	if s.stopping == nil { // never started
		s.mu.Unlock()
		return nil
	}
	select {
	case <-s.stopping:
	default:
		close(s.stopping)
	}
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server != nil {
		shutdown(server)
	}
	s.mu.Lock()
	s.isStopped = true
	s.mu.Unlock()
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // the listener is closed already
	}
}

// Crash closes the listener and all connections at once, as if the process were
// killed. After the delay it calls beforeRestart and listens on the same address
// again.
func (s *Server) Crash(delay time.Duration, beforeRestart func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.http
	if server == nil {
		return // crashed already, or stopping
	}
	s.http = nil
	_ = server.Close() // an error means that it is closed already
	s.tomb.Go(func() error {
		if s.sleep(delay) {
			s.restart(beforeRestart)
		}
		return nil
	})
}

func (s *Server) restart(beforeRestart func()) {
	beforeRestart()
	for {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serveUnlessStopping(listener)
			return
		}
		// The closed connections may still occupy the address for a moment.
		if !s.sleep(relistenInterval) {
			return
		}
	}
}

func (s *Server) serveUnlessStopping(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stopping:
		_ = listener.Close() // it has not served anything yet
	default:
		s.serveListener(listener)
	}
}

// sleep waits for the given time. It returns false if the server stops earlier.
func (s *Server) sleep(length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopping:
		return false
	}
}
