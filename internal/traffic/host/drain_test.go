package host

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func (f *fleet) healthStatus(at int) int {
	f.t.Helper()
	answer, err := http.Get("http://" + f.hosts[at].CallersAddress + "/healthz")
	require.NoError(f.t, err)
	require.NoError(f.t, answer.Body.Close())
	return answer.StatusCode
}

// An operator drains a host and resumes it, and later the platform stops it. A
// resumed host must serve as before; a host that is ending must not be resumed,
// since it could only cut the requests that it accepts.
func TestDrainCanBeResumedUntilStop(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.putDocument("testdata/kerlouan.json", 2)
	drained := f.hosts[0]
	drained.Drain()
	drained.Drain()
	require.True(t, drained.Stopping())
	require.Equal(t, http.StatusServiceUnavailable, f.healthStatus(0))
	require.Eventually(t, func() bool {
		status, err := drained.control.Status(context.Background())
		return err == nil && status.Plan.Leader == "entry-1"
	}, waitTimeout, pollInterval, "the other host leads, and the drained one knows")
	require.True(t, drained.Resume())
	require.False(t, drained.Stopping())
	require.Equal(t, http.StatusNoContent, f.healthStatus(0))

	f.hosts = f.hosts[1:]
	require.NoError(t, drained.Stop(context.Background()))
	require.True(t, drained.Stopping())
	require.False(t, drained.Resume())
}
