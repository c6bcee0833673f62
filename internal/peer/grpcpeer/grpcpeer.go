// Package grpcpeer has the common base of the gRPC services between hosts: a Pool with
// one connection to each peer, and a Server. The packages entryhost and gatewaypeer
// build on it. Both check that the peers belong to the same fleet.
//
// A Server serves in a goroutine of its own, which Stop ends. A Pool is protected by a
// mutex, which is never held during a call.
//
// # Usage
//
//	var pool grpcpeer.Pool
//	connection, err := pool.Connection("10.0.0.7:7380")
//	answer, err := somepb.NewSomeClient(connection).Call(ctx, request)
//
//	var server grpcpeer.Server
//	address, err := server.Start("10.0.0.3:7380", func(s grpc.ServiceRegistrar) {
//		somepb.RegisterSomeServer(s, handler)
//	}, nil)
//	...
//	err = server.Stop()
package grpcpeer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/peer/meter"
)

// Limits of a connection between peers. Keepalive pings detect a peer that became
// unreachable without closing the connection before the next call does.
const (
	maxMessageBytes  = 16 << 20
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// connectTimeout is how long a connection may take to open, unacknowledgedTimeout how long
	// sent bytes may stay unacknowledged.
	connectTimeout        = 2 * time.Second
	unacknowledgedTimeout = 2 * time.Second
)

// Server listens for peers. The zero value is ready to start, once.
type Server struct {
	// Fleet returns the fleet of this host, if there is more than one: calls from other
	// fleets are refused.
	Fleet FleetFunc
	tomb  tomb.Tomb
	grpc  *grpc.Server
}

// Start listens at an address ("ip:port"; port 0 takes any free one), registers the
// services and returns the bound address. connMeter may be nil.
func (s *Server) Start(address string, register func(grpc.ServiceRegistrar), connMeter *meter.Meter) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for peers at %s", address)
	}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.UnaryInterceptor(s.Fleet.checkFleet),
	)
	register(s.grpc)
	bound := listener.Addr().String()
	if connMeter != nil {
		listener = connMeter.Listener(listener)
	}
	s.tomb.Go(func() error {
		return s.grpc.Serve(listener)
	})
	return bound, nil
}

// Stop aborts the calls in flight and returns the first error. Stopping a server that
// was never started does nothing.
func (s *Server) Stop() error {
	if s.grpc == nil {
		return nil
	}
	s.tomb.Kill(nil)
	s.grpc.Stop()
	return s.tomb.Wait()
}

// Pool keeps one connection to each peer. The zero value is ready to use; it is safe
// for concurrent use.
type Pool struct {
	// Meter counts the bytes of the connections; nil counts nothing.
	Meter *meter.Meter
	// Fleet returns the fleet of this host, if there is more than one; each call
	// carries it.
	Fleet       FleetFunc
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	closed      bool
}

// Connection returns the connection to the peer at an address ("ip:port").
func (p *Pool) Connection(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("the pool of peers is closed")
	}
	if connection, found := p.connections[address]; found {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(p.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithUnaryInterceptor(p.Fleet.attachFleet))
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	if p.connections == nil {
		p.connections = make(map[string]*grpc.ClientConn)
	}
	p.connections[address] = connection
	return connection, nil
}

// dial opens a TCP connection that the kernel ends once sent bytes stay unacknowledged for
// unacknowledgedTimeout. A connection may go silent for good while new ones work, and a call that
// isn't answered in time doesn't tell that from a slow peer. Without keep-alive probes: with both,
// one lost probe would end an idle connection.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   connectTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option, callers that drop connections after a timeout still replace them.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return p.Meter.Wrap(connection), nil
}

// Connect establishes the connection to a peer before the first call: between regions
// that takes longer than the timeout of a call.
func (p *Pool) Connect(address string) error {
	connection, err := p.Connection(address)
	if err != nil {
		return err
	}
	connection.Connect()
	return nil
}

// ConnectionCount returns the number of connections.
func (p *Pool) ConnectionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Drop closes the connection to one peer; the next call opens a new one. A peer that
// does not answer may be reachable over a new connection if the old one is dead.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, found := p.connections[address]; found {
		_ = connection.Close()
		delete(p.connections, address)
	}
}

// CloseOthers closes the connections to all peers but those at the given addresses, so
// that replaced hosts leave no connections behind.
func (p *Pool) CloseOthers(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, connection := range p.connections {
		if !addresses[address] {
			_ = connection.Close()
			delete(p.connections, address)
		}
	}
}

// Close closes all connections. Connection fails after it.
func (p *Pool) Close() {
	p.CloseOthers(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
