// Package relay is the HTTP handler of the entry hosts: it forwards clients' requests to
// backend servers and returns the servers' answers unchanged. It guarantees that each
// client gets the whole answer to its own request or a recognisable failure, that a request
// that must not be repeated is sent once, and that "not run" is reported only with proof.
//
// A Handler serves HTTP. It uses a request's route, kind and weights, and never looks into
// its body. The goroutine of net/http that serves a request does all of its work:
// Handler.ServeHTTP decodes the request, picks a server from a balance.Pool, sends through
// an upstream.Client, and retries. A requestState belongs to that one goroutine and needs
// no lock; what requests share (the Pool, the retry budget, the Metrics) locks by itself.
//
// # Usage
//
//	handler := &relay.Handler{
//		Codec:         platform.Ingress{},
//		ControlPlane:  control,
//		Upstream:      &upstream.Client{},
//		Budget:        retries.New(options),
//		Log:           log,
//		Metrics:       relay.NewMetrics(set),
//		HarmlessParts: &harmlessParts,
//		Now:           time.Now,
//		Random:        rand.Uint64,
//		Shutdown:      shutdown,
//	}
//	server := http.Server{
//		Handler: handler,
//	}
//
// # One request
//
// The handler reads the request in full, then tries one server after another until one
// answers or no further attempt is allowed. The outcome of each send decides: if the server
// proved that it did not run the request, a request of any kind may go to another server;
// if it may have run, only one that may be repeated. Each further send takes a token from
// the retry budget that all hosts share.
//
// # Errors
//
// 401 for a request without the key of a client account, if its route needs one, 404 for no
// route, 429 with Retry-After for a request that its account's limit doesn't allow, 400 and
// 413 for a request that can't be read, 503 with Retry-After for a request that provably did
// not run, among them one whose body finds no room in HeldBytes, 502 if it may have run, 504 if its deadline passed.
// A server's own 408, 421, 429 or 503 without its proof that nothing ran is never passed on: it is a
// failure, 502 if no other server answers. Answers that a newer configuration
// might change, 401, 404, 413 and 429, are given only while the host's configuration is known to be
// recent, and are 503 otherwise.
// If a stream has started and can't continue, the client's connection is cut, so that the
// client can't take a part of the answer for the whole.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/upstream"
)

// Codec translates between HTTP headers and the types of this package.
type Codec interface {
	// Decode reads the header of a client's request.
	Decode(r *http.Request, arrived time.Time) (request.Request, error)
	// Encode adds the headers that the system sets on one attempt.
	Encode(header http.Header, attempt *Attempt)
	// DecodeAnswer reads the header of a server's answer.
	DecodeAnswer(status int, header http.Header) Answer
}

// Attempt is what the system sends to a server in addition to the client's request.
type Attempt struct {
	Server   ident.ServerName
	Deadline time.Time
	Priority int
	// HidesKey is set if the client's key must not be forwarded. Account is the client's
	// account, empty if it has none.
	HidesKey bool
	Account  ident.AccountName
	// ResumeAfter is the id of the last event that the client has received.
	ResumeAfter string
	// Version is the only version of the weights that can continue a stream; empty
	// before the stream has started.
	Version ident.Version
}

// Answer is the decoded header of a server's answer.
type Answer struct {
	// RequestID names the request that is answered.
	RequestID ident.RequestID
	// Signed reports whether a server of the service made the answer.
	Signed bool
	// NotRun is the server's proof that it did not run the request.
	NotRun bool
	// Misplaced reports that another server has the address, or that the server does not
	// hold the requested weights.
	Misplaced bool
	// Instance is the name of the answering server, empty if the answer doesn't name it.
	Instance   ident.ServerName
	Version    ident.Version
	ServerLoad ServerLoad
	Signals    backend.Signals
}

// ServerLoad is the load that a server reports; Slots is 0 if it reports none. Pace is how long
// work takes there at the moment.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
	Pace    pace.Reading
}

// ControlPlane is what the handler needs from the control side of the host. Its methods are
// called by many goroutines at once.
type ControlPlane interface {
	// AwaitRoutes returns the routing table in force. On a host that has just started it
	// waits for the first table; nil means that none is likely to come soon.
	AwaitRoutes(ctx context.Context) *routetable.Table
	// AwaitNewerRoutes waits for a newer routing table than the given one, until ctx ends.
	// The second result reports whether the returned table is known to be recent: the
	// host has lately heard that there is no newer configuration.
	AwaitNewerRoutes(ctx context.Context, table *routetable.Table) (*routetable.Table, bool)
	// HasCurrentRoutes reports whether the table in force is known to be recent.
	HasCurrentRoutes() bool
	// Pool returns a service's servers, or nil if the service is unknown.
	Pool(service ident.ServiceName) *balance.Pool
	// ReportMissingWeights reports that a request waits for weights that no server holds.
	ReportMissingWeights()
	// Reserve chooses one of the prompt's candidate engines, of which there is at least
	// one, and returns the time at which to send. It may wait until an engine is free. The
	// returned function releases a booked reservation; a request whose reservation is
	// neither booked nor full may ask again.
	Reserve(ctx context.Context, model ident.ModelName, prompt *pacing.Prompt) (pacing.Reservation, func())
	// Permit asks for a permit to send a request to a server with a request limit, or to one that is
	// brittle. It may ask other hosts. SettlePermit tells the issuer what came of one for a brittle
	// server; it doesn't wait.
	Permit(ctx context.Context, ask permits.Ask) permits.Answer
	SettlePermit(issuer pacing.Host, ask permits.Ask)
	// ReportLimitEnded passes on that a server names no request limit any more. It doesn't wait.
	ReportLimitEnded(ask permits.Ask)
	// ReportBrittle reports that a service has become brittle, so that other hosts learn of it soon.
	ReportBrittle()
	// Admit decides whether a request may use an amount of its account's limit. Refund gives
	// back a grant whose request did not run.
	Admit(ctx context.Context, name ident.AccountName, cost account.Amount, priority int) quota.Grant
	Refund(grant quota.Grant)
	// Borrow asks other hosts for an unused retry token, after this host has spent its own.
	Borrow(ctx context.Context, service ident.ServiceName) bool
	// FindStream returns where the stream began that the answer to a request began. The service
	// is the one that the route picks now. It may ask other hosts. The second result is false if
	// that can't be found.
	FindStream(ctx context.Context, began ident.RequestID, service ident.ServiceName) (streams.Origin, bool)
	// RecordStream records where a stream began, for all hosts, and which server writes it now. It
	// doesn't wait.
	RecordStream(began ident.RequestID, server ident.ServerName, origin streams.Origin)
	// AwaitStored waits for a moment until the record of a stream outlives this host.
	AwaitStored(ctx context.Context, began ident.RequestID)
	// ConfirmServer reports whether a server that goes on with a stream is known to be still the
	// incarnation that was chosen for it. It may ask the key-value service.
	ConfirmServer(ctx context.Context, service ident.ServiceName, server ident.ServerName, incarnation ident.Incarnation) bool
	// PathTo returns how to connect to a server.
	PathTo(server paths.Server, address string) upstream.Path
	// Suspects returns the requests, and the parts of prompts, under which servers have crashed;
	// it may be nil.
	Suspects() *suspects.View
	// ReportLostAttempt reports a server whose connection broke during a request.
	// ReportCleared reports that a suspect request was answered, ReportHarmless that an answer to a
	// prompt with a suspect part has begun.
	ReportLostAttempt(loss suspects.LostAttempt)
	ReportCleared(fingerprint ident.Fingerprint)
	ReportHarmless(part suspects.Part)
}

// Handler serves clients' requests. All fields must be set but HeldBytes. It is safe for use by many
// goroutines.
type Handler struct {
	Codec        Codec
	ControlPlane ControlPlane
	Upstream     *upstream.Client
	Budget       *retries.Budget
	Log          *zap.Logger
	Metrics      *Metrics
	// HeldBytes bounds what is held for all requests; nil for no bound.
	HeldBytes *heldbytes.Budget
	// HarmlessParts are the parts of prompts to which servers have lately begun answers.
	HarmlessParts *suspects.Answered
	Now           func() time.Time
	Random        func() uint64
	// Shutdown ends when the process is about to exit: every request must then get its
	// final answer at once.
	Shutdown context.Context

	answered    suspects.Answered
	plannedStop atomic.Pointer[plannedStop]
	inFlight    atomic.Int64
}

// plannedStop is a planned stop of the host.
type plannedStop struct {
	// Streams that arrive after lastStreamStart are refused; by end all requests must have
	// their answer.
	lastStreamStart time.Time
	end             time.Time
}

// StopBy announces that the host stops. From now on every answer closes its connection, so
// that clients use another host for their next request. A stream that arrives after
// lastStreamStart, or any request that might not be answered by end, is refused at once,
// since it would be cut. Requests that are still in flight at end get their final answer
// when Handler.Shutdown ends.
func (h *Handler) StopBy(lastStreamStart, end time.Time) {
	h.plannedStop.Store(&plannedStop{
		lastStreamStart: lastStreamStart,
		end:             end,
	})
}

// InFlight counts the requests that are being served.
func (h *Handler) InFlight() int64 {
	return h.inFlight.Load()
}

// configurationRetryAfter is when a client may retry at a host that has no configuration
// yet: the host asks its peers and the store several times a second.
const configurationRetryAfter = 300 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	now := h.Now()
	s := &requestState{
		handler: h,
		writer:  w,
		ctx:     r.Context(),
		arrived: now,
		hold:    h.HeldBytes.Hold(),
	}
	defer s.hold.Release()
	stop := h.plannedStop.Load()
	if stop != nil {
		w.Header().Set("Connection", "close")
	}
	decoded, err := h.Codec.Decode(r, now)
	if err != nil {
		s.fail(http.StatusBadRequest, "unreadable: "+err.Error())
		return
	}
	s.request = decoded
	table := s.awaitRoutes()
	if table == nil {
		s.refuse(configurationRetryAfter, "no configuration is known yet")
		return
	}
	if table = s.findRoute(table); table == nil {
		return
	}
	s.routes = table
	if stop != nil && stop.wouldCut(now, s.route) {
		s.refuse(otherHostRetryAfter, "the host stops")
		return
	}
	if !s.readBody(r, table.Configuration().Limits) {
		return
	}
	s.serve(table.Configuration().Services)
}

// awaitRoutes returns the routing table in force. It waits for the first table until the
// client's deadline at most.
func (s *requestState) awaitRoutes() *routetable.Table {
	ctx, cancel := s.withDeadline(s.request.Deadline)
	defer cancel()
	return s.handler.ControlPlane.AwaitRoutes(ctx)
}

// otherHostRetryAfter is when a client may retry that another host will serve.
const otherHostRetryAfter = 20 * time.Millisecond

// wouldCut reports whether the stop might cut off a request that arrives now.
func (s *plannedStop) wouldCut(now time.Time, r *route.Route) bool {
	if r.Kind == route.Stream {
		return now.After(s.lastStreamStart)
	}
	return now.Add(r.Timeout).After(s.end)
}

// refuseIfTooLate ends a request that no server has run, if this host stops and would cut it off once
// it is sent. It reports whether it did. Long after its header a request's body may still arrive, or
// its turn come.
func (s *requestState) refuseIfTooLate() bool {
	stop := s.handler.plannedStop.Load()
	if stop == nil || !s.handler.Now().After(stop.lastStreamStart) || s.proofNotRun() == "" {
		return false
	}
	if !s.deadline.IsZero() && !s.deadline.After(stop.end) {
		return false
	}
	s.writer.Header().Set("Connection", "close")
	s.refuse(otherHostRetryAfter, "the host stops")
	return true
}

// readBody reads the body in full: a request is sent only once it is complete, and may have
// to be sent again.
func (s *requestState) readBody(r *http.Request, limits route.Limits) bool {
	limit := int64(limits.MaxBody)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		s.refuseBody()
		return false
	}
	body, err := httpsend.ReadHeldBody(r.Body, r.ContentLength, limit, &s.hold)
	switch {
	case errors.Is(err, httpsend.ErrNoRoom):
		s.refuseForMemory()
		return false
	case errors.Is(err, httpsend.ErrTooLarge):
		s.refuseBody()
		return false
	case err != nil:
		s.abort("body cut: " + err.Error())
		return false
	}
	s.request.Body = body
	return true
}

// refuseBody ends a request whose body is larger than the configuration allows.
func (s *requestState) refuseBody() {
	const reason = "body over the limit"
	if !s.handler.ControlPlane.HasCurrentRoutes() {
		s.refuseUnverified(reason)
		return
	}
	s.fail(http.StatusRequestEntityTooLarge, reason)
}

// defaultMaxBodyBytes applies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20
