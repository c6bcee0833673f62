// Package httpserve runs the HTTP servers for callers and operators. Its timeouts and
// limits keep idle or slow clients from holding connections; it serves with or without
// TLS and shuts down gracefully.
//
// A Server serves in a goroutine of its own, which Stop ends. The packages caller and
// operator use it.
//
// # Usage
//
//	var server httpserve.Server
//	address, err := server.Start("127.0.0.1:8080", httpserve.Options{
//		Handler: router,
//		Log:     log,
//	})
//	...
//	err = server.Stop(ctx)
package httpserve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"
)

// Limits against clients that hold connections without using them.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Options configure a server.
type Options struct {
	Handler http.Handler
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Admit decides for each new connection whether to serve it; nil admits all. The others are
	// closed before anything is read.
	Admit func() bool
	// MaxConnections is how many connections may be open, 0 for any number. More are closed
	// before anything is read.
	MaxConnections int
	Log            *zap.Logger
}

// Server serves one listening address. The zero value is ready to start, once.
type Server struct {
	tomb tomb.Tomb
	http *http.Server

	mu sync.Mutex
	// unused are the connections on which no whole request header has arrived yet.
	unused map[net.Conn]struct{}
	// closed are the unused connections that the stop has closed.
	closed   map[net.Conn]struct{}
	stopping bool
	// open counts the connections.
	open int
}

// Start listens at an address ("ip:port"; port 0 takes any free one) and returns the
// bound address.
func (s *Server) Start(address string, options Options) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen at %s", address)
	}
	bound := listener.Addr().String()
	listener = &admittingListener{
		Listener: listener,
		admit: func() bool {
			return s.hasRoom(options.MaxConnections) && (options.Admit == nil || options.Admit())
		},
	}
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	s.http = &http.Server{
		Handler:           s.serveOpen(options.Handler),
		ConnContext:       withConnection,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(options.Log),
		ConnState:         s.recordState,
	}
	s.tomb.Go(func() error {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	return bound, nil
}

// admittingListener closes the connections that are not admitted before the server has any work
// with them.
type admittingListener struct {
	net.Listener
	admit func() bool
}

// Accept implements net.Listener.
func (l *admittingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.admit() {
			return conn, err
		}
		_ = conn.Close() // nothing has been read
	}
}

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// serveOpen serves requests but those whose connection the stop has closed after they were read. A
// client that gets no answer there may take its request for unread and send it again.
func (s *Server) serveOpen(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
		if s.hasClosed(conn) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *Server) hasClosed(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isClosed := s.closed[conn]
	return isClosed
}

// recordState keeps track of the connections that are unused, and closes those that come while the
// server stops.
func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
	case http.StateClosed, http.StateHijacked:
		s.open--
		delete(s.closed, conn)
	case http.StateActive, http.StateIdle:
	}
	switch {
	case state != http.StateNew:
		delete(s.unused, conn)
	case s.stopping:
		_ = conn.Close() // nothing has been read
	default:
		if s.unused == nil {
			s.unused = make(map[net.Conn]struct{})
		}
		s.unused[conn] = struct{}{}
	}
}

func (s *Server) hasRoom(maxConnections int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maxConnections == 0 || s.open < maxConnections
}

// hasOpen reports whether a connection is open.
func (s *Server) hasOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open > 0
}

// closeUnused closes the connections that are unused. net/http waits seconds for a request on
// them, which it would not serve during a stop.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeUnusedLocked()
}

func (s *Server) closeUnusedLocked() {
	s.stopping = true
	if s.closed == nil {
		s.closed = make(map[net.Conn]struct{})
	}
	for conn := range s.unused {
		s.closed[conn] = struct{}{}
		_ = conn.Close() // a request that has been read all the same is not served
	}
	clear(s.unused)
}

// Stop closes the listener and the connections without a request, and waits for the requests in
// flight. If the context ends first, it closes their connections and returns an error that says so. Stopping a server that was never started does nothing.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	s.tomb.Kill(nil)
	s.closeUnused()
	if err := s.http.Shutdown(ctx); err != nil {
		hasOpen := s.hasOpen() // net/http looks twice a second at last
		_ = s.http.Close()
		if tombErr := s.tomb.Wait(); !hasOpen {
			return tombErr
		}
		return errors.Wrap(err, "requests were still in flight")
	}
	return s.tomb.Wait()
}
