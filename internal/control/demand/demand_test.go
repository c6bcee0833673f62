package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

func countRequests(m *Machine, intervals int, counts map[ident.ModelName]int64) {
	for range intervals {
		m.Step(RequestCounts{
			Counts:   counts,
			Interval: time.Second,
		})
	}
}

func sendRates(from, leader *Machine) int {
	rates := from.RatesToSend(leader.Host)
	leader.Step(HostRates{
		Host:       from.Host,
		DataCentre: from.DataCentre,
		Rates:      rates,
	})
	from.Step(RatesAccepted{
		Leader: leader.Host,
		Rates:  rates,
	})
	return len(rates)
}

func newHosts() (*Machine, *Machine, *Machine) {
	var hosts [3]*Machine
	for i := range hosts {
		hosts[i] = &Machine{
			Host:       ident.HostID(fmt.Sprint("entry-", i)),
			DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%2)),
		}
		hosts[i].Step(RequestCounts{
			Interval: time.Second,
		})
	}
	return hosts[0], hosts[1], hosts[2]
}

// All callers of a model use one host, which does not lead. If the leader only
// multiplied its own callers' rates by the number of hosts it would see no demand:
// the model would get no second replica, and its callers would wait.
func TestLeaderSumsRatesOfAllHosts(t *testing.T) {
	leader, second, third := newHosts()
	countRequests(leader, 50, map[ident.ModelName]int64{"drafts": 1})
	countRequests(second, 50, map[ident.ModelName]int64{"briefing": 10})
	countRequests(third, 50, map[ident.ModelName]int64{"briefing": 4, "drafts": 2})
	sendRates(second, leader)
	sendRates(third, leader)
	sums := leader.Sums()
	require.Len(t, sums, 3)
	require.EqualValues(t, "briefing", sums[0].Model)
	require.InDelta(t, 4, sums[0].PerSecond, 0.01) // dc-0
	require.InDelta(t, 10, sums[1].PerSecond, 0.01)
	require.InDelta(t, 3, sums[2].PerSecond, 0.01)
	// Nothing has changed, so nothing is sent.
	require.Zero(t, sendRates(second, leader))
}

// Demand ends and a host crashes: the sums are zero once, so that the placement drops
// the demand, and are omitted after that.
func TestEndedDemandIsReportedAsZeroOnce(t *testing.T) {
	leader, second, third := newHosts()
	countRequests(second, 50, map[ident.ModelName]int64{"briefing": 10})
	countRequests(third, 50, map[ident.ModelName]int64{"drafts": 10})
	sendRates(second, leader)
	sendRates(third, leader)
	require.Len(t, leader.Sums(), 2)
	countRequests(second, 100, nil)
	require.Equal(t, 1, sendRates(second, leader))
	leader.Step(HostGone{
		Host: third.Host,
	})
	sums := leader.Sums()
	require.Len(t, sums, 2)
	require.Zero(t, sums[0].PerSecond)
	require.Zero(t, sums[1].PerSecond)
	require.Empty(t, leader.Sums())
}

// A new leader has no rates: it gets all of them again, the largest first, and never
// more at once than the limit.
func TestNewLeaderGetsAllRates(t *testing.T) {
	leader, second, third := newHosts()
	counts := make(map[ident.ModelName]int64)
	for i := range 2*MaxRatesPerMessage + 5 {
		counts[ident.ModelName(fmt.Sprintf("model-%03d", i))] = int64(i + 1)
	}
	countRequests(third, 50, counts)
	require.Equal(t, MaxRatesPerMessage, sendRates(third, leader))
	require.EqualValues(t, "model-068", leader.Sums()[MaxRatesPerMessage-1].Model)
	require.Equal(t, MaxRatesPerMessage, sendRates(third, leader))
	require.Equal(t, 5, sendRates(third, leader))
	require.Zero(t, sendRates(third, leader))
	require.Equal(t, MaxRatesPerMessage, sendRates(third, second))
}
