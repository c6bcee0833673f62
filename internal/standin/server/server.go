// Package server is the HTTP process life that stand-ins share: listening under
// a tomb, a graceful stop, a crash with a later restart, and requests that hang
// or are cut off.
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
	// readHeaderTimeout bounds how long a client may take over a header.
	readHeaderTimeout = 10 * time.Second
	// relistenInterval is between two tries to get the old address back.
	relistenInterval = 20 * time.Millisecond
)

// Server is one stand-in's HTTP server. Its zero value is ready to start, once.
type Server struct {
	tomb      tomb.Tomb
	mu        sync.Mutex
	http      *http.Server // nil between a crash and the restart
	handler   http.Handler
	address   string
	stopping  chan struct{} // closed when Stop begins
	isStopped bool          // no goroutine starts any more
}

// Start listens and serves, and returns the address that it got.
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
	// A tomb whose last goroutine has ended takes no other. This one keeps it
	// open between a crash and the restart, and while Stop waits for requests.
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		return nil
	})
	s.serveListener(listener)
	return s.address, nil
}

// Go runs f along with the server; f must end when Dying is closed. After the
// stop it does nothing.
func (s *Server) Go(f func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping != nil && !s.isStopped {
		s.tomb.Go(f)
	}
}

// Dying is closed when the server has begun to stop and its requests are done.
func (s *Server) Dying() <-chan struct{} {
	return s.tomb.Dying()
}

// serveListener is called with mu held.
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

// Stop refuses new connections, lets the requests in flight end, and returns
// when all is over. Requests that hang by a fault are cut off at once.
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
		_ = server.Close() // the listener is closed already: nothing else to do
	}
}

// Crash closes the listener and every connection at once, as a process that
// dies. After the pause it calls revive and listens on the same address again.
func (s *Server) Crash(delay time.Duration, beforeRestart func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.http
	if server == nil {
		return // crashed already, or stopping
	}
	s.http = nil
	_ = server.Close() // what can't be closed is closed already
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
		// The old connections may hold the address for a moment.
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
		_ = listener.Close() // it served nothing yet
	default:
		s.serveListener(listener)
	}
}

// sleep tells whether the pause passed before a stop.
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
