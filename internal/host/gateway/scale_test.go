package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leader whose processor is used up by reports of thousands of engines.
func TestReportRequestsAreBounded(t *testing.T) {
	for servers := 1; servers < 5000; servers += 7 {
		interval := reportIntervalFor(servers)
		require.GreaterOrEqual(t, interval, reportInterval)
		require.GreaterOrEqual(t, interval+time.Nanosecond, time.Second*time.Duration(servers)/reportsPerSecond, "%d servers", servers)
	}
	require.Equal(t, reportInterval, reportIntervalFor(16))
	require.Equal(t, slowReportInterval, reportIntervalFor(100))
}

// Guards against hosts that start together and give up all exchanges just before the busy
// watcher answers; and against one that waits long for a silent watcher later on.
func TestExchangeTimeoutGrowsOnlyWithoutAView(t *testing.T) {
	g := &Gateway{}
	require.Equal(t, exchangeTimeout, g.currentExchangeTimeout())
	g.exchangeTimeout.Store(int64(2 * exchangeTimeout))
	require.Equal(t, 2*exchangeTimeout, g.currentExchangeTimeout())
	g.peerViewNanos.Store(int64(time.Second))
	require.Equal(t, exchangeTimeout, g.currentExchangeTimeout())
}
