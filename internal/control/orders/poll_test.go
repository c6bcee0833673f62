package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countPolls counts a machine's polls within a duration, with a hint before each
// step.
func countPolls(m *Machine, duration time.Duration, hint func(step int) LeaderHint) int {
	const step = 50 * time.Millisecond
	polls := 0
	for i := range int(duration / step) {
		now := epoch.Add(time.Duration(i) * step)
		for _, command := range append(m.Step(now, hint(i)), m.Step(now, Tick{})...) {
			if _, isRead := command.(ReadLeader); isRead {
				polls++
			}
		}
	}
	return polls
}

func hintAt(rank, hosts int) LeaderHint {
	return LeaderHint{
		Host:    "entry-9",
		Fencing: 1000,
		Rank:    rank,
		Hosts:   hosts,
	}
}

// Whatever leader the peers report, regular pollers poll in every interval: they
// are the first to find the key of a crashed leader free.
func TestRegularPollersPollWhateverTheHint(t *testing.T) {
	for rank := range RegularPollers {
		polls := countPolls(New(Settings{}), time.Minute, func(int) LeaderHint {
			return hintAt(rank, 370)
		})
		require.InDelta(t, 20, polls, 1)
	}
}

// Hosts start and stop all the time and a host's rank changes with them. Its turn
// still comes, about as often as that of the others.
func TestPollTurnComesThoughRankChanges(t *testing.T) {
	polls := countPolls(New(Settings{}), time.Hour, func(step int) LeaderHint {
		return hintAt(RegularPollers+step/20%7, 52+step/20%3)
	})
	require.InDelta(t, 48, polls, 24)
}

// The leader is gone and all hosts learn it at once. They poll one after the other,
// by rank.
func TestPollsAreStaggeredByRankWhenLeaderIsGone(t *testing.T) {
	const hosts = 40
	lostAt := epoch.Add(time.Second)
	for rank := range hosts {
		m := New(Settings{})
		m.Step(epoch, hintAt(rank, hosts))
		m.nextPollAt = epoch.Add(time.Hour)
		commands := m.Step(lostAt, LeaderHint{
			Rank:  rank,
			Hosts: hosts,
		})
		if rank == 0 {
			require.Equal(t, []Command{ReadLeader{}}, commands)
			continue
		}
		require.Empty(t, commands)
		require.Equal(t, lostAt.Add(time.Duration(rank)*300*time.Millisecond), m.nextPollAt)
	}
}

// A hint with a smaller fencing number than this host has read names no leader:
// otherwise hosts would follow it forever if the key was lost and numbering started
// again.
func TestOlderHintDoesNotReplaceKnownLeader(t *testing.T) {
	m := New(Settings{})
	m.leader = "entry-2"
	m.readFencing = 7
	m.Step(epoch, LeaderHint{
		Host:    "entry-1",
		Fencing: 6,
		Hosts:   9,
		Rank:    8,
	})
	require.EqualValues(t, "entry-2", m.Leader())
	require.False(t, m.isLeaderHinted())
	m.Step(epoch, LeaderHint{
		Host:    "entry-3",
		Fencing: 8,
		Hosts:   9,
		Rank:    8,
	})
	require.EqualValues(t, "entry-3", m.Leader())
	require.Zero(t, m.Fencing(), "a term is only ever learnt from its key")
}

// The rank changes at the moment at which a poll is due. The poll still happens.
func TestDuePollIsNotPostponedByHint(t *testing.T) {
	m := New(Settings{})
	m.Step(epoch, hintAt(5, 50))
	m.nextPollAt = epoch.Add(time.Second)
	require.Equal(t, []Command{ReadLeader{}}, m.Step(epoch.Add(time.Second), hintAt(7, 60)))
}

// While no live host reports that it leads, turns come five times as often.
func TestPollTurnsAreMoreFrequentWithoutLeader(t *testing.T) {
	polls := countPolls(New(Settings{}), time.Hour, func(int) LeaderHint {
		return LeaderHint{
			Rank:  9,
			Hosts: 52,
		}
	})
	require.InDelta(t, 240, polls, 2)
}
