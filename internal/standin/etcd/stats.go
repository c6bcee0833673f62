package etcd

// Stats counts the calls since New, including refused calls.
type Stats struct {
	Ranges     uint64
	Puts       uint64
	Deletes    uint64
	Txns       uint64
	ReadTxns   uint64
	Grants     uint64
	Revokes    uint64
	KeepAlives uint64
	Watches    uint64
	Progresses uint64
	// WatchSeconds is the number of reads charged to waiting watches, one a
	// second.
	WatchSeconds uint64
	// WatchesOpen is the number of open watches.
	WatchesOpen uint64
	// QuotaRefusals is the number of calls refused as over the quota.
	QuotaRefusals uint64
	// AnswersLost is the number of writes that took effect without an answer.
	AnswersLost uint64
}

// Calls is the number of all calls, including WatchSeconds.
func (s Stats) Calls() uint64 {
	return s.Ranges + s.Puts + s.Deletes + s.Txns + s.ReadTxns + s.Grants +
		s.Revokes + s.KeepAlives + s.Watches + s.Progresses + s.WatchSeconds
}

// counters are the counts from which Stats is made.
type counters struct {
	calls         [kindCount]uint64
	watchSeconds  uint64
	quotaRefusals uint64
	answersLost   uint64
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := &s.counters.calls
	return Stats{
		Ranges:        calls[kindRange],
		Puts:          calls[kindPut],
		Deletes:       calls[kindDelete],
		Txns:          calls[kindTxn],
		ReadTxns:      calls[kindReadTxn],
		Grants:        calls[kindGrant],
		Revokes:       calls[kindRevoke],
		KeepAlives:    calls[kindKeepAlive],
		Watches:       calls[kindWatch],
		Progresses:    calls[kindProgress],
		WatchSeconds:  s.counters.watchSeconds,
		WatchesOpen:   uint64(len(s.chargedUntil)),
		QuotaRefusals: s.counters.quotaRefusals,
		AnswersLost:   s.counters.answersLost,
	}
}
