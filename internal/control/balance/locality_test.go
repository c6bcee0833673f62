package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/locality"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

// plainServer returns a server without models that has 6 slots.
func plainServer(name ident.ServerName, centre ident.DataCentre, region ident.Region) ServerInfo {
	return ServerInfo{
		Server: backend.Server{
			Name:       name,
			Kind:       backend.KindService,
			DataCentre: centre,
			Region:     region,
		},
		Incarnation: "1",
		Slots:       6,
		Running:     -1,
	}
}

// newSpillPool returns a pool of a server in each of three data centres, the first of which is the
// host's own.
func newSpillPool(mode SpillMode) *Pool {
	pool := newPool(plainServer("a", "n1", "north"), plainServer("b", "n2", "north"), plainServer("c", "s1", "south"))
	pool.SetSpill(mode)
	return pool
}

// answer takes a server, and has it answer with a load.
func answer(pool *Pool, now time.Time, random uint64, load func(server ident.ServerName) Load) ident.ServerName {
	ticket, _ := pool.Take(now, newCriteria(random))
	ticket.UpdateLoad(now, load(ticket.Server))
	ticket.RecordFirstByte(now.Add(15 * time.Millisecond))
	ticket.Done(now.Add(15*time.Millisecond), Answered)
	return ticket.Server
}

// countChoices counts where 400 requests go, 20 ms apart.
func countChoices(pool *Pool, load func(ident.ServerName) Load) map[ident.ServerName]int {
	counts := make(map[ident.ServerName]int)
	for i := range uint64(400) {
		counts[answer(pool, start.Add(time.Duration(i)*20*time.Millisecond), splitmix.Mix(i), load)]++
	}
	return counts
}

func loads(a, b, c int) func(ident.ServerName) Load {
	return func(server ident.ServerName) Load {
		running := map[ident.ServerName]int{
			"a": a,
			"b": b,
			"c": c,
		}[server]
		return Load{
			Running: min(running, 6),
			Waiting: max(running-6, 0),
		}
	}
}

// Guards against a deployment that doesn't ask for plans and gets other decisions.
func TestDecisionsWithoutSpillAreUnchanged(t *testing.T) {
	paced := func(server ident.ServerName) Load {
		load := loads(5, 2, 1)(server)
		load.Pace = 1
		return load
	}
	for name, load := range map[string]func(ident.ServerName) Load{
		"paced":   paced,
		"unpaced": loads(5, 2, 1),
	} {
		reference, off, uneven := newSpillPool(SpillOff), newSpillPool(SpillOff), newSpillPool(SpillUneven)
		isSame := true
		for i := range uint64(500) {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			want := answer(reference, now, splitmix.Mix(i), load)
			require.Equal(t, want, answer(off, now, splitmix.Mix(i), load))
			isSame = want == answer(uneven, now, splitmix.Mix(i), load) && isSame
		}
		require.Equal(t, name == "unpaced", isSame, "%s: Uneven plans where servers name a pace", name)
		require.Nil(t, off.Spill(start.Add(10*time.Second)).Shares)
	}
}

// Load: the own server has five of six slots in use, where the costs of single requests would
// send a part of them away.
func TestPlanKeepsRequestsWhereThereIsRoom(t *testing.T) {
	before := countChoices(newSpillPool(SpillOff), loads(5, 1, 1))
	planned := countChoices(newSpillPool(SpillOn), loads(5, 1, 1))
	require.Less(t, before["a"], 350, "%v", before)
	require.Greater(t, planned["a"], 395, "%v", planned)
}

// Load: the own server's queue grows by 50 requests a second, and the other server of the region
// has room.
func TestPlanSendsExcessToRegion(t *testing.T) {
	pool := newSpillPool(SpillOn)
	counts := make(map[ident.ServerName]int)
	var state Spill
	for i := range 30 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		counts[answer(pool, now, splitmix.Mix(uint64(i)), loads(6+i, 1, 1))]++
		if i > 0 && state.Leaving == 0 {
			state = pool.Spill(now)
		}
	}
	require.Greater(t, counts["b"], 10, "%v", counts)
	require.Zero(t, counts["c"], "%v", counts)
	require.Positive(t, state.Leaving)
	require.Equal(t, 1, state.Changes)
	require.Equal(t, ident.DataCentre("n1"), state.Shares[0].DataCentre)
	require.Equal(t, ident.DataCentre("n2"), state.Shares[1].DataCentre)
}

// Guards against requests without an answer: the servers of the drawn data centre can't be used.
func TestPlanExcludesNoServer(t *testing.T) {
	pool := newSpillPool(SpillOn)
	answer(pool, start, 1, loads(1, 1, 1))
	for i, tried := range [][]ident.ServerName{{}, {"a"}, {"a", "b"}} {
		ticket, verdict := pool.Take(start.Add(time.Second), newCriteria(1, tried...))
		require.Equal(t, Found, verdict)
		require.Equal(t, []ident.ServerName{"a", "b", "c"}[i], ticket.Server)
	}
}

// Guards against a plan that waits for news of servers that are gone.
func TestAllLeaveWhereOwnServersAreGone(t *testing.T) {
	pool := newSpillPool(SpillOn)
	answer(pool, start, 1, loads(1, 1, 1))
	pool.UpdateServers(nil, []ident.ServerName{"a"})
	now := start.Add(planInterval)
	answer(pool, now, 2, loads(1, 1, 1))
	state := pool.Spill(now)
	require.InDelta(t, 1, state.Leaving, 1e-9)
	require.Equal(t, locality.Share{
		DataCentre: "n2",
		Part:       1,
	}, state.Shares[1])
}

// Guards against a single broken connection that sends requests away for seconds.
func TestPlanOutlastsSingleFailure(t *testing.T) {
	pool := newSpillPool(SpillOn)
	answer(pool, start, 1, loads(1, 1, 1))
	now := start
	for failures := 1; failures <= 2; failures++ {
		now = now.Add(firstEjection)
		failed, _ := pool.Take(now, newCriteria(2))
		require.Equal(t, ident.ServerName("a"), failed.Server)
		failed.Done(now, Unreached)
		now = now.Add(planInterval)
		answer(pool, now, 3, loads(1, 1, 1))
		if failures == 1 {
			require.Zero(t, pool.Spill(now).Leaving)
		}
	}
	require.InDelta(t, 1, pool.Spill(now).Leaving, 1e-9)
}

// Guards against a host that has heard nothing of its servers for long and follows an old plan.
func TestOldLoadsEndPlan(t *testing.T) {
	pool, off := newSpillPool(SpillOn), newSpillPool(SpillOff)
	answer(pool, start, 1, loads(12, 1, 1))
	answer(off, start, 1, loads(12, 1, 1))
	for i := range uint64(50) {
		now := start.Add(maxLoadAge + time.Second)
		got, _ := pool.Take(now, newCriteria(i))
		want, _ := off.Take(now, newCriteria(i))
		require.Equal(t, want.Server, got.Server)
	}
}

// Load: 120 servers in each of two data centres, and the queue at each of the own ones grows by five
// requests a second. A host with ten requests a second hears of one server in four within 3 s, and
// knows all the same that the wait is longer than the path elsewhere.
func TestPlanCountsServersNotHeardOf(t *testing.T) {
	var servers []ServerInfo
	for i := range 240 {
		servers = append(servers, plainServer(ident.ServerName(fmt.Sprint("s", i)), ident.DataCentre(fmt.Sprint("n", 1+i/120)), "north"))
	}
	pool := newPool(servers...)
	pool.SetSpill(SpillOn)
	for i := range 100 {
		answer(pool, start.Add(time.Duration(i)*100*time.Millisecond), splitmix.Mix(uint64(i)), func(server ident.ServerName) Load {
			if pool.servers[server].info.DataCentre == "n1" {
				return loads(6+i/2, 1, 1)("a")
			}
			return loads(1, 1, 1)("a")
		})
	}
	now := start.Add(10 * time.Second)
	reading, isKnown := pool.readDataCentres(now)
	require.True(t, isKnown)
	t.Logf("%+v, %+v", reading.DataCentres, pool.Spill(now))
	for _, centre := range reading.DataCentres {
		if centre.Name == "n1" {
			require.Greater(t, centre.Load, 120*(6+35.0), "the queues of 3 s ago")
		}
	}
	require.Positive(t, pool.Spill(now).Leaving)
}

// BenchmarkTakePlanned measures a choice among 850 servers, with an update of the plan each tenth
// of a second.
func BenchmarkTakePlanned(b *testing.B) {
	for _, mode := range []SpillMode{SpillOff, SpillOn} {
		b.Run(fmt.Sprintf("mode %q", mode), func(b *testing.B) {
			var servers []ServerInfo
			for i := range 850 {
				servers = append(servers, plainServer(ident.ServerName(fmt.Sprint("s", i)), ident.DataCentre(fmt.Sprint("n", i%6)), "north"))
			}
			pool := newPool(servers...)
			pool.SetSpill(mode)
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Millisecond)
				answer(pool, now, uint64(i), loads(1, 1, 1))
			}
		})
	}
}
