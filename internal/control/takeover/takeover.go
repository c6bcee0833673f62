// Package takeover decides when a new leader may send its first order, where engines accept the
// orders of earlier leaders.
//
// Orders of two leaders must be Settings.Separation apart. A new leader therefore needs an upper
// bound on when the last order of any earlier leader arrives, and not only of the one before it:
// that one may have been stopped while it was still waiting itself, or may never have known that
// it acquired the key. Each term keeps this bound and passes it on.
//
// The orders of all leaders before a term end Settings.LeaseDuration after the term's key was
// written: a leader that has lost its key without noticing goes on for no longer. Without any
// answer, that bounds every earlier leader at once, and a host's first sight of the term's key
// bounds those before it. A settled term is one whose leader waited until it was apart from all
// before it: they no longer matter to anyone.
//
// The package reads no clock and does no I/O. All instants are of one clock of the deciding host,
// which must count through a suspension.
//
// # Usage
//
//	claim := takeover.Claim{
//		At:     now,
//		Former: numberBefore,
//	}
//	earlierUntil := settings.EarlierUntil(&claim)
//	if answered {
//		earlierUntil = settings.EarlierUntilByAnswer(&claim, &answer)
//	}
//	mayOrderAt := settings.MayOrderAt(&claim, earlierUntil)
package takeover

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Settings are the bounds of a deployment. They must be the same at all hosts.
type Settings struct {
	// Separation is the minimum time between the orders of two leaders.
	Separation time.Duration
	// LeaseDuration is how long a leader may send orders after another one has written its
	// key; these have arrived by then.
	LeaseDuration time.Duration
	// OrderTransit is how long an order may be in flight after its sender recorded it as sent.
	OrderTransit time.Duration
	// OwnOrderTime is how long orders of a host's own earlier term may be in progress.
	OwnOrderTime time.Duration
}

// Term is what the host that leads a term, or led it, knows of those before.
type Term struct {
	// Number is the term's fencing number, 0 for no term.
	Number ident.FencingNumber
	// EarlierUntil is the latest instant at which an order of an earlier leader may arrive; zero
	// if it needs no distance any more.
	EarlierUntil time.Time
}

// Claim is what a host knows when it acquires the leader key.
type Claim struct {
	// At is when the write of the key was answered.
	At time.Time
	// Former is the number of the term before, 0 if there has been none, and IsOwn tells that
	// this host led it.
	Former ident.FencingNumber
	IsOwn  bool
	// FormerSeenAt is when this process first saw that the term before had begun.
	FormerSeenAt time.Time
	// Settled is the number of the latest term that is known to be settled.
	Settled ident.FencingNumber
	// Last is the last term that this process itself has led.
	Last Term
}

// Answer is a former leader's report, once it can send no more orders.
type Answer struct {
	// LastOrderAt is the latest instant at which it may have sent an order.
	LastOrderAt time.Time
	// Covers is the number of a term: LastOrderAt holds for all leaders before that one too.
	Covers ident.FencingNumber
}

// LastOrderAt returns what a host whose process has led a term reports, given when it may have
// sent its own last order.
func (s *Settings) LastOrderAt(last Term, ownLastOrder time.Time) time.Time {
	return latest(ownLastOrder, last.EarlierUntil.Add(-s.OrderTransit))
}

// EarlierUntil returns until when orders of earlier leaders may arrive, as far as a host knows
// that has asked nobody.
func (s *Settings) EarlierUntil(claim *Claim) time.Time {
	switch {
	case claim.Former == 0:
		return time.Time{}
	case !claim.IsOwn:
		return claim.At.Add(s.LeaseDuration)
	case claim.Last.Number == claim.Former:
		return claim.Last.EarlierUntil
	default: // an earlier process led that term, or this one without noticing
		return s.untilBeforeFormer(claim)
	}
}

// EarlierUntilByAnswer returns the same once the former leader has answered.
func (s *Settings) EarlierUntilByAnswer(claim *Claim, answer *Answer) time.Time {
	until := answer.LastOrderAt.Add(s.OrderTransit)
	if answer.Covers != claim.Former {
		until = latest(until, s.untilBeforeFormer(claim))
	}
	if unasked := s.EarlierUntil(claim); unasked.Before(until) {
		return unasked
	}
	return until
}

// MayOrderAt returns when the first order may be sent.
func (s *Settings) MayOrderAt(claim *Claim, earlierUntil time.Time) time.Time {
	at := claim.At
	if claim.IsOwn {
		at = at.Add(s.OwnOrderTime)
	}
	if earlierUntil.IsZero() {
		return at
	}
	return latest(at, earlierUntil.Add(s.Separation))
}

// untilBeforeFormer returns until when orders of leaders before the former one may arrive, if
// the former one can't tell.
func (s *Settings) untilBeforeFormer(claim *Claim) time.Time {
	if claim.Settled == claim.Former {
		return time.Time{}
	}
	return claim.FormerSeenAt.Add(s.LeaseDuration)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
