package retries

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Hosts transfer the tokens that they can spare to one of them, which lends them, and each host
// retries as often as it may, in any pattern; some transfers are lost. In no window may all of
// them together spend more than the whole budget: lending creates no tokens.
func TestLendingStaysWithinBudget(t *testing.T) {
	options := Options{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Slack:  54,
	}
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 5
		budgets := newBudgets(options, hosts)
		lender := budgets[0]
		var arrived, spent []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			budget.CountRequest(now, "notes")
			arrived = append(arrived, now)
			if transfers := budget.TakeSurplus(now); rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
				lender.Receive(now, transfers)
			}
			for range rapid.IntRange(0, 12).Draw(t, "wanted") {
				if budget.Take(now, "notes") || lender.Lend(now, "notes") {
					spent = append(spent, now)
				}
			}
		}
		requireWithinBudget(t, options, arrived, spent)
	})
}

// 50 hosts have received 34 requests each in ten seconds, and servers fail 60 requests of one
// of them within a second. With its own share it may retry 6 of them; with the tokens that the
// others can spare, all.
func TestHostBorrowsSurplusOfOthers(t *testing.T) {
	options := Options{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Slack:  630,
	}
	const hosts, fleet, requests, failed = 50, 295, 34, 60
	now := start
	budgets := newUsedBudgets(options, hosts, fleet, requests)
	ownRetries, allRetries := 0, 0
	for range failed {
		if budgets[1].Take(now, "notes") {
			ownRetries++
		}
	}
	for _, budget := range budgets[2:] {
		budgets[0].Receive(now, budget.TakeSurplus(now))
	}
	for allRetries = ownRetries; allRetries < failed && budgets[0].Lend(now, "notes"); allRetries++ {
	}
	require.LessOrEqual(t, ownRetries, 7)
	require.Equal(t, failed, allRetries)
	require.True(t, budgets[2].Take(now, "notes"), "a host keeps some for itself")
}

// newUsedBudgets returns the budgets of some hosts of a fleet, each of which has just received so
// many requests.
func newUsedBudgets(options Options, hosts, fleet, requests int) []*Budget {
	var budgets []*Budget
	for range hosts {
		budget := New(options)
		budget.SetHosts(fleet)
		for range requests {
			budget.CountRequest(start, "notes")
		}
		budgets = append(budgets, budget)
	}
	return budgets
}

// Guards against a large fleet in which no host has a token to spare: a host with two failed
// requests in a window would refuse the second one while all others have theirs left.
func TestHostBorrowsInFleetOfAnySize(t *testing.T) {
	options := Options{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Slack:  1040,
	}
	const near, requests, failed = 60, 5, 20
	for _, fleet := range []int{75, 300, 985} {
		now := start
		budgets := newUsedBudgets(options, near, fleet, requests)
		for _, budget := range budgets[2:] {
			budgets[0].Receive(now, budget.TakeSurplus(now))
		}
		retried := 0
		for range failed {
			if budgets[1].Take(now, "notes") || budgets[0].Lend(now, "notes") {
				retried++
			}
		}
		require.Equal(t, failed, retried, "%d hosts", fleet)
	}
}
