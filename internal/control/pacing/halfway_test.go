package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

const (
	// schedulerLostAt is when a scheduler is lost, within the time of the hot account.
	schedulerLostAt = 12 * time.Second
	// relearnTime is the time in which hosts ask the successor again, and it learns what accounts
	// use: two intervals and the time for which use is remembered.
	relearnTime = 2 * time.Second
	// schedulersOf75 is how many schedulers 75 hosts have, each with engines of its own.
	schedulersOf75 = 3
)

// enginesOf is the number of engines of each scheduler in a fleet of some hosts: 15 engines in all at
// 75 hosts, 60 at 300 hosts, which have six schedulers.
func enginesOf(hosts int) int {
	if hosts == 300 {
		return 10
	}
	return 5
}

// sizedLoads are usualLoads for a number of engines, and rare accounts with a request a minute each.
func sizedLoads(engines int, factor float64, rare int) []accountLoad {
	loads := usualLoads(factor)
	for i := range loads {
		loads[i].rate *= float64(engines) / 4
		loads[i].hotRate *= float64(engines) / 4
	}
	for i := range rare {
		loads = append(loads, accountLoad{
			account: ident.AccountName(fmt.Sprint("rare", i)),
			rate:    1.0 / 60,
			repeats: 1,
		})
	}
	return loads
}

func isRare(load *accountLoad) bool  { return load.rate < 0.1 }
func isUsual(load *accountLoad) bool { return isOtherAccount(load) && !isRare(load) }

// playLost plays loads at a scheduler that is lost halfway, with and without the accounts' names.
func playLost(t *testing.T, engines int, loads []accountLoad) (*sharedEngines, *sharedEngines) {
	fair, unfair := newSharedEngines(engines), newSharedEngines(engines)
	unfair.hidesName = true
	for _, s := range []*sharedEngines{fair, unfair} {
		s.lostAt = start.Add(schedulerLostAt)
		s.run(arrivals(loads, 1))
	}
	requireRoomUsed(t, fair)
	return fair, unfair
}

// requireRoomUsed checks that no prompt waited beside a free slot, or was refused beside one before
// it had waited for as long as it may.
func requireRoomUsed(t require.TestingT, s *sharedEngines) {
	for _, c := range s.callers {
		require.False(t, c.refusedFree && !c.hasExpired, "refused while a slot was free")
	}
	require.False(t, s.waitedFree, "waited beside a free slot")
	require.Empty(t, s.queue.waiting)
	require.Empty(t, s.queue.shares.running)
}

// Load: an account at 3 and 10 times its usual, whose callers come to hosts of all schedulers,
// or at 10 times to a host of one; 60 accounts with a request a minute each. The scheduler is lost
// halfway, and its successor knows no use. It serves others no worse than without accounts, and
// 2 s later as before; no account with few requests starves.
func TestSchedulerLostUnderHotAccount(t *testing.T) {
	for _, load := range []struct {
		hosts  int
		factor float64
	}{{75, 3}, {75, 10}, {75, 10 * schedulersOf75}, {300, 10}} {
		fair, unfair := playLost(t, enginesOf(load.hosts), sizedLoads(enginesOf(load.hosts), load.factor, 60))
		lostUntil := schedulerLostAt + relearnTime
		atLoss, without := fair.outcomesIn(schedulerLostAt, lostUntil, isUsual), unfair.outcomesIn(schedulerLostAt, lostUntil, isUsual)
		later := fair.outcomesIn(lostUntil, hotUntil, isUsual)
		rare := fair.outcomesIn(lostUntil, loadEnds, isRare)
		t.Logf("%v: others in 2 s from the loss %v, without accounts %v", load, atLoss, without)
		t.Logf("%v: others later %v; rare before %v, in 2 s from the loss %v, later %v", load, later,
			fair.outcomesIn(hotFrom, schedulerLostAt-relearnTime, isRare), fair.outcomesIn(schedulerLostAt, lostUntil, isRare), rare)
		require.Greater(t, atLoss.inTimeShare(), without.inTimeShare()-0.05)
		require.Greater(t, later.inTimeShare(), 0.95)
		require.Equal(t, rare.callers, rare.inTime)
	}
}

// Load: one account alone asks for 1.5 times the room, and the scheduler is lost halfway. It gets as
// much as without accounts.
func TestAccountAloneGetsAllFromSuccessor(t *testing.T) {
	for _, hosts := range []int{75, 300} {
		fair, unfair := playLost(t, enginesOf(hosts), sizedLoads(enginesOf(hosts), 14, 0)[:1])
		t.Logf("%d hosts: %v", hosts, fair.outcomes(isHotAccount))
		require.Equal(t, unfair.outcomes(isHotAccount), fair.outcomes(isHotAccount))
		require.Positive(t, fair.outcomes(isHotAccount).refused)
	}
}

// Load: all accounts ask for 1.5 times the room, and the scheduler is lost halfway. None is served much
// less than another, and not many fewer are in time than without accounts.
func TestAllAccountsOverTheirShareAtSuccessor(t *testing.T) {
	all := func(*accountLoad) bool { return true }
	for _, hosts := range []int{75, 300} {
		loads := sizedLoads(enginesOf(hosts), 1, 0)
		for i := range loads {
			loads[i].rate *= 1.5 / 0.85
			loads[i].hotRate = 0
		}
		fair, unfair := playLost(t, enginesOf(hosts), loads)
		least, most := 1.0, 0.0
		for i := range loads {
			own := fair.outcomes(func(load *accountLoad) bool { return load.account == loads[i].account }).inTimeShare()
			least, most = min(least, own), max(most, own)
		}
		inTime := fair.outcomes(all).inTimeShare()
		t.Logf("%d hosts: in time %.3f, by account %.3f to %.3f, without accounts %.3f", hosts, inTime, least, most, unfair.outcomes(all).inTimeShare())
		require.Greater(t, inTime, unfair.outcomes(all).inTimeShare()-0.05)
		require.InDelta(t, inTime, least, 0.15)
		require.InDelta(t, inTime, most, 0.15)
	}
}

// Load: accounts with a request a minute each and a weight of 1 in 100 of others', which together ask
// for 1.45 times the room. As many of their callers are in time as of others beside a hot account.
func TestAccountsWithRequestAMinuteAreInTime(t *testing.T) {
	callers, inTime := 0, 0
	for seed := range uint64(20) {
		loads := sizedLoads(4, 1, 20)[8:]
		for i := range loads {
			loads[i].weight = 0.01
		}
		loads = append(loads, accountLoad{
			account: "a0",
			weight:  1,
			rate:    5,
		}, accountLoad{
			account: "a1",
			weight:  0.5,
			rate:    16,
		}, accountLoad{
			account: "a2",
			weight:  30,
			rate:    9.4,
			repeats: 3,
		})
		engines := newSharedEngines(4)
		engines.run(arrivals(loads, seed))
		rare := engines.outcomesIn(0, loadEnds, isRare)
		callers += rare.callers
		inTime += rare.inTime
	}
	t.Logf("in time %d of %d", inTime, callers)
	require.Greater(t, float64(inTime)/float64(callers), 0.95)
}

// Load: any accounts with any rates and weights at a scheduler that is lost at any time. Slots that
// it knows to be free are used.
func TestSuccessorIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []accountLoad
		for i := range rapid.IntRange(1, 5).Draw(t, "accounts") {
			loads = append(loads, accountLoad{
				account: ident.AccountName(fmt.Sprint("a", i)),
				weight:  rapid.Float64Range(0, 100).Draw(t, "weight"),
				rate:    rapid.Float64Range(0.1, 8).Draw(t, "rate"),
				repeats: rapid.IntRange(0, 3).Draw(t, "repeats"),
			})
		}
		engines := newSharedEngines(2)
		engines.lostAt = start.Add(time.Duration(rapid.IntRange(0, 24).Draw(t, "lost")) * time.Second)
		engines.run(arrivals(loads, 5))
		requireRoomUsed(t, engines)
	})
}
