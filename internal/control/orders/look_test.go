package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// looksOf counts a machine's looks in some time, with a word before each step.
func looksOf(m *Machine, length time.Duration, word func(step int) LeaderWord) int {
	const step = 50 * time.Millisecond
	looks := 0
	for i := range int(length / step) {
		now := epoch.Add(time.Duration(i) * step)
		for _, command := range append(m.Step(now, word(i)), m.Step(now, Tick{})...) {
			if _, look := command.(ReadLeader); look {
				looks++
			}
		}
	}
	return looks
}

func wordAt(rank, hosts int) LeaderWord {
	return LeaderWord{
		Host:    "entry-9",
		Fencing: 1000,
		Rank:    rank,
		Hosts:   hosts,
	}
}

// Whatever peers say of a leader, the lookers go on looking at each poll: theirs
// is the look that finds a dead leader's key free.
func TestLookersLookWhateverPeersSay(t *testing.T) {
	for rank := range Lookers {
		looks := looksOf(New(Settings{}), time.Minute, func(int) LeaderWord {
			return wordAt(rank, 370)
		})
		require.InDelta(t, 20, looks, 1)
	}
}

// Hosts come and go all the time, and a host's place with them. Its turn comes
// all the same, about as often as that of the others.
func TestATurnComesThoughThePlaceChanges(t *testing.T) {
	looks := looksOf(New(Settings{}), time.Hour, func(step int) LeaderWord {
		return wordAt(Lookers+step/20%7, 52+step/20%3)
	})
	require.InDelta(t, 48, looks, 24)
}

// The leader is gone and all hosts hear it at once. They look one after the
// other, by their places.
func TestHostsLookOneAfterTheOtherWhenTheLeaderIsGone(t *testing.T) {
	const hosts = 40
	heard := epoch.Add(time.Second)
	for rank := range hosts {
		m := New(Settings{})
		m.Step(epoch, wordAt(rank, hosts))
		m.pollAt = epoch.Add(time.Hour)
		commands := m.Step(heard, LeaderWord{
			Rank:  rank,
			Hosts: hosts,
		})
		if rank == 0 {
			require.Equal(t, []Command{ReadLeader{}}, commands)
			continue
		}
		require.Empty(t, commands)
		require.Equal(t, heard.Add(time.Duration(rank)*300*time.Millisecond), m.pollAt)
	}
}

// A word that is older than what this host has read names nobody: it would be
// told for ever where the key was lost and its numbers began again.
func TestAnOldWordDoesNotHideWhoLeads(t *testing.T) {
	m := New(Settings{})
	m.leader = "entry-2"
	m.read = 7
	m.Step(epoch, LeaderWord{
		Host:    "entry-1",
		Fencing: 6,
		Hosts:   9,
		Rank:    8,
	})
	require.EqualValues(t, "entry-2", m.Leader())
	require.False(t, m.led())
	m.Step(epoch, LeaderWord{
		Host:    "entry-3",
		Fencing: 8,
		Hosts:   9,
		Rank:    8,
	})
	require.EqualValues(t, "entry-3", m.Leader())
	require.Zero(t, m.Fencing(), "a term is only ever learnt from its key")
}

// Places change just when a look is due. It is done all the same.
func TestADueLookIsNotPutOff(t *testing.T) {
	m := New(Settings{})
	m.Step(epoch, wordAt(5, 50))
	m.pollAt = epoch.Add(time.Second)
	require.Equal(t, []Command{ReadLeader{}}, m.Step(epoch.Add(time.Second), wordAt(7, 60)))
}

// While no live host says that it leads, turns come five times as often.
func TestTurnsAreHastyWhileNobodyLeads(t *testing.T) {
	looks := looksOf(New(Settings{}), time.Hour, func(int) LeaderWord {
		return LeaderWord{
			Rank:  9,
			Hosts: 52,
		}
	})
	require.InDelta(t, 240, looks, 2)
}
