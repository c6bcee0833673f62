package tunnelpeer

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/peer/grpcpeer"
)

// peerFunc is a peer that connects to servers by a function.
type peerFunc func() (net.Conn, error)

func (f peerFunc) OpenForPeer(context.Context, paths.Server) (net.Conn, error) {
	return f()
}

// dial opens a tunnel through a peer.
func dial(t *testing.T, peer peerFunc) (*Conn, error) {
	var server grpcpeer.Server
	address, err := server.Start("127.0.0.1:0", func(registrar grpc.ServiceRegistrar) { Register(registrar, peer) }, nil)
	require.NoError(t, err)
	var pool grpcpeer.Pool
	t.Cleanup(func() {
		pool.Close()
		require.NoError(t, server.Stop())
	})
	client := Client{
		Pool: &pool,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return client.Dial(ctx, address, paths.Server{
		Name: "s",
	})
}

// serve runs a server for one connection and returns a peer that connects to it.
func serve(t *testing.T, handle func(*net.TCPConn)) peerFunc {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			handle(conn.(*net.TCPConn))
		}
	}()
	return func() (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }
}

// Guards against bytes that are lost, doubled or reordered on the way through a peer.
func TestTunnelPassesBytesOn(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	conn, err := dial(t, serve(t, func(server *net.TCPConn) {
		_, _ = io.CopyN(server, server, int64(len(sent)))
		_ = server.Close()
	}))
	require.NoError(t, err)
	defer conn.Close()
	go func() { _, _ = conn.Write(sent) }()
	received, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, received))
}

// Guards against an answer without a length that looks whole though its connection broke.
func TestBrokenConnectionIsNoEndOfTunnel(t *testing.T) {
	conn, err := dial(t, serve(t, func(server *net.TCPConn) {
		_, _ = io.WriteString(server, "a part")
		time.Sleep(50 * time.Millisecond) // a reset overtakes what has not been read
		_ = server.SetLinger(0)
		_ = server.Close()
	}))
	require.NoError(t, err)
	defer conn.Close()
	received, err := io.ReadAll(conn)
	require.Equal(t, "a part", string(received))
	require.Error(t, err)
}

// Guards against a server's reset that the peer's writer takes, and that looks like the end of the
// server's answer.
func TestResetDuringWriteIsNoEndOfTunnel(t *testing.T) {
	for range 20 {
		conn, err := dial(t, serve(t, func(server *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, server, 1)
			_, _ = io.WriteString(server, "a part")
			time.Sleep(5 * time.Millisecond)
			_ = server.SetLinger(0)
			_ = server.Close()
		}))
		require.NoError(t, err)
		go func() { _, _ = conn.Write(make([]byte, 12<<20)) }()
		_, err = io.ReadAll(conn)
		require.Error(t, err)
		require.NoError(t, conn.Close())
	}
}

// Guards against a request that outlasts its deadline because its connection leads through a peer.
func TestDeadlineEndsRead(t *testing.T) {
	conn, err := dial(t, serve(t, func(server *net.TCPConn) { _, _ = io.Copy(io.Discard, server) }))
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a server that sends without end to a host that does not read.
func TestTunnelHoldsBoundedBytes(t *testing.T) {
	const limit = 16 << 20
	sent := make(chan int64, 1)
	conn, err := dial(t, serve(t, func(server *net.TCPConn) {
		_ = server.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		n, _ := io.Copy(server, io.LimitReader(zeros{}, 4*limit))
		sent <- n
	}))
	require.NoError(t, err)
	defer conn.Close()
	require.Less(t, <-sent, int64(limit))
}

// zeros reads as zeros without end.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) {
	return len(buffer), nil
}

// Guards against a peer's answer that is taken for another one.
func TestDialReturnsWhyThePeerCannot(t *testing.T) {
	_, err := dial(t, func() (net.Conn, error) { return nil, ErrUnable })
	require.ErrorIs(t, err, ErrUnable)
	_, err = dial(t, func() (net.Conn, error) { return nil, errors.New("connection refused") })
	require.ErrorIs(t, err, ErrUnreachable)
}
