package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newSizedFleet has five data centres, three of them in the first region. Servers and demand grow
// with the hosts: 15 hosts have 12 slots.
func newSizedFleet(seed uint64, hosts int) *fleet {
	f := newFleet(seed, 5, hosts/5)
	for _, s := range f.sites {
		s.slots = slots(12 * f.scale())
		s.rate = steady(400 * float64(f.scale()))
	}
	return f
}

func (f *fleet) scale() int { return len(f.sites[0].hosts) / 15 }

// lateReports are 0.1 to 2 s old.
func lateReports(host int) time.Duration {
	return time.Duration(100+475*(host%5)) * time.Millisecond
}

// loseThird takes a third of a data centre's servers for a time, while its demand is 0.8 of what all
// of them serve.
func (f *fleet) loseThird(s *site, from, until time.Duration) {
	scale := f.scale()
	s.rate = steady(480 * float64(scale))
	s.slots = func(at time.Duration) int {
		if at >= from && at < until {
			return 8 * scale
		}
		return 12 * scale
	}
}

func isBetween(at time.Duration, from, until int) bool {
	return at >= time.Duration(from)*time.Second && at < time.Duration(until)*time.Second
}

// requireOthersSound checks that no data centre but the first has suffered or passed requests on.
func (f *fleet) requireOthersSound(t *testing.T) {
	t.Helper()
	for _, s := range f.sites[1:] {
		require.Greater(t, s.inTimeShare(), 0.995, s.name)
		require.Less(t, s.leftShare(), ownNoise, s.name)
	}
}

// Load: a data centre without a third of its servers from 5 to 18 s, of whose hosts half are cut off
// from another data centre of the region from 10 to 14 s. All is back after 18 s. Hosts hear of loads
// by reports, or only by the answers to their own 32 requests a second.
func TestHostsCutOffWhileDataCentreIsShort(t *testing.T) {
	for _, size := range []struct {
		hosts        int
		hearsAnswers bool
	}{{75, false}, {75, true}, {300, true}} {
		f, calm := newSizedFleet(21, size.hosts), newSizedFleet(21, size.hosts)
		if size.hearsAnswers {
			f.heard, calm.heard = make(map[*Planner][]heardLoad), make(map[*Planner][]heardLoad)
		}
		hit := f.sites[0]
		f.loseThird(hit, 5*time.Second, 18*time.Second)
		f.isCut = func(own *site, host int, other *site, at time.Duration) bool {
			return own == hit && other == f.sites[2] && host%2 == 0 && isBetween(at, 10, 14)
		}
		f.run(28 * time.Second)
		calm.sites[0].rate = hit.rate
		calm.run(10 * time.Second)
		t.Logf("%v: in time %.3f, cut off %.3f, after %.3f; left %.3f, %.3f, %.3f, in the end %.3f, without failure %.3f", size,
			hit.inTimeIn(7, 10), hit.inTimeIn(10, 14), hit.inTimeIn(14, 18), hit.leftIn(7, 10), hit.leftIn(10, 14), hit.leftIn(14, 18), hit.leftIn(22, 28), calm.sites[0].leftShare())
		require.Greater(t, hit.inTimeIn(7, 28), 0.95)
		require.Less(t, hit.leftIn(22, 28), calm.sites[0].leftShare()+ownNoise, "shares come home")
		f.requireOthersSound(t)
	}
}

// Load: a data centre without a third of its servers from 5 to 14 s; no report reaches all of its
// hosts, or half of them, from 10 to 18 s. Where reports stop for all, requests stay until they are
// back, and until then callers of that data centre are late.
func TestReportsThatStopAndComeBack(t *testing.T) {
	for _, hosts := range []int{75, 300} {
		for _, oneIn := range []int{1, 2} {
			f := newSizedFleet(22, hosts)
			hit := f.sites[0]
			f.loseThird(hit, 5*time.Second, 14*time.Second)
			f.hearsNothing = func(own *site, host int, at time.Duration) bool {
				return own == hit && host%oneIn == 0 && isBetween(at, 10, 18)
			}
			f.run(25 * time.Second)
			t.Logf("%d hosts, 1 in %d: in time %.3f, %.3f, %.3f, %.3f; left %.3f, in each second %.3f, %.3f, %.3f, in the end %.3f", hosts, oneIn,
				hit.inTimeIn(7, 10), hit.inTimeIn(10, 13), hit.inTimeIn(13, 18), hit.inTimeIn(18, 25), hit.leftIn(14, 18), hit.leftIn(18, 19), hit.leftIn(19, 20), hit.leftIn(20, 21), hit.leftIn(21, 25))
			if oneIn == 2 {
				require.Greater(t, hit.inTimeIn(7, 25), 0.95)
			}
			require.Greater(t, hit.inTimeIn(18, 25), 0.95)
			require.Less(t, hit.leftIn(18, 25), ownNoise, "nothing leaves by the plan from before")
			f.requireOthersSound(t)
		}
	}
}

// Load: demand swings by 55% in 11 s, in 13 s, or in 11 s at one data centre and 13 s at the next, in
// phase or each data centre at another phase, and reports are 0.1 to 2 s late. The demand in a crest
// is 1.24 of what is served.
func TestWavesWithLateReports(t *testing.T) {
	playWaves(t, 75, 11)
	playWaves(t, 75, 13)
	playWaves(t, 75, 11, 13)
	playWaves(t, 300, 11, 13)
}

// playWaves plays waves of some periods, in phase and out of phase.
func playWaves(t *testing.T, hosts int, periods ...float64) {
	const swing = 0.55
	for _, isInPhase := range []bool{true, false} {
		planned, stays := newSizedFleet(23, hosts), newSizedFleet(23, hosts)
		stays.stays = true
		for _, f := range []*fleet{planned, stays} {
			f.reportAge = lateReports
			for i, s := range f.sites {
				phase := float64(i) / 5
				if isInPhase {
					phase = 0
				}
				s.rate = wave(480*float64(f.scale()), swing, periods[i%len(periods)], phase)
			}
			f.run(26 * time.Second)
		}
		for i, s := range planned.sites {
			t.Logf("%d hosts, %v s, in phase %v, %s: in time %.3f, %.3f if all stay, left %.3f, at most %.3f", hosts, periods, isInPhase, s.name,
				s.inTimeShare(), stays.sites[i].inTimeShare(), s.leftShare(), s.largestLeft())
			require.Less(t, s.largestLeft(), swing, "no larger swing than the wave's")
			if !isInPhase {
				require.Greater(t, s.inTimeShare(), 0.75, s.name)
			}
		}
		require.Greater(t, planned.inTimeShare(), stays.inTimeShare()-0.01, "as many callers are in time as if all stay")
	}
}
