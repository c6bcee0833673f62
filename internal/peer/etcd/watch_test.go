package etcd_test

import (
	"context"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/etcd"
	standin "cicadaloom/internal/standin/etcd"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"gopkg.in/tomb.v2"
)

// backgroundWatch is a watch that runs in a goroutine of its own.
type backgroundWatch struct {
	batches chan store.Batch
	tomb    tomb.Tomb
	cancel  context.CancelFunc
}

func watchInBackground(t *testing.T, client *etcd.Client, prefix string, after ident.Revision) *backgroundWatch {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &backgroundWatch{
		batches: make(chan store.Batch, 1000),
		cancel:  cancel,
	}
	w.tomb.Go(func() error {
		return client.Watch(ctx, prefix, after, func(batch store.Batch) error {
			w.batches <- batch
			return nil
		})
	})
	t.Cleanup(func() {
		cancel()
		_ = w.tomb.Wait()
	})
	return w
}

func (w *backgroundWatch) next(t *testing.T) store.Batch {
	t.Helper()
	select {
	case batch := <-w.batches:
		return batch
	case <-w.tomb.Dead():
		require.FailNow(t, "watch ended", "%v", w.tomb.Err())
	case <-time.After(testTimeout):
		require.FailNow(t, "no batch")
	}
	return store.Batch{}
}

func (w *backgroundWatch) end(t *testing.T) error {
	t.Helper()
	select {
	case <-w.tomb.Dead():
	case <-time.After(testTimeout):
		require.FailNow(t, "watch did not end")
	}
	return w.tomb.Err()
}

func TestWatchDeliversChangesInOrder(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.mustWrite(t, "/docs/a", "seen")
	read := kv.mustWrite(t, "/docs/a", "read")
	missed := kv.mustWrite(t, "/docs/b", "1")
	kv.mustWrite(t, "/other", "1")
	w := watchInBackground(t, kv.Client, "/docs/", read.Revision)
	require.Equal(t, store.Batch{
		Revision: read.Revision,
	}, w.next(t))
	require.Equal(t, store.Batch{
		Events: []store.Event{{
			Entry: store.Entry{
				Key:      "/docs/b",
				Value:    []byte("1"),
				Revision: missed.Revision,
			},
		}},
		Revision: missed.Revision,
	}, w.next(t))

	both, err := kv.Swap(t.Context(), store.Swap{
		Puts: []store.Put{{
			Key:   "/docs/c",
			Value: []byte("2"),
		}},
		Deletes: []string{"/docs/a"},
	})
	require.NoError(t, err)
	batch := w.next(t)
	require.Equal(t, both.Revision, batch.Revision)
	require.Len(t, batch.Events, 2)
	require.Equal(t, "/docs/c", batch.Events[0].Entry.Key)
	require.Equal(t, store.Event{
		Entry: store.Entry{
			Key:      "/docs/a",
			Revision: both.Revision,
		},
		Deleted: true,
	}, batch.Events[1])
	w.cancel()
	require.ErrorIs(t, w.end(t), context.Canceled)
}

func TestWatchReturnsErrorOfDeliver(t *testing.T) {
	kv := startService(t, standin.Options{})
	wantErr := errors.New("enough")
	err := kv.Watch(t.Context(), "/", 0, func(store.Batch) error { return wantErr })
	require.Equal(t, wantErr, err)
}

// Nothing is written under the prefix for longer than the watch timeout. The watch must
// not break: it requests progress, and so also gets the revision of writes to other keys.
func TestIdleWatchStaysOpen(t *testing.T) {
	kv := startService(t, standin.Options{})
	client := dial(t, etcd.Options{
		WatchTimeout: time.Second,
	}, kv.address)
	w := watchInBackground(t, client, "/docs/", 1)
	require.Empty(t, w.next(t).Events)
	otherKey := kv.mustWrite(t, "/other", "1")
	for range 5 { // a quarter of the timeout each
		batch := w.next(t)
		require.Empty(t, batch.Events)
		require.Equal(t, otherKey.Revision, batch.Revision)
	}
	require.GreaterOrEqual(t, client.Calls().Progress, uint64(5))
}

// The service keeps the stream open and loses the watch. A host that doesn't notice
// serves an old document for ever.
func TestSilentWatchBreaks(t *testing.T) {
	kv := startService(t, standin.Options{})
	client := dial(t, etcd.Options{
		WatchTimeout: 200 * time.Millisecond,
	}, kv.address)
	w := watchInBackground(t, client, "/docs/", 1)
	require.Empty(t, w.next(t).Events)
	kv.server.SetFaults(standin.Faults{
		SilentWatches: true,
	})
	kv.mustWrite(t, "/docs/a", "missed")
	require.ErrorIs(t, w.end(t), store.ErrWatchBroken)
	require.Positive(t, client.Calls().Progress)
	require.Equal(t, "missed", kv.value(t, "/docs/a"))
}

// The service never answers the request to create the watch.
func TestUnansweredWatchBreaks(t *testing.T) {
	kv := startService(t, standin.Options{})
	kv.server.SetFaults(standin.Faults{
		SilentWatches: true,
	})
	client := dial(t, etcd.Options{
		WatchTimeout: 100 * time.Millisecond,
	}, kv.address)
	require.ErrorIs(t, watchInBackground(t, client, "/docs/", 1).end(t), store.ErrWatchBroken)
}

// A host was paused for so long that the service has compacted the changes in between.
// The watch must break, so that the host lists everything again.
func TestCompactedWatchBreaks(t *testing.T) {
	kv := startService(t, standin.Options{
		HistoryEvents: 2,
	})
	read := kv.mustWrite(t, "/docs/a", "1")
	for _, value := range []string{"2", "3", "4"} {
		kv.mustWrite(t, "/docs/a", value)
	}
	err := watchInBackground(t, kv.Client, "/docs/", read.Revision).end(t)
	require.ErrorIs(t, err, store.ErrWatchBroken)
	require.ErrorContains(t, err, "compacted")
}

// The service comes back empty, at a revision before that of the host. A watch from the
// host's revision would receive nothing until the service has passed it.
func TestWatchOfOlderServiceBreaks(t *testing.T) {
	kv := startService(t, standin.Options{})
	err := watchInBackground(t, kv.Client, "/docs/", 1000).end(t)
	require.ErrorIs(t, err, store.ErrWatchBroken)
}

func TestOutageBreaksWatches(t *testing.T) {
	kv := startService(t, standin.Options{})
	down := watchInBackground(t, kv.Client, "/docs/", 1)
	down.next(t)
	kv.server.SetFaults(standin.Faults{
		Down: true,
	})
	require.ErrorIs(t, down.end(t), store.ErrWatchBroken)
	kv.server.SetFaults(standin.Faults{})

	stopped := watchInBackground(t, kv.Client, "/docs/", 1)
	stopped.next(t)
	require.NoError(t, kv.server.Stop())
	require.ErrorIs(t, stopped.end(t), store.ErrWatchBroken)
	require.ErrorIs(t, watchInBackground(t, kv.Client, "/docs/", 1).end(t), store.ErrWatchBroken)
}

// A watch whose creation is refused by the quota must end at once, unlike one whose
// progress requests alone are refused.
func TestWatchRefusedByQuotaBreaks(t *testing.T) {
	kv := startService(t, standin.Options{
		ReadsPerSecond: 1,
		Now:            func() time.Time { return time.Unix(1_000_000, 0) },
	})
	kv.value(t, "uses up the quota")
	require.ErrorIs(t, watchInBackground(t, kv.Client, "/docs/", 1).end(t), store.ErrWatchBroken)
	require.EqualValues(t, 1, kv.server.Stats().QuotaRefusals)
}

// fakeWatch creates a watch at revision 5, sends progress up to 9, and then an event of
// revision 8.
type fakeWatch struct {
	pb.UnimplementedWatchServer
}

func (fakeWatch) Watch(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.WatchResponse]) error {
	send := func(response *pb.WatchResponse, revision int64) {
		response.Header = &pb.ResponseHeader{
			Revision: revision,
		}
		_ = stream.Send(response)
	}
	send(&pb.WatchResponse{
		Created: true,
	}, 5)
	send(&pb.WatchResponse{}, 9)
	send(&pb.WatchResponse{
		Events: []*mvccpb.Event{{
			Kv: &mvccpb.KeyValue{
				ModRevision: 8,
			},
		}},
	}, 9)
	<-stream.Context().Done()
	return nil
}

// Some versions of etcd answer a progress request before they have sent all earlier
// events. A host that relied on that would later take an older change for the newest.
func TestEventBehindProgressBreaksWatch(t *testing.T) {
	client := serveFake(t, func(server *grpc.Server) {
		pb.RegisterWatchServer(server, fakeWatch{})
	})
	var delivered []ident.Revision
	err := client.Watch(t.Context(), "/docs/", 5, func(batch store.Batch) error {
		delivered = append(delivered, batch.Revision)
		return nil
	})
	require.ErrorIs(t, err, store.ErrWatchBroken)
	require.Equal(t, []ident.Revision{5, 9}, delivered)
}
