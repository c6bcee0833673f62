// Package tunnelpeer has the call by which an entry host connects to a backend server through
// a peer, another entry host (package control/paths decides when). It translates between the
// wire form, proto/tunnel/tunnel.proto, and net.Conn.
//
// The peer passes bytes on and knows nothing of requests: deadlines, repeats, retry budgets
// and resumption stay with the host that has the client. When that host closes the
// connection, the peer closes the one to the server at once. Each direction holds a few
// kilobytes and waits where the receiver does not read.
//
// Register adds the service to a host's gRPC server; Client dials over a pool of
// connections. Both are safe for concurrent use.
//
// # Usage
//
//	tunnelpeer.Register(registrar, handler)
//	...
//	client := tunnelpeer.Client{
//		Pool: &pool,
//	}
//	conn, err := client.Dial(ctx, "10.0.0.4:8144", server)
//	if errors.Is(err, tunnelpeer.ErrUnreachable) {
//		// the server has failed, or the peer doesn't know it yet
//	}
//
// # Errors
//
// Dial returns ErrUnreachable, ErrUnable, or the error of a peer that does not answer. Read
// returns io.EOF only if the server has closed the connection; a connection that broke, at
// either side of the peer, is another error.
package tunnelpeer

import (
	"bytes"
	"context"
	"io"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/peer/tcpconn"
	"cicadaloom/internal/wire/tunnelpb"
)

var (
	// ErrUnable means that the peer is cut off from all servers, stops, or has no room.
	ErrUnable = errors.New("the peer can't connect to servers for others")
	// ErrUnreachable means that the peer reaches servers, but not this one, or does not know it.
	ErrUnreachable = errors.New("the peer does not reach the server")
)

// frameBytes is the largest part of a connection's bytes in one frame.
const frameBytes = 16 << 10

// Handler opens connections for peers. It must be safe for many goroutines.
type Handler interface {
	// OpenForPeer connects to a server. The error is ErrUnable, or that of the connection.
	OpenForPeer(ctx context.Context, server paths.Server) (net.Conn, error)
}

// Register adds the service to a gRPC server.
func Register(registrar grpc.ServiceRegistrar, handler Handler) {
	tunnelpb.RegisterTunnelServer(registrar, &service{
		handler: handler,
	})
}

type service struct {
	tunnelpb.UnimplementedTunnelServer
	handler Handler
}

type frameStream = grpc.BidiStreamingServer[tunnelpb.Frame, tunnelpb.Frame]

func (s *service) Open(stream frameStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	conn, err := s.handler.OpenForPeer(stream.Context(), paths.Server{
		Name:        ident.ServerName(first.GetServer()),
		Incarnation: ident.Incarnation(first.GetIncarnation()),
	})
	if err != nil {
		return stream.Send(&tunnelpb.Frame{
			Outcome: outcomeOf(err),
		})
	}
	conn = tcpconn.Wrap(conn)
	defer func() { _ = conn.Close() }() // an error means that it is closed already
	detach := context.AfterFunc(stream.Context(), func() { _ = conn.Close() })
	defer detach()
	if err := stream.Send(&tunnelpb.Frame{
		Outcome: tunnelpb.Outcome_OPENED,
	}); err != nil {
		return err
	}
	// The goroutine ends when the stream does, which is after Open has returned.
	var requests tomb.Tomb
	requests.Go(func() error { return copyToServer(conn, stream) })
	return copyToPeer(stream, conn)
}

func outcomeOf(err error) tunnelpb.Outcome {
	if errors.Is(err, ErrUnable) {
		return tunnelpb.Outcome_UNABLE
	}
	return tunnelpb.Outcome_UNREACHABLE
}

// copyToServer passes the peer's bytes on, and closes the connection when the peer has ended
// the stream.
func copyToServer(conn net.Conn, stream frameStream) error {
	defer func() { _ = conn.Close() }() // an error means that it is closed already
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if _, err := conn.Write(frame.GetData()); err != nil {
			return err
		}
	}
}

// copyToPeer passes the server's bytes on until it closes the connection.
func copyToPeer(stream frameStream, conn net.Conn) error {
	buffer := make([]byte, frameBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(&tunnelpb.Frame{
				Data: bytes.Clone(buffer[:n]),
			}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// Client connects to servers through peers.
type Client struct {
	Pool *grpcpeer.Pool
}

// Dial connects to a server through the peer at an address. The context bounds only the
// opening.
func (c Client) Dial(ctx context.Context, address string, server paths.Server) (*Conn, error) {
	connection, err := c.Pool.Connection(address)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	stream, err := open(streamCtx, connection, server)
	if err != nil {
		cancel()
		return nil, err
	}
	if !detach() {
		return nil, ctx.Err()
	}
	return newConn(stream, cancel, address), nil
}

type clientStream = grpc.BidiStreamingClient[tunnelpb.Frame, tunnelpb.Frame]

func open(ctx context.Context, connection *grpc.ClientConn, server paths.Server) (clientStream, error) {
	stream, err := tunnelpb.NewTunnelClient(connection).Open(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open a tunnel")
	}
	if err := stream.Send(&tunnelpb.Frame{
		Server:      string(server.Name),
		Incarnation: string(server.Incarnation),
	}); err != nil {
		return nil, errors.Wrap(err, "open a tunnel")
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "open a tunnel")
	}
	switch first.GetOutcome() {
	case tunnelpb.Outcome_OPENED:
		return stream, nil
	case tunnelpb.Outcome_UNREACHABLE:
		return nil, ErrUnreachable
	default:
		return nil, ErrUnable
	}
}
