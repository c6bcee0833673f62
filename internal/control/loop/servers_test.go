package loop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The platform's list is started anew and shows nobody for a while. Callers got
// 503 for every model, while all backend servers served on: an empty list after
// a full one says nothing.
func TestEmptyListTakesNobodyAway(t *testing.T) {
	c, list := newTarget(3, 4)
	defer func() { require.NoError(t, c.Stop()) }()
	listed{}.apply(targetStart.Add(time.Second), c)
	require.Len(t, c.servers, 4)
	listed{
		servers: list[:5],
	}.apply(targetStart.Add(2*time.Second), c)
	require.Len(t, c.servers, 2)
}
