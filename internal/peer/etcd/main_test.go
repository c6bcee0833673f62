package etcd_test

import (
	"context"
	"net"
	"testing"
	"time"

	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/etcd"
	standin "cicadaloom/internal/standin/etcd"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"
)

const (
	testTimeout = 10 * time.Second
	// unreachedQuota is a rate of calls per second that no test reaches.
	unreachedQuota = 1_000_000
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// service is a stand-in of the service with a client of it.
type service struct {
	*etcd.Client
	server  *standin.Server
	address string
}

func startService(t *testing.T, options standin.Options) service {
	t.Helper()
	server := standin.New(options)
	address, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Stop()) })
	return service{
		Client:  dial(t, etcd.Options{}, address.String()),
		server:  server,
		address: address.String(),
	}
}

func dial(t *testing.T, options etcd.Options, endpoints ...string) *etcd.Client {
	t.Helper()
	client, err := etcd.DialWith(options, endpoints...)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

// unreachableAddress returns an address that refuses connections.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// putOver returns a swap that puts a key if it still has the revision of an entry read
// before.
func putOver(key, value string, over store.Entry) store.Swap {
	return store.Swap{
		Compares: []store.Compare{{
			Key:      key,
			Revision: over.Revision,
		}},
		Puts: []store.Put{{
			Key:   key,
			Value: []byte(value),
		}},
	}
}

func (s service) mustWrite(t *testing.T, key, value string) store.SwapResult {
	t.Helper()
	result, err := s.Swap(t.Context(), store.Swap{
		Puts: []store.Put{{
			Key:   key,
			Value: []byte(value),
		}},
	})
	require.NoError(t, err)
	require.True(t, result.Swapped)
	return result
}

func (s service) value(t *testing.T, key string) string {
	t.Helper()
	entry, err := s.Get(t.Context(), key)
	require.NoError(t, err)
	return string(entry.Value)
}

// waitForTxns waits until the service has received a number of transactions.
func (s service) waitForTxns(t *testing.T, txns uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return s.server.Stats().Txns == txns }, testTimeout, time.Millisecond)
}

// swapInBackground runs a swap in the background; the channel receives its error.
func swapInBackground(ctx context.Context, client *etcd.Client, swap store.Swap) <-chan error {
	done := make(chan error, 1)
	var t tomb.Tomb
	t.Go(func() error {
		_, err := client.Swap(ctx, swap)
		done <- err
		return nil
	})
	return done
}
