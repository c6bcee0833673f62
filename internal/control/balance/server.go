package balance

import (
	"slices"
	"time"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// server is one incarnation of one backend server.
type server struct {
	info ServerInfo
	// pressure is what the server's answers have asked for.
	pressure *backpressure.Server
	// holds and retiring are the reported weights and retiring models, corrected by answers.
	// They may be shared with other owners, and are replaced, not changed.
	holds    []request.Weights
	retiring []ident.ModelName
	// isIndexed is whether the server is in the pool's index.
	isIndexed bool
	// ownInFlight counts this host's requests there, ownUnstarted those of them whose
	// answer has not started.
	ownInFlight  int
	ownUnstarted int
	// otherInFlight and otherWaiting count the requests of all other hosts, by the last
	// report.
	otherInFlight int
	otherWaiting  int
	isLoadKnown   bool
	// loadAt is when an answer last told the load.
	loadAt time.Time
	// failures counts consecutive failed sends. The server gets no requests until
	// ejectedUntil, and after it one at a time; probing reports that this one is in flight.
	failures     int
	ejectedUntil time.Time
	probing      bool
	// errorShare is the smoothed share of sends that the server failed.
	errorShare float64
	// slowness is the smoothed ratio of measured to expected times.
	slowness float64
	// responseTime is the smoothed time to the first byte, for servers without models.
	responseTime time.Duration
	// pace is how long work takes at the server, by its answers. Other learnt times are those
	// at a usual pace.
	pace        pace.Tracker
	cachedParts map[partKey]struct{}
}

// partKey names a part of a prompt in the cache for some weights.
type partKey struct {
	weights request.Weights
	part    uint64
}

func newPartKey(weights request.Weights, part request.PromptPart) partKey {
	return partKey{
		weights: weights,
		part:    part.ID,
	}
}

// maxCachedParts bounds what a host remembers of one server's prompt cache. There are a few
// hundred shared parts per model; a forgotten part makes one estimate worse and never an
// answer wrong.
const maxCachedParts = 2048

func (s *server) update(info *ServerInfo) {
	if s.info.Incarnation == info.Incarnation && s.info.Leaving {
		info.Leaving = true // an incarnation never takes requests again after it began to leave
	}
	s.info = *info
	if info.Running >= 0 {
		s.updateLoad(info.Running, info.Waiting)
	}
	if s.slowness == 0 {
		s.slowness = 1
	}
}

// updateLoad stores the server load that the server reported. The report is older than this
// host's own count; the current count is subtracted in place of the one at the time of the
// report.
func (s *server) updateLoad(running, waiting int) {
	s.isLoadKnown = true
	s.otherInFlight = max(running+waiting-s.ownInFlight, 0)
	s.otherWaiting = min(waiting, s.otherInFlight)
}

// inFlight counts the requests of all hosts at the server.
func (s *server) inFlight() int {
	return s.ownInFlight + s.otherInFlight
}

// Bounds on ejection. A crashed server is back after a few seconds; the first ejection is
// short, since a single failed connection may be a network error.
const (
	firstEjection = 300 * time.Millisecond
	maxEjection   = 3 * time.Second
	maxDoublings  = 4
)

// recordFailure counts a failed send and ejects the server for a while.
func (s *server) recordFailure(now time.Time) {
	s.failures++
	doublings := min(s.failures-1, maxDoublings)
	s.ejectedUntil = now.Add(min(firstEjection<<doublings, maxEjection))
	s.probing = false
}

// recordSuccess ends an ejection.
func (s *server) recordSuccess() {
	s.failures = 0
	s.ejectedUntil = time.Time{}
	s.probing = false
}

// isAvailable reports whether the server accepts one more request of this host.
func (s *server) isAvailable(now time.Time, limit ServerLimit) bool {
	if s.isLeaving() || s.info.Unrecorded || !s.hasRoom(limit) || now.Before(s.ejectedUntil) {
		return false
	}
	return s.failures == 0 || !s.probing
}

// hasRoom reports whether this host may have one more request in flight at the server.
func (s *server) hasRoom(limit ServerLimit) bool {
	return s.ownInFlight < limit.Own || s.isLoadKnown && s.inFlight() < limit.Total
}

// isRetiring reports whether a model is about to be unloaded.
func (s *server) isRetiring(model ident.ModelName) bool {
	return slices.Contains(s.retiring, model)
}

// isLeaving reports whether the server leaves, by its entry or by its own word.
func (s *server) isLeaving() bool {
	return s.info.Leaving || s.pressure.State().IsLeaving
}

// isOpen reports whether the server accepts one more request by its own word. A request that
// waits for its permit may go to a server whose next permit is free later.
func (s *server) isOpen(now time.Time, criteria *Criteria) bool {
	state := s.pressure.State()
	return !state.IsResting(now) && (criteria.AwaitsPermit || !state.OpensAt().After(now))
}

// recordParts remembers that the server's cache holds parts of a prompt.
func (s *server) recordParts(weights request.Weights, parts []request.PromptPart) {
	if len(s.cachedParts) > maxCachedParts {
		clear(s.cachedParts)
	}
	if s.cachedParts == nil {
		s.cachedParts = make(map[partKey]struct{}, len(parts))
	}
	for _, part := range parts {
		s.cachedParts[newPartKey(weights, part)] = struct{}{}
	}
}

// uncachedTokens estimates how many tokens of a prompt the server has to prefill. Parts
// known to be cached count nothing. Other shared parts have mostly been cached by requests
// of other hosts and count for a quarter. The last part is the request's own and counts in
// full.
func (s *server) uncachedTokens(criteria *Criteria) float64 {
	tokens, cached := float64(criteria.Prompt), true
	for i, part := range criteria.Parts {
		_, partCached := s.cachedParts[newPartKey(criteria.Weights, part)]
		cached = cached && partCached
		switch {
		case cached:
			tokens -= float64(part.Tokens)
		case i < len(criteria.Parts)-1:
			tokens -= sharedCachedShare * float64(part.Tokens)
		}
	}
	return max(tokens, 1)
}

// ownTokens counts the tokens of a prompt's last part, which no other request shares.
func (c *Criteria) ownTokens() float64 {
	if len(c.Parts) == 0 {
		return float64(c.Prompt)
	}
	return float64(c.Parts[len(c.Parts)-1].Tokens)
}

// sharedCachedShare is the share of shared tokens that a server has cached for other hosts.
const sharedCachedShare = 0.75
