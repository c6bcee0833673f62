package etcd

import "time"

// Faults are the failures that the service simulates. The zero value is none.
type Faults struct {
	// Down makes calls fail with Unavailable and breaks open watches.
	Down bool
	// Slow delays each call and each delivery of watch events. A write is executed
	// after the delay even if its client has cancelled it by then.
	Slow time.Duration
	// MaxDelay, if larger than Slow, makes the delay random between Slow and
	// MaxDelay.
	MaxDelay time.Duration
	// LoseAnswers is the number of writes that take effect and then fail with
	// Unavailable. It counts down with each write that changed something,
	// including lease grants and revocations but not keepalives.
	LoseAnswers int
	// LapseLeases expires all leases once, when it is set. Faults always returns
	// it as false.
	LapseLeases bool
	// SilentWatches keeps watches open but sends no events and no progress. Events
	// held back are delivered when the fault is cleared.
	SilentWatches bool
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.LapseLeases {
		faults.LapseLeases = false
		s.state.expireAllLeases()
	}
	s.activeFaults = faults
	s.notifyWatches()
}

// Faults returns the active faults; LoseAnswers is the number that remains.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFaults
}

// drawDelay returns the delay of one call. The caller holds the lock.
func (s *Server) drawDelay() time.Duration {
	spread := s.activeFaults.MaxDelay - s.activeFaults.Slow
	if spread <= 0 {
		return s.activeFaults.Slow
	}
	return s.activeFaults.Slow + time.Duration(s.random.Int64N(int64(spread)+1))
}
