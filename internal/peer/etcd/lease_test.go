package etcd_test

import (
	"sync/atomic"
	"testing"
	"time"

	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/etcd"
	standin "cicadaloom/internal/standin/etcd"

	"github.com/stretchr/testify/require"
)

// clock is a clock that tests advance.
type clock struct {
	elapsed atomic.Int64
}

func (c *clock) Now() time.Time {
	return time.Unix(1_000_000, c.elapsed.Load())
}

func (c *clock) advance(length time.Duration) {
	c.elapsed.Add(int64(length))
}

func putLeaderKey(t *testing.T, kv service, ttl time.Duration) store.LeaseID {
	t.Helper()
	lease, err := kv.GrantLease(t.Context(), ttl)
	require.NoError(t, err)
	result, err := kv.Swap(t.Context(), store.Swap{
		Compares: []store.Compare{{
			Key: "/plan/leader",
		}},
		Puts: []store.Put{{
			Key:   "/plan/leader",
			Value: []byte("host"),
			Lease: lease,
		}},
	})
	require.NoError(t, err)
	require.True(t, result.Swapped)
	return lease
}

// A leader is paused until its lease expires. Watchers must get the deletion of its key,
// and its next renewal must report that the lease has ended.
func TestWatchReportsLeaseExpiry(t *testing.T) {
	now := &clock{}
	kv := startService(t, standin.Options{
		Now: now.Now,
	})
	lease := putLeaderKey(t, kv, 1500*time.Millisecond) // rounded up to 2 s
	entry, err := kv.Get(t.Context(), "/plan/leader")
	require.NoError(t, err)
	require.Equal(t, lease, entry.Lease)
	w := watchInBackground(t, kv.Client, "/plan/", entry.Revision)
	w.next(t)

	for range 3 {
		now.advance(1900 * time.Millisecond)
		kept, err := kv.RenewLease(t.Context(), lease)
		require.NoError(t, err)
		require.True(t, kept)
	}
	now.advance(2 * time.Second)
	batch := w.next(t)
	require.Len(t, batch.Events, 1)
	require.True(t, batch.Events[0].Deleted)
	require.Equal(t, "/plan/leader", batch.Events[0].Entry.Key)
	kept, err := kv.RenewLease(t.Context(), lease)
	require.NoError(t, err)
	require.False(t, kept)

	// A put with the expired lease would never be deleted, so it must be refused.
	_, err = kv.Swap(t.Context(), store.Swap{
		Puts: []store.Put{{
			Key:   "/plan/leader",
			Lease: lease,
		}},
	})
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.EqualValues(t, 4, kv.Calls().RenewLease)
}

func TestLapseLeasesFault(t *testing.T) {
	kv := startService(t, standin.Options{})
	lease := putLeaderKey(t, kv, time.Hour)
	kv.server.SetFaults(standin.Faults{
		LapseLeases: true,
	})
	kept, err := kv.RenewLease(t.Context(), lease)
	require.NoError(t, err)
	require.False(t, kept)
	require.Empty(t, kv.value(t, "/plan/leader"))
}

func TestRevokeDeletesKeysAndMayBeRepeated(t *testing.T) {
	kv := startService(t, standin.Options{})
	lease := putLeaderKey(t, kv, time.Hour)
	require.NoError(t, kv.RevokeLease(t.Context(), lease))
	require.Empty(t, kv.value(t, "/plan/leader"))
	require.NoError(t, kv.RevokeLease(t.Context(), lease))
}

// The service is down, or loses the response, while a lease is granted, renewed or
// revoked. None of these calls may be reported as without effect.
func TestLeaseCallsDuringOutage(t *testing.T) {
	kv := startService(t, standin.Options{})
	lease := putLeaderKey(t, kv, time.Hour)
	kv.server.SetFaults(standin.Faults{
		LoseAnswers: 2,
	})
	_, err := kv.GrantLease(t.Context(), time.Hour)
	require.ErrorIs(t, err, store.ErrUnknownOutcome)
	require.ErrorIs(t, kv.RevokeLease(t.Context(), lease), store.ErrUnknownOutcome)
	require.NoError(t, kv.RevokeLease(t.Context(), lease))
	kv.server.SetFaults(standin.Faults{
		Down: true,
	})
	_, err = kv.RenewLease(t.Context(), lease)
	require.ErrorIs(t, err, store.ErrUnknownOutcome)

	unreached := dial(t, etcd.Options{}, unreachableAddress(t))
	_, err = unreached.RenewLease(t.Context(), lease)
	require.ErrorIs(t, err, store.ErrUnavailable)
}
