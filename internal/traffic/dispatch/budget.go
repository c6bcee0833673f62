package dispatch

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// budgetScale is the cost of one retry in hundredths of a first try.
	budgetScale = 100
	// budgetMost bounds the retries that a busy time can save up.
	budgetMost = 50 * budgetScale
	// A quiet host has hardly any first tries to pay with, yet a backend server
	// that fails just then is no overload: so it may always retry this often.
	alwaysPerSecond = 2
	alwaysAtOnce    = 10
)

// Budget bounds retries to a share of first tries. When backend servers fail
// for many requests at once, each retry is one more request on what still
// works: without a bound the retries of an overload are the overload. It is
// safe for many goroutines.
type Budget struct {
	percent int64
	saved   atomic.Int64
	always  *rate.Limiter
}

// NewBudget gives a budget in which a hundred first tries pay for percent retries.
func NewBudget(percent int) *Budget {
	return &Budget{
		percent: int64(percent),
		always:  rate.NewLimiter(alwaysPerSecond, alwaysAtOnce),
	}
}

// FirstTry pays in.
func (b *Budget) FirstTry() {
	if b.saved.Add(b.percent) > budgetMost {
		b.saved.Store(budgetMost)
	}
}

// Retry takes one retry out, or tells that none is left.
func (b *Budget) Retry() bool {
	if b.saved.Add(-budgetScale) >= 0 {
		return true
	}
	b.saved.Add(budgetScale)
	return b.always.Allow()
}
