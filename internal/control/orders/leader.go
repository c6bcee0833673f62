package orders

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// The keys of the plan in the key-value service.
const (
	Prefix    = "/cicadaloom/plan/"
	LeaderKey = Prefix + "leader"
	TermKey   = Prefix + "term"
	HeadKey   = Prefix + "head"
	PageKey   = Prefix + "page/"
)

// poll lets a follower look at the leader key when its next look is due.
func (m *Machine) poll(now time.Time) []Command {
	if now.Before(m.pollAt) || m.phase == phaseReading || m.phase == phaseLeading {
		return nil
	}
	m.pollAt = m.nextLook(now)
	if m.phase == phaseAcquiring {
		return nil
	}
	return []Command{ReadLeader{}}
}

func (m *Machine) onLeaderRead(now time.Time, event LeaderRead) []Command {
	if event.Failed || (m.phase != phaseFollowing && m.phase != phaseAcquiring) {
		return nil
	}
	m.pollAt = m.nextLook(now)
	if event.Entry.Revision != 0 {
		return m.sawLeader(event.Entry)
	}
	m.leader = ""
	m.read = 0
	// A host that has resigned goes on looking: it may drain for hours, and the
	// look that is due would stay due and wake the loop every millisecond.
	if m.phase == phaseAcquiring || m.resigned {
		return nil
	}
	if m.lease == 0 {
		return m.askLease()
	}
	return m.acquire()
}

// sawLeader finds the key taken: by us, if it hangs on our lease. This ends the
// doubt over an election swap whose answer was lost, also when it lands late.
func (m *Machine) sawLeader(entry store.Entry) []Command {
	value, err := decodeLeader(entry.Value)
	if err != nil {
		return nil
	}
	m.leader = value.Host
	m.read = value.Fencing
	if m.lease == 0 || entry.Lease != m.lease {
		return m.dropLease()
	}
	return m.elected(term{
		Fencing:  value.Fencing,
		Revision: entry.Revision,
	})
}

func (m *Machine) askLease() []Command {
	if m.leaseAsked {
		return nil
	}
	m.leaseAsked = true
	return []Command{GrantLease{}}
}

func (m *Machine) dropLease() []Command {
	if m.lease == 0 {
		return nil
	}
	dropped := m.lease
	m.lease = 0
	return []Command{DropLease{
		Lease: dropped,
	}}
}

func (m *Machine) onLeaseGranted(now time.Time, event LeaseGranted) []Command {
	if event.Lease == m.lease {
		m.leaseUntil = event.Until
		return nil
	}
	if !m.leaseAsked {
		return []Command{DropLease{
			Lease: event.Lease,
		}}
	}
	m.leaseAsked = false
	m.lease = event.Lease
	m.leaseUntil = event.Until
	if m.phase == phaseFollowing && now.Before(event.Until) {
		return m.acquire()
	}
	return nil
}

func (m *Machine) onLeaseLost(now time.Time, event LeaseLost) {
	m.leaseAsked = false
	if m.lease != 0 && event.Lease == m.lease {
		m.lease = 0
		m.stepDown(now)
	}
}

// checkLease steps down where the lease must have lapsed. Safety does not rest
// on it: a leader whose clock stands still fails on the term key, and its
// orders are in the plan that its successor reads.
func (m *Machine) checkLease(now time.Time) []Command {
	if m.lease == 0 || now.Before(m.leaseUntil) {
		return nil
	}
	m.stepDown(now)
	return m.dropLease()
}

// acquire swaps the leader key in under the lease together with the next term.
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
	m.waiting = m.sequence
	return m.sequence
}

func (m *Machine) onSwapAnswered(now time.Time, event SwapAnswered) []Command {
	if event.Sequence != m.waiting {
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
	m.pollAt = m.nextLook(now)
	switch event.Outcome {
	case SwapDone:
		return m.elected(term{
			Fencing:  m.term.Fencing + 1,
			Revision: event.Result.Revision,
		})
	case SwapConflict:
		return m.onElectionLost(event.Result.Current)
	case SwapUnknown:
		m.pollAt = now // read who leads: it may be us
	case SwapUnavailable:
	}
	return nil
}

// onElectionLost learns the term from what stands there, and tries again at
// once where only the term was unknown.
func (m *Machine) onElectionLost(current []store.Entry) []Command {
	taken, learned := false, false
	var leader store.Entry
	for _, entry := range current {
		switch entry.Key {
		case LeaderKey:
			leader = entry
			taken = entry.Revision != 0
		case TermKey:
			learned = m.learnTerm(entry)
		}
	}
	if taken {
		return m.sawLeader(leader)
	}
	if !learned {
		return nil
	}
	return m.acquire()
}

// learnTerm takes over the term key. One that cannot be read elects nobody: a
// guess could give out a fencing number twice, and engines could not tell the
// two leaders apart.
func (m *Machine) learnTerm(entry store.Entry) bool {
	learned := term{
		Revision: entry.Revision,
	}
	if entry.Revision != 0 {
		fencing, err := decodeTerm(entry.Value)
		if err != nil {
			return false
		}
		learned.Fencing = fencing
	}
	m.term = learned
	return true
}

func (m *Machine) elected(won term) []Command {
	m.leader = m.settings.Host
	m.term = won
	m.counter = 0
	return m.readPlan()
}

func (m *Machine) readPlan() []Command {
	m.phase = phaseReading
	m.pending = nil
	return []Command{ReadPlan{
		Sequence: m.nextSequence(),
		Prefix:   Prefix,
	}}
}

// stepDown forgets everything that only a leader may act upon.
func (m *Machine) stepDown(now time.Time) {
	if m.phase == phaseFollowing {
		return
	}
	m.phase = phaseFollowing
	m.waiting = 0
	m.leader = ""
	m.pending = nil
	m.pollAt = m.nextLook(now)
	clear(m.dispatches)
	clear(m.pages)
	m.blocked = nil
	for _, s := range m.servers {
		s.entry = entry{
			Server: s.entry.Server,
		}
		clear(s.settled)
	}
}

// Fencing is the number of the term that this machine last knew.
func (m *Machine) Fencing() ident.FencingNumber {
	return m.term.Fencing
}

// Leading tells whether this machine leads.
func (m *Machine) Leading() bool {
	return m.phase == phaseLeading
}
