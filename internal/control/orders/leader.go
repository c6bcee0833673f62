package orders

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// The keys of the plan in the key-value service.
const (
	KeyPrefix     = "/cicadaloom/plan/"
	LeaderKey     = KeyPrefix + "leader"
	TermKey       = KeyPrefix + "term"
	HeadKey       = KeyPrefix + "head"
	PageKeyPrefix = KeyPrefix + "page/"
)

// pollLeader makes a follower read the leader key when its next poll is due.
func (m *Machine) pollLeader(now time.Time) []Command {
	if now.Before(m.nextPollAt) || m.phase == phaseReading || m.phase == phaseLeading {
		return nil
	}
	m.nextPollAt = m.nextPoll(now)
	if m.phase == phaseAcquiring {
		return nil
	}
	return []Command{ReadLeader{}}
}

func (m *Machine) onLeaderRead(now time.Time, event LeaderRead) []Command {
	if event.Failed || (m.phase != phaseFollowing && m.phase != phaseAcquiring) {
		return nil
	}
	m.nextPollAt = m.nextPoll(now)
	if event.Entry.Revision != 0 {
		return m.onLeaderFound(event.Entry)
	}
	m.leader = ""
	m.readFencing = 0
	// A host that has resigned keeps polling: it may drain for hours, and a poll
	// that stays due would wake the loop every millisecond.
	if m.phase == phaseAcquiring || m.resigned {
		return nil
	}
	if m.lease == 0 {
		return m.requestLease()
	}
	return m.acquire()
}

// onLeaderFound handles a leader key that is taken. If it is attached to this
// host's lease, this host is the leader. This resolves an election swap whose
// answer was lost, also if the swap lands late.
func (m *Machine) onLeaderFound(entry store.Entry) []Command {
	value, err := decodeLeader(entry.Value)
	if err != nil {
		return nil
	}
	m.leader = value.Host
	m.readFencing = value.Fencing
	if m.lease == 0 || entry.Lease != m.lease {
		return m.revokeLease()
	}
	return m.onElected(term{
		Fencing:  value.Fencing,
		Revision: entry.Revision,
	})
}

func (m *Machine) requestLease() []Command {
	if m.leaseRequested {
		return nil
	}
	m.leaseRequested = true
	return []Command{GrantLease{}}
}

func (m *Machine) revokeLease() []Command {
	if m.lease == 0 {
		return nil
	}
	revoked := m.lease
	m.lease = 0
	return []Command{RevokeLease{
		Lease: revoked,
	}}
}

func (m *Machine) onLeaseGranted(now time.Time, event LeaseGranted) []Command {
	if event.Lease == m.lease {
		m.leaseUntil = event.Until
		return nil
	}
	if !m.leaseRequested {
		return []Command{RevokeLease{
			Lease: event.Lease,
		}}
	}
	m.leaseRequested = false
	m.lease = event.Lease
	m.leaseUntil = event.Until
	if m.phase == phaseFollowing && now.Before(event.Until) {
		return m.acquire()
	}
	return nil
}

func (m *Machine) onLeaseLost(now time.Time, event LeaseLost) {
	m.leaseRequested = false
	if m.lease != 0 && event.Lease == m.lease {
		m.lease = 0
		m.stepDown(now)
	}
}

// checkLease steps down once the lease must have expired. Safety does not depend on
// it: the writes of a leader whose clock has stopped fail on the term key, and its
// orders are in the plan that its successor reads.
func (m *Machine) checkLease(now time.Time) []Command {
	if m.lease == 0 || now.Before(m.leaseUntil) {
		return nil
	}
	m.stepDown(now)
	return m.revokeLease()
}

// acquire returns the swap that creates the leader key under the lease, together
// with the next term.
func (m *Machine) acquire() []Command {
	m.phase = phaseAcquiring
	next := m.term.Fencing + 1
	return []Command{AcquireLeadership{
		Sequence: m.nextSequence(),
		Swap: store.Swap{
			Compares: []store.Compare{
				{
					Key: LeaderKey,
				},
				{
					Key:      TermKey,
					Revision: m.term.Revision,
				},
			},
			Puts: []store.Put{
				{
					Key:   LeaderKey,
					Value: encodeLeader(m.settings.Host, next),
					Lease: m.lease,
				},
				{
					Key:   TermKey,
					Value: encodeTerm(next),
				},
			},
		},
	}}
}

func (m *Machine) nextSequence() int64 {
	m.sequence++
	m.awaitedSequence = m.sequence
	return m.sequence
}

func (m *Machine) onSwapAnswered(now time.Time, event SwapAnswered) []Command {
	if event.Sequence != m.awaitedSequence {
		return nil
	}
	switch m.phase {
	case phaseAcquiring:
		return m.onAcquireAnswered(now, event)
	case phaseLeading:
		return m.onWriteAnswered(now, event)
	case phaseFollowing, phaseReading:
	}
	return nil
}

func (m *Machine) onAcquireAnswered(now time.Time, event SwapAnswered) []Command {
	m.phase = phaseFollowing
	m.nextPollAt = m.nextPoll(now)
	switch event.Outcome {
	case SwapDone:
		return m.onElected(term{
			Fencing:  m.term.Fencing + 1,
			Revision: event.Result.Revision,
		})
	case SwapConflict:
		return m.onElectionLost(event.Result.Current)
	case SwapUnknown:
		m.nextPollAt = now // the swap may have elected this host
	case SwapUnavailable:
	}
	return nil
}

// onElectionLost takes the term from the current entries and tries again at once if
// only the term was unknown.
func (m *Machine) onElectionLost(current []store.Entry) []Command {
	keyTaken, termAdopted := false, false
	compared := m.term
	var leader store.Entry
	for _, entry := range current {
		switch entry.Key {
		case LeaderKey:
			leader = entry
			keyTaken = entry.Revision != 0
		case TermKey:
			termAdopted = m.adoptTerm(entry)
		}
	}
	if keyTaken {
		return m.onLeaderFound(leader)
	}
	if !termAdopted || m.term == compared {
		return nil // the lease has ended, and is granted anew before the next poll
	}
	return m.acquire()
}

// adoptTerm takes over the value of the term key. If that value can't be decoded
// there is no election: a guessed fencing number could be issued twice, and engines
// could not tell the two leaders apart.
func (m *Machine) adoptTerm(entry store.Entry) bool {
	adopted := term{
		Revision: entry.Revision,
	}
	if entry.Revision != 0 {
		fencing, err := decodeTerm(entry.Value)
		if err != nil {
			return false
		}
		adopted.Fencing = fencing
	}
	m.term = adopted
	return true
}

func (m *Machine) onElected(newTerm term) []Command {
	m.leader = m.settings.Host
	m.term = newTerm
	m.orderCounter = 0
	return m.readPlan()
}

func (m *Machine) readPlan() []Command {
	m.phase = phaseReading
	m.pendingDraft = nil
	return []Command{ReadPlan{
		Sequence: m.nextSequence(),
		Prefix:   KeyPrefix,
	}}
}

// stepDown discards all state that only a leader may act on.
func (m *Machine) stepDown(now time.Time) {
	if m.phase == phaseFollowing {
		return
	}
	m.phase = phaseFollowing
	m.awaitedSequence = 0
	m.leader = ""
	m.pendingDraft = nil
	m.mayLandLate = false
	m.nextPollAt = m.nextPoll(now)
	clear(m.deliveries)
	clear(m.pageRevisions)
	m.blocked = nil
	for _, s := range m.servers {
		s.entry = entry{
			Server: s.entry.Server,
		}
		clear(s.settled)
	}
}

// Fencing returns the fencing number of the newest term that this machine knows.
func (m *Machine) Fencing() ident.FencingNumber {
	return m.term.Fencing
}

// IsLeading reports whether this machine is the leader and has read the plan.
func (m *Machine) IsLeading() bool {
	return m.phase == phaseLeading
}
