package host

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func (f *fleet) health(at int) int {
	f.t.Helper()
	answer, err := http.Get("http://" + f.hosts[at].Callers + "/healthz")
	require.NoError(f.t, err)
	require.NoError(f.t, answer.Body.Close())
	return answer.StatusCode
}

// An operator drains a host, changes his mind, and the platform stops it while
// he does so again. A host that is ending must not take requests that it could
// only cut; before that it serves as if nothing had been.
func TestADrainCanBeTakenBackUntilTheEnd(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.put("testdata/kerlouan.json", 2)
	drained := f.hosts[0]
	drained.Drain()
	drained.Drain()
	require.True(t, drained.Stopping())
	require.Equal(t, http.StatusServiceUnavailable, f.health(0))
	require.Eventually(t, func() bool {
		status, err := drained.control.Status(context.Background())
		return err == nil && status.Plan.Leader == "entry-1"
	}, waitMost, waitEvery, "the other host leads, and the drained one knows")
	require.True(t, drained.Resume())
	require.False(t, drained.Stopping())
	require.Equal(t, http.StatusNoContent, f.health(0))

	f.hosts = f.hosts[1:]
	require.NoError(t, drained.Stop(context.Background()))
	require.True(t, drained.Stopping())
	require.False(t, drained.Resume())
}
