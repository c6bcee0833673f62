package grpcpeer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadaloom/internal/wire/gatewaypeerpb"
)

// silencer is a listener whose open connections can go silent for good: their kernel drops what
// arrives, and doesn't acknowledge it.
type silencer struct {
	net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

func (s *silencer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, conn)
	return conn, nil
}

func (s *silencer) silenceAll(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropAll := unix.SockFprog{
		Len: 1,
		Filter: &unix.SockFilter{
			Code: unix.BPF_RET | unix.BPF_K,
		},
	}
	for _, conn := range s.accepted {
		raw, err := conn.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			require.NoError(t, unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll))
		}))
	}
}

// Guards against a kept connection to a peer that went silent without a reset, and over which a
// host goes on to call in vain.
func TestSilentConnectionToPeerIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := &silencer{
		Listener: listener,
	}
	server := grpc.NewServer()
	gatewaypeerpb.RegisterPeerServer(server, gatewaypeerpb.UnimplementedPeerServer{})
	go func() { _ = server.Serve(peer) }()
	defer server.Stop()
	var pool Pool
	defer pool.Close()
	isAnswered := func() bool {
		connection, err := pool.Connection(listener.Addr().String())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err = gatewaypeerpb.NewPeerClient(connection).Borrow(ctx, &gatewaypeerpb.Need{})
		return status.Code(err) == codes.Unimplemented
	}
	require.Eventually(t, isAnswered, 5*time.Second, 10*time.Millisecond)
	peer.silenceAll(t)
	require.False(t, isAnswered(), "the open connection is silent")
	require.Eventually(t, isAnswered, 4*unacknowledgedTimeout, 10*time.Millisecond)
}
