// Package caller is the side that callers see: the OpenAI-compatible API for
// models and adapters, and plain services under a path of their own.
//
//	POST /v1/chat/completions   a chat, streamed by server-sent events or whole
//	GET  /v1/models             all models and adapters that teams declare
//	ANY  /services/NAME/PATH    a request to the plain service NAME
//
// A request says what it needs in headers; docs/API.md has them all. Errors are
// JSON in the form that the OpenAI clients read, with the additions Run,
// whether the request was run, and RetryAt.
//
// # Usage
//
//	server := caller.Server{
//		Dispatcher: dispatcher,
//		Knowledge:  loop,
//		Settings:   settings.Callers,
//		Log:        log,
//	}
//	address, err := server.Start("127.0.0.1:8080")
//	...
//	err = server.Stop(ctx) // lets what is in flight finish
//
// # Source
//
// The chat API is the published one of OpenAI; the retry headers are those that
// its clients obey (Retry-After, Retry-After-Ms, X-Should-Retry).
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

// Dispatcher serves what the handlers have understood.
type Dispatcher interface {
	Chat(ctx context.Context, chat dispatch.Chat, sink dispatch.Sink) *dispatch.Failure
	Plain(ctx context.Context, plain dispatch.Plain, sink dispatch.Sink) *dispatch.Failure
}

// Server answers callers. All fields but TLS and Decisions must be set.
type Server struct {
	Dispatcher Dispatcher
	Knowledge  dispatch.Knowledge
	Settings   settings.Callers
	Log        *zap.Logger
	// Decisions keeps refusals for those who ask why; nil keeps none.
	Decisions *decisions.Log
	TLS       *tls.Config
	// Now is the wall clock; time.Now unless a test sets it.
	Now func() time.Time

	http httpserve.Server
	// patience is how long a caller may take to read one piece of an answer;
	// writePatience unless a test sets it.
	patience time.Duration
	inFlight atomic.Int64
	stopping atomic.Bool
	lameDuck atomic.Bool
}

// Start listens at an address ("ip:port"; port 0 takes any) and gives the
// address that it got.
func (s *Server) Start(address string) (string, error) {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.patience == 0 {
		s.patience = writePatience
	}
	bound, err := s.http.Start(address, httpserve.Options{
		Handler: s.routes(),
		TLS:     s.TLS,
		Log:     s.Log,
	})
	return bound, errors.Wrap(err, "callers")
}

// Refuse makes the server refuse new requests with "not run" while those in
// flight go on. The platform's balancer sees it at its next request.
func (s *Server) Refuse() {
	s.stopping.Store(true)
}

// Leave makes the health page say that the host stops, while it serves on.
func (s *Server) Leave() {
	s.lameDuck.Store(true)
}

// Admit takes Refuse back.
func (s *Server) Admit() {
	s.stopping.Store(false)
}

// Stop refuses new requests, lets those in flight finish, and ends when the
// last has its answer or the context is done.
func (s *Server) Stop(ctx context.Context) error {
	s.Refuse()
	return s.http.Stop(ctx)
}

// InFlight gives the number of requests under way.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(s.notFound),
		bunrouter.WithMethodNotAllowedHandler(s.notFound),
	)
	router.POST(PathChat, s.admitted(s.chat))
	router.GET(PathModels, s.models)
	router.GET("/healthz", s.health)
	for _, method := range methods {
		router.Handle(method, PathServices+":service", s.admitted(s.service))
		router.Handle(method, PathServices+":service/*path", s.admitted(s.service))
	}
	return router
}

// methods are those that a plain service can be asked with.
var methods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

// admitted counts the requests in flight and refuses those over the bound:
// memory is bounded by it, whatever callers do.
func (s *Server) admitted(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
			return s.turnAwayUnread(w, request.Request, dispatch.Untouched(dispatch.CodeStopping, "this host is stopping; ask another", s.Now()))
		}
		defer s.inFlight.Add(-1)
		if s.inFlight.Add(1) > int64(s.Settings.MaxInFlight) {
			return s.turnAwayUnread(w, request.Request, dispatch.Untouched(dispatch.CodeTooBusy, "too many requests in flight at this host", s.Now().Add(time.Second)))
		}
		return next(w, request)
	}
}

func (s *Server) notFound(w http.ResponseWriter, request bunrouter.Request) error {
	return s.refuse(w, dispatch.CodeNotFound, "nothing is served at "+request.Method+" "+request.URL.Path, time.Time{})
}

// health tells the platform's balancer whether to send callers here.
func (s *Server) health(w http.ResponseWriter, _ bunrouter.Request) error {
	switch {
	case s.stopping.Load() || s.lameDuck.Load():
		return s.refuse(w, dispatch.CodeStopping, "this host is stopping", s.Now())
	case s.Knowledge.Table() == nil:
		return s.refuse(w, dispatch.CodeNoReplica, "this host has not learnt the documents yet", s.Now().Add(time.Second))
	default:
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
}
