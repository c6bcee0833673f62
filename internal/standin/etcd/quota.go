package etcd

import (
	"time"

	"golang.org/x/time/rate"
)

// quotas are the rate limits on calls, one token a call.
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

func (q *quotas) allow(kind callKind, now time.Time) bool {
	if kind.writes() {
		return q.writes.AllowN(now, 1)
	}
	return q.reads.AllowN(now, 1)
}

// chargeReads charges reads that have already happened. The bucket may go into
// debt.
func (q *quotas) chargeReads(reads int, now time.Time) {
	_ = q.reads.ReserveN(now, min(reads, q.reads.Burst()))
}

// chargeWatches charges each open watch one read for each whole second that it has
// waited. The caller holds the lock.
func (s *Server) chargeWatches(now time.Time) {
	for watch, until := range s.chargedUntil {
		seconds := now.Sub(until) / time.Second
		if seconds <= 0 {
			continue
		}
		s.chargedUntil[watch] = until.Add(seconds * time.Second)
		s.counters.watchSeconds += uint64(seconds)
		s.quotas.chargeReads(int(seconds), now)
	}
}
