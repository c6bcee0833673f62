package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

func asks(m *Machine, intervals int, counts map[ident.ModelName]int64) {
	for range intervals {
		m.Step(Asked{
			Counts:   counts,
			Interval: time.Second,
		})
	}
}

func pass(from, leader *Machine) int {
	rates := from.ToTell(leader.Host)
	leader.Step(Told{
		Host:       from.Host,
		DataCentre: from.DataCentre,
		Rates:      rates,
	})
	from.Step(Taken{
		Leader: leader.Host,
		Rates:  rates,
	})
	return len(rates)
}

func fleet() (*Machine, *Machine, *Machine) {
	var hosts [3]*Machine
	for i := range hosts {
		hosts[i] = &Machine{
			Host:       ident.HostID(fmt.Sprint("entry-", i)),
			DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%2)),
		}
		hosts[i].Step(Asked{
			Interval: time.Second,
		})
	}
	return hosts[0], hosts[1], hosts[2]
}

// All callers of a model come through one host, which does not lead. The leader
// multiplied its own callers' rates by the hosts and saw none: the model got no
// second replica, and its callers waited.
func TestTheLeaderSumsWhatAllHostsSee(t *testing.T) {
	leader, second, third := fleet()
	asks(leader, 50, map[ident.ModelName]int64{"drafts": 1})
	asks(second, 50, map[ident.ModelName]int64{"briefing": 10})
	asks(third, 50, map[ident.ModelName]int64{"briefing": 4, "drafts": 2})
	pass(second, leader)
	pass(third, leader)
	sums := leader.Sums()
	require.Len(t, sums, 3)
	require.EqualValues(t, "briefing", sums[0].Model)
	require.InDelta(t, 4, sums[0].PerSecond, 0.01) // dc-0
	require.InDelta(t, 10, sums[1].PerSecond, 0.01)
	require.InDelta(t, 3, sums[2].PerSecond, 0.01)
	// Nothing has changed: nothing is told.
	require.Zero(t, pass(second, leader))
}

// Demand ends, a host dies: the sums say zero once, so that the placement lets
// the demand go, and are silent after that.
func TestDemandThatEndsIsTakenBack(t *testing.T) {
	leader, second, third := fleet()
	asks(second, 50, map[ident.ModelName]int64{"briefing": 10})
	asks(third, 50, map[ident.ModelName]int64{"drafts": 10})
	pass(second, leader)
	pass(third, leader)
	require.Len(t, leader.Sums(), 2)
	asks(second, 100, nil)
	require.Equal(t, 1, pass(second, leader))
	leader.Step(Gone{
		Host: third.Host,
	})
	sums := leader.Sums()
	require.Len(t, sums, 2)
	require.Zero(t, sums[0].PerSecond)
	require.Zero(t, sums[1].PerSecond)
	require.Empty(t, leader.Sums())
}

// A new leader knows nothing: it is told everything again, the greatest first,
// and never more at once than the bound.
func TestANewLeaderIsToldEverything(t *testing.T) {
	leader, second, third := fleet()
	counts := make(map[ident.ModelName]int64)
	for i := range 2*MaxRates + 5 {
		counts[ident.ModelName(fmt.Sprintf("model-%03d", i))] = int64(i + 1)
	}
	asks(third, 50, counts)
	require.Equal(t, MaxRates, pass(third, leader))
	require.EqualValues(t, "model-068", leader.Sums()[MaxRates-1].Model)
	require.Equal(t, MaxRates, pass(third, leader))
	require.Equal(t, 5, pass(third, leader))
	require.Zero(t, pass(third, leader))
	require.Equal(t, MaxRates, pass(third, second))
}
