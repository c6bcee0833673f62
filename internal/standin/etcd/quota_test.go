package etcd

import (
	"testing"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestWriteQuota(t *testing.T) {
	now := newClock()
	server, connection := start(t, Options{
		Now:             now.Now,
		WritesPerSecond: 2,
	})
	put(t, connection, "a", "1", 0)
	put(t, connection, "a", "2", 0)
	_, err := pb.NewKVClient(connection).Put(t.Context(), &pb.PutRequest{
		Key:   []byte("a"),
		Value: []byte("3"),
	})
	require.Equal(t, codes.ResourceExhausted, status.Code(err))
	found, err := read(connection, "a")
	require.NoError(t, err)
	require.Equal(t, "2", string(found.Kvs[0].Value))
	require.EqualValues(t, 1, server.Stats().QuotaRefusals)
	require.EqualValues(t, 3, server.Stats().Puts)

	now.advance(500 * time.Millisecond)
	put(t, connection, "a", "4", 0)
}

func TestWaitingWatchesAreChargedAsReads(t *testing.T) {
	now := newClock()
	server, connection := start(t, Options{
		Now:            now.Now,
		ReadsPerSecond: 4,
	})
	ended := openWatch(t, connection, 0)
	for _, stream := range []watchClientStream{ended, openWatch(t, connection, 0), openWatch(t, connection, 0)} {
		_, err := stream.Recv()
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, server.Stats().WatchesOpen)

	// The second fills the bucket of four, then the three watches take theirs.
	now.advance(time.Second)
	require.Eventually(t, func() bool { return server.Stats().WatchSeconds == 3 }, patience, time.Millisecond)
	_, err := read(connection, "a")
	require.NoError(t, err)
	_, err = read(connection, "a")
	require.Equal(t, codes.ResourceExhausted, status.Code(err))
	stats := server.Stats()
	require.EqualValues(t, 3, stats.Watches)
	require.EqualValues(t, 3+2+3, stats.Calls())

	require.NoError(t, ended.CloseSend())
	require.Eventually(t, func() bool { return server.Stats().WatchesOpen == 2 }, patience, time.Millisecond)
	now.advance(time.Second)
	require.Eventually(t, func() bool { return server.Stats().WatchSeconds == 3+2 }, patience, time.Millisecond)
}
