// Package grpcpeer has what the services between entry hosts share: one
// connection to each peer, and a listener.
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
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/peer/meter"
)

// Bounds of a connection between peers. A peer that was cut off without a word
// is noticed by the keepalive, not by the next call.
const (
	maxMessage       = 16 << 20
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
)

// Server listens for peers. The zero value works, once.
type Server struct {
	// Fleet gives the fleet of this host, if there is more than one: calls of hosts of
	// another are refused.
	Fleet Fleet
	tomb  tomb.Tomb
	grpc  *grpc.Server
}

// Start listens at an address ("ip:port"; port 0 takes any), registers the
// services and gives the address that it got. counted may be nil.
func (s *Server) Start(address string, register func(grpc.ServiceRegistrar), counted *meter.Meter) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for peers at %s", address)
	}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.UnaryInterceptor(s.Fleet.admit),
	)
	register(s.grpc)
	bound := listener.Addr().String()
	if counted != nil {
		listener = counted.Listener(listener)
	}
	s.tomb.Go(func() error {
		return s.grpc.Serve(listener)
	})
	return bound, nil
}

// Stop ends the calls under way and gives the first error. A server that was never
// started has nothing to stop.
func (s *Server) Stop() error {
	if s.grpc == nil {
		return nil
	}
	s.tomb.Kill(nil)
	s.grpc.Stop()
	return s.tomb.Wait()
}

// Pool keeps one connection to each peer. The zero value works; it is safe for
// many goroutines.
type Pool struct {
	// Meter counts what the connections carry; nil counts nothing.
	Meter *meter.Meter
	// Fleet gives the fleet of this host, if there is more than one; calls name it.
	Fleet       Fleet
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	closed      bool
}

// Connection gives the connection to the peer at an address ("ip:port").
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
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return p.Meter.Dial(ctx, "tcp", address)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithUnaryInterceptor(p.Fleet.name))
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	if p.connections == nil {
		p.connections = make(map[string]*grpc.ClientConn)
	}
	p.connections[address] = connection
	return connection, nil
}

// Warm opens the connection to a peer before the first call: between regions it takes
// longer than a call may.
func (p *Pool) Warm(address string) error {
	connection, err := p.Connection(address)
	if err != nil {
		return err
	}
	connection.Connect()
	return nil
}

// Count gives how many connections the pool has.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Drop closes the connection to one peer: the next call opens another. A peer
// that does not answer may live behind a connection that has gone silent.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, found := p.connections[address]; found {
		_ = connection.Close()
		delete(p.connections, address)
	}
}

// Keep closes the connections to all peers but those at the addresses given, so
// that replaced hosts leave nothing behind.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, connection := range p.connections {
		if !addresses[address] {
			_ = connection.Close()
			delete(p.connections, address)
		}
	}
}

// Close closes all connections. Connection gives no more after it.
func (p *Pool) Close() {
	p.Keep(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
