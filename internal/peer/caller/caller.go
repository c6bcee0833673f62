// Package caller is the HTTP server for callers: the OpenAI-compatible API for models
// and adapters, and plain services under a path of their own.
//
//	POST /v1/chat/completions   a chat completion, streamed by server-sent events or whole
//	GET  /v1/models             all models and adapters that teams declare
//	ANY  /services/NAME/PATH    a request to the plain service NAME
//
// Server parses and limits each request and passes it to a Dispatcher, which writes the
// answer through a sink. Each request runs in a goroutine of net/http; the methods of
// Server are safe for concurrent use after Start.
//
// Requests carry their options in headers; docs/API.md lists them. Errors are JSON in
// the format of the OpenAI API, with two additions: Run, whether the request was run,
// and RetryAt.
//
// # Usage
//
//	server := caller.Server{
//		Dispatcher:   dispatcher,
//		ControlPlane: loop,
//		Settings:     settings.Callers,
//		Log:          log,
//	}
//	address, err := server.Start("127.0.0.1:8080")
//	...
//	err = server.Stop(ctx) // waits for the requests in flight
//
// # Source
//
// The chat API is the published OpenAI API. The retry headers are those that its
// clients obey (Retry-After, Retry-After-Ms, X-Should-Retry).
package caller

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/peer/httpserve"
	"cicadaloom/internal/traffic/dispatch"
)

// Paths of the API.
const (
	PathChat     = "/v1/chat/completions"
	PathModels   = "/v1/models"
	PathServices = "/services/"
)

// Dispatcher serves parsed requests.
type Dispatcher interface {
	ServeChat(ctx context.Context, chat dispatch.ChatRequest, sink dispatch.Sink) *dispatch.Failure
	ServePlain(ctx context.Context, plain dispatch.PlainRequest, sink dispatch.Sink) *dispatch.Failure
}

// Server answers callers. All fields but TLS, Decisions and Now must be set.
type Server struct {
	Dispatcher   Dispatcher
	ControlPlane dispatch.ControlPlane
	Settings     settings.Callers
	Log          *zap.Logger
	// Decisions records refused requests, so that operators can look them up; nil
	// records none.
	Decisions *decisions.Log
	TLS       *tls.Config
	// Now is the wall clock; time.Now unless a test sets it.
	Now func() time.Time

	http httpserve.Server
	// writeTimeout is how long a caller may take to read one piece of an answer;
	// defaultWriteTimeout unless a test sets it.
	writeTimeout time.Duration
	inFlight     atomic.Int64
	isRefusing   atomic.Bool
	isLeaving    atomic.Bool
}

// Start listens at an address ("ip:port"; port 0 takes any free one) and returns the
// bound address.
func (s *Server) Start(address string) (string, error) {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.writeTimeout == 0 {
		s.writeTimeout = defaultWriteTimeout
	}
	bound, err := s.http.Start(address, httpserve.Options{
		Handler: s.routes(),
		TLS:     s.TLS,
		Log:     s.Log,
	})
	return bound, errors.Wrap(err, "callers")
}

// RefuseRequests makes the server refuse new requests as "not run" while those in
// flight go on. The health check fails too, which takes the host out of the platform's
// load balancer.
func (s *Server) RefuseRequests() {
	s.isRefusing.Store(true)
}

// AnnounceStop makes the health check fail while requests are still served, so that the
// load balancer stops sending new ones first.
func (s *Server) AnnounceStop() {
	s.isLeaving.Store(true)
}

// AcceptRequests undoes RefuseRequests.
func (s *Server) AcceptRequests() {
	s.isRefusing.Store(false)
}

// Stop refuses new requests and waits until those in flight have finished or the
// context is done.
func (s *Server) Stop(ctx context.Context) error {
	s.RefuseRequests()
	return s.http.Stop(ctx)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(s.notFound),
		bunrouter.WithMethodNotAllowedHandler(s.notFound),
	)
	router.POST(PathChat, s.limitInFlight(s.chat))
	router.GET(PathModels, s.models)
	router.GET("/healthz", s.health)
	for _, method := range serviceMethods {
		router.Handle(method, PathServices+":service", s.limitInFlight(s.service))
		router.Handle(method, PathServices+":service/*path", s.limitInFlight(s.service))
	}
	return router
}

// serviceMethods are the methods that are forwarded to plain services.
var serviceMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

// limitInFlight counts the requests in flight and refuses those over the limit, which
// bounds the memory that callers can take.
func (s *Server) limitInFlight(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		if s.isRefusing.Load() {
			w.Header().Set("Connection", "close")
			return s.rejectUnread(w, request.Request, dispatch.NewNotSentFailure(dispatch.CodeStopping, "this host is stopping; ask another", s.Now()))
		}
		defer s.inFlight.Add(-1)
		if s.inFlight.Add(1) > int64(s.Settings.MaxInFlight) {
			return s.rejectUnread(w, request.Request, dispatch.NewNotSentFailure(dispatch.CodeTooBusy, "too many requests in flight at this host", s.Now().Add(time.Second)))
		}
		return next(w, request)
	}
}

func (s *Server) notFound(w http.ResponseWriter, request bunrouter.Request) error {
	return s.refuse(w, dispatch.CodeNotFound, "nothing is served at "+request.Method+" "+request.URL.Path, time.Time{})
}

// health tells the platform's load balancer whether to send requests to this host.
func (s *Server) health(w http.ResponseWriter, _ bunrouter.Request) error {
	switch {
	case s.isRefusing.Load() || s.isLeaving.Load():
		return s.refuse(w, dispatch.CodeStopping, "this host is stopping", s.Now())
	case s.ControlPlane.Table() == nil:
		return s.refuse(w, dispatch.CodeNoReplica, "this host has not learnt the documents yet", s.Now().Add(time.Second))
	default:
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
}
