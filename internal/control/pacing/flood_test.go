package pacing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// twoKinds are accounts that ask four engines for a part of what they can answer, with two kinds of
// request each: four of five have a short objective.
func twoKinds(weights []float64, room float64, laterPriority int) []accountLoad {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	var loads []accountLoad
	for i, weight := range weights {
		rate := room * 4 * sharedSlots / testAnswer.Seconds() * weight / sum
		urgent := accountLoad{
			account: ident.AccountName(fmt.Sprintf("a%d", i)),
			weight:  weight,
			rate:    0.8 * rate,
			repeats: 1,
			worth:   2.5,
		}
		later := urgent
		later.rate, later.priority = 0.2*rate, laterPriority
		later.aim, later.worth = 3*time.Second, 0.65
		loads = append(loads, urgent, later)
	}
	return loads
}

// withFlood returns loads in which one account, then named hot, sends a multiple of its usual for 7 s.
func withFlood(loads []accountLoad, account ident.AccountName, factor float64) []accountLoad {
	for i := range loads {
		if loads[i].account == account {
			loads[i].account = "hot"
			loads[i].hotRate = factor * loads[i].rate
			loads[i].hotTime = 7 * time.Second
		}
	}
	return loads
}

// playSeeds plays loads with some seeds, and returns what the callers got that match.
func playSeeds(loads []accountLoad, hidesName bool) func(matches func(*accountLoad) bool) outcomes {
	var plays []*sharedEngines
	for seed := range uint64(2) {
		engines := newSharedEngines(4)
		engines.hidesName = hidesName
		engines.run(arrivals(loads, seed+1))
		plays = append(plays, engines)
	}
	return func(matches func(*accountLoad) bool) outcomes {
		var sum outcomes
		for _, engines := range plays {
			sum.add(engines.outcomes(matches))
		}
		return sum
	}
}

func (o *outcomes) add(other outcomes) {
	o.callers += other.callers
	o.inTime += other.inTime
	o.late += other.late
	o.refused += other.refused
	o.worth += other.worth
	o.possible += other.possible
}

func isAnyAccount(*accountLoad) bool          { return true }
func isUrgentOfOthers(load *accountLoad) bool { return load.aim == 0 && isOtherAccount(load) }
func isLaterOfOthers(load *accountLoad) bool  { return load.aim > 0 && isOtherAccount(load) }
func isUrgentOfHot(load *accountLoad) bool    { return load.aim == 0 && isHotAccount(load) }
func isLaterOfHot(load *accountLoad) bool     { return load.aim > 0 && isHotAccount(load) }
func (o outcomes) worthShare() float64        { return o.worth / max(o.possible, 1e-9) }

func equalWeights(count int) []float64 {
	return slices.Repeat([]float64{1}, count)
}

// fewLarge are the weights of 16 accounts, a few of them large.
var fewLarge = []float64{16, 7, 4.3, 3, 2.3, 1.9, 1.5, 1.3, 1.1, 1, 0.9, 0.8, 0.75, 0.7, 0.65, 0.6}

func logOutcomes(t *testing.T, name string, get func(func(*accountLoad) bool) outcomes) {
	t.Logf("%s: others urgent %.3f, later %.3f, worth %.3f; hot urgent %.3f, later %.3f; all worth %.3f", name,
		get(isUrgentOfOthers).inTimeShare(), get(isLaterOfOthers).inTimeShare(), get(isOtherAccount).worthShare(),
		get(isUrgentOfHot).inTimeShare(), get(isLaterOfHot).inTimeShare(), get(isAnyAccount).worthShare())
}

// Load: an account sends 7 times its usual for 7 s to engines that are busy to 0.9. The others are
// served nearly as if it did not, and the account as much as its usual.
func TestOthersAreServedAsWithoutFlood(t *testing.T) {
	for name, loads := range map[string][]accountLoad{
		"equal accounts, one priority": withFlood(twoKinds(equalWeights(8), 0.9, 0), "a0", 7),
		"equal accounts":               withFlood(twoKinds(equalWeights(8), 0.9, 2), "a0", 7),
		"the largest of 16":            withFlood(twoKinds(fewLarge, 0.9, 2), "a0", 7),
	} {
		fair, unfair := playSeeds(loads, false), playSeeds(loads, true)
		logOutcomes(t, name, fair)
		logOutcomes(t, name+", without accounts", unfair)
		require.Greater(t, fair(isUrgentOfOthers).inTimeShare(), 0.98, name)
		require.Greater(t, fair(isLaterOfOthers).inTimeShare(), 0.75, name)
		require.Greater(t, fair(isOtherAccount).worthShare(), 0.98, name)
		require.Greater(t, fair(isHotAccount).inTimeShare(), 1.0/7, name)
	}
}

// Load: an account sends 1.8 times its usual, as limits may allow. Nobody loses by shares.
func TestSmallExcessIsNoFlood(t *testing.T) {
	loads := withFlood(twoKinds(fewLarge, 0.9, 2), "a0", 1.8)
	fair, unfair := playSeeds(loads, false), playSeeds(loads, true)
	logOutcomes(t, "1.8 times", fair)
	logOutcomes(t, "1.8 times, without accounts", unfair)
	require.GreaterOrEqual(t, fair(isOtherAccount).worthShare(), unfair(isOtherAccount).worthShare())
	require.Greater(t, fair(isAnyAccount).worthShare(), unfair(isAnyAccount).worthShare()-0.01)
}

// Guards against a large account that waits for small ones where all can be in time: without limits
// all weights are equal.
func TestLargeAccountLosesNothingWhereAllAreInTime(t *testing.T) {
	loads := withFlood(twoKinds(fewLarge, 0.9, 2), "a0", 1)
	for i := range loads {
		loads[i].weight = 1
	}
	require.Equal(t, playSeeds(loads, true)(isAnyAccount), playSeeds(loads, false)(isAnyAccount))
}

// Guards against an order by shares that makes prompts late where no account floods.
func TestEvenOverloadIsServedAsWithoutAccounts(t *testing.T) {
	for _, loads := range [][]accountLoad{twoKinds(equalWeights(8), 1.3, 0), twoKinds(fewLarge, 1.3, 2), twoKinds(fewLarge, 1.1, 2)} {
		for i := range loads {
			loads[i].clump = 1 + loads[i].priority/2
		}
		fair, unfair := playSeeds(loads, false), playSeeds(loads, true)
		require.InDelta(t, unfair(isAnyAccount).worthShare(), fair(isAnyAccount).worthShare(), 0.005)
		require.InDelta(t, unfair(isAnyAccount).inTimeShare(), fair(isAnyAccount).inTimeShare(), 0.005)
	}
}

// Guards against a flood of one account among idle ones, which is refused more than if it were alone.
func TestFloodBesideIdleAccountsIsServedInFull(t *testing.T) {
	loads := usualLoads(12)
	for i := range loads[1:] {
		loads[1+i].rate = 0.02
	}
	fair, unfair := playSeeds(loads, false), playSeeds(loads, true)
	require.InDelta(t, unfair(isHotAccount).inTimeShare(), fair(isHotAccount).inTimeShare(), 0.02)
}
