package etcd_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/etcd"
	standin "cicadaloom/internal/standin/etcd"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestListReturnsPrefixAtOneRevision(t *testing.T) {
	kv := startService(t, standin.Options{})
	for _, key := range []string{"/a", "/docs/b", "/docs/a", "/docs0", "/docs/\xff\xff"} {
		kv.mustWrite(t, key, key)
	}
	last := kv.mustWrite(t, "/docs/c", "c")
	listing, err := kv.List(t.Context(), "/docs/")
	require.NoError(t, err)
	require.Equal(t, last.Revision, listing.Revision)
	var keys []string
	for _, entry := range listing.Entries {
		keys = append(keys, entry.Key)
	}
	require.Equal(t, []string{"/docs/a", "/docs/b", "/docs/c", "/docs/\xff\xff"}, keys)

	all, err := kv.List(t.Context(), "")
	require.NoError(t, err)
	require.Len(t, all.Entries, 6)
	top, err := kv.List(t.Context(), "/docs/\xff")
	require.NoError(t, err)
	require.Len(t, top.Entries, 1)
}

func TestSwapIsAtomic(t *testing.T) {
	kv := startService(t, standin.Options{})
	old := kv.mustWrite(t, "old", "1")
	result, err := kv.Swap(t.Context(), store.Swap{
		Compares: []store.Compare{{
			Key:      "old",
			Revision: old.Revision,
		}, {
			Key: "new",
		}},
		Puts: []store.Put{{
			Key:   "new",
			Value: []byte("2"),
		}},
		Deletes: []string{"old"},
	})
	require.NoError(t, err)
	require.True(t, result.Swapped)
	entry, err := kv.Get(t.Context(), "new")
	require.NoError(t, err)
	require.Equal(t, result.Revision, entry.Revision)
	gone, err := kv.Get(t.Context(), "old")
	require.NoError(t, err)
	require.Equal(t, store.Entry{
		Key: "old",
	}, gone)
	require.Equal(t, etcd.Calls{
		Get:  2,
		Swap: 2,
	}, kv.Calls())
}

// Two operators read the same document and both save it. The second save must not
// overwrite the first: its compare fails, and it gets the current entries in the order
// of its compares.
func TestFailedCompareReturnsCurrentEntries(t *testing.T) {
	kv := startService(t, standin.Options{})
	read := kv.mustWrite(t, "doc", "1")
	first := kv.mustWrite(t, "doc", "2")
	result, err := kv.Swap(t.Context(), store.Swap{
		Compares: []store.Compare{{
			Key: "absent",
		}, {
			Key:      "doc",
			Revision: read.Revision,
		}},
		Puts: []store.Put{{
			Key:   "doc",
			Value: []byte("3"),
		}},
	})
	require.NoError(t, err)
	require.Equal(t, store.SwapResult{
		Revision: first.Revision,
		Current: []store.Entry{{
			Key: "absent",
		}, {
			Key:      "doc",
			Value:    []byte("2"),
			Revision: first.Revision,
		}},
	}, result)
}

// A key is deleted and created again with the same value. A swap with the revision of
// before must fail nevertheless, and so must one that requires the key to be absent.
func TestCompareFailsAfterDeleteAndRecreate(t *testing.T) {
	kv := startService(t, standin.Options{})
	read := kv.mustWrite(t, "key", "same")
	_, err := kv.Swap(t.Context(), store.Swap{
		Deletes: []string{"key"},
	})
	require.NoError(t, err)
	kv.mustWrite(t, "key", "same")
	for _, revision := range []ident.Revision{read.Revision, 0} {
		result, err := kv.Swap(t.Context(), putOver("key", "new", store.Entry{
			Revision: revision,
		}))
		require.NoError(t, err)
		require.False(t, result.Swapped)
	}
}

// A claim is written, and the connection breaks before the response. If that counted as
// "not written", a boat would be sent twice. The write must be reported as unknown, must
// be found, and must have been sent once.
func TestLostAnswerIsUnknown(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.server.SetFaults(standin.Faults{
		LoseAnswers: 1,
	})
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnknownOutcome)
	require.NotErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, "boat", kv.value(t, "claim"))
	require.EqualValues(t, 1, kv.server.Stats().Txns)
}

// The service is slow. The caller cancels its write, could read the key and find nothing,
// and only then the write takes effect. So a canceled write is unknown, and a read
// doesn't settle it.
func TestCanceledWriteIsUnknown(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.server.SetFaults(standin.Faults{
		Slow: 100 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := swapInBackground(ctx, kv.Client, putOver("claim", "boat", store.Entry{}))
	kv.waitForTxns(t, 1)
	cancel()
	err := <-done
	require.ErrorIs(t, err, store.ErrUnknownOutcome)
	require.ErrorIs(t, err, context.Canceled)
	kv.server.SetFaults(standin.Faults{})
	require.Eventually(t, func() bool { return kv.value(t, "claim") == "boat" }, testTimeout, time.Millisecond)
}

// The service's process crashes while it processes the write.
func TestWriteDuringServerCrashIsUnknown(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.server.SetFaults(standin.Faults{
		Slow: time.Hour,
	})
	done := swapInBackground(t.Context(), kv.Client, putOver("claim", "boat", store.Entry{}))
	kv.waitForTxns(t, 1)
	require.NoError(t, kv.server.Stop())
	require.ErrorIs(t, <-done, store.ErrUnknownOutcome)
}

// A context without a deadline must not leave a call waiting for ever.
func TestCallWithoutDeadlineTimesOut(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.server.SetFaults(standin.Faults{
		Slow: time.Hour,
	})
	client := dial(t, etcd.Options{
		CallTimeout: 50 * time.Millisecond,
	}, kv.address)
	_, err := client.Get(t.Context(), "key")
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// No endpoint accepts connections: nothing can have been written, and the error must
// say so.
func TestNoConnectionIsUnavailable(t *testing.T) {
	kv := dial(t, etcd.Options{}, unreachableAddress(t), unreachableAddress(t))
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.NotErrorIs(t, err, store.ErrUnknownOutcome)
	_, err = kv.Get(t.Context(), "claim")
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = kv.List(t.Context(), "claim")
	require.ErrorIs(t, err, store.ErrUnavailable)
}

func TestSwapWithDoneContextIsUnavailable(t *testing.T) {
	kv := startService(t, standin.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := kv.Swap(ctx, putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Zero(t, kv.server.Stats().Txns)
}

func TestRefusalsAreUnavailable(t *testing.T) {
	kv := startService(t, standin.Options{
		WritesPerSecond: 1,
		Now:             func() time.Time { return time.Unix(1_000_000, 0) },
	})
	kv.mustWrite(t, "key", "1")
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Empty(t, kv.value(t, "claim"))

	kv = startService(t, standin.Options{})
	_, err = kv.Swap(t.Context(), putOver("claim", strings.Repeat("x", 1_000_001), store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// The service goes down, comes back, loses responses, exceeds the caller's deadline and
// restarts, in any order. A key whose swap was reported as without effect must never be
// found, not even after the swap had time to take effect late.
func TestUnavailableWritesAreNeverFound(t *testing.T) {
	kv := startService(t, standin.Options{
		WritesPerSecond: unreachedQuota,
	})
	random := rand.New(rand.NewPCG(1, 2))
	outcomes := map[error][]string{}
	for i := range 400 {
		setFault(t, kv, random.IntN(8))
		key := fmt.Sprintf("key-%d", i)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		_, err := kv.Swap(ctx, putOver(key, "written", store.Entry{}))
		cancel()
		outcome := outcomeOf(err)
		outcomes[outcome] = append(outcomes[outcome], key)
	}
	setFault(t, kv, 0)
	require.Eventually(t, func() bool {
		_, err := kv.Get(t.Context(), "key-0")
		return err == nil
	}, testTimeout, time.Millisecond)
	// Once a later write has taken effect, so has the slowest one before it.
	kv.mustWrite(t, "last", "written")
	for _, key := range outcomes[nil] {
		require.Equal(t, "written", kv.value(t, key))
	}
	for _, key := range outcomes[store.ErrUnavailable] {
		require.Empty(t, kv.value(t, key))
	}
	require.NotEmpty(t, outcomes[nil])
	require.NotEmpty(t, outcomes[store.ErrUnavailable])
	require.NotEmpty(t, outcomes[store.ErrUnknownOutcome])
}

// setFault sets one of several faults, or none. Stopping a stopped service has no
// effect.
func setFault(t *testing.T, kv service, fault int) {
	switch fault {
	case 0, 1:
		kv.server.SetFaults(standin.Faults{})
		_, _ = kv.server.Start(kv.address)
	case 2:
		kv.server.SetFaults(standin.Faults{
			Down: true,
		})
	case 3, 4:
		kv.server.SetFaults(standin.Faults{
			LoseAnswers: 1,
		})
	case 5:
		kv.server.SetFaults(standin.Faults{
			MaxDelay: 20 * time.Millisecond,
		})
	case 6:
		require.NoError(t, kv.server.Stop())
	}
}

func outcomeOf(err error) error {
	for _, outcome := range []error{store.ErrUnavailable, store.ErrUnknownOutcome} {
		if errors.Is(err, outcome) {
			return outcome
		}
	}
	return err
}
