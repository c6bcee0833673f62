package balance

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// newFleetPool returns a pool of n engines, of which four hold weights.
func newFleetPool(n int) *Pool {
	servers := make([]ServerInfo, 0, n)
	for i := range n {
		info := engine(ident.ServerName("e"+strconv.Itoa(i)), "n1", "north")
		if i >= 4 {
			info.Holds = []request.Weights{{
				Model: ident.ModelName("m" + strconv.Itoa(i)),
			}}
		}
		servers = append(servers, info)
	}
	return newPool(servers...)
}

// Guards against choices that cost as much as the fleet has engines.
func TestChoiceCostDoesNotGrowWithFleet(t *testing.T) {
	measure := func(n int) float64 {
		pool := newFleetPool(n)
		failed, _ := pool.Take(start, newCriteria(1))
		failed.Done(start, Failed)
		return testing.AllocsPerRun(20, func() {
			criteria := newCriteria(1)
			visited := 0
			pool.eachAvailable(start, &criteria, func(*server, float64) { visited++ })
			require.Equal(t, 4, visited)
			ticket, _ := pool.Take(start, criteria)
			ticket.Done(start, Answered)
			_, verdict := pool.Candidates(start, criteria)
			require.Equal(t, Found, verdict)
		})
	}
	require.InDelta(t, measure(1000), measure(2000), 1)
}

// Guards against an update of one server that costs as much as the fleet has engines.
func TestUpdateCostDoesNotGrowWithFleet(t *testing.T) {
	measure := func(n int) float64 {
		pool := newFleetPool(n)
		changed := []ServerInfo{engine("e7", "n1", "north")}
		return testing.AllocsPerRun(20, func() {
			changed[0].Running++
			pool.UpdateServers(changed, []ident.ServerName{"unknown"})
		})
	}
	require.InDelta(t, measure(1000), measure(2000), 1)
}

// Guards against a service that gets models by a configuration, and whose servers still answer
// requests for any, or loses them, and whose servers answer none.
func TestServersOfServiceThatGetsModels(t *testing.T) {
	info := engine("a", "n1", "north")
	info.Holds = nil
	pool := newPool(info)
	for _, kind := range []backend.Kind{backend.KindService, backend.KindEngine, backend.KindService} {
		info.Kind = kind
		pool.SetServers([]ServerInfo{info})
		ticket, verdict := pool.Take(start, newCriteria(1))
		if kind == backend.KindEngine {
			require.Equal(t, NoneHolds, verdict)
			continue
		}
		require.Equal(t, Found, verdict)
		ticket.Done(start, Answered)
	}
}

// Guards against single updates that leave a pool in another state than a whole list does.
func TestUpdatesEqualWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated, replaced := newPool(), newPool()
		fleet := make(map[ident.ServerName]ServerInfo)
		models := []ident.ModelName{"m0", "m1", "m2"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := ident.ServerName("e" + strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "server")))
			if rapid.Bool().Draw(t, "removed") {
				delete(fleet, name)
				updated.UpdateServers(nil, []ident.ServerName{name})
			} else {
				info := engine(name, "n1", "north")
				info.Incarnation = ident.Incarnation(strconv.Itoa(rapid.IntRange(0, 1).Draw(t, "incarnation")))
				info.Holds = nil
				for _, model := range rapid.SliceOfDistinct(rapid.SampledFrom(models), rapid.ID).Draw(t, "models") {
					info.Holds = append(info.Holds, request.Weights{
						Model: model,
					})
				}
				info.Retiring = rapid.SliceOfDistinct(rapid.SampledFrom(models), rapid.ID).Draw(t, "retiring")
				fleet[name] = info
				updated.UpdateServers([]ServerInfo{info}, nil)
			}
			var whole []ServerInfo
			for _, info := range fleet {
				whole = append(whole, info)
			}
			replaced.SetServers(whole)
			for _, model := range models {
				criteria := newCriteria(1)
				criteria.Weights.Model = model
				if result := rapid.SampledFrom([]Result{Answered, NotHeld, Refused, Failed}).Draw(t, "result"); result != Answered {
					for _, pool := range []*Pool{updated, replaced} {
						if ticket, verdict := pool.Take(start, criteria); verdict == Found {
							ticket.Done(start, result)
						}
					}
				}
				got, gotVerdict := updated.Candidates(start, criteria)
				want, wantVerdict := replaced.Candidates(start, criteria)
				require.Equal(t, wantVerdict, gotVerdict)
				require.Equal(t, want, got)
			}
		}
	})
}
