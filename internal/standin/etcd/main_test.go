package etcd

import (
	"context"
	"sync"
	"testing"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const waitTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock {
	return &fakeClock{
		now: time.Unix(1_000_000, 0),
	}
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(duration)
}

func startServer(t *testing.T, options Options) (*Server, *grpc.ClientConn) {
	t.Helper()
	server := New(options)
	address, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Stop()) })
	connection, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, connection.Close()) })
	return server, connection
}

func put(t *testing.T, connection *grpc.ClientConn, key, value string, lease int64) *pb.PutResponse {
	t.Helper()
	response, err := pb.NewKVClient(connection).Put(t.Context(), &pb.PutRequest{
		Key:    []byte(key),
		Value:  []byte(value),
		Lease:  lease,
		PrevKv: true,
	})
	require.NoError(t, err)
	return response
}

func read(connection *grpc.ClientConn, key string) (*pb.RangeResponse, error) {
	return pb.NewKVClient(connection).Range(context.Background(), &pb.RangeRequest{
		Key: []byte(key),
	})
}

type watchClientStream = grpc.BidiStreamingClient[pb.WatchRequest, pb.WatchResponse]

func openWatch(t *testing.T, connection *grpc.ClientConn, startRevision int64) watchClientStream {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	stream, err := pb.NewWatchClient(connection).Watch(ctx)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{
				Key:            []byte{0},
				RangeEnd:       []byte{0},
				StartRevision:  startRevision,
				ProgressNotify: true,
			},
		},
	}))
	return stream
}
