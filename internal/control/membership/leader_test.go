package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// A host leads, then another with a greater fencing number while the first still
// believes in itself, then that one dies. All the others follow each change,
// though they have had the records for long.
func TestAllHearWhoLeads(t *testing.T) {
	f := newFleet(t, 7)
	f.rounds(10)
	all := func(leader ident.HostID) {
		t.Helper()
		for _, host := range f.hosts {
			if !f.frozen[host.Self.Host] {
				require.Equal(t, leader, host.Leader(f.now).Host)
			}
		}
	}
	all("")
	f.hosts[0].Self.Leads = 3
	f.rounds(5)
	all(f.hosts[0].Self.Host)
	f.hosts[1].Self.Leads = 4
	f.rounds(5)
	all(f.hosts[1].Self.Host)
	for _, host := range f.hosts {
		told := host.Word(f.now, "a-new-host", 0)
		for i := range told.Peers {
			require.Equal(t, f.names[told.Peers[i].Host].Self.Leads, told.Peers[i].Leads)
		}
	}
	f.hosts[0].Self.Leads = 0
	f.frozen[f.hosts[1].Self.Host] = true
	f.rounds(10)
	all("")
}

// Beats are slow in a large fleet. That a host leads is told at once.
func TestThatAHostLeadsIsToldAtOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var list Listed
	for i := range SlowBeats + 2 {
		list.Hosts = append(list.Hosts, Peer{
			Host: ident.HostID(fmt.Sprint("entry-", i)),
		})
	}
	m := Machine{
		Self: list.Hosts[0],
	}
	m.Step(now, list)
	m.Step(now, Beaten{})
	before := m.Self.Beat
	m.Step(now.Add(time.Second), Beaten{})
	require.Equal(t, before, m.Self.Beat)
	m.Step(now.Add(time.Second), Beaten{
		Leads: 2,
	})
	require.Greater(t, m.Self.Beat, before)
}

// A host that knows a peer's record is told of its new term as a record, for a
// beat has no room for it.
func TestATermIsNewsOfTheRecord(t *testing.T) {
	f := newFleet(t, 3)
	f.rounds(5)
	have := f.hosts[1].version
	f.hosts[0].Self.Leads = 5
	f.rounds(2)
	word := f.hosts[1].Word(f.now, "a-neighbour", have)
	var told ident.FencingNumber
	for i := range word.Peers {
		told = max(told, word.Peers[i].Leads)
	}
	require.EqualValues(t, 5, told)
}

// Each host has a place of its own, and the leader has none among the others.
func TestPlacesAreOneEach(t *testing.T) {
	f := newFleet(t, 9)
	f.rounds(10)
	leader := f.hosts[4].Self.Host
	places := make(map[int]bool)
	for _, host := range f.hosts {
		if host.Self.Host == leader {
			continue
		}
		place := host.Roster(f.now).Place(host.Self.Host, "duty", leader)
		require.Equal(t, 8, place.Hosts)
		require.Less(t, place.Rank, place.Hosts)
		places[place.Rank] = true
	}
	require.Len(t, places, 8)
	last := f.hosts[0].Roster(f.now).Place("a-stranger", "duty", leader)
	require.Equal(t, Place{
		Rank:  8,
		Hosts: 9,
	}, last)
}
