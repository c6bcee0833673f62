// Package entryhost is the gRPC service between entry hosts: its client, its server,
// and the mapping between protobuf messages and the types of the control packages.
//
// The service has seven calls, besides that of package permitpeer:
//
//   - Exchange is the heartbeat. Each side sends the heartbeats, documents, server
//     loads, suspects and leaving backend servers that it knows. Each part carries its
//     own version or position, so duplicates and late messages do no harm.
//   - Claim, Finish and Release go to the owner of the partition of an idempotency key.
//   - Demand sends request rates to the leader of the placement.
//   - Burn fetches a host's request counts for the report on service-level burn.
//   - Decisions fetches a host's recent decisions, to explain them to an operator.
//
// Server passes the calls of peers to a Handler, each in a goroutine of its own; Pool
// makes calls to peers. Both are safe for concurrent use. The control loop implements
// Handler and holds the Pool.
//
// # Usage
//
//	server := entryhost.Server{
//		Handler: loop,
//	}
//	address, err := server.Start("127.0.0.1:7300")
//	...
//	var pool entryhost.Pool
//	theirs, err := pool.Exchange(ctx, peer.Address, ours)
//
// The wire format is proto/entryhost/entryhost.proto. Its times are Unix nanoseconds,
// or the unit that a field's name says.
package entryhost

import (
	"context"

	"google.golang.org/grpc"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/peer/meter"
	"cicadaloom/internal/peer/permitpeer"
	"cicadaloom/internal/wire/entryhostpb"
)

// Message is what each of two hosts sends the other in an exchange.
type Message struct {
	// Peers has the sender first.
	Peers      []membership.Peer
	Heartbeats []membership.Heartbeat
	// SentThrough is the sender's position after this message and SentAfter the
	// position before it: the message carries the changes between the two.
	// ReceivedThrough is the position up to which the sender has received the
	// receiver's messages.
	SentThrough     Cursors
	SentAfter       Cursors
	ReceivedThrough Cursors
	Documents       documents.Message
	ServerLoads     map[ident.ServerName]int64
	Suspects        []suspects.Suspect
	LeavingServers  []routing.ServerLeaving
	// WantsReports says that the sender relies on peers for reports of backend servers;
	// WantsAllRegions that it wants those of every region.
	WantsReports    bool
	WantsAllRegions bool
	// Reports are the reports of backend servers that the receiver does not have yet.
	Reports reports.Message
	// HasMore says that the sender has more changes than fit into this message.
	HasMore bool
}

// Sender returns the host that sent the message, the zero Peer for an empty message.
func (m *Message) Sender() membership.Peer {
	if len(m.Peers) == 0 {
		return membership.Peer{}
	}
	return m.Peers[0]
}

// Cursors are positions in the sequences of changes that one host sends. Epoch
// identifies the host's incarnation; positions of different epochs do not compare.
type Cursors struct {
	Epoch   uint64
	Peers   uint64
	Reports uint64
}

// BurnCounts are one host's rows for the report on service-level burn.
type BurnCounts struct {
	Host ident.HostID
	Rows []burn.Row
}

// Handler serves the calls of peers. Its methods are called concurrently.
type Handler interface {
	permitpeer.Handler
	Exchange(ctx context.Context, theirs Message) (Message, error)
	BurnCounts(ctx context.Context) (BurnCounts, error)
	Demand(ctx context.Context, rates demand.HostRates) error
	// Decisions returns what this host itself decided.
	Decisions(ctx context.Context, query decisions.Query) ([]decisions.Decision, error)
	// The next three serve an attempt of another host, which the Origin field names;
	// this host owns the partition.
	ClaimForPeer(ctx context.Context, claim claims.Claim) (claims.Answer, error)
	FinishForPeer(ctx context.Context, finish claims.Finish) (bool, error)
	ReleaseForPeer(ctx context.Context, release claims.Release) (bool, error)
}

// Metered is a Handler whose server counts the bytes of its connections.
type Metered interface {
	Meter() *meter.Meter
}

// Server listens for peers.
type Server struct {
	Handler Handler
	// Fleet returns the fleet of this host: calls from other fleets are refused.
	Fleet  grpcpeer.FleetFunc
	server grpcpeer.Server
}

// Start listens at an address ("ip:port"; port 0 takes any free one) and returns the
// bound address.
func (s *Server) Start(address string) (string, error) {
	var connMeter *meter.Meter
	if metered, ok := s.Handler.(Metered); ok {
		connMeter = metered.Meter()
	}
	s.server.Fleet = s.Fleet
	return s.server.Start(address, func(registrar grpc.ServiceRegistrar) {
		entryhostpb.RegisterEntryHostServer(registrar, &service{
			handler: s.Handler,
		})
		permitpeer.Register(registrar, s.Handler)
	}, connMeter)
}

// Stop aborts the calls in flight and returns the first error.
func (s *Server) Stop() error {
	return s.server.Stop()
}

// service implements the gRPC service: it decodes requests, calls the handler and
// encodes its results.
type service struct {
	entryhostpb.UnimplementedEntryHostServer
	handler Handler
}

func (s *service) Exchange(ctx context.Context, request *entryhostpb.Knowledge) (*entryhostpb.Knowledge, error) {
	response, err := s.handler.Exchange(ctx, decodeMessage(request))
	if err != nil {
		return nil, err
	}
	return encodeMessage(response), nil
}

func (s *service) Burn(ctx context.Context, _ *entryhostpb.BurnRequest) (*entryhostpb.BurnResponse, error) {
	counts, err := s.handler.BurnCounts(ctx)
	if err != nil {
		return nil, err
	}
	return encodeCounts(counts), nil
}

func (s *service) Demand(ctx context.Context, request *entryhostpb.DemandRequest) (*entryhostpb.DemandResponse, error) {
	if err := s.handler.Demand(ctx, decodeDemand(request)); err != nil {
		return nil, err
	}
	return &entryhostpb.DemandResponse{}, nil
}

func (s *service) Claim(ctx context.Context, request *entryhostpb.ClaimRequest) (*entryhostpb.ClaimResponse, error) {
	answer, err := s.handler.ClaimForPeer(ctx, decodeClaim(request))
	if err != nil {
		return nil, err
	}
	return encodeAnswer(answer), nil
}

func (s *service) Finish(ctx context.Context, request *entryhostpb.FinishRequest) (*entryhostpb.RecordedResponse, error) {
	recorded, err := s.handler.FinishForPeer(ctx, decodeFinish(request))
	if err != nil {
		return nil, err
	}
	return &entryhostpb.RecordedResponse{
		Recorded: recorded,
	}, nil
}

func (s *service) Release(ctx context.Context, request *entryhostpb.ReleaseRequest) (*entryhostpb.RecordedResponse, error) {
	recorded, err := s.handler.ReleaseForPeer(ctx, decodeRelease(request))
	if err != nil {
		return nil, err
	}
	return &entryhostpb.RecordedResponse{
		Recorded: recorded,
	}, nil
}
