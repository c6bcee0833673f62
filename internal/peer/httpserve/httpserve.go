// Package httpserve serves HTTP to callers and operators: with bounds against
// connections that are held without use, over TLS or in the clear, and with a
// stop that lets what is under way finish.
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
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"
)

// Bounds against peers that hold connections without using them.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
)

// Options say what is served.
type Options struct {
	Handler http.Handler
	// TLS is nil for HTTP in the clear.
	TLS *tls.Config
	Log *zap.Logger
}

// Server is one listening address. Its zero value is ready to start, once.
type Server struct {
	tomb tomb.Tomb
	http *http.Server
}

// Start listens at an address ("ip:port"; port 0 takes any) and gives the
// address that it got.
func (s *Server) Start(address string, options Options) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen at %s", address)
	}
	bound := listener.Addr().String()
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	s.http = &http.Server{
		Handler:           options.Handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(options.Log),
	}
	s.tomb.Go(func() error {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	return bound, nil
}

// Stop takes no new connections, lets the requests under way finish within the
// context's time, and cuts what is left then, with an error that says so. A server
// that was never started has nothing to stop.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	s.tomb.Kill(nil)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		_ = s.tomb.Wait()
		return errors.Wrap(err, "requests were still under way")
	}
	return s.tomb.Wait()
}
