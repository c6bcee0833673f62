package relay

import (
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
)

// isRefusedSuspect reports whether servers have crashed under the request, which its caller
// must have sent before, or under a part of its prompt. Some requests crash each server that runs
// them, and are sent again; each time all other requests in flight at that server are lost too.
// If a part crashes some builds only, the request is kept away from their servers.
func (s *requestState) isRefusedSuspect() bool {
	view := s.handler.ControlPlane.Suspects()
	s.verdict = view.Verdict(s.fingerprint)
	s.crashingBuilds, s.hasSuspectPart = nil, false
	if s.verdict == suspects.Refuse {
		return true
	}
	if !view.HasParts() {
		return false
	}
	builds := s.usableBuilds()
	for _, build := range builds {
		switch view.PartsVerdict(s.sharedParts(build)) {
		case suspects.Refuse:
			s.crashingBuilds = append(s.crashingBuilds, build)
		case suspects.ServeAlone:
			s.hasSuspectPart = true
		}
	}
	return len(builds) > 0 && len(s.crashingBuilds) == len(builds)
}

// mayCrashAnother reports whether the request, after it was lost, may be the one that crashes
// servers.
func (s *requestState) mayCrashAnother() bool {
	return s.verdict != suspects.Serve || s.hasSuspectPart && !s.answerBegun
}

// usableBuilds returns the builds of the software whose servers may run the request.
func (s *requestState) usableBuilds() []ident.Build {
	if s.build != "" {
		return []ident.Build{s.build}
	}
	return s.pool.RunningBuilds()
}

// sharedParts returns the parts of the prompt that other requests may have too, at a build. The
// last part is the request's own.
func (s *requestState) sharedParts(build ident.Build) []suspects.Part {
	shared := s.request.PromptParts[:max(len(s.request.PromptParts)-1, 0)]
	parts := make([]suspects.Part, 0, len(shared))
	for i := range shared {
		parts = append(parts, suspects.Part{
			Service: s.service,
			Build:   build,
			ID:      shared[i].ID,
		})
	}
	return parts
}

// endRefusedSuspect ends a request that is not sent, or not sent again, since servers crash under
// it.
func (s *requestState) endRefusedSuspect() {
	s.abandonWithRetryAfter(suspects.Retention, "servers have crashed under this request")
}

// reportSuspect reports what a send's result says about the request and the parts of its prompt.
func (s *requestState) reportSuspect(ticket *balance.Ticket, sent *sendResult, now time.Time) {
	h := s.handler
	switch {
	case sent.result == balance.Broken && sent.proof == "":
		s.reportLost(ticket, now)
	case sent.result == balance.Answered:
		h.answered.AddRequest(now, s.fingerprint)
		if s.verdict == suspects.ServeAlone {
			h.ControlPlane.ReportCleared(s.fingerprint)
		}
	}
}

// reportLost reports a request that was lost with the connection to its server.
func (s *requestState) reportLost(ticket *balance.Ticket, now time.Time) {
	loss := suspects.LostAttempt{
		Fingerprint: s.fingerprint,
		Request:     s.request.ID,
		Address:     ticket.Address,
		ServerIncarnation: suspects.ServerIncarnation{
			Server:      ticket.Server,
			Incarnation: ticket.Incarnation,
		},
		WasAnswered: s.handler.answered.Has(now, s.fingerprint),
		Unforeseen:  len(s.request.Body) == 0 && s.verdict == suspects.Serve && s.runs <= 1,
	}
	if !s.answerBegun {
		loss.Parts = s.sharedParts(ticket.Build)
	}
	if !loss.WasAnswered || len(loss.Parts) > 0 {
		s.handler.ControlPlane.ReportLostAttempt(loss)
	}
}

// recordAnswerBegun records that a server has begun an answer: no part of the prompt crashes its
// build. A server that has started again since the send may run another one.
func (s *requestState) recordAnswerBegun(ticket *balance.Ticket, now time.Time) {
	if s.answerBegun {
		return
	}
	s.answerBegun = true
	h := s.handler
	parts := s.sharedParts(ticket.Build)
	if len(parts) == 0 || ticket.Build != "" && !ticket.IsCurrent() {
		return
	}
	view := h.ControlPlane.Suspects()
	for _, part := range parts {
		h.HarmlessParts.AddPart(now, part)
		if view.IsSuspect(part) {
			h.ControlPlane.ReportHarmless(part)
		}
	}
}
