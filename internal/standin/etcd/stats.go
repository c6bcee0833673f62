package etcd

// Stats tells what was asked of the server since New, refused calls included.
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
	// WatchSeconds is what waiting watches were charged, one call each second.
	WatchSeconds uint64
	// WatchesOpen is the number of watches that wait now.
	WatchesOpen uint64
	// QuotaRefusals is how many calls were refused as over the quota.
	QuotaRefusals uint64
	// AnswersLost is how many writes took effect without an answer.
	AnswersLost uint64
}

// Calls is the number of all calls, the seconds of waiting watches among them.
func (s Stats) Calls() uint64 {
	return s.Ranges + s.Puts + s.Deletes + s.Txns + s.ReadTxns + s.Grants +
		s.Revokes + s.KeepAlives + s.Watches + s.Progresses + s.WatchSeconds
}

// counts is the state behind Stats.
type counts struct {
	calls         [kinds]uint64
	watchSeconds  uint64
	quotaRefusals uint64
	answersLost   uint64
}

// Stats returns the counts as they stand.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := &s.stats.calls
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
		WatchSeconds:  s.stats.watchSeconds,
		WatchesOpen:   uint64(len(s.waiting)),
		QuotaRefusals: s.stats.quotaRefusals,
		AnswersLost:   s.stats.answersLost,
	}
}
