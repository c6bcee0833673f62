package relay

import (
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/unit"
)

// Guards against a stream of small events that is read ahead and holds far more memory than counts
// as held.
func TestReadAheadKeepsNoMoreThanItHolds(t *testing.T) {
	const length = 4000
	budget := heldbytes.New(unit.Mebibyte, unit.Mebibyte)
	hold := budget.Hold()
	hold.UseServer("one")
	ahead := newReadAhead(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", length))), hold, func() {})
	before := liveHeap()
	ahead.start()
	require.NoError(t, ahead.reading.Wait())
	require.Equal(t, unit.Bytes(length), budget.Stats().Held)
	require.Less(t, liveHeap()-before, unit.Mebibyte, "4,000 parts of one byte")
	ahead.stop()
	require.Zero(t, budget.Stats().Held)
}

// liveHeap returns what is left of the heap after a garbage collection.
func liveHeap() unit.Bytes {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return unit.Bytes(stats.HeapAlloc)
}
