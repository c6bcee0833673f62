package routing

import (
	"sync/atomic"
	"time"
)

// A count history has historySliceCount slices of historySliceSpan each. Together
// they must be longer than reports lag.
const (
	historySliceSpan  = 20 * time.Millisecond
	historySliceCount = 128
)

// countHistory stores a count over the last seconds, so that a late report can be
// compared with the count at the instant when the report was made. Each slice holds
// the count before its first change and the count after its last change. Two
// changes at the same moment may be recorded in either order, which makes the
// history wrong by one request until the next change. The zero value works.
type countHistory struct {
	slices [historySliceCount]atomic.Uint64
}

// Layout of a slice: the low half of its number, the count before, the count after.
const (
	countBits  = 16
	countMask  = 1<<countBits - 1
	numberBits = 32
	numberMask = 1<<numberBits - 1
)

func sliceNumber(at time.Time) uint64 {
	return uint64(at.UnixNano()/int64(historySliceSpan)) & numberMask
}

func clampCount(count int64) uint64 {
	return uint64(min(max(count, 0), countMask))
}

// record stores a change of the count.
func (h *countHistory) record(now time.Time, before, after int64) {
	number := sliceNumber(now)
	slice := &h.slices[number%historySliceCount]
	for {
		old := slice.Load()
		first := clampCount(before)
		if old>>(2*countBits) == number {
			first = old >> countBits & countMask
		}
		if slice.CompareAndSwap(old, number<<(2*countBits)|first<<countBits|clampCount(after)) {
			return
		}
	}
}

// countAt returns the count at an instant; current is the count now.
func (h *countHistory) countAt(then, now time.Time, current int64) int64 {
	if !then.Before(now) {
		return current
	}
	newest := sliceNumber(now)
	slicesAgo := min(int64(now.Sub(then)/historySliceSpan), historySliceCount-1)
	// The first change after the instant has the count from before that change.
	for back := slicesAgo; back >= 0; back-- {
		number := (newest - uint64(back)) & numberMask
		slice := h.slices[number%historySliceCount].Load()
		if slice>>(2*countBits) == number {
			if back == slicesAgo { // the instant's own slice: the nearer end
				return int64(slice & countMask)
			}
			return int64(slice >> countBits & countMask)
		}
	}
	return current
}
