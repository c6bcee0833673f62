package orders

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Looks at the leader key. A few hosts look at each poll; the others take turns,
// so that the fleet's looks do not grow with it and some host looks soon though
// the leader and all the lookers die together.
const (
	// Lookers is how many hosts look at every poll, each in its part of it.
	Lookers = 2
	// turnsInPoll is how many of the others' turns come in one poll, and
	// hastyTurnsInPoll the same while no live host says that it leads.
	turnsInPoll      = 2
	hastyTurnsInPoll = 10
)

// LeaderWord is what peers say about the leadership. It is a hint: it decides
// how soon this host looks at the leader key and whom it takes for the leader,
// and nobody leads by it or stops leading.
type LeaderWord struct {
	// Host is the live host that says that it leads, the one with the greatest
	// fencing number; empty where none does.
	Host    ident.HostID
	Fencing ident.FencingNumber
	// Rank is this host's place among the live hosts but for the leader, in an
	// order on which they agree; Hosts is their number. Zero Hosts: not known, and
	// this host looks at every poll.
	Rank  int
	Hosts int
}

func (LeaderWord) event() {}

// onLeaderWord takes a hint. A look that is due is never put off by it: words
// that change all the time could put it off for ever.
func (m *Machine) onLeaderWord(now time.Time, word LeaderWord) {
	before := m.word
	wasLed := m.led()
	m.word = word
	if m.led() && m.phase == phaseFollowing {
		m.leader = word.Host
	}
	if !now.Before(m.pollAt) {
		return
	}
	if wasLed && !m.led() {
		first := now.Add(time.Duration(word.Rank) * m.settings.LeaderPoll / hastyTurnsInPoll)
		m.pollAt = earlier(m.pollAt, first)
		return
	}
	if before.Rank != word.Rank || before.Hosts != word.Hosts || wasLed != m.led() {
		m.pollAt = m.nextLook(now)
	}
}

// led tells whether peers name a leader that is not older than the one that this
// host read. An older one is a word that lags, or the key was lost and its
// numbers began again: a look tells which.
func (m *Machine) led() bool {
	return m.word.Host != "" && m.word.Fencing >= m.read
}

// nextLook is the host's next instant to look, by its place in an order over all
// live hosts. Instants follow the clock and not the last look: hosts that learn
// of a death at the same moment keep apart, and a host whose place stays keeps
// its instants.
func (m *Machine) nextLook(now time.Time) time.Time {
	poll := m.settings.LeaderPoll
	if m.word.Hosts == 0 {
		return now.Add(poll)
	}
	if m.word.Rank < Lookers {
		return nextInstant(now, poll, poll*time.Duration(m.word.Rank)/Lookers)
	}
	turn := poll / hastyTurnsInPoll
	if m.led() {
		turn = poll / turnsInPoll
	}
	others := time.Duration(m.word.Hosts - Lookers)
	return nextInstant(now, max(poll, turn*others), turn*time.Duration(m.word.Rank-Lookers))
}

// nextInstant is the first instant after now that is offset after a multiple of
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

// Leads is the fencing number under which this machine holds the leader key, as
// far as it knows, or zero.
func (m *Machine) Leads() ident.FencingNumber {
	if m.phase == phaseLeading || m.phase == phaseReading {
		return m.term.Fencing
	}
	return 0
}
