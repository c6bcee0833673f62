package loop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The platform's host list restarts and is empty for a while. Taken as it is, it
// makes callers get 503 for every model while all backend servers still serve: an
// empty list after one with entries must change nothing.
func TestEmptyListKeepsServers(t *testing.T) {
	c, list := newFleetControl(3, 4)
	defer func() { require.NoError(t, c.Stop()) }()
	listRead{}.apply(testStart.Add(time.Second), c)
	require.Len(t, c.servers, 4)
	listRead{
		servers: list[:5],
	}.apply(testStart.Add(2*time.Second), c)
	require.Len(t, c.servers, 2)
}
