package relay

import (
	"context"
	"slices"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// isResumption reports whether the client resumes a stream that an earlier request began.
func (s *requestState) isResumption() bool {
	return s.route.Kind == route.Stream && (s.request.ResumeAfter != "" || s.request.ResumedRequest != "")
}

// bindToOrigin binds the request to the service and build that began the stream that the client
// resumes. It returns false after it has ended the request.
func (s *requestState) bindToOrigin(ctx context.Context) bool {
	h := s.handler
	origin, known := h.ControlPlane.FindStream(ctx, s.request.ResumedRequest, s.service)
	if !known {
		h.Metrics.recordResumption("Unknown")
		s.refuse(loadRetryAfter, "the build that began the stream can't be found")
		return false
	}
	if !s.leadsTo(origin.Service) {
		h.Metrics.recordResumption("Moved")
		s.refuse(loadRetryAfter, "the route no longer leads to the service that began the stream")
		return false
	}
	s.service = origin.Service
	s.build = origin.Build
	h.Metrics.recordResumption("Bound")
	return true
}

// leadsTo reports whether the route sends requests to a service.
func (s *requestState) leadsTo(service ident.ServiceName) bool {
	return slices.ContainsFunc(s.route.Targets, func(t route.Target) bool { return t.Service == service && t.Weight > 0 })
}

// recordOrigin records which build began the stream, for the hosts at which the client may resume
// it. A client that has events of a new stream can resume it, so that the record has to come first.
func (s *requestState) recordOrigin(ctx context.Context, now time.Time, ticket *balance.Ticket) {
	s.build = ticket.Build
	if s.build != "" && ticket.WasReplaced() {
		s.build = streams.UnknownBuild // the server has started again since the send, maybe with other software
	}
	if !s.route.Resumable {
		return
	}
	began := s.request.ID
	if s.request.ResumedRequest != "" {
		began = s.request.ResumedRequest
	}
	expiresAt := s.deadline
	if expiresAt.IsZero() {
		expiresAt = now
	}
	s.handler.ControlPlane.RecordStream(began, ticket.Server, streams.Origin{
		Service:   s.service,
		Build:     s.build,
		ExpiresAt: expiresAt,
	})
	if s.request.ResumedRequest == "" {
		s.handler.ControlPlane.AwaitStored(ctx, began)
	}
}

// buildRetryAfter is about how long a server that has crashed takes to be back.
const buildRetryAfter = 4 * time.Second

// refuseWithoutBuild ends a request that can only go on at a build of the software that no server
// runs, or that none runs with the weights loaded. A server that has crashed may be back later.
func (s *requestState) refuseWithoutBuild() {
	s.abandonWithRetryAfter(buildRetryAfter, "no server runs the build that began the stream")
}
