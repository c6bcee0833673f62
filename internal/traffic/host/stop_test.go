package host

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/standin/etcd"
	"cicadaloom/internal/standin/plain"
)

// The key-value service fails during a request, and the platform replaces the
// host. The caller gets its answer, but the outcome can't be written to the
// claim. The host must stop within its own time limit and not wait for the end
// of the outage, and must report what it could not write.
func TestStopIsBoundedDuringKeyValueOutage(t *testing.T) {
	f := newFleet(t, 1, 1)
	service := f.addPlainService("boat-desk", plain.Options{
		WorkTime: 300 * time.Millisecond,
	})
	f.putDocument("testdata/desk.json", 0)
	stopped := f.hosts[0]
	require.Eventually(t, func() bool {
		target, found := stopped.control.Table().Service("boat-desk")
		return found && len(target.Replicas) > 0
	}, waitTimeout, pollInterval)
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := postRequest(stopped.CallersAddress, "/services/boat-desk/boats", "{}", "Idempotency-Key", "boat-1")
		answered <- status
	}()
	require.Eventually(t, func() bool { return len(service.Stats().Runs) > 0 }, waitTimeout, pollInterval)
	f.platform.KeyValueServer.SetFaults(etcd.Faults{
		Down: true,
	})
	require.Equal(t, http.StatusOK, <-answered)
	stopped.settleTimeout = 100 * time.Millisecond
	f.hosts = nil
	require.ErrorContains(t, stopped.Stop(context.Background()), "claims")
}

// The platform stops a host while its balancer still sends callers there. They
// must be served until the balancer has had time to read the health page, and
// none may find the address closed.
func TestStoppingHostServesDuringLameDuckPeriod(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.putDocument("testdata/kerlouan.json", 2)
	stopped := f.hosts[0]
	stopped.lameDuck = time.Second
	f.hosts = nil
	ended := make(chan error, 1)
	go func() { ended <- stopped.Stop(context.Background()) }()
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + stopped.CallersAddress + "/healthz")
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		return answer.StatusCode == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval)
	status, _, text, err := postRequest(stopped.CallersAddress, "/v1/chat/completions", newChatBody("late", 2, false))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, text)
	require.NoError(t, <-ended)
	_, _, _, err = postRequest(stopped.CallersAddress, "/v1/chat/completions", newChatBody("too late", 2, false))
	require.Error(t, err)
}
