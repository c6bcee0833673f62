package permits

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/unit"
)

const (
	// refusalWindow is the time in which a brittle server counts its refusals.
	refusalWindow = time.Second
	// refusalDelay bounds the time from a permit's instant to a refusal: the host may send a little
	// later, and the links may be slow. A server refuses a request as soon as it arrives.
	refusalDelay = 750 * time.Millisecond
	// A host that is refused a permit while the outcome of others is open may ask again after
	// retryDelay. Hosts that are refused one after the other are told instants that are retrySpacing
	// apart, so that many of them do not overload the issuer, and at most maxRetryDelay away.
	retryDelay    = 20 * time.Millisecond
	retrySpacing  = 2 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// aloneShare is the part of the refusals that hosts without an issuer use: they don't begin at
	// the same moment, and some hosts may still reach one.
	aloneShare = 0.5
	// maxSlots bounds the memory for one server.
	maxSlots = 1024
)

// refusals are the refusals that a brittle server bears, as far as this host issues permits for
// them. The zero value bears none.
type refusals struct {
	slots  []refusalSlot
	window time.Duration
	// lastPermit is the last permit that was granted, retryAt the last instant that a host was
	// told to ask again.
	lastPermit PermitID
	retryAt    time.Time
}

// refusalSlot stands for one refusal in the server's window.
type refusalSlot struct {
	// permit holds the slot; 0 once the outcome of its request is known.
	permit PermitID
	// freeAt is when the slot can be taken again, at the latest.
	freeAt time.Time
}

// resize sets how many refusals a second the server bears. isFirst is whether this host issues the
// first host's part of them.
func (r *refusals) resize(maxRefusals unit.Rate, isFirst bool) {
	whole := int(min(max(maxRefusals, 1), maxSlots))
	count := max(int(backupShare*float64(whole)), 1)
	if isFirst {
		count = max(whole-count, 1)
	}
	r.window = windowOf(maxRefusals)
	if count == len(r.slots) {
		return
	}
	// Of fewer slots, those that are free the latest are kept.
	slices.SortFunc(r.slots, func(a, b refusalSlot) int { return b.freeAt.Compare(a.freeAt) })
	r.slots = r.slots[:min(len(r.slots), count)]
	for len(r.slots) < count {
		r.slots = append(r.slots, refusalSlot{})
	}
}

// shareAlone sets how many refusals a second the server bears from all hosts, for one that reaches no
// issuer: it has one slot. Hosts that lose their issuers together take theirs in turn.
func (r *refusals) shareAlone(now time.Time, maxRefusals unit.Rate, rank Rank) {
	r.window = windowOf(aloneShare * maxRefusals / unit.Rate(rank.Hosts))
	if len(r.slots) == 1 {
		return
	}
	r.slots = []refusalSlot{{
		freeAt: now.Add(r.window * time.Duration(rank.Index) / time.Duration(rank.Hosts)),
	}}
}

// windowOf returns the time in which a slot may stand for one refusal.
func windowOf(maxRefusals unit.Rate) time.Duration {
	return max(refusalWindow, time.Duration(float64(time.Second)/float64(maxRefusals)))
}

// findFree returns a slot that is free, nil if there is none.
func (r *refusals) findFree(now time.Time) *refusalSlot {
	i := slices.IndexFunc(r.slots, func(s refusalSlot) bool { return !s.freeAt.After(now) })
	if i < 0 {
		return nil
	}
	return &r.slots[i]
}

// take gives a slot to a new permit.
func (r *refusals) take(slot *refusalSlot, now, sendAt time.Time) PermitID {
	// A process that has restarted must not name the permits of the one before again.
	r.lastPermit = max(r.lastPermit+1, PermitID(now.UnixNano()))
	*slot = refusalSlot{
		permit: r.lastPermit,
		freeAt: sendAt.Add(refusalDelay + r.window),
	}
	return r.lastPermit
}

// settle frees the slot of a permit: at once if the server has taken the request, after the
// server's window if it has turned the request away.
func (r *refusals) settle(now time.Time, permit PermitID, wasRefused bool) {
	i := slices.IndexFunc(r.slots, func(s refusalSlot) bool { return s.permit == permit })
	if i < 0 {
		return // its time was over
	}
	r.slots[i] = refusalSlot{
		freeAt: now,
	}
	if wasRefused {
		r.slots[i].freeAt = now.Add(r.window)
	}
}

// nextRetry returns when a host that is refused a permit may ask again.
func (r *refusals) nextRetry(now time.Time) time.Time {
	first := slices.MinFunc(r.slots, func(a, b refusalSlot) int { return a.freeAt.Compare(b.freeAt) }).freeAt
	if slices.ContainsFunc(r.slots, func(s refusalSlot) bool { return s.permit != 0 }) {
		first = earlier(first, now.Add(retryDelay))
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
