package retries

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// Seven hosts that hear nothing of one another retry as often as they may, in any
// pattern of arrivals. In no window of the deployment's length may all of them
// together spend more than the whole budget.
func TestHostsTogetherKeepTheBudget(t *testing.T) {
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
			budget.Arrived(now, "notes")
			arrived = append(arrived, now)
			for range rapid.IntRange(0, 12).Draw(t, "wanted") {
				if budget.Take(now, "notes") {
					spent = append(spent, now)
				}
			}
		}
		requireWithin(t, options, arrived, spent)
	})
}

// requireWithin tells that in no window more was spent than the whole budget.
func requireWithin(t require.TestingT, options Options, arrived, spent []time.Time) {
	for _, from := range spent {
		inWindow := count(spent, from, options.Window)
		requests := max(count(arrived, from, options.Window), count(arrived, from.Add(-options.Window), options.Window),
			count(arrived, from.Add(-options.Window/2), options.Window))
		require.LessOrEqual(t, float64(inWindow), options.Ratio*float64(requests)+options.Slack)
	}
}

// newBudgets gives the budgets of hosts that share one.
func newBudgets(options Options, hosts int) []*Budget {
	var budgets []*Budget
	for range hosts {
		budget := New(options)
		budget.SetHosts(hosts)
		budgets = append(budgets, budget)
	}
	return budgets
}

func count(instants []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range instants {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// Servers fail, all hosts retry as much as they may, and then all hosts are killed and
// start again within seconds, with nothing known of what they had spent. In the window
// that has both, they must not spend their free part twice.
func TestARestartGivesNoSecondBudget(t *testing.T) {
	options := Options{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Slack:  54,
	}
	const hosts = 7
	var spent []time.Time
	for range hosts {
		for life := range 3 {
			begun := start.Add(time.Duration(life) * 3 * time.Second)
			options.Begun = begun
			if life == 0 {
				options.Begun = begun.Add(-time.Minute)
			}
			budget := New(options)
			budget.SetHosts(hosts)
			for range 30 {
				if budget.Take(begun.Add(time.Second), "notes") {
					spent = append(spent, begun.Add(time.Second))
				}
			}
		}
	}
	require.LessOrEqual(t, float64(count(spent, start, options.Window)), options.Slack)
	require.NotEmpty(t, spent)
}

// A host that does not know how many others there are spends as if there were many.
func TestPartsShrinkWithTheHosts(t *testing.T) {
	budget := New(Options{
		Window: 10 * time.Second,
		Slack:  54,
	})
	budget.SetHosts(128)
	require.False(t, budget.Take(start, "notes"))
	budget.SetHosts(1)
	require.True(t, budget.Take(start, "notes"))
}
