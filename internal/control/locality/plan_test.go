package locality

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each simulated data centre has 12 slots and requests of 20 ms, so it serves 600 a second. Three
// data centres stand in each of two regions.
const (
	siteCapacity = 600
	// ownNoise is a share that leaves by the variation of single requests' arrivals.
	ownNoise = 0.02
)

func wave(mean, swing, period, phase float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return mean * (1 + swing*math.Sin(2*math.Pi*(at.Seconds()/period+phase)))
	}
}

// slotsUntil has 12 slots until an instant, and then a number of them.
func slotsUntil(until time.Duration, then int) func(time.Duration) int {
	return func(at time.Duration) int {
		if at < until {
			return 12
		}
		return then
	}
}

// played runs a fleet whose loads change sets, twice: as planned, and with requests that never
// leave.
func played(seed uint64, hosts int, length time.Duration, change func(*fleet)) (*fleet, *fleet) {
	planned, stays := newFleet(seed, 6, hosts), newFleet(seed, 6, hosts)
	stays.stays = true
	for _, f := range []*fleet{planned, stays} {
		change(f)
		f.run(length)
	}
	return planned, stays
}

// Load: 400 requests a second at each data centre, two thirds of what it serves.
func TestNobodyLeavesWhereThereIsRoom(t *testing.T) {
	planned, _ := played(1, 5, 20*time.Second, func(*fleet) {})
	for _, s := range planned.sites {
		require.Less(t, s.leftShare(), ownNoise, s.name)
		require.Greater(t, s.inTimeShare(), 0.999, s.name)
	}
}

// Load: a data centre with 550 requests a second loses a third of its servers, at fleets of 6 to
// 300 hosts.
func TestExcessLeavesDataCentreThatLosesThirdOfServers(t *testing.T) {
	for _, hosts := range []int{1, 12, 50} {
		planned, stays := played(2, hosts, 25*time.Second, func(f *fleet) {
			f.sites[0].rate = steady(550)
			f.sites[0].slots = slotsUntil(5*time.Second, 8)
		})
		hit := planned.sites[0]
		require.Less(t, stays.sites[0].inTimeShare(), 0.4, "callers are late if all stay")
		require.Greater(t, hit.inTimeShare(), 0.95, "%d hosts each", hosts)
		excess := 1 - 400.0/550
		require.InDelta(t, excess, hit.leftIn(10, 25), 0.1, "only the excess leaves")
		for _, s := range planned.sites[1:] {
			require.Greater(t, s.inTimeShare(), 0.995, "%s must not suffer", s.name)
			require.Less(t, s.leftShare(), ownNoise, "%s must not pass on what it takes", s.name)
		}
	}
}

// Load: a data centre loses a third of its servers, and hosts hear of loads only by the answers to
// their own 11 or 46 requests a second.
func TestHostsThatHearOnlyAnswersSendExcess(t *testing.T) {
	for _, hosts := range []int{12, 50} {
		planned, _ := played(11, hosts, 25*time.Second, func(f *fleet) {
			f.heard = make(map[*Planner][]heardLoad)
			f.sites[0].rate = steady(550)
			f.sites[0].slots = slotsUntil(5*time.Second, 8)
		})
		require.Greater(t, planned.sites[0].inTimeShare(), 0.95, "%d hosts each", hosts)
		require.InDelta(t, 1-400.0/550, planned.sites[0].leftIn(10, 25), 0.1)
		for _, s := range planned.sites[1:] {
			require.Greater(t, s.inTimeShare(), 0.995, s.name)
			require.Less(t, s.leftShare(), ownNoise, s.name)
		}
	}
}

// Load: all data centres are short, and hosts hear of loads only by the answers to their own 7
// requests a second. They send a few elsewhere to hear of others.
func TestHostsThatHearOnlyAnswersStayWhereAllAreShort(t *testing.T) {
	planned, stays := played(12, 100, 10*time.Second, func(f *fleet) {
		f.heard = make(map[*Planner][]heardLoad)
		for _, s := range f.sites {
			s.rate = steady(700)
		}
	})
	for _, s := range planned.sites {
		require.Less(t, s.leftShare(), 5*probeShare, "%s: five data centres to hear of", s.name)
	}
	require.InDelta(t, stays.inTimeShare(), planned.inTimeShare(), 0.02, "callers get the same")
}

// Load: the demand of six data centres swings by 55% in 11 and 13 s, each at another phase. Their
// mean is 0.8 of what they serve.
func TestWavesOutOfPhaseLendRoom(t *testing.T) {
	for _, period := range []float64{11, 13} {
		planned, stays := played(3, 4, 30*time.Second, func(f *fleet) {
			for i, s := range f.sites {
				s.rate = wave(480, 0.55, period, float64(i)/6)
			}
		})
		for i, s := range planned.sites {
			require.Less(t, stays.sites[i].inTimeShare(), 0.7, "callers are late if all stay")
			require.Greater(t, s.inTimeShare(), 0.97, s.name)
			require.Less(t, s.leftShare(), 0.2, s.name)
			require.Less(t, s.largestLeft(), 0.55, "%s: no larger swing than the wave's", s.name)
		}
	}
}

// Load: the demand of all data centres swings by 55% at the same time, and none can help another.
func TestWavesInPhaseStay(t *testing.T) {
	for _, period := range []float64{11, 13} {
		planned, stays := played(4, 4, 30*time.Second, func(f *fleet) {
			for _, s := range f.sites {
				s.rate = wave(480, 0.55, period, 0)
			}
		})
		for i, s := range planned.sites {
			require.Less(t, s.leftShare(), 0.04, s.name)
			require.InDelta(t, stays.sites[i].inTimeShare(), s.inTimeShare(), 0.05, s.name)
		}
	}
}

// Load: a data centre is asked for 1,000 requests a second, and its hosts read reports of 0.1 to
// 2 s.
func TestSharesSettleWithLateReports(t *testing.T) {
	planned, stays := played(5, 5, 30*time.Second, func(f *fleet) {
		f.reportAge = func(host int) time.Duration { return time.Duration(100+475*(host%5)) * time.Millisecond }
		f.sites[0].rate = steady(1000)
	})
	hit := planned.sites[0]
	require.Less(t, stays.sites[0].inTimeShare(), 0.05)
	require.Greater(t, hit.inTimeShare(), 0.75)
	require.InDelta(t, 1-siteCapacity/1000.0, hit.leftIn(15, 30), 0.1)
	least, most := hit.leftRange(15, 30)
	require.Less(t, most-least, 0.35, "the shares swing")
}

// Load: all data centres of one region are asked for 700 requests a second, those of the other for
// 200.
func TestFullRegionUsesTheOther(t *testing.T) {
	planned, stays := played(6, 5, 25*time.Second, func(f *fleet) {
		for _, s := range f.sites {
			s.rate = steady(200)
			if s.region == 0 {
				s.rate = steady(700)
			}
		}
	})
	for i, s := range planned.sites {
		if s.region != 0 {
			require.Less(t, s.leftShare(), ownNoise, s.name)
			continue
		}
		require.Less(t, stays.sites[i].inTimeShare(), 0.2)
		require.Greater(t, s.inTimeShare(), 0.95, s.name)
		require.InDelta(t, 1-siteCapacity/700.0, s.leftIn(5, 25), 0.08, "only the excess leaves")
	}
}

// Load: the same over a link between the regions for 50 requests a second of each data centre.
func TestSmallLinkBoundsWhatLeavesRegion(t *testing.T) {
	const linkRate = 50
	planned, _ := played(7, 5, 25*time.Second, func(f *fleet) {
		f.link = linkRate
		for _, s := range f.sites {
			s.rate = steady(200)
			if s.region == 0 {
				s.rate = steady(1500)
			}
		}
	})
	for _, s := range planned.sites {
		if s.region == 0 {
			require.Less(t, float64(s.left)/25, 3*linkRate*1.1, "three destinations")
		}
	}
}

// Load: both regions are asked for 700 requests a second at each data centre.
func TestNobodyLeavesWhereAllAreShort(t *testing.T) {
	planned, stays := played(8, 5, 10*time.Second, func(f *fleet) {
		for _, s := range f.sites {
			s.rate = steady(700)
		}
	})
	for _, s := range planned.sites {
		require.Less(t, s.leftShare(), ownNoise, s.name)
	}
	require.InDelta(t, stays.inTimeShare(), planned.inTimeShare(), 0.02, "callers get the same")
}

// Load: a burst of three times the demand for 4 s at one data centre.
func TestBurstLeavesAndComesBack(t *testing.T) {
	planned, stays := played(9, 5, 25*time.Second, func(f *fleet) {
		f.sites[0].rate = func(at time.Duration) float64 {
			if at > 5*time.Second && at < 9*time.Second {
				return 1200
			}
			return 400
		}
	})
	hit := planned.sites[0]
	require.Greater(t, hit.inTimeShare(), stays.sites[0].inTimeShare()+0.2)
	require.Less(t, hit.leftIn(15, 25), ownNoise, "leaving ends with the burst")
}

// Guards against requests that wait for a plan where the servers of their data centre are gone.
func TestAllLeaveAtOnceWhenServersAreGone(t *testing.T) {
	planned, _ := played(10, 5, 25*time.Second, func(f *fleet) {
		f.reportAge = func(int) time.Duration { return 0 }
		f.sites[0].slots = func(at time.Duration) int {
			if at >= 5*time.Second && at < 10*time.Second {
				return 0
			}
			return 12
		}
	})
	hit := planned.sites[0]
	require.InDelta(t, 1, hit.leftIn(6, 10), 1e-9)
	require.Greater(t, hit.inTimeShare(), 0.99)
	require.Less(t, hit.leftIn(18, 25), ownNoise, "they come back")
}
