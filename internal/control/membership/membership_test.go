package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// fleet is hosts that exchange messages in one process.
type fleet struct {
	t      *testing.T
	now    time.Time
	hosts  []*Machine
	byName map[ident.HostID]*Machine
	// cursors has, by sender and receiver, how far the receiver has the sender's changes.
	cursors  map[[2]ident.HostID]uint64
	frozen   map[ident.HostID]bool
	cutLinks map[[2]ident.HostID]bool
	// clockBehind is by how much a host's clock was set back.
	clockBehind map[ident.HostID]time.Duration
	// exchanges counts the exchanges at each host in the last round.
	exchanges      map[ident.HostID]int
	recordsSent    int
	heartbeatsSent int
}

func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{
		t:           t,
		now:         time.Unix(1_700_000_000, 0),
		byName:      make(map[ident.HostID]*Machine),
		cursors:     make(map[[2]ident.HostID]uint64),
		frozen:      make(map[ident.HostID]bool),
		cutLinks:    make(map[[2]ident.HostID]bool),
		clockBehind: make(map[ident.HostID]time.Duration),
		exchanges:   make(map[ident.HostID]int),
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
		f.byName[machine.Self.Host] = machine
	}
	return f
}

// clock returns a host's own time.
func (f *fleet) clock(host *Machine) time.Time {
	return f.now.Add(-f.clockBehind[host.Self.Host])
}

func (f *fleet) list() HostsListed {
	var list HostsListed
	for _, host := range f.hosts {
		list.Hosts = append(list.Hosts, host.Self)
	}
	return list
}

// deliver sends one host's message to another, unless the link is cut.
func (f *fleet) deliver(from, to *Machine) {
	link := [2]ident.HostID{from.Self.Host, to.Self.Host}
	if f.cutLinks[link] || f.frozen[to.Self.Host] || f.frozen[from.Self.Host] {
		return
	}
	message := from.MessageFor(f.clock(from), to.Self.Host, f.cursors[link])
	require.LessOrEqual(f.t, len(message.Peers), MaxPeers)
	require.LessOrEqual(f.t, len(message.Heartbeats), MaxHeartbeats)
	f.recordsSent += len(message.Peers)
	f.heartbeatsSent += len(message.Heartbeats)
	f.cursors[link] = message.ThroughVersion
	to.Step(f.clock(to), PeerMessageReceived{
		From:    from.Self.Host,
		Message: message,
	})
}

func (f *fleet) runRound() {
	f.now = f.now.Add(time.Second)
	f.recordsSent, f.heartbeatsSent = 0, 0
	clear(f.exchanges)
	list := f.list()
	for _, host := range f.hosts {
		if f.frozen[host.Self.Host] {
			continue
		}
		host.Step(f.clock(host), list)
		host.Step(f.clock(host), Tick{
			Stopping:      host.Self.Stopping,
			LeaderFencing: host.Self.LeaderFencing,
		})
		for _, target := range host.Targets(f.clock(host), false) {
			f.exchanges[target.Host]++
			f.deliver(host, f.byName[target.Host])
			f.deliver(f.byName[target.Host], host)
		}
	}
}

func (f *fleet) runRounds(n int) {
	for range n {
		f.runRound()
	}
}

func (f *fleet) countLive(host int) int {
	return len(f.hosts[host].LiveHosts(f.now))
}

// If hosts disagreed on which are alive, callers would get refusals for partitions
// whose owner only some take for alive. In a large fleet every host must always
// get every other's heartbeat in time, and no host may get exchanges from all the
// others in one interval.
func TestHeartbeatsReachEveryHost(t *testing.T) {
	for _, hosts := range []int{1, 2, 4, 7, 40, 42, 100, 370} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			f.runRounds(20)
			oldest := time.Duration(0)
			for range 16 { // longer than DeadAfterLong
				f.runRound()
				for i := 0; i < hosts; i += 1 + hosts/20 {
					require.Equal(t, hosts, f.countLive(i))
					for _, peer := range f.hosts[i].peers {
						oldest = max(oldest, f.now.Sub(time.UnixMilli(int64(peer.Heartbeat))))
					}
				}
				for _, exchanges := range f.exchanges {
					require.LessOrEqual(t, exchanges, ringCount+4)
				}
			}
			require.Less(t, oldest, f.hosts[0].heartbeatTimeout()*2/3)
			t.Logf("oldest heartbeat %s, records and heartbeats sent a host and round: %.1f, %.1f",
				oldest, float64(f.recordsSent)/float64(hosts), float64(f.heartbeatsSent)/float64(hosts))
		})
	}
}

// A host joins a running fleet and is not on the platform's list yet. One peer that
// it knows must be enough for all to learn of it.
func TestUnlistedHostJoins(t *testing.T) {
	f := newFleet(t, 7)
	joining := f.hosts[6]
	f.hosts = f.hosts[:6]
	f.runRounds(4)
	require.Equal(t, 6, f.countLive(0))
	f.hosts = append(f.hosts, joining)
	f.runRounds(4)
	for i := range f.hosts {
		require.Equal(t, 7, f.countLive(i))
	}
}

// A host freezes and the others take over its partitions. It resumes with an old
// view and sends its own record and that of a host that died meanwhile, which must
// stay dead.
func TestFrozenHostResumes(t *testing.T) {
	f := newFleet(t, 7)
	f.runRounds(4)
	f.frozen["entry-003"] = true
	f.runRounds(3)
	f.frozen["entry-005"] = true
	f.runRounds(5)
	require.Equal(t, 5, f.countLive(0))
	delete(f.frozen, "entry-003")
	f.runRounds(3)
	for _, i := range []int{0, 1, 2, 3, 4, 6} {
		require.True(t, f.hosts[i].IsLive(f.now, "entry-003"))
		require.False(t, f.hosts[i].IsLive(f.now, "entry-005"))
	}
}

// A lagging peer sends an old heartbeat of a dead host, as a record and as a heartbeat.
func TestOldHeartbeatDoesNotReviveDeadHost(t *testing.T) {
	f := newFleet(t, 3)
	f.runRounds(3)
	dead := f.hosts[1].Self
	f.frozen[dead.Host] = true
	f.runRounds(6)
	require.False(t, f.hosts[0].IsLive(f.now, dead.Host))
	f.hosts[0].Step(f.now, PeerMessageReceived{
		From: "entry-002",
		Message: Message{
			Peers: []Peer{dead},
			Heartbeats: []Heartbeat{{
				Host:      Hash(dead.Host),
				Heartbeat: dead.Heartbeat,
			}},
		},
	})
	require.False(t, f.hosts[0].IsLive(f.now, dead.Host))
}

// Hosts 0 and 1 can't reach each other, but host 2 can reach both. Hosts that
// disagree on whether the owner of claims is alive would contend for its partition:
// heartbeats must pass around the cut link.
func TestChangesPassAroundCutLink(t *testing.T) {
	f := newFleet(t, 3)
	f.cutLinks[[2]ident.HostID{"entry-000", "entry-001"}] = true
	f.cutLinks[[2]ident.HostID{"entry-001", "entry-000"}] = true
	f.runRounds(10)
	for i := range f.hosts {
		require.Equal(t, 3, f.countLive(i))
	}
}

// A host restarts with its clock set back by a minute: its heartbeats are older than
// those that its peers remember. It must not stay dead for that minute.
func TestRestartWithClockSetBack(t *testing.T) {
	f := newFleet(t, 7)
	f.runRounds(4)
	restarted := &Machine{
		Self: f.hosts[2].Self,
	}
	restarted.Self.Heartbeat = 0
	f.clockBehind[restarted.Self.Host] = time.Minute
	f.hosts[2] = restarted
	f.byName[restarted.Self.Host] = restarted
	f.runRounds(4)
	for _, host := range f.hosts {
		require.True(t, host.IsLive(f.clock(host), restarted.Self.Host))
	}
}

// A host that exchanges at once for every change sends heartbeats far more often
// than once an interval. They must not run ahead of its clock, or they would be
// behind after a restart.
func TestHeartbeatDoesNotRunAheadOfClock(t *testing.T) {
	machine := Machine{}
	now := time.Unix(1_700_000_000, 0)
	for range 10_000 {
		now = now.Add(100 * time.Millisecond)
		machine.Step(now, Tick{})
	}
	require.EqualValues(t, now.UnixMilli(), machine.Self.Heartbeat)
}

// A stopping host owns no partition and gets no changes. All hosts must see it within
// seconds, long before its heartbeat times out.
func TestStoppingHostIsSeenEverywhere(t *testing.T) {
	f := newFleet(t, 100)
	f.runRounds(15)
	f.hosts[9].Self.Stopping = true
	f.hosts[9].Self.Heartbeat++
	f.runRounds(8)
	for i := range f.hosts {
		require.Equal(t, 99, f.countLive(i))
	}
}

// Two halves of the fleet are cut off from each other for a while, then connected again.
func TestHealedPartitionRejoins(t *testing.T) {
	f := newFleet(t, 60)
	f.runRounds(12)
	for i := range f.hosts {
		for j := range f.hosts {
			f.cutLinks[[2]ident.HostID{f.hosts[i].Self.Host, f.hosts[j].Self.Host}] = i%7/4 != j%7/4
		}
	}
	f.runRounds(30)
	require.Less(t, f.countLive(0), 60)
	clear(f.cutLinks)
	f.runRounds(15)
	for i := range f.hosts {
		require.Equal(t, 60, f.countLive(i))
	}
}

// All hosts must choose the same few hosts of a data centre for a duty; a data centre
// without live hosts is served by its region.
func TestHostsAgreeOnDuties(t *testing.T) {
	f := newFleet(t, 21)
	f.runRounds(5)
	want := f.hosts[0].Roster(f.now).Choose("gpu-1", "dc-2", "region-0", 2)
	require.Len(t, want, 2)
	for _, host := range f.hosts {
		require.Equal(t, want, host.Roster(f.now).Choose("gpu-1", "dc-2", "region-0", 2))
	}
	require.EqualValues(t, "dc-2", f.byName[want[0]].Self.DataCentre)
	elsewhere := f.hosts[0].Roster(f.now).Choose("gpu-1", "dc-9", "region-1", 2)
	require.EqualValues(t, "region-1", f.byName[elsewhere[0]].Self.Region)
	require.Len(t, f.hosts[0].Roster(f.now).Choose("gpu-1", "dc-9", "region-9", 2), 2)
}
