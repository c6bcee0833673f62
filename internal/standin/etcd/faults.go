package etcd

import "time"

// Faults are what is wrong with the service. The zero value is none.
type Faults struct {
	// Down makes calls fail as Unavailable and breaks open watches.
	Down bool
	// Slow delays each call and each delivery of a watch. A write is executed
	// after the delay, even if its client has given up by then.
	Slow time.Duration
	// MaxDelay above Slow makes the delay random between the two.
	MaxDelay time.Duration
	// LoseAnswers is how many of the next writes take effect and then fail as
	// Unavailable. It counts down with writes that changed something, lease
	// grants and revocations among them, keepalives not.
	LoseAnswers int
	// LapseLeases lets all leases lapse at once when it is set. It is never read
	// back as true.
	LapseLeases bool
	// SilentWatches keeps watches open without events or progress. What was
	// held back is delivered when the fault is taken away.
	SilentWatches bool
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.LapseLeases {
		faults.LapseLeases = false
		s.state.lapseAll()
	}
	s.faults = faults
	s.wake()
}

// Faults returns the faults as they stand, with the answers still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// delay draws the delay of one call. The caller holds the lock.
func (s *Server) delay() time.Duration {
	spread := s.faults.MaxDelay - s.faults.Slow
	if spread <= 0 {
		return s.faults.Slow
	}
	return s.faults.Slow + time.Duration(s.random.Int64N(int64(spread)+1))
}
