package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// A host leads, then another with a greater fencing number while the first still
// believes that it leads, then that one crashes. All others must learn of each
// change, though they have long had the records.
func TestAllHostsLearnLeader(t *testing.T) {
	f := newFleet(t, 7)
	f.runRounds(10)
	requireLeader := func(leader ident.HostID) {
		t.Helper()
		for _, host := range f.hosts {
			if !f.frozen[host.Self.Host] {
				require.Equal(t, leader, host.Leader(f.now).Host)
			}
		}
	}
	requireLeader("")
	f.hosts[0].Self.LeaderFencing = 3
	f.runRounds(5)
	requireLeader(f.hosts[0].Self.Host)
	f.hosts[1].Self.LeaderFencing = 4
	f.runRounds(5)
	requireLeader(f.hosts[1].Self.Host)
	for _, host := range f.hosts {
		message := host.MessageFor(f.now, "a-new-host", 0)
		for i := range message.Peers {
			require.Equal(t, f.byName[message.Peers[i].Host].Self.LeaderFencing, message.Peers[i].LeaderFencing)
		}
	}
	f.hosts[0].Self.LeaderFencing = 0
	f.frozen[f.hosts[1].Self.Host] = true
	f.runRounds(10)
	requireLeader("")
}

// In a large fleet heartbeats are slow. A new leader must be announced at once.
func TestLeadershipChangeSendsHeartbeatAtOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var list HostsListed
	for i := range FastHeartbeatMaxPeers + 2 {
		list.Hosts = append(list.Hosts, Peer{
			Host: ident.HostID(fmt.Sprint("entry-", i)),
		})
	}
	m := Machine{
		Self: list.Hosts[0],
	}
	m.Step(now, list)
	m.Step(now, Tick{})
	before := m.Self.Heartbeat
	m.Step(now.Add(time.Second), Tick{})
	require.Equal(t, before, m.Self.Heartbeat)
	m.Step(now.Add(time.Second), Tick{
		LeaderFencing: 2,
	})
	require.Greater(t, m.Self.Heartbeat, before)
}

// A host that has a peer's record must get its new term in a record, since
// heartbeats don't carry it.
func TestNewTermIsSentAsRecord(t *testing.T) {
	f := newFleet(t, 3)
	f.runRounds(5)
	cursor := f.hosts[1].version
	f.hosts[0].Self.LeaderFencing = 5
	f.runRounds(2)
	message := f.hosts[1].MessageFor(f.now, "a-neighbour", cursor)
	var sent ident.FencingNumber
	for i := range message.Peers {
		sent = max(sent, message.Peers[i].LeaderFencing)
	}
	require.EqualValues(t, 5, sent)
}

// Each host has a rank of its own, and the leader has none among the others.
func TestRanksAreUnique(t *testing.T) {
	f := newFleet(t, 9)
	f.runRounds(10)
	leader := f.hosts[4].Self.Host
	ranks := make(map[int]bool)
	for _, host := range f.hosts {
		if host.Self.Host == leader {
			continue
		}
		ranking := host.Roster(f.now).RankOf(host.Self.Host, "duty", leader)
		require.Equal(t, 8, ranking.Hosts)
		require.Less(t, ranking.Rank, ranking.Hosts)
		ranks[ranking.Rank] = true
	}
	require.Len(t, ranks, 8)
	stranger := f.hosts[0].Roster(f.now).RankOf("a-stranger", "duty", leader)
	require.Equal(t, Ranking{
		Rank:  8,
		Hosts: 9,
	}, stranger)
}
