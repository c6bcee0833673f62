package paths

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

var start = time.Unix(1_700_000_000, 0)

func newServer(number int) Server {
	return Server{
		Name:        ident.ServerName("s" + strconv.Itoa(number)),
		Incarnation: "1",
	}
}

// cutOff returns the table of a host that is cut off.
func cutOff(t *testing.T) *Table {
	table := &Table{}
	for i := range failuresForProof {
		require.Equal(t, i == failuresForProof-1, table.RecordDirect(newServer(i), false).NeedsProof)
	}
	change := table.RecordProof(false)
	require.True(t, change.IsCutOff && change.Changed)
	return table
}

// Guards against a host that has to fail at each server before it knows that it is cut off.
func TestSeveralFailuresInARowAndTheProofMeanCutOff(t *testing.T) {
	table := cutOff(t)
	require.True(t, table.Choose(start, newServer(9)).Detour)
	require.False(t, table.RecordDirect(newServer(9), false).NeedsProof)
}

// Guards against a host that takes itself for cut off since a service has gone down as a whole.
func TestServiceThatIsDownIsNoCut(t *testing.T) {
	var table Table
	for i := range failuresForProof {
		table.RecordDirect(newServer(i), false)
	}
	require.False(t, table.Choose(start, newServer(9)).Detour)
	require.False(t, table.RecordProof(true).Changed)
	require.False(t, table.Choose(start, newServer(9)).Detour)
	require.True(t, table.Choose(start, newServer(0)).Detour)
}

// Guards against a host that takes itself for cut off because servers fail one by one over a day.
func TestOpenedConnectionEndsTheRowOfFailures(t *testing.T) {
	var table Table
	for i := range 10 {
		require.False(t, table.RecordDirect(newServer(i), false).NeedsProof)
		table.RecordDirect(newServer(100), true)
	}
	require.False(t, table.Choose(start, newServer(100)).Detour)
	require.True(t, table.Choose(start, newServer(3)).Detour)
}

// Guards against detours that go on after a cut, and against probes that are a load of their own.
func TestProbesAreFewAndEndTheDetour(t *testing.T) {
	table := cutOff(t)
	probes := 0
	for i := range 1000 {
		if table.Choose(start.Add(time.Duration(i)*time.Millisecond), newServer(1)).Probe {
			probes++
		}
	}
	require.Equal(t, 4, probes)
	require.True(t, table.RecordDirect(newServer(1), true).Changed)
	require.False(t, table.Choose(start, newServer(1)).Detour)
	require.False(t, table.Choose(start, newServer(9)).Detour)
}

// Guards against a server that has failed and is tried through one peer after the other.
func TestServerThatPeersDoNotReachHasNoDetour(t *testing.T) {
	var table Table
	table.RecordDirect(newServer(1), false)
	table.RecordUnreachable(newServer(1))
	require.False(t, table.Choose(start, newServer(1)).Detour)
}

func newHosts(count int) []pacing.Host {
	hosts := make([]pacing.Host, 0, count)
	for i := range count {
		host := pacing.Host{
			Name:   ident.HostID("h" + strconv.Itoa(i)),
			Region: "north",
		}
		if i%3 == 2 {
			host.Region = "south"
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// Guards against one peer that gets the requests of all hosts that are cut off, and against a
// connection from each of them to each peer.
func TestHostsThatAreCutOffSpreadOverPeers(t *testing.T) {
	const cutHosts = 300
	for _, count := range []int{7, 300, 985} {
		hosts := newHosts(count)
		first := make(map[ident.HostID]int)
		for i := range cutHosts {
			var table Table
			used := make(map[ident.HostID]bool)
			own := Location{
				Host:   ident.HostID("cut" + strconv.Itoa(i)),
				Region: "north",
			}
			for random := range uint64(40) {
				peers := table.Peers(start, own, hosts, random*7919+1)
				require.Len(t, peers, maxTries)
				require.Equal(t, ident.Region("north"), peers[0].Region)
				first[peers[0].Name]++
				for _, peer := range peers {
					used[peer.Name] = true
				}
			}
			require.LessOrEqual(t, len(used), peersInUse)
		}
		inRegion := float64(count) * 2 / 3
		for name, times := range first {
			require.Less(t, float64(times), 40*(3*cutHosts/inRegion+5), name)
		}
	}
}

// Guards against a host alone and against peers that can't help: neither may be asked.
func TestUnablePeersAreNotAsked(t *testing.T) {
	var table Table
	own := Location{
		Host:   "h0",
		Region: "north",
	}
	require.Empty(t, table.Peers(start, own, newHosts(1), 1))
	table.RecordUnable(start, "h1")
	require.Empty(t, table.Peers(start, own, newHosts(2), 1))
	require.Len(t, table.Peers(start.Add(unableDuration), own, newHosts(2), 1), 1)
}

// BenchmarkPeers measures the choice of peers for one connection, by the number of hosts.
func BenchmarkPeers(b *testing.B) {
	own := Location{
		Host:   "own",
		Region: "north",
	}
	for _, count := range []int{7, 985, 1970} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			hosts := newHosts(count)
			var table Table
			for i := range b.N {
				table.Peers(start, own, hosts, uint64(i))
			}
		})
	}
}
