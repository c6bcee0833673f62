package orders

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// RegularPollers hosts poll the leader key once in every LeaderPollInterval. The
// others take turns, so that the number of polls does not grow with the fleet, and
// some host polls soon even if the leader and all regular pollers crash together.
const (
	// RegularPollers is the number of hosts that poll in every interval, evenly spread
	// over it.
	RegularPollers = 2
	// turnsPerPollInterval is the number of turns of the other hosts in one
	// interval; leaderlessTurnsPerPollInterval is the same while no live host
	// reports that it leads.
	turnsPerPollInterval           = 2
	leaderlessTurnsPerPollInterval = 10
)

// LeaderHint is what peers report about the leadership. It is only a hint: it
// decides how soon this host polls the leader key and which host Leader returns;
// no host starts or stops leading because of it.
type LeaderHint struct {
	// Host is the live host that reports that it leads, the one with the greatest
	// fencing number if there are several; empty if there is none.
	Host    ident.HostID
	Fencing ident.FencingNumber
	// Rank is this host's position (from 0) among the live hosts without the
	// leader, in an order on which all hosts agree; Hosts is the number of those
	// hosts. Hosts is zero if that is not known; this host then polls in every
	// interval.
	Rank  int
	Hosts int
}

func (LeaderHint) event() {}

// onLeaderHint stores a hint. It never postpones a poll that is due: hints that
// change all the time could postpone it forever.
func (m *Machine) onLeaderHint(now time.Time, hint LeaderHint) {
	previous := m.hint
	hadLeader := m.isLeaderHinted()
	m.hint = hint
	if m.isLeaderHinted() && m.phase == phaseFollowing {
		m.leader = hint.Host
	}
	if !now.Before(m.nextPollAt) {
		return
	}
	if hadLeader && !m.isLeaderHinted() {
		firstPoll := now.Add(time.Duration(hint.Rank) * m.settings.LeaderPollInterval / leaderlessTurnsPerPollInterval)
		m.nextPollAt = earlier(m.nextPollAt, firstPoll)
		return
	}
	if previous.Rank != hint.Rank || previous.Hosts != hint.Hosts || hadLeader != m.isLeaderHinted() {
		m.nextPollAt = m.nextPoll(now)
	}
}

// isLeaderHinted reports whether the hint names a leader with at least the fencing
// number that this host last read. A smaller number means that the hint is stale,
// or that the key was lost and numbering started again; a poll shows which.
func (m *Machine) isLeaderHinted() bool {
	return m.hint.Host != "" && m.hint.Fencing >= m.readFencing
}

// nextPoll returns the time of this host's next poll, from its rank. The times are
// multiples of a period on the clock and do not depend on the last poll: hosts that
// learn of a crash at the same moment still poll at different times, and a host
// whose rank stays the same keeps its times.
func (m *Machine) nextPoll(now time.Time) time.Time {
	poll := m.settings.LeaderPollInterval
	if m.hint.Hosts == 0 {
		return now.Add(poll)
	}
	if m.hint.Rank < RegularPollers {
		return nextInstant(now, poll, poll*time.Duration(m.hint.Rank)/RegularPollers)
	}
	turnLength := poll / leaderlessTurnsPerPollInterval
	if m.isLeaderHinted() {
		turnLength = poll / turnsPerPollInterval
	}
	otherHosts := time.Duration(m.hint.Hosts - RegularPollers)
	return nextInstant(now, max(poll, turnLength*otherHosts), turnLength*time.Duration(m.hint.Rank-RegularPollers))
}

// nextInstant returns the first time after now that is offset after a multiple of
// the period on the clock.
func nextInstant(now time.Time, period, offset time.Duration) time.Time {
	since := time.Duration(now.UnixNano()) - offset
	return now.Add(period - (since%period+period)%period)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// HeldFencing returns the fencing number under which this machine holds the leader key,
// as far as it knows, or zero. Unlike IsLeading it includes the time in which the
// new leader reads the plan.
func (m *Machine) HeldFencing() ident.FencingNumber {
	if m.phase == phaseLeading || m.phase == phaseReading {
		return m.term.Fencing
	}
	return 0
}
