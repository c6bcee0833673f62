package etcd_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/etcd"
	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"gopkg.in/tomb.v2"
)

// fakeKV answers each transaction by a function of the test.
type fakeKV struct {
	pb.UnimplementedKVServer
	txn func(ctx context.Context) (*pb.TxnResponse, error)
}

func (f fakeKV) Txn(ctx context.Context, _ *pb.TxnRequest) (*pb.TxnResponse, error) {
	return f.txn(ctx)
}

func startFake(t *testing.T, txn func(ctx context.Context) (*pb.TxnResponse, error)) *etcd.Client {
	t.Helper()
	return serveFake(t, func(server *grpc.Server) {
		pb.RegisterKVServer(server, fakeKV{
			txn: txn,
		})
	})
}

func serveFake(t *testing.T, register func(*grpc.Server)) *etcd.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	register(server)
	var running tomb.Tomb
	running.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, running.Wait())
	})
	return dial(t, etcd.Options{}, listener.Addr().String())
}

func TestWriteOutcomeByStatus(t *testing.T) {
	outcome := func(code codes.Code, message string) error {
		kv := startFake(t, func(context.Context) (*pb.TxnResponse, error) {
			return nil, status.Error(code, message)
		})
		_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
		return outcomeOf(err)
	}
	require.Equal(t, store.ErrUnavailable, outcome(codes.ResourceExhausted, "etcdserver: too many requests"))
	require.Equal(t, store.ErrUnavailable, outcome(codes.InvalidArgument, "etcdserver: request is too large"))
	// etcd applies the write that exceeds its space quota, and then reports the excess.
	require.Equal(t, store.ErrUnknownOutcome, outcome(codes.ResourceExhausted, "etcdserver: mvcc: database space exceeded"))
	for _, code := range []codes.Code{codes.Unavailable, codes.DeadlineExceeded, codes.Unknown, codes.Internal, codes.Aborted} {
		require.Equal(t, store.ErrUnknownOutcome, outcome(code, "request timed out"), "%s", code)
	}
}

// The service starts a response, as after a write that it executed, and ends it with a
// status that otherwise means a refusal. This doesn't prove that nothing was written.
func TestRefusalAfterHeaderIsUnknown(t *testing.T) {
	kv := startFake(t, func(ctx context.Context) (*pb.TxnResponse, error) {
		if err := grpc.SendHeader(ctx, metadata.MD{}); err != nil {
			return nil, err
		}
		return nil, status.Error(codes.ResourceExhausted, "too many requests")
	})
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnknownOutcome)
}

func TestFailedCompareWithoutKeysIsUnavailable(t *testing.T) {
	kv := startFake(t, func(context.Context) (*pb.TxnResponse, error) {
		return &pb.TxnResponse{}, nil
	})
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// A proxy receives the whole request, forwards it, and resets the stream with "enhance
// your calm". grpc reports that as RESOURCE_EXHAUSTED, the same code as for a quota
// refusal, though the write may have been executed.
func TestResetStreamIsUnknown(t *testing.T) {
	address := listenRaw(t, func(connection net.Conn) error {
		return resetFirstStream(connection, http2.ErrCodeEnhanceYourCalm)
	})
	kv := dial(t, etcd.Options{}, address)
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorContains(t, err, codes.ResourceExhausted.String())
	require.ErrorIs(t, err, store.ErrUnknownOutcome)
}

// A server accepts connections and never sends anything, like a hung process. No call
// can be sent there, which proves that nothing was written.
func TestUnresponsiveServerIsUnavailable(t *testing.T) {
	address := listenRaw(t, func(connection net.Conn) error {
		_, err := io.Copy(io.Discard, connection)
		return err
	})
	kv := dial(t, etcd.Options{
		CallTimeout: 50 * time.Millisecond,
	}, address)
	_, err := kv.Swap(t.Context(), putOver("claim", "boat", store.Entry{}))
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// listenRaw serves TCP connections until the test ends.
func listenRaw(t *testing.T, serve func(net.Conn) error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var running tomb.Tomb
	running.Go(func() error {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return nil
			}
			running.Go(func() error {
				defer connection.Close()
				_ = serve(connection)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		require.NoError(t, running.Wait())
	})
	return listener.Addr().String()
}

func resetFirstStream(connection net.Conn, code http2.ErrCode) error {
	if _, err := io.ReadFull(connection, make([]byte, len(http2.ClientPreface))); err != nil {
		return err
	}
	framer := http2.NewFramer(connection, connection)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return err
		}
		data, ok := frame.(*http2.DataFrame)
		if !ok || !data.StreamEnded() {
			continue
		}
		if err := framer.WriteRSTStream(data.StreamID, code); err != nil {
			return err
		}
	}
}
