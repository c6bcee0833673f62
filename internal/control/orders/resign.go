package orders

import "time"

// Resign gives the leadership back until Rejoin: this host is stopping. Without
// it the others would wait for the lease to lapse before they plan again.
type Resign struct{}

func (Resign) event() {}

func (m *Machine) onResign(now time.Time) []Command {
	m.resigned = true
	m.leaseAsked = false // a lease that is still to come is dropped at once
	m.stepDown(now)
	return m.dropLease()
}

// Rejoin takes Resign back: the host may be elected again. Whoever leads by then
// goes on leading.
type Rejoin struct{}

func (Rejoin) event() {}

func (m *Machine) onRejoin(now time.Time) {
	m.resigned = false
	m.pollAt = now
}
