// Package streampeer sends the origins of streams to the entry hosts that keep them, and asks those
// for them (package control/streams). It translates between Go types and
// the wire form, proto/streams/streams.proto. On the wire instants are durations from the
// message on: the clocks of hosts differ.
//
// Register adds the service to a host's gRPC server; Client calls over a pool of connections.
// Both are safe for concurrent use.
//
// # Usage
//
//	streampeer.Register(registrar, handler)
//	...
//	client := streampeer.Client{
//		Pool: &pool,
//	}
//	err := client.Keep(ctx, "10.0.0.4:8144", kept)
//	answer, err := client.Find(ctx, "10.0.0.4:8144", streams.IDOf(request.ResumedRequest), "brief-models")
package streampeer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/wire/streamspb"
)

// Handler answers the calls of peers. It must be safe for many goroutines.
type Handler interface {
	// KeepStreams keeps the origins of a peer's streams.
	KeepStreams(kept []streams.Stream)
	// FindOrigin answers from what this host itself knows.
	FindOrigin(id streams.ID, service ident.ServiceName) streams.Answer
}

// Register adds the service to a gRPC server.
func Register(registrar grpc.ServiceRegistrar, handler Handler) {
	streamspb.RegisterStreamsServer(registrar, &service{
		handler: handler,
	})
}

type service struct {
	streamspb.UnimplementedStreamsServer
	handler Handler
}

func (s *service) Keep(_ context.Context, wire *streamspb.KeepAsk) (*streamspb.KeepAnswer, error) {
	now := time.Now()
	kept := make([]streams.Stream, 0, len(wire.GetStreams()))
	for _, stream := range wire.GetStreams() {
		kept = append(kept, streams.Stream{
			ID:     streams.ID(stream.GetId()),
			Origin: decodeOrigin(stream.GetOrigin(), now),
		})
	}
	s.handler.KeepStreams(kept)
	return &streamspb.KeepAnswer{}, nil
}

func (s *service) Find(_ context.Context, wire *streamspb.FindAsk) (*streamspb.FindAnswer, error) {
	answer := s.handler.FindOrigin(streams.ID(wire.GetId()), ident.ServiceName(wire.GetService()))
	encoded := &streamspb.FindAnswer{}
	if answer.Known {
		encoded.Origin = encodeOrigin(&answer.Origin, time.Now())
	}
	for _, build := range answer.Builds {
		encoded.Builds = append(encoded.Builds, string(build))
	}
	return encoded, nil
}

// Client calls peers.
type Client struct {
	Pool *grpcpeer.Pool
}

// Keep passes the origins of streams on to the host at an address.
func (c Client) Keep(ctx context.Context, address string, kept []streams.Stream) error {
	connection, err := c.Pool.Connection(address)
	if err != nil {
		return err
	}
	now := time.Now()
	wire := &streamspb.KeepAsk{}
	for i := range kept {
		wire.Streams = append(wire.Streams, &streamspb.Stream{
			Id:     uint64(kept[i].ID),
			Origin: encodeOrigin(&kept[i].Origin, now),
		})
	}
	_, err = streamspb.NewStreamsClient(connection).Keep(ctx, wire)
	return errors.Wrapf(err, "send origins of streams to %s", address)
}

// Find asks the host at an address for the origin of a stream that is now for a service.
func (c Client) Find(ctx context.Context, address string, id streams.ID, service ident.ServiceName) (streams.Answer, error) {
	connection, err := c.Pool.Connection(address)
	if err != nil {
		return streams.Answer{}, err
	}
	wire, err := streamspb.NewStreamsClient(connection).Find(ctx, &streamspb.FindAsk{
		Id:      uint64(id),
		Service: string(service),
	})
	if err != nil {
		return streams.Answer{}, errors.Wrapf(err, "ask %s for a stream", address)
	}
	answer := streams.Answer{
		Known: wire.GetOrigin() != nil,
	}
	if answer.Known {
		answer.Origin = decodeOrigin(wire.GetOrigin(), time.Now())
	}
	for _, build := range wire.GetBuilds() {
		answer.Builds = append(answer.Builds, ident.Build(build))
	}
	return answer, nil
}

func encodeOrigin(origin *streams.Origin, now time.Time) *streamspb.Origin {
	return &streamspb.Origin{
		Service:   string(origin.Service),
		Build:     string(origin.Build),
		ExpiresIn: int64(origin.ExpiresAt.Sub(now)),
	}
}

func decodeOrigin(wire *streamspb.Origin, now time.Time) streams.Origin {
	return streams.Origin{
		Service:   ident.ServiceName(wire.GetService()),
		Build:     ident.Build(wire.GetBuild()),
		ExpiresAt: now.Add(min(time.Duration(wire.GetExpiresIn()), maxExpiry)),
	}
}

// maxExpiry bounds how long a peer can have an origin kept.
const maxExpiry = time.Hour
