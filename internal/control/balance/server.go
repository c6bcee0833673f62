package balance

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// server is one life of one backend server.
type server struct {
	known    Server
	holds    map[request.Weights]bool
	retiring map[ident.ModelName]bool
	// own counts what this host has under way there, unstarted those of them whose
	// answer has not begun.
	own       int
	unstarted int
	// others and othersWaiting are what all other hosts have there, by the last word.
	others        int
	othersWaiting int
	// failures counts failed sends in a row; until ejectedUntil none is tried, and
	// after it one at a time.
	failures     int
	ejectedUntil time.Time
	probing      bool
	// errors is the smoothed share of sends that the server failed.
	errors float64
	// slowness is the smoothed ratio of measured to expected times.
	slowness float64
	// work is the smoothed time of an answer, for servers without models.
	work  time.Duration
	parts map[partKey]struct{}
}

// partKey is a part of a prompt in the cache of some weights.
type partKey struct {
	weights request.Weights
	part    uint64
}

func keyOf(weights request.Weights, part request.Part) partKey {
	return partKey{
		weights: weights,
		part:    part.ID,
	}
}

// maxParts bounds what a host remembers of one server's cache. Shared parts are a
// few hundred per model; what is forgotten costs one estimate, not an answer.
const maxParts = 2048

func (s *server) take(told *Server) {
	if s.known.Incarnation == told.Incarnation && s.known.Leaving {
		told.Leaving = true // a life that leaves never comes back
	}
	s.known = *told
	s.holds = make(map[request.Weights]bool, len(told.Holds))
	for _, weights := range told.Holds {
		s.holds[weights] = true
	}
	s.retiring = make(map[ident.ModelName]bool, len(told.Retiring))
	for _, model := range told.Retiring {
		s.retiring[model] = true
	}
	if told.Running >= 0 {
		s.hear(told.Running, told.Waiting)
	}
	if s.slowness == 0 {
		s.slowness = 1
	}
}

// hear takes in the server's word on its load. What this host has there now
// stands in for what it had there then.
func (s *server) hear(running, waiting int) {
	s.others = max(running+waiting-s.own, 0)
	s.othersWaiting = min(waiting, s.others)
}

// load counts what is under way there.
func (s *server) load() int {
	return s.own + s.others
}

// Bounds on ejection. A server that has crashed is back after a few seconds; the
// first pause is short, since one failed connection may be the network's.
const (
	firstEjection = 300 * time.Millisecond
	maxEjection   = 3 * time.Second
	maxDoublings  = 4
)

// fail counts a failed send and keeps others away for a while.
func (s *server) fail(now time.Time) {
	s.failures++
	doublings := min(s.failures-1, maxDoublings)
	s.ejectedUntil = now.Add(min(firstEjection<<doublings, maxEjection))
	s.probing = false
}

// succeed ends all doubt.
func (s *server) succeed() {
	s.failures = 0
	s.ejectedUntil = time.Time{}
	s.probing = false
}

// takes tells whether the server takes one more request.
func (s *server) takes(now time.Time, perServer int) bool {
	if s.known.Leaving || s.own >= perServer || now.Before(s.ejectedUntil) {
		return false
	}
	return s.failures == 0 || !s.probing
}

// remember notes that the server has read parts of a prompt.
func (s *server) remember(weights request.Weights, parts []request.Part) {
	if len(s.parts) > maxParts {
		clear(s.parts)
	}
	for _, part := range parts {
		s.parts[keyOf(weights, part)] = struct{}{}
	}
}

// unread counts the tokens of a prompt that the server has to read. What it is known
// to have read counts nothing. Of the parts that are shared, others have mostly asked
// for the rest before: they count for a quarter. The last part is the request's own.
func (s *server) unread(ask *Ask) float64 {
	tokens, known := float64(ask.Prompt), true
	for i, part := range ask.Parts {
		_, read := s.parts[keyOf(ask.Weights, part)]
		known = known && read
		switch {
		case known:
			tokens -= float64(part.Tokens)
		case i < len(ask.Parts)-1:
			tokens -= sharedRead * float64(part.Tokens)
		}
	}
	return max(tokens, 1)
}

// own counts the tokens of a prompt's last part, which no other request shares.
func (a *Ask) own() float64 {
	if len(a.Parts) == 0 {
		return float64(a.Prompt)
	}
	return float64(a.Parts[len(a.Parts)-1].Tokens)
}

// sharedRead is the part of shared tokens that a server has read for other hosts.
const sharedRead = 0.75
