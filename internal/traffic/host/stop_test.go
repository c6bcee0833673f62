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

// The key-value service fails while a boat is being dispatched, and the platform
// replaces the host. The caller gets its answer, the claim's end can't be
// written, and the host must go all the same, in its time and not in that of the
// outage; it says what it could not do.
func TestStopDoesNotWaitForTheOutageToEnd(t *testing.T) {
	f := newFleet(t, 1, 1)
	service := f.addPlain("boat-desk", plain.Options{
		Work: 300 * time.Millisecond,
	})
	f.put("testdata/desk.json", 0)
	stopped := f.hosts[0]
	require.Eventually(t, func() bool {
		target, found := stopped.control.Table().Service("boat-desk")
		return found && len(target.Replicas) > 0
	}, waitMost, waitEvery)
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := post(stopped.Callers, "/services/boat-desk/boats", "{}", "Idempotency-Key", "boat-1")
		answered <- status
	}()
	require.Eventually(t, func() bool { return len(service.Stats().Runs) > 0 }, waitMost, waitEvery)
	f.platform.Store.SetFaults(etcd.Faults{
		Down: true,
	})
	require.Equal(t, http.StatusOK, <-answered)
	stopped.patience = 100 * time.Millisecond
	f.hosts = nil
	require.ErrorContains(t, stopped.Stop(context.Background()), "claims")
}

// The platform stops a host while its balancer still sends callers there. They
// are served as long as the balancer needs to see the health page, and none
// finds the address closed.
func TestStoppingHostServesUntilTheBalancerKnows(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.put("testdata/kerlouan.json", 2)
	stopped := f.hosts[0]
	stopped.lameDuck = time.Second
	f.hosts = nil
	ended := make(chan error, 1)
	go func() { ended <- stopped.Stop(context.Background()) }()
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + stopped.Callers + "/healthz")
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		return answer.StatusCode == http.StatusServiceUnavailable
	}, waitMost, waitEvery)
	status, _, text, err := post(stopped.Callers, "/v1/chat/completions", chatBody("late", 2, false))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, text)
	require.NoError(t, <-ended)
	_, _, _, err = post(stopped.Callers, "/v1/chat/completions", chatBody("too late", 2, false))
	require.Error(t, err)
}
