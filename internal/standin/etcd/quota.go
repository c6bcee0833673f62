package etcd

import (
	"time"

	"golang.org/x/time/rate"
)

// quotas are the platform's limits on calls.
type quotas struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newQuotas(options Options) *quotas {
	return &quotas{
		writes: rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.WritesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(options.ReadsPerSecond), options.ReadsPerSecond),
	}
}

func (q *quotas) take(kind kind, now time.Time) bool {
	if kind.writes() {
		return q.writes.AllowN(now, 1)
	}
	return q.reads.AllowN(now, 1)
}

// owe charges reads that have happened already, into debt where need be.
func (q *quotas) owe(reads int, now time.Time) {
	_ = q.reads.ReserveN(now, min(reads, q.reads.Burst()))
}

// chargeWaiting charges each open watch for the whole seconds that it has
// waited. The caller holds the lock.
func (s *Server) chargeWaiting(now time.Time) {
	for watch, charged := range s.waiting {
		seconds := now.Sub(charged) / time.Second
		if seconds <= 0 {
			continue
		}
		s.waiting[watch] = charged.Add(seconds * time.Second)
		s.stats.watchSeconds += uint64(seconds)
		s.quotas.owe(int(seconds), now)
	}
}
