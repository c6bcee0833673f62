package pacing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cicadaloom/internal/control/fairshare"
	"cicadaloom/internal/domain/ident"
)

// Queue holds the prompts for a region's engines until an engine has a free slot and time for
// the prefill, and grants the most urgent prompt first. The zero value is ready to use; it is
// safe for concurrent use by many goroutines.
//
// An engine serves the prompts beyond its slots in the order of arrival: prompts that wait
// there start when their callers are about to leave, while a replica that has just been loaded
// is idle. A prompt in this queue is sent to whichever engine is free first. Prompts that can
// still be in time go before those that can't, whatever their order of arrival: under overload,
// first come, first served would make all prompts late.
type Queue struct {
	mu       sync.Mutex
	backlogs PrefillBacklogs
	usage    map[ident.ServerName]*slotUsage
	waiting  []*Waiter
	// slotTime is the smoothed time for which a prompt occupies its slot.
	slotTime time.Duration
	sweptAt  time.Time
	shares   shares
}

const (
	// sendLead is how long before the start of its prefill a prompt is sent: the network delay
	// to the engine and the prefill of one prompt. Prompts that are granted later can't
	// overtake it.
	sendLead = 80 * time.Millisecond
	// lateMargin is the delay that a granted prompt may still suffer before its first event:
	// the wait for a slot, sendLead, and a decoding step. Without it a queue that is never
	// empty grants each prompt at the last moment, and all are late by a little.
	lateMargin = 150 * time.Millisecond
	// initialSlotTime is used for slotTime until it is measured; slotTimeWeight is the weight
	// of each new measurement.
	initialSlotTime = 1500 * time.Millisecond
	slotTimeWeight  = 0.02
)

// DelayPerRunningAnswer is what each running answer adds to the time to the first event: its
// share of the decoding steps between which the prompt is prefilled.
const DelayPerRunningAnswer = 700 * time.Microsecond

// Waiter is a prompt in the queue.
type Waiter struct {
	// Granted receives the reservation.
	Granted chan Reservation
	prompt  *Prompt
	// minCost is the cost of the cheapest candidate without a backlog.
	minCost time.Duration
	// use is what the prompt's account has used, nil without an account; standing is the account's
	// at the last pass, and cost what the prompt will add.
	use      *fairshare.Use
	standing fairshare.Standing
	cost     float64
	isQueued bool
	// mayMarkShort is whether the prompt could be in time when it came, and has not marked its engines
	// as short of room since.
	mayMarkShort bool
}

// Reserve returns a reservation at once, or a waiter if no engine is free. If the prompt can't
// be sent within its bounds, it returns neither, but an estimate that isn't booked; QueueFull
// is set in it if no engine is expected to start the prompt before it is abandoned.
func (q *Queue) Reserve(now time.Time, prompt *Prompt) (Reservation, *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	waiter := &Waiter{
		Granted: make(chan Reservation, 1),
		prompt:  prompt,
		minCost: MinCost(prompt.Candidates),
	}
	q.rankWaiter(now, waiter)
	q.rankRecently(now)
	if !q.hasPredecessor(now, waiter) {
		if reservation, found := q.findFree(now, prompt); found && (prompt.MaxCost == 0 || reservation.Cost <= prompt.MaxCost) {
			q.reserve(now, waiter, &reservation)
			return reservation, nil
		}
	}
	reservation := q.estimate(now, waiter)
	if prompt.MaxCost > 0 || !prompt.MayWait {
		return reservation, nil
	}
	if !prompt.AbandonAt.IsZero() && now.Add(reservation.StartDelay).After(prompt.AbandonAt) {
		reservation.QueueFull = true
		q.markShort(now, waiter)
		if waiter.use != nil {
			q.shares.counts[waiter.standing.Rank].Refused++
		}
		return reservation, nil
	}
	waiter.mayMarkShort = !waiter.isLate(now)
	q.enqueue(waiter)
	return reservation, waiter
}

// enqueue adds a waiter to the queue and to the list of each of its candidates.
func (q *Queue) enqueue(waiter *Waiter) {
	q.waiting = append(q.waiting, waiter)
	waiter.isQueued = true
	if waiter.use != nil {
		waiter.use.Wait(waiter.cost)
	}
	for i := range waiter.prompt.Candidates {
		usage := q.usageOf(waiter.prompt.Candidates[i].Server)
		usage.waiters = append(usage.waiters, waiter)
	}
}

// removeFromCandidates removes a waiter from the lists of its candidates, and what it asks for
// from its account.
func (q *Queue) removeFromCandidates(waiter *Waiter) {
	if waiter.isQueued && waiter.use != nil {
		waiter.use.EndWait(waiter.cost)
	}
	waiter.isQueued = false
	for i := range waiter.prompt.Candidates {
		usage := q.usageOf(waiter.prompt.Candidates[i].Server)
		usage.waiters = slices.DeleteFunc(usage.waiters, func(w *Waiter) bool { return w == waiter })
	}
}

// Remove removes a waiter. A reservation that it has been granted meanwhile stays booked.
func (q *Queue) Remove(waiter *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool { return w == waiter })
	q.removeFromCandidates(waiter)
}

// Release frees the slot of a prompt, and grants it to the next waiter.
func (q *Queue) Release(now time.Time, server ident.ServerName, ticket Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if sentAt, wasRunning := q.usageOf(server).end(now, ticket); wasRunning {
		q.slotTime = cmp.Or(q.slotTime, initialSlotTime)
		q.slotTime += time.Duration(float64(now.Sub(sentAt)-q.slotTime) * slotTimeWeight)
	}
	q.settle(now, ticket)
	q.grantFree(now)
}

// UpdateLoads stores the loads that engines report, and grants the slots that they show free.
func (q *Queue) UpdateLoads(now time.Time, loads []ServerLoad) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, load := range loads {
		q.usageOf(load.Server).setReported(now, load.Prompts)
	}
	q.grantFree(now)
}

// Len returns the number of prompts in the queue.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// GrantFree grants slots to the waiters for which an engine has become free.
func (q *Queue) GrantFree(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantFree(now)
}

func (q *Queue) grantFree(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	q.rankWaiters(now)
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int { return a.compare(now, b) })
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		reservation, found := q.findFree(now, w.prompt)
		if found {
			q.reserve(now, w, &reservation)
			q.removeFromCandidates(w)
			w.Granted <- reservation
		}
		return found
	})
}

// compare orders waiters by urgency: by priority first. Within a priority, waiters that can still
// be in time go before late ones; the former are ordered by objective, late ones by when they are
// abandoned. Accounts that flood and have used their share wait for all others, whatever the
// priority: otherwise they would leave nothing for the less urgent prompts of others. Among such
// accounts the one that has used less of its share goes first.
func (w *Waiter) compare(now time.Time, other *Waiter) int {
	late, otherLate := w.isLate(now), other.isLate(now)
	if order := cmp.Or(
		compareFlags(w.yields(), other.yields()),
		cmp.Compare(w.prompt.Priority, other.prompt.Priority),
		compareFlags(late, otherLate),
		cmp.Compare(w.standing.Step, other.standing.Step),
	); order != 0 {
		return order
	}
	if late {
		return w.prompt.AbandonAt.Compare(other.prompt.AbandonAt)
	}
	return w.prompt.Objective.Compare(other.prompt.Objective)
}

// compareFlags orders false before true.
func compareFlags(flag, other bool) int {
	switch {
	case flag == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}

// isLate returns whether a prompt would probably miss its objective if it were granted now.
func (w *Waiter) isLate(now time.Time) bool {
	return now.Add(w.minCost + lateMargin).After(w.prompt.Objective)
}

// maxInFlight returns the number of prompts to keep at an engine with a number of slots.
func maxInFlight(slots int) int {
	return slots + slots/slotsPerExtraPrompt
}

// hasPredecessor returns whether a waiter goes before a newcomer at an engine that is a
// candidate of both.
func (q *Queue) hasPredecessor(now time.Time, newcomer *Waiter) bool {
	for i := range newcomer.prompt.Candidates {
		if slices.ContainsFunc(q.usageOf(newcomer.prompt.Candidates[i].Server).waiters, func(w *Waiter) bool {
			return w.compare(now, newcomer) <= 0
		}) {
			return true
		}
	}
	return false
}

// countPredecessors counts the waiters that go before a newcomer at engines that are candidates
// of both.
func (q *Queue) countPredecessors(now time.Time, newcomer *Waiter) int {
	seen := make(map[*Waiter]bool)
	for i := range newcomer.prompt.Candidates {
		for _, w := range q.usageOf(newcomer.prompt.Candidates[i].Server).waiters {
			if !seen[w] && w.compare(now, newcomer) <= 0 {
				seen[w] = true
			}
		}
	}
	return len(seen)
}

// findFree finds the cheapest engine that can accept a prompt now.
func (q *Queue) findFree(now time.Time, prompt *Prompt) (Reservation, bool) {
	var best Reservation
	found := false
	for i := range prompt.Candidates {
		candidate := &prompt.Candidates[i]
		backlog := q.backlogs.backlog(now, candidate.Server)
		inUse := q.usageOf(candidate.Server).inUse(now)
		if backlog > sendLead || candidate.Slots > 0 && inUse >= maxInFlight(candidate.Slots) {
			continue
		}
		cost := backlog + candidate.PrefillTime + candidate.OtherCost + time.Duration(inUse)*cmp.Or(candidate.AnswerCost, DelayPerRunningAnswer)
		if !found || cost < best.Cost {
			best, found = Reservation{
				Server:     candidate.Server,
				Index:      i,
				SendAt:     now.Add(backlog),
				Cost:       cost,
				StartDelay: backlog,
			}, true
		}
	}
	return best, found
}

func (q *Queue) reserve(now time.Time, waiter *Waiter, reservation *Reservation) {
	reservation.Booked = true
	q.backlogs.add(now, waiter.prompt, reservation)
	q.usageOf(reservation.Server).start(now, waiter.prompt.Ticket)
	q.chargeAccount(now, waiter, reservation)
}

// estimate returns the engine that is likely to be free first for a newcomer, and when: after
// the backlogs, and after a slot has become free for each waiter that goes before it.
func (q *Queue) estimate(now time.Time, newcomer *Waiter) Reservation {
	best := q.backlogs.cheapest(now, newcomer.prompt.Candidates)
	slots, allFull := 0, true
	for i := range newcomer.prompt.Candidates {
		candidate := &newcomer.prompt.Candidates[i]
		slots += candidate.Slots
		allFull = allFull && candidate.Slots > 0 && q.usageOf(candidate.Server).inUse(now) >= maxInFlight(candidate.Slots)
	}
	if allFull && slots > 0 {
		wait := q.expectedSlotTime() * time.Duration(1+q.countPredecessors(now, newcomer)) / time.Duration(slots)
		wait = time.Duration(float64(wait) * q.slowdown(now, newcomer))
		if wait > best.StartDelay {
			best.Cost += wait - best.StartDelay
			best.StartDelay = wait
		}
	}
	best.SendAt = now.Add(best.StartDelay)
	return best
}

// MinCost returns the cost of the cheapest candidate, of which there must be one, without any
// backlog.
func MinCost(candidates []Candidate) time.Duration {
	least := candidates[0].PrefillTime + candidates[0].OtherCost
	for i := range candidates {
		least = min(least, candidates[i].PrefillTime+candidates[i].OtherCost)
	}
	return least
}

// usageOf returns the slot usage of an engine, a new one if it is not known.
func (q *Queue) usageOf(server ident.ServerName) *slotUsage {
	if q.usage == nil {
		q.usage = make(map[ident.ServerName]*slotUsage)
	}
	usage, known := q.usage[server]
	if !known {
		usage = &slotUsage{}
		q.usage[server] = usage
	}
	return usage
}

func (q *Queue) sweep(now time.Time) {
	q.backlogs.sweep(now)
	if now.Sub(q.sweptAt) < idleRetention {
		return
	}
	q.sweptAt = now
	q.shares.sweepCharges(now)
	for server, usage := range q.usage {
		if usage.isIdle(now) {
			delete(q.usage, server)
		}
	}
}
