package relay

import (
	"context"
	"time"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pacing"
)

// choose takes a server, and waits for one while that may still bring an answer.
func (s *serving) choose(ctx context.Context) *balance.Ticket {
	h := s.handler
	ask := balance.Ask{
		Weights: s.request.Weights(),
		Parts:   s.request.Parts,
		Prompt:  s.request.Prompt,
		Tried:   s.tried,
		Dice:    h.Dice(),
	}
	ticket, verdict := s.takeQueued(ctx, ask)
	if ticket != nil || s.full() {
		return ticket
	}
	if len(s.tried) > 0 && verdict == balance.NoneTakes {
		ask.Tried = nil // better the same server again than none
	}
	return s.await(ctx, ask, verdict)
}

// await waits for a server that takes the request, while that may still bring an answer.
func (s *serving) await(ctx context.Context, ask balance.Ask, verdict balance.Verdict) *balance.Ticket {
	h := s.handler
	if verdict == balance.NoneHolds {
		s.pool.Missed(ask.Weights)
	}
	end := s.pool.Wait(ask.Weights)
	defer end()
	until := s.waitUntil()
	timer := time.NewTimer(pollChoice)
	defer timer.Stop()
	for {
		if verdict == balance.NoneHolds {
			h.Knowledge.Miss()
		}
		changed := s.pool.Changed()
		var ticket *balance.Ticket
		if ticket, verdict = s.takeQueued(ctx, ask); ticket != nil || s.full() {
			return ticket
		}
		if !h.Now().Before(until) {
			s.refuseWait(verdict)
			return nil
		}
		timer.Reset(pollChoice)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			s.leave()
			return nil
		}
	}
}

// takeQueued takes a server, and asks the pacer again for as long as the prompt waits in
// its queue.
func (s *serving) takeQueued(ctx context.Context, ask balance.Ask) (*balance.Ticket, balance.Verdict) {
	ticket, verdict := s.take(ctx, ask)
	for s.queued && ctx.Err() == nil {
		ticket, verdict = s.take(ctx, ask)
	}
	return ticket, verdict
}

// take takes a server, if one takes the request: for a prompt the one that the pacer
// chooses, to be sent to when it says.
func (s *serving) take(ctx context.Context, ask balance.Ask) (*balance.Ticket, balance.Verdict) {
	h := s.handler
	if s.engine == nil {
		return s.pool.Take(h.Now(), ask)
	}
	s.queued = false
	offers, verdict := s.pool.Offers(h.Now(), ask)
	if verdict != balance.Found {
		return nil, verdict
	}
	begun := h.Now()
	slot, leave := h.Knowledge.Reserve(ctx, s.request.Model, s.prompt(offers))
	s.paced += h.Now().Sub(begun)
	switch {
	case slot.Full:
		s.fullFor = slot.Ahead
		return nil, balance.NoneTakes
	case !slot.Booked:
		s.queued = true
		return nil, balance.NoneTakes
	}
	ticket := s.pool.Hold(h.Now(), ask, slot)
	if ticket == nil {
		leave()
		return nil, balance.NoneTakes // the engine has gone, or is full, since the offer
	}
	s.leavePlace = leave
	return ticket, balance.Found
}

// prompt tells the pacer what it needs to know of the request.
func (s *serving) prompt(offers []pacing.Candidate) *pacing.Prompt {
	return &pacing.Prompt{
		Candidates: offers,
		Clear:      s.pool.Clear(),
		Ticket:     pacing.Ticket(s.handler.Dice()),
		Objective:  s.arrived.Add(s.route.Objective),
		GiveUp:     s.giveUpAt(),
		Priority:   s.route.Priority,
	}
}

// full ends a request that no engine can begin in time.
func (s *serving) full() bool {
	if s.fullFor == 0 {
		return false
	}
	s.giveUpUntil(s.returnIn(), "the engines have too much before them")
	return true
}

// returnIn is when a caller may come back that no engine could begin in time. What it
// waited for lasts for some seconds, a load or a crowd; who comes back sooner is refused
// again. The spread keeps those that were refused together from coming together.
func (s *serving) returnIn() time.Duration {
	spread := float64(s.handler.Dice()%1024) / 1024
	return time.Duration(float64(max(s.fullFor, leastReturn)) * (1 + returnSpread*spread))
}

const (
	// leastReturn is as long as a replica takes to be loaded from a disk, and some. What the
	// queue expects is often shorter, and who comes back then is refused twice.
	leastReturn = 1500 * time.Millisecond
	// returnSpread is by how much more of it the last comes back than the first.
	returnSpread = 0.25
)

// giveUpAt is when a prompt no longer waits for an engine. One that has been sent before
// may still be answered, and waits for as long as its time goes on.
func (s *serving) giveUpAt() time.Time {
	if s.sends > 0 {
		return s.deadline
	}
	at := s.arrived.Add(pacing.Patience(s.route.Objective, s.route.Priority))
	if !s.deadline.IsZero() && s.deadline.Before(at) {
		return s.deadline
	}
	return at
}

// waitUntil is when a request that no server takes is given up.
func (s *serving) waitUntil() time.Time {
	if s.deadline.IsZero() {
		return s.arrived.Add(retryLoad)
	}
	return s.arrived.Add(time.Duration(waitShare * float64(s.deadline.Sub(s.arrived))))
}

func (s *serving) refuseWait(verdict balance.Verdict) {
	if verdict == balance.NoneHolds {
		s.giveUpUntil(retryLoad, "no server holds the weights")
		return
	}
	s.giveUpUntil(retryBusy, "no server takes the request")
}
