// Package operator is the side that operators see: the administration API, the
// metrics and the health page of an entry host.
//
//	GET    /admin/documents              the teams with the revisions in force
//	GET    /admin/documents/TEAM         a team's document; its revision is the ETag
//	PUT    /admin/documents/TEAM         an edit of the revision in If-Match
//	DELETE /admin/documents/TEAM         the same, for a team that goes
//	GET    /admin/documents/TEAM/history the versions before
//	GET    /admin/status                 hosts, backend servers, models, moves
//	GET    /admin/burn                   the report on service-level burn
//	GET    /admin/decisions              recent decisions and why, or one by its id
//	POST   /admin/drain                  a planned stop of this host, but for its end
//	DELETE /admin/drain                  takes that back
//	GET    /metrics                      Prometheus text
//	GET    /healthz                      204 while the process serves
//
// Everything under /admin wants a bearer token from the settings. A team's
// token may read and edit its own document; the administrators' token may read
// everything, edit every team's and drain hosts. docs/API.md has the forms.
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

// Control is the control side of the host.
type Control interface {
	Documents() *documents.Snapshot
	Edit(ctx context.Context, edit documents.EditSubmitted) (documents.EditResult, error)
	History(ctx context.Context, team ident.TeamName) ([]documents.Version, error)
	Status(ctx context.Context) (loop.Status, error)
	Burn(ctx context.Context) (loop.BurnReport, error)
	Explain(ctx context.Context, query decisions.Query) (loop.Decided, error)
}

// Drainer is the host's side of a planned stop that an operator begins.
type Drainer interface {
	// Drain refuses new requests and hands over what this host leads.
	Drain()
	// Resume takes Drain back, or tells that the process is already ending.
	Resume() bool
	Stopping() bool
	// InFlight is the number of callers' requests under way.
	InFlight() int64
}

// Bounds of a request.
const (
	callTimeout = 10 * time.Second
	maxDocument = 1 << 20
)

// Server answers operators. All fields but TLS must be set.
type Server struct {
	Control  Control
	Host     Drainer
	Settings settings.Operators
	// Metrics are this host's; the process's own are shown with them.
	Metrics *metrics.Set
	Log     *zap.Logger
	TLS     *tls.Config
	// Now is the wall clock; time.Now unless a test sets it.
	Now func() time.Time

	http httpserve.Server
}

// Start listens at an address ("ip:port"; port 0 takes any) and gives the
// address that it got.
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

// Stop lets the requests in flight finish, within the context's time.
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
	router.GET("/admin/documents", s.allowed(toRead, s.listDocuments))
	router.GET("/admin/documents/:team", s.allowed(toRead, s.getDocument))
	router.PUT("/admin/documents/:team", s.allowed(toEdit, s.putDocument))
	router.DELETE("/admin/documents/:team", s.allowed(toEdit, s.deleteDocument))
	router.GET("/admin/documents/:team/history", s.allowed(toRead, s.history))
	router.GET("/admin/status", s.allowed(toRead, s.status))
	router.GET("/admin/burn", s.allowed(toRead, s.burn))
	router.POST("/admin/drain", s.allowed(toDrain, s.drain))
	router.DELETE("/admin/drain", s.allowed(toDrain, s.resume))
	router.GET("/admin/decisions", s.allowed(toRead, s.decisions))
	return router
}

func (s *Server) notFound(w http.ResponseWriter, request bunrouter.Request) error {
	return writeProblem(w, http.StatusNotFound, problem{
		Code:    codeNotFound,
		Message: "nothing is served at " + request.Method + " " + request.URL.Path,
	})
}
