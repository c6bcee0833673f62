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
