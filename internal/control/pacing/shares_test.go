package pacing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: one account sends 3 or 10 times its usual for 15 s.
func TestHotAccountCostsOthersLittle(t *testing.T) {
	for _, factor := range []float64{3, 10} {
		fair, unfair := play(t, 4, usualLoads(factor))
		t.Logf("%gx: others %v, without accounts %v", factor, fair.outcomes(isOtherAccount), unfair.outcomes(isOtherAccount))
		t.Logf("%gx: hot %v, without accounts %v", factor, fair.outcomes(isHotAccount), unfair.outcomes(isHotAccount))
		require.Greater(t, fair.outcomes(isOtherAccount).inTimeShare(), 0.95)
	}
}

// Load: a hot account comes to one scheduler, or its callers are spread over two, with their own
// engines.
func TestHotAccountAtOneSchedulerOrAll(t *testing.T) {
	for _, factor := range []float64{3, 10} {
		loads := usualLoads(factor)
		first, _ := play(t, 4, loads)
		loads[0].hotRate /= 2
		second, unfair := play(t, 4, loads)
		t.Logf("%gx at one: others %v; at each of two: %v, without accounts %v", factor, first.outcomes(isOtherAccount), second.outcomes(isOtherAccount), unfair.outcomes(isOtherAccount))
		require.Greater(t, first.outcomes(isOtherAccount).inTimeShare(), 0.95)
		require.Greater(t, second.outcomes(isOtherAccount).inTimeShare(), 0.95)
	}
}

// Load: the hot account's refused callers come back at once, up to 10 times.
func TestRepeatsAtOnceCostOthersLittle(t *testing.T) {
	loads := usualLoads(5)
	loads[0].repeats, loads[0].repeatDelay = 10, 20*time.Millisecond
	fair, unfair := play(t, 4, loads)
	t.Logf("others %v, without accounts %v", fair.outcomes(isOtherAccount), unfair.outcomes(isOtherAccount))
	t.Logf("hot %v, without accounts %v", fair.outcomes(isHotAccount), unfair.outcomes(isHotAccount))
	require.Greater(t, fair.outcomes(isOtherAccount).inTimeShare(), 0.95)
}

// Load: one account alone asks for more than there is. It gets as much as without accounts.
func TestAccountAloneGetsAll(t *testing.T) {
	loads := usualLoads(12)[:1]
	fair, unfair := play(t, 4, loads)
	require.Equal(t, unfair.outcomes(isHotAccount), fair.outcomes(isHotAccount))
	require.Positive(t, fair.outcomes(isHotAccount).refused)
}

// Load: all accounts ask for 1.5 times the room. None is served much less than another, and not
// many fewer are in time than without accounts.
func TestAllAccountsOverTheirShare(t *testing.T) {
	loads := usualLoads(1)
	for i := range loads {
		loads[i].rate *= 1.5 / 0.85
		loads[i].hotRate = 0
	}
	fair, unfair := play(t, 4, loads)
	all := func(*accountLoad) bool { return true }
	t.Logf("%v, without accounts %v", fair.outcomes(all), unfair.outcomes(all))
	require.Greater(t, fair.outcomes(all).inTimeShare(), unfair.outcomes(all).inTimeShare()-0.05)
	for i := range loads {
		own := fair.outcomes(func(load *accountLoad) bool { return load.account == loads[i].account })
		require.InDelta(t, fair.outcomes(all).inTimeShare(), own.inTimeShare(), 0.15, loads[i].account)
	}
}

// Load: a hot account at 10 times its usual, and an account with a request in some seconds.
func TestRareAccountNeverStarves(t *testing.T) {
	for _, weight := range []float64{1, 0.001} {
		loads := append(usualLoads(10), accountLoad{
			account: "rare",
			weight:  weight,
			rate:    0.5,
		})
		fair, _ := play(t, 4, loads)
		rare := fair.outcomes(func(load *accountLoad) bool { return load.account == "rare" })
		t.Logf("rare %v", rare)
		require.Positive(t, rare.callers)
		require.Equal(t, rare.callers, rare.inTime)
	}
}

// Load: a hot account fills the engines with requests of the most urgent priority. The less urgent
// ones of others are not starved, the urgent ones of others are served as ever.
func TestHotAccountInUrgentPriorityLeavesRoom(t *testing.T) {
	loads := usualLoads(10)
	for i := 4; i < len(loads); i++ {
		loads[i].priority = 5
	}
	fair, unfair := play(t, 4, loads)
	isLessUrgent := func(load *accountLoad) bool { return load.priority > 0 }
	isUrgentOther := func(load *accountLoad) bool { return load.priority == 0 && isOtherAccount(load) }
	t.Logf("less urgent %v, without accounts %v", fair.outcomes(isLessUrgent), unfair.outcomes(isLessUrgent))
	t.Logf("urgent others %v, without accounts %v", fair.outcomes(isUrgentOther), unfair.outcomes(isUrgentOther))
	t.Logf("hot %v, without accounts %v", fair.outcomes(isHotAccount), unfair.outcomes(isHotAccount))
	require.Greater(t, fair.outcomes(isLessUrgent).inTimeShare(), 0.3)
	require.Greater(t, fair.outcomes(isUrgentOther).inTimeShare(), 0.95)
}
