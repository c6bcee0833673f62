package dispatch

import "sync/atomic"

// budgetScale is the cost of one retry in hundredths of a first try.
const budgetScale = 100

// budgetMost bounds the retries that a quiet time can save up.
const budgetMost = 50 * budgetScale

// Budget bounds retries to a share of first tries. When back ends fail for
// many requests at once, each retry is one more request on what still works:
// without a bound the retries of an overload are the overload. The zero value
// allows no retry; it is safe for many goroutines.
type Budget struct {
	// Percent is how many retries a hundred first tries pay for.
	Percent int64
	saved   atomic.Int64
}

// FirstTry pays in.
func (b *Budget) FirstTry() {
	if b.saved.Add(b.Percent) > budgetMost {
		b.saved.Store(budgetMost)
	}
}

// Retry takes one retry out, or tells that none is left.
func (b *Budget) Retry() bool {
	if b.saved.Add(-budgetScale) >= 0 {
		return true
	}
	b.saved.Add(budgetScale)
	return false
}
