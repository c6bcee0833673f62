package permits

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

const (
	// backupShare is the part of a limit that the second host in rank issues.
	backupShare = 0.25
	// settleTime is how long a host that has become the first in rank issues backupShare: the
	// time in which the other hosts learn of the change.
	settleTime = 4 * time.Second
	// burstTime is how long an unused permit stays available.
	burstTime = 250 * time.Millisecond
	// minRate is issued for servers that name a lower limit, such as 0: only the answer to a
	// request tells that the limit has ended.
	minRate unit.Rate = 0.1
	// scheduleTTL is how long a server without asks is remembered.
	scheduleTTL = time.Minute
)

// Issuer grants the permits of the servers that this host is asked for. The zero value is ready
// to use.
type Issuer struct {
	mu        sync.Mutex
	schedules map[serverKey]*schedule
	// refusals are kept over incarnations: hosts may learn of a new one at different moments.
	refusals map[ident.ServerName]*refusals
	sweptAt  time.Time
}

type serverKey struct {
	server      ident.ServerName
	incarnation ident.Incarnation
}

// schedule is the state of one server.
type schedule struct {
	limit   backend.RequestLimit
	limitAt time.Time
	// next is when the next permit is free.
	next    time.Time
	askedAt time.Time
}

// Issue answers an ask. rank is this host's rank for the server.
func (i *Issuer) Issue(now time.Time, rank Rank, ask Ask) Answer {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	s := i.schedule(now, &ask)
	s.learn(now, rank, ask.Limit, ask.LimitAt)
	answer := Answer{
		Limit:   s.limit,
		LimitAt: s.limitAt,
	}
	r := i.learnRefusals(now, &ask)
	isBrittle := r != nil && r.brittleness.MaxRefusals > 0
	switch {
	case rank.Position < 0 || rank.Position >= issuersPerServer:
		answer.Outcome = NotIssuer
	case s.limit.Statement != backend.LimitNamed && !isBrittle:
		answer.Outcome, answer.SendAt = Granted, now
	case !ask.NeedsSend:
	case isBrittle:
		s.issueToBrittle(now, rank, r, &ask, &answer)
	default:
		answer.Outcome, answer.SendAt = s.issue(now, rank, ask.SendBy)
	}
	return answer
}

// issueToBrittle grants a permit if the server bears one more refusal now and, where it has a limit
// too, if that allows the request in time.
func (s *schedule) issueToBrittle(now time.Time, rank Rank, r *refusals, ask *Ask, answer *Answer) {
	allowed, isIssuer := r.allowance(now, rank)
	switch {
	case !isIssuer:
		answer.Outcome = NotIssuer
		return
	case allowed.opensAt.After(now):
		answer.SendAt = earlier(allowed.opensAt, now.Add(maxRetryDelay))
		return
	case !r.canGrant(now, allowed.permits):
		answer.SendAt = r.nextRetry(now)
		return
	}
	answer.Outcome, answer.SendAt = Granted, now
	if s.limit.Statement == backend.LimitNamed {
		answer.Outcome, answer.SendAt = s.issue(now, rank, ask.SendBy)
	}
	if answer.Outcome == Granted {
		answer.Permit = r.grant(now, answer.SendAt, ask.RoundTrip)
	}
}

// learnRefusals applies what an ask says about a brittle server, and returns what is known of its
// refusals, nil if that is nothing.
func (i *Issuer) learnRefusals(now time.Time, ask *Ask) *refusals {
	r, known := i.refusals[ask.Server]
	if !known {
		if ask.Brittleness.MaxRefusals == 0 {
			return nil
		}
		r = &refusals{}
		if i.refusals == nil {
			i.refusals = make(map[ident.ServerName]*refusals)
		}
		i.refusals[ask.Server] = r
	}
	r.askedAt = now
	r.learn(now, ask)
	return r
}

func (i *Issuer) schedule(now time.Time, ask *Ask) *schedule {
	key := serverKey{
		server:      ask.Server,
		incarnation: ask.Incarnation,
	}
	s, known := i.schedules[key]
	if !known {
		s = &schedule{}
		if i.schedules == nil {
			i.schedules = make(map[serverKey]*schedule)
		}
		i.schedules[key] = s
	}
	s.askedAt = now
	return s
}

func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < scheduleTTL {
		return
	}
	i.sweptAt = now
	for key, s := range i.schedules {
		if now.Sub(s.askedAt) > scheduleTTL {
			delete(i.schedules, key)
		}
	}
	for server, r := range i.refusals {
		if now.Sub(r.askedAt) > scheduleTTL {
			delete(i.refusals, server)
		}
	}
}

// learn applies a statement about the limit. The first permit is free one interval after the
// first statement: nothing is known of the permits that another host may have granted.
func (s *schedule) learn(now time.Time, rank Rank, limit backend.RequestLimit, at time.Time) {
	if limit.Statement == backend.LimitUnreadable || !at.After(s.limitAt) {
		return
	}
	hadLimit := s.limit.Statement == backend.LimitNamed
	isHigher := limit.Rate > s.limit.Rate
	s.limit, s.limitAt = limit, at
	if limit.Statement != backend.LimitNamed {
		return
	}
	if first := now.Add(s.interval(now, rank)); !hadLimit || isHigher && first.Before(s.next) {
		s.next = first
	}
}

// issue books the next permit, if it is free by sendBy or now: an ask may have been on its way
// for longer than it can wait. So the instant of a refusal is never a past one.
func (s *schedule) issue(now time.Time, rank Rank, sendBy time.Time) (Outcome, time.Time) {
	sendAt := later(s.next, now)
	if sendAt.After(sendBy) && sendAt.After(now) {
		return Refused, sendAt
	}
	s.next = later(s.next, now.Add(-burstTime)).Add(s.interval(now, rank))
	return Granted, sendAt
}

// interval is the time between two permits.
func (s *schedule) interval(now time.Time, rank Rank) time.Duration {
	share := 1.0
	if !rank.isFirst(now) {
		share = backupShare
	}
	return time.Duration(float64(time.Second) / (float64(max(s.limit.Rate, minRate)) * share))
}

// isFirst reports whether this host has been the first in rank for long enough for the others to
// know.
func (r *Rank) isFirst(now time.Time) bool {
	return r.Position == 0 && now.Sub(r.Since) >= settleTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
