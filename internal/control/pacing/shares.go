package pacing

import (
	"cmp"
	"time"

	"cicadaloom/internal/control/fairshare"
	"cicadaloom/internal/domain/ident"
)

// minRemaining bounds how much longer a prompt of a flooding account is expected to wait: the
// others' use may have been a short peak.
const minRemaining = 0.25

// shortTime is for how long shares have an effect after a prompt was refused, or nearly late, for
// want of room: about as long as a prompt may wait.
const shortTime = 2 * time.Second

// nearlyLate is how long before it becomes late a prompt shows that its engines are short of room.
const nearlyLate = 200 * time.Millisecond

// rankInterval is for how long the standings of waiters are used for newcomers.
const rankInterval = 5 * time.Millisecond

// shares ranks the accounts of prompts by what they have used of the engines lately. A prompt's
// cost is the engine time that it takes: its prefill, and its slot's part of the time for which
// the slot is occupied. A Queue guards it.
type shares struct {
	ledger fairshare.Ledger
	// running has what the prompts were charged for that run, by ticket.
	running map[Ticket]charge
	counts  [fairshare.RankCount]ShareCounts
	// rankedAt is when all waiters were last ranked.
	rankedAt time.Time
	// shortUntil is until when any engine is short of room, hasStandings whether waiters may have
	// standings.
	shortUntil   time.Time
	hasStandings bool
}

// charge is what an account has been charged for a running prompt's slot.
type charge struct {
	use      *fairshare.Use
	slotCost time.Duration
	slots    int
	at       time.Time
}

// ShareCounts counts the prompts of accounts of one rank since the start.
type ShareCounts struct {
	Granted int
	Refused int
}

// ShareState is what an operator needs to see of the accounts in a queue.
type ShareState struct {
	// Counts has the prompts that have an account, by the account's rank at the time.
	Counts [fairshare.RankCount]ShareCounts
	// Account is the account furthest beyond its share among those that flood and have prompts that
	// wait, Rank its rank, Waiting the number of its prompts; empty if none has.
	Account ident.AccountName
	Rank    fairshare.Rank
	Waiting int
}

// cost returns the engine time that a prompt is expected to take at a candidate, in seconds, and
// the part of it for the slot.
func cost(candidate *Candidate, slotTime time.Duration) (float64, time.Duration) {
	slotCost := time.Duration(0)
	if candidate.Slots > 0 {
		slotCost = slotTime / time.Duration(candidate.Slots)
	}
	return (candidate.PrefillTime + slotCost).Seconds(), slotCost
}

// expectedSlotTime is how long a prompt is expected to occupy its slot.
func (q *Queue) expectedSlotTime() time.Duration {
	return cmp.Or(q.slotTime, initialSlotTime)
}

// rankWaiter sets the standing of a waiter's account, if it has one.
func (q *Queue) rankWaiter(now time.Time, w *Waiter) {
	if w.prompt.Account == "" {
		return
	}
	if w.use == nil {
		w.use = q.shares.ledger.Account(now, w.prompt.Account, w.prompt.Weight)
		w.cost, _ = cost(&w.prompt.Candidates[0], q.expectedSlotTime())
	}
	w.standing = fairshare.Standing{}
	if q.isShort(now, w) {
		w.standing = q.standing(now, w.use)
	}
	q.shares.hasStandings = q.shares.hasStandings || w.yields()
}

// standing returns where an account stands that floods and has used its share. All others are alike:
// an order by shares among them would only make more of their prompts late.
func (q *Queue) standing(now time.Time, use *fairshare.Use) fairshare.Standing {
	if !q.shares.ledger.IsFlooding(now, use) {
		return fairshare.Standing{}
	}
	standing := q.shares.ledger.Standing(now, use)
	if !standing.HasUsedShare() {
		return fairshare.Standing{}
	}
	return standing
}

// yields returns whether the waiter's account floods and has used its share.
func (w *Waiter) yields() bool {
	return w.standing.HasUsedShare()
}

// isShort returns whether callers of the prompt's engines have been late, or nearly so, for want of
// room. While all can be in time, shares would only let some wait longer.
func (q *Queue) isShort(now time.Time, w *Waiter) bool {
	return now.Before(q.usageOf(w.prompt.Candidates[0].Server).shortUntil)
}

// markShort records that a waiter's engines have hardly room for it in time.
func (q *Queue) markShort(now time.Time, w *Waiter) {
	if w.use == nil {
		return
	}
	q.shares.shortUntil = now.Add(shortTime)
	for i := range w.prompt.Candidates {
		q.usageOf(w.prompt.Candidates[i].Server).shortUntil = q.shares.shortUntil
	}
}

// markNearlyLate marks the engines of waiters that are nearly late.
func (q *Queue) markNearlyLate(now time.Time) {
	for _, w := range q.waiting {
		if w.mayMarkShort && w.isLate(now.Add(nearlyLate)) {
			w.mayMarkShort = false
			q.markShort(now, w)
		}
	}
}

// rankRecently updates the standings of all waiters unless that was done just now.
func (q *Queue) rankRecently(now time.Time) {
	if now.Sub(q.shares.rankedAt) >= rankInterval {
		q.rankWaiters(now)
	}
}

// rankWaiters updates the standings of all waiters.
func (q *Queue) rankWaiters(now time.Time) {
	q.shares.rankedAt = now
	q.markNearlyLate(now)
	hasEffect := now.Before(q.shares.shortUntil) && q.shares.ledger.HasFlood(now)
	if !hasEffect && !q.shares.hasStandings {
		return
	}
	q.shares.hasStandings = false
	for _, w := range q.waiting {
		q.rankWaiter(now, w)
	}
}

// chargeAccount charges a prompt's account for the engine time that it takes.
func (q *Queue) chargeAccount(now time.Time, w *Waiter, reservation *Reservation) {
	if w.use == nil {
		return
	}
	candidate := &w.prompt.Candidates[reservation.Index]
	amount, slotCost := cost(candidate, q.expectedSlotTime())
	q.shares.ledger.Charge(now, w.use, amount)
	q.shares.counts[w.standing.Rank].Granted++
	if q.shares.running == nil {
		q.shares.running = make(map[Ticket]charge)
	}
	q.shares.running[w.prompt.Ticket] = charge{
		use:      w.use,
		slotCost: slotCost,
		slots:    candidate.Slots,
		at:       now,
	}
}

// settle corrects the charge for a prompt by the time for which it had its slot.
func (q *Queue) settle(now time.Time, ticket Ticket) {
	charged, found := q.shares.running[ticket]
	if !found {
		return
	}
	delete(q.shares.running, ticket)
	if charged.slots > 0 {
		slotCost := now.Sub(charged.at) / time.Duration(charged.slots)
		q.shares.ledger.Charge(now, charged.use, (slotCost - charged.slotCost).Seconds())
	}
}

// slowdown is the factor by which a newcomer waits longer because others go before it that have
// not arrived yet, if its account floods and has used its share.
func (q *Queue) slowdown(now time.Time, newcomer *Waiter) float64 {
	if !newcomer.yields() {
		return 1
	}
	return 1 / max(q.shares.ledger.FloodPart(now), minRemaining)
}

// sweepCharges forgets the prompts whose hosts never reported that they have ended.
func (s *shares) sweepCharges(now time.Time) {
	for ticket, charged := range s.running {
		if now.Sub(charged.at) > ticketTTL {
			delete(s.running, ticket)
		}
	}
}

// ShareState returns the counts by rank, and the account furthest beyond its share.
func (q *Queue) ShareState(now time.Time) ShareState {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := ShareState{
		Counts: q.shares.counts,
	}
	q.rankWaiters(now)
	for _, w := range q.waiting {
		if w.yields() && w.standing.Rank > state.Rank {
			state.Account, state.Rank, state.Waiting = w.prompt.Account, w.standing.Rank, 0
		}
		if state.Account != "" && w.prompt.Account == state.Account {
			state.Waiting++
		}
	}
	return state
}
