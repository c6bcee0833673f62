package orders

import "time"

// Resign makes this host give up the leadership until Rejoin, because it is
// stopping. Without it no host plans until the lease has expired.
type Resign struct{}

func (Resign) event() {}

func (m *Machine) onResign(now time.Time) []Command {
	m.resigned = true
	m.leaseRequested = false // a lease granted later is revoked at once
	m.stepDown(now)
	return m.revokeLease()
}

// Rejoin reverts Resign: the host may be elected again. A host that leads by then
// continues to lead.
type Rejoin struct{}

func (Rejoin) event() {}

func (m *Machine) onRejoin(now time.Time) {
	m.resigned = false
	m.nextPollAt = now
}
