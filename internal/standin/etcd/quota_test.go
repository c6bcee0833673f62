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
	clock := newFakeClock()
	server, connection := startServer(t, Options{
		Now:             clock.Now,
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

	clock.advance(500 * time.Millisecond)
	put(t, connection, "a", "4", 0)
}

func TestWaitingWatchesAreChargedAsReads(t *testing.T) {
	clock := newFakeClock()
	server, connection := startServer(t, Options{
		Now:            clock.Now,
		ReadsPerSecond: 4,
	})
	ended := openWatch(t, connection, 0)
	for _, stream := range []watchClientStream{ended, openWatch(t, connection, 0), openWatch(t, connection, 0)} {
		_, err := stream.Recv()
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, server.Stats().WatchesOpen)

	// One second refills the bucket of four tokens, of which the three watches take three.
	clock.advance(time.Second)
	require.Eventually(t, func() bool { return server.Stats().WatchSeconds == 3 }, waitTimeout, time.Millisecond)
	_, err := read(connection, "a")
	require.NoError(t, err)
	_, err = read(connection, "a")
	require.Equal(t, codes.ResourceExhausted, status.Code(err))
	stats := server.Stats()
	require.EqualValues(t, 3, stats.Watches)
	require.EqualValues(t, 3+2+3, stats.Calls())

	require.NoError(t, ended.CloseSend())
	require.Eventually(t, func() bool { return server.Stats().WatchesOpen == 2 }, waitTimeout, time.Millisecond)
	clock.advance(time.Second)
	require.Eventually(t, func() bool { return server.Stats().WatchSeconds == 3+2 }, waitTimeout, time.Millisecond)
}
