package permits

import (
	"math"
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/unit"
)

const (
	// refusalWindow is the time in which a brittle server counts its refusals.
	refusalWindow = time.Second
	// maxSilence is how long a server may answer nothing and then refuse what has reached it meanwhile.
	// It bounds the time for which a permit that is never settled is in use.
	maxSilence = 3 * time.Second
	// hostDelay is how long a host may take, beside the links, to send a request or to settle its permit.
	hostDelay = 10 * time.Millisecond
	// spreadTime is the time over which the permits are spread that are granted while the server answers
	// nothing, and spreadDoublings how often the pauses between them double.
	spreadTime      = time.Second
	spreadDoublings = 8
	// A host that is refused a permit while the outcome of others is open may ask again after
	// retryDelay. Hosts that are refused one after the other are told instants that are retrySpacing
	// apart, so that many of them do not overload the issuer, and at most maxRetryDelay away.
	retryDelay    = 20 * time.Millisecond
	retrySpacing  = 2 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// secondShare, aloneShare and spareShare are the parts of the refusals for the second host in rank,
	// for the hosts that reach no issuer, and for requests whose refusals are never reported, since
	// their hosts were killed or cut off.
	secondShare = 1.0 / 6
	aloneShare  = 1.0 / 12
	spareShare  = 1.0 / 12
	// maxPermits bounds the memory for one server.
	maxPermits = 1024
)

// refusals are the refusals that a brittle server bears, as far as this host issues permits for
// them.
type refusals struct {
	brittleness backend.Brittleness
	used        []usedRefusal
	// lastPermit is the last permit that was granted, retryAt the last instant that a host was
	// told to ask again.
	lastPermit PermitID
	retryAt    time.Time
	askedAt    time.Time
	// answerReportedAt is when an answer of the server was last reported.
	answerReportedAt time.Time
}

// usedRefusal is a refusal that a request may still cause, or that one has caused lately.
type usedRefusal struct {
	// permit is the request's; 0 once it is refused.
	permit    PermitID
	grantedAt time.Time
	// reachesAt is when the request has reached the server. A refusal at that instant is reported by
	// reportedAt.
	reachesAt  time.Time
	reportedAt time.Time
	// freeAt is when the refusal counts no more, at the latest.
	freeAt time.Time
}

// learn applies what an ask says about the server.
func (r *refusals) learn(now time.Time, ask *Ask) {
	if !ask.Brittleness.StatedAt.IsZero() {
		r.brittleness = r.brittleness.Merge(ask.Brittleness)
	}
	if ask.Settled.Permit != 0 {
		r.settle(now, &ask.Settled)
	}
	if !ask.Settled.AnsweredAt.IsZero() {
		r.applyAnswer(ask.Settled.AnsweredAt, ask.RoundTrip)
		r.answerReportedAt = now
	}
}

// allowance is what a host may issue for a server.
type allowance struct {
	// permits is how many permits may be in use, from opensAt on.
	permits int
	opensAt time.Time
}

// allowance returns what this host may issue now, and false if it issues nothing.
func (r *refusals) allowance(now time.Time, rank Rank) (allowance, bool) {
	parts := divide(r.brittleness.MaxRefusals)
	switch {
	case rank.Hosts > 0:
		return allowance{
			permits: 1,
			opensAt: nextTurn(now, parts.alone, rank),
		}, true
	case rank.isFirst(now):
		return allowance{
			permits: parts.first,
		}, true
	case now.Sub(rank.IssuerSince) >= settleTime:
		return allowance{
			permits: parts.second,
		}, true
	}
	return allowance{}, false
}

// refusalParts are the parts of the refusals that a server bears in one window.
type refusalParts struct {
	// first and second are for the hosts of these ranks, alone is for all hosts that reach neither.
	first, second, alone int
}

// divide divides the refusals that a server bears. Where there are too few for all, the first host takes
// precedence over the second, and both over the hosts without an issuer.
func divide(maxRefusals unit.Rate) refusalParts {
	whole := int(min(max(maxRefusals, 1), maxPermits))
	part := func(share float64) int { return int(share * float64(whole)) }
	var parts refusalParts
	parts.second = min(max(part(secondShare), 1), whole-1)
	parts.alone = min(max(part(aloneShare), 1), whole-1-parts.second)
	parts.first = whole - parts.second - parts.alone - part(spareShare)
	return parts
}

// nextTurn returns when a host that reaches no issuer may send next, now if it is its turn. It may
// cause one refusal in a turn. Turns are divided by pauses, so that requests which take a little
// longer don't arrive together with those of the next turn.
func nextTurn(now time.Time, refusals int, rank Rank) time.Time {
	if refusals == 0 {
		return now.Add(maxRetryDelay)
	}
	length := refusalWindow
	if refusals == 1 {
		length = 2 * refusalWindow
	}
	hostsPerTurn := max(refusals/2, 1)
	turns := (rank.Hosts + hostsPerTurn - 1) / hostsPerTurn
	round := length * time.Duration(turns)
	begin := length * time.Duration(rank.Index/hostsPerTurn)
	elapsed := (time.Duration(now.UnixNano())%round - begin + round) % round
	if elapsed < length/4 {
		return now
	}
	return now.Add(round - elapsed)
}

// canGrant reports whether one more permit can be granted now, of so many that are available.
func (r *refusals) canGrant(now time.Time, available int) bool {
	if r.countUsed(now) >= available {
		return false
	}
	unanswered, since := r.countUnanswered(now)
	return unanswered == 0 || unanswered < spread(now.Sub(since), available)
}

// countUnanswered returns how many permits have been granted since an answer of the server was last
// reported, and since when.
func (r *refusals) countUnanswered(now time.Time) (int, time.Time) {
	count, since := 0, now
	for i := range r.used {
		if u := &r.used[i]; u.permit != 0 && u.grantedAt.After(r.answerReportedAt) {
			count++
			since = earlier(since, u.grantedAt)
		}
	}
	return count, since
}

// spread returns how many of the available permits may be granted within a time in which the server
// answers nothing. Answers to requests that are sent together arrive together, and show nothing of
// those that follow.
func spread(elapsed time.Duration, available int) int {
	part := 1 + math.Log2(max(elapsed, 1).Seconds()/spreadTime.Seconds())/spreadDoublings
	return int(math.Ceil(float64(available) * min(max(part, 0), 1)))
}

// countUsed returns how many refusals are in use now.
func (r *refusals) countUsed(now time.Time) int {
	r.used = slices.DeleteFunc(r.used, func(u usedRefusal) bool { return !u.freeAt.After(now) })
	return len(r.used)
}

// grant returns a new permit. roundTrip is that of the host that gets it.
func (r *refusals) grant(now, sendAt time.Time, roundTrip time.Duration) PermitID {
	// A process that has restarted must not name the permits of the one before again.
	r.lastPermit = max(r.lastPermit+1, PermitID(now.UnixNano()))
	// The host may have to open a connection.
	reachesAt := sendAt.Add(2*roundTrip + hostDelay)
	r.used = append(r.used, usedRefusal{
		permit:     r.lastPermit,
		grantedAt:  now,
		reachesAt:  reachesAt,
		reportedAt: reachesAt.Add(roundTrip + hostDelay),
		freeAt:     sendAt.Add(maxSilence + r.window()),
	})
	return r.lastPermit
}

// window is the time in which the server may refuse one request for each permit.
func (r *refusals) window() time.Duration {
	if r.brittleness.MaxRefusals <= 0 {
		return refusalWindow
	}
	return max(refusalWindow, time.Duration(float64(time.Second)/float64(r.brittleness.MaxRefusals)))
}

// settle applies what came of a permit's request: its refusal is free at once unless the server
// may have refused it.
func (r *refusals) settle(now time.Time, settled *Settlement) {
	i := slices.IndexFunc(r.used, func(u usedRefusal) bool { return u.permit == settled.Permit })
	if i >= 0 {
		r.used = slices.Delete(r.used, i, i+1)
	}
	isLateRefusal := i < 0 && !settled.AnsweredAt.IsZero()
	if settled.MayBeRefused && (i >= 0 || isLateRefusal) && len(r.used) < maxPermits {
		r.used = append(r.used, usedRefusal{
			freeAt: now.Add(r.window()),
		})
	}
}

// applyAnswer frees the permits whose requests had reached the server when it answered another one,
// once their refusals would have been reported: a server that has been silent refuses what it finds
// when it goes on. The answer was made at most a round trip before it arrived.
func (r *refusals) applyAnswer(answeredAt time.Time, roundTrip time.Duration) {
	for i := range r.used {
		if u := &r.used[i]; u.permit != 0 && !answeredAt.Add(-roundTrip).Before(u.reachesAt) {
			u.freeAt = earlier(u.freeAt, answeredAt.Add(u.reportedAt.Sub(u.reachesAt)))
		}
	}
}

// nextRetry returns when a host that is refused a permit may ask again.
func (r *refusals) nextRetry(now time.Time) time.Time {
	first := now.Add(maxRetryDelay)
	for i := range r.used {
		first = earlier(first, r.used[i].freeAt)
		if r.used[i].permit != 0 {
			first = earlier(first, now.Add(retryDelay))
		}
	}
	r.retryAt = later(first, r.retryAt.Add(retrySpacing))
	if latest := now.Add(maxRetryDelay); r.retryAt.After(latest) {
		r.retryAt = latest
	}
	return r.retryAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
