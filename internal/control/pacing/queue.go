package pacing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Queue holds the prompts of a region's engines until an engine has a place free and
// time to read, and then lets the most urgent one go. The zero value works; it is safe
// for use by many goroutines.
//
// An engine has places for so many answers, and works off what is over them in the order
// of arrival: prompts that wait there for their places begin when their callers are about
// to leave, while a replica that has just been loaded is idle. What waits here goes to whichever engine is free first, and the order is not
// that of arrival: who can still be in time goes before who can't. Where more comes than
// can be done, the first come first served would make everybody late.
type Queue struct {
	mu      sync.Mutex
	clocks  Clocks
	places  map[ident.ServerName]*places
	waiting []*Waiter
	// length is the smoothed time for which a prompt keeps its place.
	length time.Duration
	swept  time.Time
}

const (
	// lead is how far ahead of its reading a prompt is let go: the way to the engine and
	// the reading of a prompt. What is let go later can't be overtaken by it.
	lead = 80 * time.Millisecond
	// margin is what a prompt that is let go now may still lose before its first event:
	// the wait for a place, lead, and a step. Without it a queue that is never empty lets
	// each prompt go at the last moment, and all come late by a little.
	margin = 150 * time.Millisecond
	// startLength is for how long a place is taken until it is measured; lengthWeight the
	// part of each new measure.
	startLength  = 1500 * time.Millisecond
	lengthWeight = 0.02
)

// PerRunning is what each running answer adds to the time to the first event: its part of
// the steps that the prompt is read between.
const PerRunning = 700 * time.Microsecond

// Waiter is a prompt in the queue.
type Waiter struct {
	// Granted brings the slot.
	Granted chan Slot
	prompt  *Prompt
	least   time.Duration
}

// Ask gives a slot at once, or a waiter where no engine is free. It gives neither, but
// what an engine would cost, where the prompt can't go within its bounds: the slot is
// Full where no engine can begin it before it gives up.
func (q *Queue) Ask(now time.Time, prompt *Prompt) (Slot, *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	waiter := &Waiter{
		Granted: make(chan Slot, 1),
		prompt:  prompt,
		least:   LeastCost(prompt.Candidates),
	}
	if !q.overtaken(now, waiter) {
		if slot, found := q.free(now, prompt); found && (prompt.Most == 0 || slot.Cost <= prompt.Most) {
			q.book(now, prompt, &slot)
			return slot, nil
		}
	}
	slot := q.expected(now, waiter)
	if prompt.Most > 0 || !prompt.Holds {
		return slot, nil
	}
	if !prompt.GiveUp.IsZero() && now.Add(slot.Ahead).After(prompt.GiveUp) {
		slot.Full = true
		return slot, nil
	}
	q.add(waiter)
	return slot, waiter
}

// add takes a waiter in, and lists it at each engine that it may have.
func (q *Queue) add(waiter *Waiter) {
	q.waiting = append(q.waiting, waiter)
	for i := range waiter.prompt.Candidates {
		p := q.at(waiter.prompt.Candidates[i].Server)
		p.waiters = append(p.waiters, waiter)
	}
}

// unlist takes a waiter off the engines' lists.
func (q *Queue) unlist(waiter *Waiter) {
	for i := range waiter.prompt.Candidates {
		p := q.at(waiter.prompt.Candidates[i].Server)
		p.waiters = slices.DeleteFunc(p.waiters, func(w *Waiter) bool { return w == waiter })
	}
}

// Leave takes a waiter out. A slot that it was granted meanwhile stays its own.
func (q *Queue) Leave(waiter *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool { return w == waiter })
	q.unlist(waiter)
}

// Ended tells that a prompt keeps its place no longer.
func (q *Queue) Ended(now time.Time, server ident.ServerName, ticket Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if sent, was := q.at(server).end(now, ticket); was {
		q.length = cmp.Or(q.length, startLength)
		q.length += time.Duration(float64(now.Sub(sent)-q.length) * lengthWeight)
	}
	q.grant(now)
}

// Heard takes in what engines say of their load.
func (q *Queue) Heard(now time.Time, loads []Load) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, one := range loads {
		q.at(one.Server).hear(now, one.Load)
	}
	q.grant(now)
}

// Waiting counts the prompts in the queue.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Grant lets go what an engine is free for by now.
func (q *Queue) Grant(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grant(now)
}

func (q *Queue) grant(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int { return a.compare(now, b) })
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		slot, found := q.free(now, w.prompt)
		if found {
			q.book(now, w.prompt, &slot)
			q.unlist(w)
			w.Granted <- slot
		}
		return found
	})
}

// compare orders waiters by urgency: the more urgent kind first. Of one kind, those that
// can still be in time go before those that can't, and whose time ends first goes first.
func (w *Waiter) compare(now time.Time, other *Waiter) int {
	late, otherLate := w.late(now), other.late(now)
	switch {
	case w.prompt.Priority != other.prompt.Priority:
		return cmp.Compare(w.prompt.Priority, other.prompt.Priority)
	case late != otherLate && otherLate:
		return -1
	case late != otherLate:
		return 1
	case late:
		return w.prompt.GiveUp.Compare(other.prompt.GiveUp)
	default:
		return w.prompt.Objective.Compare(other.prompt.Objective)
	}
}

// late tells that a prompt can hardly be in time any more.
func (w *Waiter) late(now time.Time) bool {
	return now.Add(w.least + margin).After(w.prompt.Objective)
}

// most is how many prompts are sent to an engine with so many places.
func most(places int) int {
	return places + places/placesPerSpare
}

// overtaken tells that somebody waits who goes before a newcomer, for an engine that the
// newcomer may have.
func (q *Queue) overtaken(now time.Time, newcomer *Waiter) bool {
	for i := range newcomer.prompt.Candidates {
		if slices.ContainsFunc(q.at(newcomer.prompt.Candidates[i].Server).waiters, func(w *Waiter) bool {
			return w.compare(now, newcomer) <= 0
		}) {
			return true
		}
	}
	return false
}

// before counts those who wait and go before a newcomer, for an engine that the newcomer
// may have.
func (q *Queue) before(now time.Time, newcomer *Waiter) int {
	seen := make(map[*Waiter]bool)
	for i := range newcomer.prompt.Candidates {
		for _, w := range q.at(newcomer.prompt.Candidates[i].Server).waiters {
			if !seen[w] && w.compare(now, newcomer) <= 0 {
				seen[w] = true
			}
		}
	}
	return len(seen)
}

// free finds the cheapest engine that can take a prompt now.
func (q *Queue) free(now time.Time, prompt *Prompt) (Slot, bool) {
	var best Slot
	found := false
	for i := range prompt.Candidates {
		one := &prompt.Candidates[i]
		ahead := q.clocks.ahead(now, one.Server)
		taken := q.at(one.Server).taken(now)
		if ahead > lead || one.Places > 0 && taken >= most(one.Places) {
			continue
		}
		cost := ahead + one.Reading + one.Beside + time.Duration(taken)*PerRunning
		if !found || cost < best.Cost {
			best, found = Slot{
				Server: one.Server,
				Index:  i,
				At:     now.Add(ahead),
				Cost:   cost,
				Ahead:  ahead,
			}, true
		}
	}
	return best, found
}

func (q *Queue) book(now time.Time, prompt *Prompt, slot *Slot) {
	slot.Booked = true
	q.clocks.book(now, prompt, slot)
	q.at(slot.Server).send(now, prompt.Ticket)
}

// expected estimates when an engine is free for a newcomer: after what engines have to
// read, and after as many places have come free as there are waiters that go before it.
func (q *Queue) expected(now time.Time, newcomer *Waiter) Slot {
	best := q.clocks.cheapest(now, newcomer.prompt.Candidates)
	places, full := 0, true
	for i := range newcomer.prompt.Candidates {
		one := &newcomer.prompt.Candidates[i]
		places += one.Places
		full = full && one.Places > 0 && q.at(one.Server).taken(now) >= most(one.Places)
	}
	if full && places > 0 {
		length := cmp.Or(q.length, startLength)
		wait := length * time.Duration(1+q.before(now, newcomer)) / time.Duration(places)
		if wait > best.Ahead {
			best.Cost += wait - best.Ahead
			best.Ahead = wait
		}
	}
	best.At = now.Add(best.Ahead)
	return best
}

// LeastCost is what the cheapest of some engines, of which there must be one, costs if
// nothing is before it.
func LeastCost(candidates []Candidate) time.Duration {
	least := candidates[0].Reading + candidates[0].Beside
	for i := range candidates {
		least = min(least, candidates[i].Reading+candidates[i].Beside)
	}
	return least
}

func (q *Queue) at(server ident.ServerName) *places {
	if q.places == nil {
		q.places = make(map[ident.ServerName]*places)
	}
	p, known := q.places[server]
	if !known {
		p = &places{}
		q.places[server] = p
	}
	return p
}

func (q *Queue) sweep(now time.Time) {
	q.clocks.forget(now)
	if now.Sub(q.swept) < forgetAfter {
		return
	}
	q.swept = now
	for server, p := range q.places {
		if p.forgettable(now) {
			delete(q.places, server)
		}
	}
}
