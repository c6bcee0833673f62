package dispatch

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// retryCost is the cost of one retry, in hundredths of a retry: each
	// request earns the budget's percentage of one.
	retryCost = 100
	// maxBalance limits the retries that can be saved up while few are needed.
	maxBalance = 50 * retryCost
	// A host with little traffic earns hardly any retries. Retries at this rate
	// are always allowed: at little traffic they cause no overload when a
	// server fails.
	minRetriesPerSecond = 2
	minRetryBurst       = 10
)

// RetryBudget limits retries to a percentage of requests. When backend servers
// fail for many requests at once, each retry is additional load on the
// remaining ones; without a limit the retries themselves would overload them.
// It is safe for concurrent use.
type RetryBudget struct {
	percent int64
	balance atomic.Int64
	minimum *rate.Limiter
}

// NewRetryBudget returns a budget that allows percent retries for every hundred
// requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{
		percent: int64(percent),
		minimum: rate.NewLimiter(minRetriesPerSecond, minRetryBurst),
	}
}

// CountRequest adds the share of a retry that a request earns.
func (b *RetryBudget) CountRequest() {
	if b.balance.Add(b.percent) > maxBalance {
		b.balance.Store(maxBalance)
	}
}

// TakeRetry takes one retry from the budget, and reports whether one was left.
func (b *RetryBudget) TakeRetry() bool {
	if b.balance.Add(-retryCost) >= 0 {
		return true
	}
	b.balance.Add(retryCost)
	return b.minimum.Allow()
}
