package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// fleet is hosts that exchange words in one process.
type fleet struct {
	t     *testing.T
	now   time.Time
	hosts []*Machine
	names map[ident.HostID]*Machine
	// have is what the second host has taken in of the first one's.
	have   map[[2]ident.HostID]uint64
	frozen map[ident.HostID]bool
	cut    map[[2]ident.HostID]bool
	// behind is by how much a host's clock was set back.
	behind map[ident.HostID]time.Duration
	// met counts the exchanges at each host in the last round.
	met   map[ident.HostID]int
	peers int
	beats int
}

func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{
		t:      t,
		now:    time.Unix(1_700_000_000, 0),
		names:  make(map[ident.HostID]*Machine),
		have:   make(map[[2]ident.HostID]uint64),
		frozen: make(map[ident.HostID]bool),
		cut:    make(map[[2]ident.HostID]bool),
		behind: make(map[ident.HostID]time.Duration),
		met:    make(map[ident.HostID]int),
	}
	for i := range hosts {
		machine := &Machine{
			Self: Peer{
				Host:       ident.HostID(fmt.Sprintf("entry-%03d", i)),
				DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%7)),
				Region:     ident.Region(fmt.Sprint("region-", i%7/4)),
				Address:    fmt.Sprint("10.0.0.", i),
			},
		}
		f.hosts = append(f.hosts, machine)
		f.names[machine.Self.Host] = machine
	}
	return f
}

// clock is a host's own.
func (f *fleet) clock(host *Machine) time.Time {
	return f.now.Add(-f.behind[host.Self.Host])
}

func (f *fleet) list() Listed {
	var list Listed
	for _, host := range f.hosts {
		list.Hosts = append(list.Hosts, host.Self)
	}
	return list
}

// tell gives one host's word to another, unless there is a cut on the way.
func (f *fleet) tell(from, to *Machine) {
	way := [2]ident.HostID{from.Self.Host, to.Self.Host}
	if f.cut[way] || f.frozen[to.Self.Host] || f.frozen[from.Self.Host] {
		return
	}
	word := from.Word(f.clock(from), to.Self.Host, f.have[way])
	require.LessOrEqual(f.t, len(word.Peers), MaxPeers)
	require.LessOrEqual(f.t, len(word.Beats), MaxBeats)
	f.peers += len(word.Peers)
	f.beats += len(word.Beats)
	f.have[way] = word.Through
	to.Step(f.clock(to), Heard{
		From: from.Self.Host,
		Word: word,
	})
}

func (f *fleet) round() {
	f.now = f.now.Add(time.Second)
	f.peers, f.beats = 0, 0
	clear(f.met)
	list := f.list()
	for _, host := range f.hosts {
		if f.frozen[host.Self.Host] {
			continue
		}
		host.Step(f.clock(host), list)
		host.Step(f.clock(host), Beaten{
			Stopping: host.Self.Stopping,
			Leads:    host.Self.Leads,
		})
		for _, target := range host.Targets(f.clock(host), false) {
			f.met[target.Host]++
			f.tell(host, f.names[target.Host])
			f.tell(f.names[target.Host], host)
		}
	}
}

func (f *fleet) rounds(n int) {
	for range n {
		f.round()
	}
}

func (f *fleet) live(host int) int {
	return len(f.hosts[host].Live(f.now))
}

// Callers get refusals for partitions whose home only some hosts think alive.
// In a large fleet every host has to hear every other's beat in time, always,
// and no host may be asked by all the others in one interval.
func TestBeatsReachEveryHost(t *testing.T) {
	for _, hosts := range []int{1, 2, 4, 7, 40, 42, 100, 370} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			f.rounds(20)
			oldest := time.Duration(0)
			for range 16 { // longer than DeadAfterLong
				f.round()
				for i := 0; i < hosts; i += 1 + hosts/20 {
					require.Equal(t, hosts, f.live(i))
					for _, peer := range f.hosts[i].peers {
						oldest = max(oldest, f.now.Sub(time.UnixMilli(int64(peer.Beat))))
					}
				}
				for _, exchanges := range f.met {
					require.LessOrEqual(t, exchanges, rings+4)
				}
			}
			require.Less(t, oldest, f.hosts[0].patience()*2/3)
			t.Logf("oldest beat %s, records and beats told a host and round: %.1f, %.1f",
				oldest, float64(f.peers)/float64(hosts), float64(f.beats)/float64(hosts))
		})
	}
}

// A host joins a running fleet that the list does not show yet: one peer that it
// knows is enough for all to hear of it.
func TestAHostJoins(t *testing.T) {
	f := newFleet(t, 7)
	late := f.hosts[6]
	f.hosts = f.hosts[:6]
	f.rounds(4)
	require.Equal(t, 6, f.live(0))
	f.hosts = append(f.hosts, late)
	f.rounds(4)
	for i := range f.hosts {
		require.Equal(t, 7, f.live(i))
	}
}

// A host freezes: the others take its partitions. It wakes with an old view and
// tells of itself and of a host that died meanwhile, which must stay dead.
func TestAFrozenHostWakes(t *testing.T) {
	f := newFleet(t, 7)
	f.rounds(4)
	f.frozen["entry-003"] = true
	f.rounds(3)
	f.frozen["entry-005"] = true
	f.rounds(5)
	require.Equal(t, 5, f.live(0))
	delete(f.frozen, "entry-003")
	f.rounds(3)
	for _, i := range []int{0, 1, 2, 3, 4, 6} {
		require.True(t, f.hosts[i].IsLive(f.now, "entry-003"))
		require.False(t, f.hosts[i].IsLive(f.now, "entry-005"))
	}
}

// A lagging peer tells an old beat of a dead host, as a record and as a beat.
func TestALaggingPeerDoesNotReviveTheDead(t *testing.T) {
	f := newFleet(t, 3)
	f.rounds(3)
	dead := f.hosts[1].Self
	f.frozen[dead.Host] = true
	f.rounds(6)
	require.False(t, f.hosts[0].IsLive(f.now, dead.Host))
	f.hosts[0].Step(f.now, Heard{
		From: "entry-002",
		Word: Word{
			Peers: []Peer{dead},
			Beats: []Beat{{
				Host: Hash(dead.Host),
				Beat: dead.Beat,
			}},
		},
	})
	require.False(t, f.hosts[0].IsLive(f.now, dead.Host))
}

// Host 0 can't reach host 1 nor hear it, but host 2 can reach both. A claim home
// that one host thinks dead and the others alive would be contended: news goes
// round the cut.
func TestAnAsymmetricCutIsBridged(t *testing.T) {
	f := newFleet(t, 3)
	f.cut[[2]ident.HostID{"entry-000", "entry-001"}] = true
	f.cut[[2]ident.HostID{"entry-001", "entry-000"}] = true
	f.rounds(10)
	for i := range f.hosts {
		require.Equal(t, 3, f.live(i))
	}
}

// A host restarts with its clock set back by a minute: its beats are older than
// those that its peers remember. It must not stay dead for that minute.
func TestARestartWithALowerBeat(t *testing.T) {
	f := newFleet(t, 7)
	f.rounds(4)
	again := &Machine{
		Self: f.hosts[2].Self,
	}
	again.Self.Beat = 0
	f.behind[again.Self.Host] = time.Minute
	f.hosts[2] = again
	f.names[again.Self.Host] = again
	f.rounds(4)
	for _, host := range f.hosts {
		require.True(t, host.IsLive(f.clock(host), again.Self.Host))
	}
}

// A host that exchanges at once for every piece of news beats far more often
// than once an interval. After a restart its beat must not be behind.
func TestABeatDoesNotRunAheadOfTheClock(t *testing.T) {
	machine := Machine{}
	now := time.Unix(1_700_000_000, 0)
	for range 10_000 {
		now = now.Add(100 * time.Millisecond)
		machine.Step(now, Beaten{})
	}
	require.EqualValues(t, now.UnixMilli(), machine.Self.Beat)
}

// A stopping host is no home and gets no news, at every host within seconds and
// long before its silence would show.
func TestAStoppingHostIsSeenEverywhere(t *testing.T) {
	f := newFleet(t, 100)
	f.rounds(15)
	f.hosts[9].Self.Stopping = true
	f.hosts[9].Self.Beat++
	f.rounds(8)
	for i := range f.hosts {
		require.Equal(t, 99, f.live(i))
	}
}

// Two halves of the fleet lose each other for a while and meet again.
func TestAHealedCutJoinsBothHalves(t *testing.T) {
	f := newFleet(t, 60)
	f.rounds(12)
	for i := range f.hosts {
		for j := range f.hosts {
			f.cut[[2]ident.HostID{f.hosts[i].Self.Host, f.hosts[j].Self.Host}] = i%7/4 != j%7/4
		}
	}
	f.rounds(30)
	require.Less(t, f.live(0), 60)
	clear(f.cut)
	f.rounds(15)
	for i := range f.hosts {
		require.Equal(t, 60, f.live(i))
	}
}

// Duties go to the same few hosts of the data centre, whoever works it out; a
// data centre without live hosts is looked after by its region.
func TestDutiesAreAgreed(t *testing.T) {
	f := newFleet(t, 21)
	f.rounds(5)
	want := f.hosts[0].Roster(f.now).Chosen("gpu-1", "dc-2", "region-0", 2)
	require.Len(t, want, 2)
	for _, host := range f.hosts {
		require.Equal(t, want, host.Roster(f.now).Chosen("gpu-1", "dc-2", "region-0", 2))
	}
	require.EqualValues(t, "dc-2", f.names[want[0]].Self.DataCentre)
	elsewhere := f.hosts[0].Roster(f.now).Chosen("gpu-1", "dc-9", "region-1", 2)
	require.EqualValues(t, "region-1", f.names[elsewhere[0]].Self.Region)
	require.Len(t, f.hosts[0].Roster(f.now).Chosen("gpu-1", "dc-9", "region-9", 2), 2)
}
