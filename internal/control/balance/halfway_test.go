package balance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pace"
)

// reportAge is how late reports are at a host: 0.1 to 2 s.
func reportAge(host int) int { return 10 + 47*(host%5) }

// playFlickering plays 20 s of a fleet where the pace of a third of the engines is 0.6 to 4, another one
// ten times a second, and the others' is 0.6, 1 or 1.6 with spells. Hosts hear reports late, and half of
// them none from 8 to 13 s.
func playFlickering(tellsPace bool, hosts, engines int) *fleetSim {
	sim := newSizedFleetSim(tellsPace, 7, hosts, engines)
	for i, name := range sim.names {
		sim.engines[name].flickers = i%3 == 2
	}
	var reports [][]ServerInfo // by tick
	for tick := range 2000 {
		reports = append(reports, sim.infos())
		isCutTime := tick >= 800 && tick < 1300
		for host, pool := range sim.pools {
			isCut := isCutTime && host%2 == 0
			if tick%100 == host%100 && !isCut {
				pool.UpdateServers(reports[max(tick-reportAge(host), 0)], nil)
			}
		}
		for range engines / 12 {
			if sim.random.Float64() < 45*simTick.Seconds() {
				sim.arrive()
			}
		}
		sim.step()
	}
	return sim
}

// Load: paces that change ten times a second on a third of the engines, reports that are 0.1 to 2 s
// late, half of the hosts cut off from reports for 5 s. Callers of short and of long answers get no
// less than from pools that ignore paces.
func TestFlickeringPacesWithLateReports(t *testing.T) {
	for _, size := range []struct{ hosts, engines int }{{75, 24}, {300, 60}} {
		without, with := playFlickering(false, size.hosts, size.engines), playFlickering(true, size.hosts, size.engines)
		for i, kind := range []string{"short", "long"} {
			before := float64(without.inTime[i]) / float64(without.total[i])
			after := float64(with.inTime[i]) / float64(with.total[i])
			t.Logf("%v, %s: %d, in time %.3f without pace, %.3f with it", size, kind, with.total[i], before, after)
			require.Greater(t, after, before, kind)
		}
	}
}

// Guards against a server that has restarted and is judged by what its earlier incarnation named: by a
// report that is late, or by an answer that was begun before.
func TestRestartedServerHasNoPaceOfBefore(t *testing.T) {
	info := engine("a", "n1", "north")
	info.Pace = 4
	pool := newPool(info)
	begun, _ := pool.Take(start, newCriteria(1))
	require.Equal(t, pace.Reading(4), pool.LevelOf(start, "a"))
	info.Incarnation, info.Pace = "2", 0
	pool.UpdateServers([]ServerInfo{info}, nil)
	begun.UpdateLoad(start, Load{
		Pace: 4,
	})
	require.Zero(t, pool.LevelOf(start, "a"))
	require.Empty(t, pool.TakeReadings(), "it is not sent on as the new one's")
	begun.Done(start, Answered)
	require.Equal(t, 1.0, pool.servers["a"].pace.Estimate(start).Current)
}
