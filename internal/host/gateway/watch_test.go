package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Calls to the service are counted, and 76 hosts made 6,400 in a minute. In a large fleet
// each asks less often, and still knows within the 4 s that it has: that a server leaves,
// that the service is back, that its own watch has been cut.
func TestALargeFleetAsksTheServiceLessOften(t *testing.T) {
	const known = 4 * time.Second
	g := &Gateway{}
	require.Equal(t, changePace, g.changePause())
	g.knownHosts.Store(76)
	require.Equal(t, followPause, g.changePause())
	require.Less(t, followPause, known)
	require.Less(t, mostPause, known)
	g.holding.Store(&tenure{})
	require.Less(t, g.changePause(), followPause, "the holder knows first")
}
