package routing

import (
	"sync/atomic"
	"time"
)

// What a history remembers: historySlices slices of time. Together they must be
// longer than reports lag.
const (
	historySlice  = 20 * time.Millisecond
	historySlices = 128
)

// history remembers a count over the last seconds, so that a report that comes
// late can be compared with the count of the instant when it was taken. A slice
// holds the count before its first change and after its last one. Two changes in
// the same moment may be noted in either order, which is one request wrong until
// the next change. The zero value works.
type history struct {
	slices [historySlices]atomic.Uint64
}

// Layout of a slice: the low half of its number, the count before, the count after.
const (
	countBits  = 16
	countMask  = 1<<countBits - 1
	numberBits = 32
	numberMask = 1<<numberBits - 1
)

func sliceNumber(at time.Time) uint64 {
	return uint64(at.UnixNano()/int64(historySlice)) & numberMask
}

func clampCount(count int64) uint64 {
	return uint64(min(max(count, 0), countMask))
}

// note records that the count has changed.
func (h *history) note(now time.Time, before, after int64) {
	number := sliceNumber(now)
	cell := &h.slices[number%historySlices]
	for {
		old := cell.Load()
		first := clampCount(before)
		if old>>(2*countBits) == number {
			first = old >> countBits & countMask
		}
		if cell.CompareAndSwap(old, number<<(2*countBits)|first<<countBits|clampCount(after)) {
			return
		}
	}
}

// at gives the count as it was at an instant; current is what it is now.
func (h *history) at(then, now time.Time, current int64) int64 {
	if !then.Before(now) {
		return current
	}
	newest := sliceNumber(now)
	ago := min(int64(now.Sub(then)/historySlice), historySlices-1)
	// The first change after the instant tells what the count was before it.
	for back := ago; back >= 0; back-- {
		number := (newest - uint64(back)) & numberMask
		slice := h.slices[number%historySlices].Load()
		if slice>>(2*countBits) == number {
			if back == ago { // the instant's own slice: the nearer end
				return int64(slice & countMask)
			}
			return int64(slice >> countBits & countMask)
		}
	}
	return current
}
