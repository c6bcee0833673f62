package etcd_test

import (
	"bytes"
	"testing"
	"time"

	"cicadaloom/internal/peer/etcd"
	standin "cicadaloom/internal/standin/etcd"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func TestDialRefusesMalformedEndpoints(t *testing.T) {
	for _, endpoints := range [][]string{nil, {"kv.example:2379"}, {"127.0.0.1"}, {"127.0.0.1:2379", ""}} {
		_, err := etcd.Dial(endpoints...)
		require.Error(t, err, "%q", endpoints)
	}
	client, err := etcd.Dial("127.0.0.1:2379", "[::1]:2379")
	require.NoError(t, err)
	require.NoError(t, client.Close())
}

// The first endpoint is never reachable, and the second stops later. The client must
// then use the third.
func TestClientFailsOverToNextEndpoint(t *testing.T) {
	second := startService(t, standin.Options{})
	third := startService(t, standin.Options{})
	second.mustWrite(t, "who", "second")
	third.mustWrite(t, "who", "third")
	kv := service{
		Client: dial(t, etcd.Options{}, unreachableAddress(t), second.address, third.address),
	}
	require.Equal(t, "second", kv.value(t, "who"))
	require.NoError(t, second.server.Stop())
	require.Eventually(t, func() bool {
		entry, err := kv.Get(t.Context(), "who")
		return err == nil && string(entry.Value) == "third"
	}, testTimeout, time.Millisecond)
}

func TestClusterIDIdentifiesService(t *testing.T) {
	kv, other := startService(t, standin.Options{}), startService(t, standin.Options{})
	client, again, elsewhere := dial(t, etcd.Options{}, kv.address), dial(t, etcd.Options{}, kv.address), dial(t, etcd.Options{}, other.address)
	require.Zero(t, client.FleetID(), "not reached yet")
	for _, each := range []*etcd.Client{client, again, elsewhere} {
		_, err := each.List(t.Context(), "all/")
		require.NoError(t, err)
	}
	require.NotZero(t, client.FleetID())
	require.Equal(t, client.FleetID(), again.FleetID())
	require.NotEqual(t, client.FleetID(), elsewhere.FleetID())
}

func TestClientReconnectsAfterRestart(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.mustWrite(t, "key", "1")
	require.NoError(t, kv.server.Stop())
	require.Eventually(t, func() bool {
		_, err := kv.Get(t.Context(), "key")
		return err != nil
	}, testTimeout, time.Millisecond)
	_, err := kv.server.Start(kv.address)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := kv.Get(t.Context(), "key")
		return err == nil
	}, testTimeout, time.Millisecond)
}

func TestCallsAreCountedInMetrics(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.mustWrite(t, "key", "1")
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	for _, call := range []string{"get", "list", "swap", "watch", "progress", "grant_lease", "keep_lease", "revoke_lease"} {
		require.Contains(t, page.String(), `cicadaloom_kv_calls_total{call="`+call+`"}`)
	}
}
