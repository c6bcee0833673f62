package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

// Load: accounts with any weights and use. The account that has used the least of its share among
// those that want more than it never stands behind another.
func TestLeastServedAccountGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger Ledger
		now := start
		uses := drawUses(t, &ledger, &now)
		for _, use := range uses {
			use.Wait(100) // far more than a share
		}
		now = now.Add(levelTime)
		least := uses[0]
		for _, use := range uses {
			if use.used/use.weight < least.used/least.weight {
				least = use
			}
		}
		first := ledger.Standing(now, least)
		require.LessOrEqual(t, first.Rank, At)
		for _, use := range uses {
			require.LessOrEqual(t, first.Rank, ledger.Standing(now, use).Rank)
			if use.used > least.used {
				require.LessOrEqual(t, first.Step, ledger.Standing(now, use).Step)
			}
		}
	})
}

// drawUses charges some accounts at some instants.
func drawUses(t *rapid.T, ledger *Ledger, now *time.Time) []*Use {
	var uses []*Use
	for i := range rapid.IntRange(1, 20).Draw(t, "accounts") {
		name := ident.AccountName(fmt.Sprint("a", i))
		uses = append(uses, ledger.Account(*now, name, rapid.Float64Range(0.01, 100).Draw(t, "weight")))
	}
	for range rapid.IntRange(0, 60).Draw(t, "charges") {
		*now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		use := rapid.SampledFrom(uses).Draw(t, "account")
		ledger.Charge(*now, use, rapid.Float64Range(0, 3).Draw(t, "cost"))
	}
	return uses
}

// Guards against an account with a request a minute that stands behind others since its weight is
// small: it has used nothing lately.
func TestSingleRequestGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger Ledger
		now := start
		uses := drawUses(t, &ledger, &now)
		ledger.Charge(now, uses[0], 1)
		for _, use := range uses {
			use.Wait(rapid.Float64Range(0, 10).Draw(t, "waiting"))
		}
		rare := ledger.Account(now, "rare", rapid.Float64Range(0.001, 1).Draw(t, "weight"))
		ledger.Charge(now.Add(-time.Minute), rare, ledger.usualCost)
		rare.Wait(ledger.usualCost)
		now = now.Add(levelTime)
		require.Equal(t, Below, ledger.Standing(now, rare).Rank)
		rare.Wait(ledger.usualCost)
		require.LessOrEqual(t, ledger.Standing(now.Add(levelTime), rare).Rank, At)
	})
}

// Load: an account alone, which asks for any amount. It is never beyond its share.
func TestAccountAloneIsNeverBeyondItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger Ledger
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			use := ledger.Account(now, "only", rapid.Float64Range(0, 10).Draw(t, "weight"))
			use.Wait(1)
			require.LessOrEqual(t, ledger.Standing(now, use).Rank, At)
			use.EndWait(1)
			ledger.Charge(now, use, rapid.Float64Range(0, 100).Draw(t, "cost"))
		}
	})
}

// Load: any accounts with any demand. No slot is free while a job waits (checked by simulate), and
// of two accounts that always want more than their share none gets less than 0.75 of it.
func TestShareErrorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var flows []flow
		for i := range rapid.IntRange(2, 5).Draw(t, "accounts") {
			flows = append(flows, flow{
				account: ident.AccountName(fmt.Sprint("a", i)),
				until:   20 * time.Second,
				demand:  rapid.Float64Range(0.6, 2).Draw(t, "demand"),
			})
		}
		jobs := simulate(t, &byLedger{}, flows)
		for _, f := range flows {
			share := servedShare(jobs, 4*time.Second, 20*time.Second, f.account)
			require.InDelta(t, 1, share*float64(len(flows)), 0.25)
		}
	})
}

// Load: an account that was idle for a minute floods. It has used up its credit within a second.
func TestIdleAccountGetsNoLongCredit(t *testing.T) {
	flows := []flow{
		{
			account: "steady",
			until:   70 * time.Second,
			demand:  1.1,
		},
		{
			account: "idle",
			from:    60 * time.Second,
			until:   70 * time.Second,
			demand:  5,
		},
	}
	jobs := simulate(t, &byLedger{}, flows)
	require.InDelta(t, 0.5, servedShare(jobs, 61500*time.Millisecond, 70*time.Second, "steady"), 0.1)
}

// Load: names and weights that a peer makes up. Memory is bounded, and no weight breaks the ranks.
func TestAccountsAreBounded(t *testing.T) {
	var ledger Ledger
	now := start
	for i := range 3 * maxAccounts {
		use := ledger.Account(now, ident.AccountName(fmt.Sprint(i)), []float64{-1, 0, math.NaN(), math.Inf(1), 1}[i%5])
		ledger.Charge(now, use, 1)
		require.Less(t, ledger.Standing(now, use).Rank, RankCount)
	}
	require.Len(t, ledger.all, maxAccounts)
	now = now.Add(forgetAfter + time.Second)
	ledger.Standing(now, ledger.Account(now, "new", 1))
	require.Len(t, ledger.byName, 1)
	require.Len(t, ledger.all, 1)
}

// Guards against use that overflows, or is forgotten, on a host that runs for days.
func TestUseSurvivesRebase(t *testing.T) {
	var ledger Ledger
	now := start
	var hot, calm *Use
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		hot, calm = ledger.Account(now, "hot", 1), ledger.Account(now, "calm", 1)
		ledger.Charge(now, hot, 3)
		ledger.Charge(now, calm, 1)
	}
	require.InDelta(t, 3, hot.used/calm.used, 1e-6)
	require.False(t, math.IsInf(hot.used, 0))
}

// BenchmarkDecision measures a charge and a standing with 1,400 accounts.
func BenchmarkDecision(b *testing.B) {
	var ledger Ledger
	now := start
	var uses []*Use
	for i := range 1400 {
		uses = append(uses, ledger.Account(now, ident.AccountName(fmt.Sprint(i)), 1+float64(i%7)))
		ledger.Charge(now, uses[i], 1)
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(100 * time.Microsecond)
		use := uses[i%len(uses)]
		use.seenAt = now
		ledger.Standing(now, use)
		ledger.Charge(now, use, 0.1)
	}
}
