package pacing

import (
	"cmp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/control/fairshare"
	"cicadaloom/internal/domain/ident"
)

// urgencyOnly orders waiters as a queue without accounts does.
func urgencyOnly(now time.Time, w, other *Waiter) int {
	late, otherLate := w.isLate(now), other.isLate(now)
	switch {
	case w.prompt.Priority != other.prompt.Priority:
		return cmp.Compare(w.prompt.Priority, other.prompt.Priority)
	case late != otherLate && otherLate:
		return -1
	case late != otherLate:
		return 1
	case late:
		return w.prompt.AbandonAt.Compare(other.prompt.AbandonAt)
	default:
		return w.prompt.Objective.Compare(other.prompt.Objective)
	}
}

func drawWaiter(t *rapid.T, accounts ...ident.AccountName) *Waiter {
	prompt := newPrompt(start, 1, "e")
	prompt.Account = rapid.SampledFrom(accounts).Draw(t, "account")
	prompt.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	prompt.Objective = start.Add(time.Duration(rapid.IntRange(-500, 1000).Draw(t, "objective")) * time.Millisecond)
	prompt.AbandonAt = prompt.Objective.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience")) * time.Millisecond)
	return &Waiter{
		prompt:  prompt,
		minCost: MinCost(prompt.Candidates),
	}
}

// Guards against fair shares that change the order where the configuration has no accounts.
func TestOrderWithoutAccountsIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		a, b := drawWaiter(t, ""), drawWaiter(t, "")
		q.rankWaiter(start, a)
		q.rankWaiter(start, b)
		require.Equal(t, urgencyOnly(start, a, b), a.compare(start, b))
	})
}

// Guards against prompts without an account that leave something in the ledger.
func TestPromptsWithoutAccountsAreNotCharged(t *testing.T) {
	engines := newSharedEngines(4)
	engines.hidesName = true
	engines.run(arrivals(usualLoads(3), 1))
	require.Empty(t, engines.queue.shares.running)
	require.Equal(t, ShareState{}, engines.queue.ShareState(start.Add(loadEnds)))
}

// Guards against an order that isn't transitive, by which sorting would depend on arrival.
func TestOrderIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		q.usageOf("e").shortUntil = start.Add(time.Hour)
		var waiters []*Waiter
		for range 3 {
			w := drawWaiter(t, "", "a", "b", "c")
			q.rankWaiter(start, w)
			if w.use != nil {
				q.shares.ledger.Charge(start, w.use, rapid.Float64Range(0, 10).Draw(t, "used"))
				w.use.Wait(rapid.Float64Range(0, 10).Draw(t, "asked"))
			}
			waiters = append(waiters, w)
		}
		now := start.Add(10 * time.Millisecond)
		for _, w := range waiters {
			q.rankWaiter(now, w)
		}
		a, b, c := waiters[0], waiters[1], waiters[2]
		require.Equal(t, a.compare(now, b), -b.compare(now, a))
		if a.compare(now, b) <= 0 && b.compare(now, c) <= 0 {
			require.LessOrEqual(t, a.compare(now, c), 0)
		}
	})
}

// Load: any number of accounts with any rates, weights, priorities and repeats. No prompt is
// refused while a slot is free, none waits beside a free slot, and nothing stays recorded.
func TestSharedQueueIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []accountLoad
		for range rapid.IntRange(1, 6).Draw(t, "accounts") {
			loads = append(loads, accountLoad{
				account:     ident.AccountName(rapid.StringMatching(`[a-d]?`).Draw(t, "account")),
				weight:      rapid.Float64Range(0, 100).Draw(t, "weight"),
				rate:        rapid.Float64Range(0.1, 8).Draw(t, "rate"),
				priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
				repeats:     rapid.IntRange(0, 3).Draw(t, "repeats"),
				repeatDelay: time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond,
			})
		}
		engines := newSharedEngines(2)
		engines.run(arrivals(loads, 5))
		for _, c := range engines.callers {
			require.False(t, c.refusedFree)
		}
		require.False(t, engines.waitedFree)
		require.Empty(t, engines.queue.shares.running)
		require.Empty(t, engines.queue.waiting)
	})
}

// Guards against a share that an operator can't see.
func TestShareStateNamesTheAccountBeyondItsShare(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "e")
	hot := q.shares.ledger.Account(now, "hot", 1)
	for range 1000 {
		q.shares.ledger.Charge(now, hot, 1)
	}
	calm := q.shares.ledger.Account(now, "calm", 1)
	q.shares.ledger.Charge(now, calm, 1)
	calm.Wait(300)
	idle := q.shares.ledger.Account(now, "idle", 1)
	for ticket := range Ticket(2) {
		prompt := newPrompt(now, ticket, "e")
		prompt.Account = "hot"
		prompt.AbandonAt = now.Add(time.Minute)
		_, waiter := q.Reserve(now, prompt)
		require.NotNil(t, waiter)
	}
	require.Empty(t, q.ShareState(now).Account, "all can be in time")
	late := now.Add(390 * time.Millisecond)
	state := q.ShareState(late)
	require.Equal(t, ident.AccountName("hot"), state.Account)
	require.Equal(t, fairshare.Heavy, state.Rank)
	require.Equal(t, 2, state.Waiting)
	idle.Wait(1000)
	require.Empty(t, q.ShareState(late.Add(10*time.Millisecond)).Account, "another account asks for more")
}

// BenchmarkReserveWithAccounts measures one prompt that is granted at once and ended, at 850
// engines, 24 of which have its model, while 400 prompts of 16 accounts wait for others.
func BenchmarkReserveWithAccounts(b *testing.B) {
	var q Queue
	var names []ident.ServerName
	for i := range 850 {
		names = append(names, ident.ServerName("e"+strconv.Itoa(i)))
	}
	submit := func(now time.Time, ticket Ticket, engines ...ident.ServerName) (Reservation, *Waiter) {
		prompt := newPrompt(now, ticket, engines...)
		prompt.AbandonAt = now.Add(time.Hour)
		prompt.Account = ident.AccountName("a" + strconv.Itoa(int(ticket)%16))
		return q.Reserve(now, prompt)
	}
	for i := range 400 {
		name := names[24+i%800]
		for slot := range maxInFlight(2) {
			q.usageOf(name).start(start, Ticket(10000+2*i+slot))
		}
		submit(start, Ticket(1+i), name)
	}
	now := start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(2 * time.Millisecond)
		reservation, waiter := submit(now, Ticket(1<<20+i), names[:24]...)
		require.Nil(b, waiter)
		q.usageOf(reservation.Server).end(now, Ticket(1<<20+i))
		q.settle(now, Ticket(1<<20+i))
	}
}
