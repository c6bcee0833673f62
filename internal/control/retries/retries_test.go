package retries

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// Seven hosts without any communication retry as often as they may, in any pattern of arrivals.
// In no window may all of them together spend more than the whole budget.
func TestSumOverHostsStaysWithinBudget(t *testing.T) {
	options := Options{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Slack:  54,
	}
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 7
		budgets := newBudgets(options, hosts)
		var arrived, spent []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			budget.CountRequest(now, "notes")
			arrived = append(arrived, now)
			for range rapid.IntRange(0, 12).Draw(t, "wanted") {
				if budget.Take(now, "notes") {
					spent = append(spent, now)
				}
			}
		}
		requireWithinBudget(t, options, arrived, spent)
	})
}

// requireWithinBudget checks that no window has more retries than the whole budget.
func requireWithinBudget(t require.TestingT, options Options, arrived, spent []time.Time) {
	for _, from := range spent {
		inWindow := countInWindow(spent, from, options.Window)
		requests := max(countInWindow(arrived, from, options.Window), countInWindow(arrived, from.Add(-options.Window), options.Window),
			countInWindow(arrived, from.Add(-options.Window/2), options.Window))
		require.LessOrEqual(t, float64(inWindow), options.Ratio*float64(requests)+options.Slack)
	}
}

// newBudgets returns the budgets of hosts that share one.
func newBudgets(options Options, hosts int) []*Budget {
	var budgets []*Budget
	for range hosts {
		budget := New(options)
		budget.SetHosts(hosts)
		budgets = append(budgets, budget)
	}
	return budgets
}

func countInWindow(instants []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range instants {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// Servers fail, all hosts retry as much as they may, and then all hosts are killed and restart
// within seconds, without knowing what they had spent. In the window that includes both
// incarnations, they must not spend their share of the slack twice.
func TestRestartGivesNoSecondSlack(t *testing.T) {
	options := Options{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Slack:  54,
	}
	const hosts = 7
	var spent []time.Time
	for range hosts {
		for incarnation := range 3 {
			startedAt := start.Add(time.Duration(incarnation) * 3 * time.Second)
			options.StartedAt = startedAt
			if incarnation == 0 {
				options.StartedAt = startedAt.Add(-time.Minute)
			}
			budget := New(options)
			budget.SetHosts(hosts)
			for range 30 {
				if budget.Take(startedAt.Add(time.Second), "notes") {
					spent = append(spent, startedAt.Add(time.Second))
				}
			}
		}
	}
	require.LessOrEqual(t, float64(countInWindow(spent, start, options.Window)), options.Slack)
	require.NotEmpty(t, spent)
}

// A host's share of the slack shrinks with the number of hosts. Before it knows that number, it
// has to spend as if there were many.
func TestSlackIsSharedAmongHosts(t *testing.T) {
	budget := New(Options{
		Window: 10 * time.Second,
		Slack:  54,
	})
	budget.SetHosts(128)
	require.False(t, budget.Take(start, "notes"))
	budget.SetHosts(1)
	require.True(t, budget.Take(start, "notes"))
}
