// Package operator is the HTTP server for operators: the administration API, the
// metrics and the health check of an entry host.
//
//	GET    /admin/documents              the teams with the revisions in force
//	GET    /admin/documents/TEAM         a team's document; its revision is the ETag
//	PUT    /admin/documents/TEAM         replaces the revision in If-Match
//	DELETE /admin/documents/TEAM         deletes the revision in If-Match
//	GET    /admin/documents/TEAM/history earlier and current versions
//	GET    /admin/status                 hosts, backend servers, models, moves
//	GET    /admin/burn                   the report on service-level burn
//	GET    /admin/decisions              recent decisions and their reasons, or those on one id
//	POST   /admin/drain                  starts a planned stop; the process goes on
//	DELETE /admin/drain                  cancels it
//	GET    /metrics                      Prometheus text
//	GET    /healthz                      204 while the process serves
//
// Everything under /admin requires a bearer token from the settings. A team's token may
// read and edit that team's document; the administrators' token may read everything,
// edit every document and drain hosts. docs/API.md describes the formats.
//
// Server translates between HTTP and two interfaces: Control, the control loop, and
// Drainer, the host. Each request runs in a goroutine of net/http; Server itself keeps
// no state that changes after Start.
//
// # Usage
//
//	server := operator.Server{
//		Control:  loop,
//		Host:     host,
//		Settings: settings.Operators,
//		Log:      log,
//	}
//	address, err := server.Start("127.0.0.1:8081")
package operator

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/loop"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpserve"
)

// Control is the control loop of the host.
type Control interface {
	Documents() *documents.Snapshot
	Edit(ctx context.Context, edit documents.EditSubmitted) (documents.EditResult, error)
	History(ctx context.Context, team ident.TeamName) ([]documents.Version, error)
	Status(ctx context.Context) (loop.Status, error)
	Burn(ctx context.Context) (loop.BurnReport, error)
	Explain(ctx context.Context, query decisions.Query) (loop.DecisionsReport, error)
}

// Drainer is the part of the host that carries out a planned stop.
type Drainer interface {
	// Drain refuses new requests and hands over the leader roles of this host.
	Drain()
	// Resume cancels Drain. It returns false if the process is already ending.
	Resume() bool
	Stopping() bool
	// InFlight returns the number of callers' requests in flight.
	InFlight() int64
}

// Limits of one request.
const (
	callTimeout      = 10 * time.Second
	maxDocumentBytes = 1 << 20
)

// Server answers operators. All fields but TLS and Now must be set.
type Server struct {
	Control  Control
	Host     Drainer
	Settings settings.Operators
	// Metrics are this host's; those of the process are served with them.
	Metrics *metrics.Set
	Log     *zap.Logger
	TLS     *tls.Config
	// Now is the wall clock; time.Now unless a test sets it.
	Now func() time.Time

	http httpserve.Server
}

// Start listens at an address ("ip:port"; port 0 takes any free one) and returns the
// bound address.
func (s *Server) Start(address string) (string, error) {
	if s.Now == nil {
		s.Now = time.Now
	}
	bound, err := s.http.Start(address, httpserve.Options{
		Handler: s.routes(),
		TLS:     s.TLS,
		Log:     s.Log,
	})
	return bound, errors.Wrap(err, "operators")
}

// Stop waits until the requests in flight have finished or the context is done.
func (s *Server) Stop(ctx context.Context) error {
	return s.http.Stop(ctx)
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New(bunrouter.WithNotFoundHandler(s.notFound), bunrouter.WithMethodNotAllowedHandler(s.notFound))
	router.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.WriteHeader(http.StatusNoContent)
		return nil
	})
	router.GET("/metrics", func(w http.ResponseWriter, _ bunrouter.Request) error {
		s.Metrics.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
		return nil
	})
	router.GET("/admin/documents", s.authorize(actionRead, s.listDocuments))
	router.GET("/admin/documents/:team", s.authorize(actionRead, s.getDocument))
	router.PUT("/admin/documents/:team", s.authorize(actionEdit, s.putDocument))
	router.DELETE("/admin/documents/:team", s.authorize(actionEdit, s.deleteDocument))
	router.GET("/admin/documents/:team/history", s.authorize(actionRead, s.history))
	router.GET("/admin/status", s.authorize(actionRead, s.status))
	router.GET("/admin/burn", s.authorize(actionRead, s.burn))
	router.POST("/admin/drain", s.authorize(actionDrain, s.drain))
	router.DELETE("/admin/drain", s.authorize(actionDrain, s.resume))
	router.GET("/admin/decisions", s.authorize(actionRead, s.decisions))
	return router
}

func (s *Server) notFound(w http.ResponseWriter, request bunrouter.Request) error {
	return writeProblem(w, http.StatusNotFound, problem{
		Code:    codeNotFound,
		Message: "nothing is served at " + request.Method + " " + request.URL.Path,
	})
}
