// Package entryhost is what entry hosts say to one another, over gRPC.
//
// There are seven calls. Exchange is the heartbeat: each side tells the beats,
// documents, loads, suspects and leaving backend servers that it knows, and
// each part carries what orders it, so that telling it twice or late does no
// harm. Claim, Finish and Release go to the home of a key's partition. Demand
// goes to the host that leads the placement. Burn collects the counts for the
// report on service-level burn, and Decisions what a host decided of late, for
// whoever asks why.
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
// The wire form is proto/entryhost/entryhost.proto. All times on it are
// instants in Unix nanoseconds.
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
	"cicadaloom/internal/wire/entryhostpb"
)

// Knowledge is what one host tells another.
type Knowledge struct {
	// Peers has the sender first.
	Peers []membership.Peer
	Beats []membership.Beat
	// Told is how far the sender has now told, From the place after which this
	// word begins, Have how far the sender has taken in the receiver's word.
	Told      Marks
	From      Marks
	Have      Marks
	Documents documents.Word
	Loads     map[ident.ServerName]int64
	Suspects  []suspects.Suspect
	Leaving   []routing.ServerLeaving
	// WantsReports tells that the sender relies on peers for reports; with
	// AllReports, for those of every region alike.
	WantsReports bool
	AllReports   bool
	// Reports is what the receiver has not heard of backend servers.
	Reports reports.Word
	// More tells that not everything fitted in.
	More bool
}

// Sender gives the host whose word it is, the zero Peer for an empty word.
func (k *Knowledge) Sender() membership.Peer {
	if len(k.Peers) == 0 {
		return membership.Peer{}
	}
	return k.Peers[0]
}

// Marks are places in the news of one life of a host, its Epoch.
type Marks struct {
	Epoch   uint64
	Peers   uint64
	Reports uint64
}

// Counts are one host's rows for the report on service-level burn.
type Counts struct {
	Host ident.HostID
	Rows []burn.Row
}

// Handler answers peers.
type Handler interface {
	Exchange(ctx context.Context, theirs Knowledge) (Knowledge, error)
	Counts(ctx context.Context) (Counts, error)
	Demand(ctx context.Context, told demand.Told) error
	// Decisions gives what this host itself decided.
	Decisions(ctx context.Context, query decisions.Query) ([]decisions.Decision, error)
	// The calls on claims are for an attempt of another host, their Origin.
	ClaimFor(ctx context.Context, claim claims.Claim) (claims.Answer, error)
	FinishFor(ctx context.Context, finish claims.Finish) (bool, error)
	ReleaseFor(ctx context.Context, release claims.Release) (bool, error)
}

// Metered is a Handler that wants to know what its peers' connections carry.
type Metered interface {
	Meter() *meter.Meter
}

// Server listens for peers.
type Server struct {
	Handler Handler
	// Fleet gives the fleet of this host: others' calls are refused.
	Fleet  grpcpeer.Fleet
	server grpcpeer.Server
}

// Start listens at an address ("ip:port"; port 0 takes any) and gives the
// address that it got.
func (s *Server) Start(address string) (string, error) {
	var counted *meter.Meter
	if metered, wanted := s.Handler.(Metered); wanted {
		counted = metered.Meter()
	}
	s.server.Fleet = s.Fleet
	return s.server.Start(address, func(registrar grpc.ServiceRegistrar) {
		entryhostpb.RegisterEntryHostServer(registrar, &service{
			handler: s.Handler,
		})
	}, counted)
}

// Stop ends the calls under way and gives the first error.
func (s *Server) Stop() error {
	return s.server.Stop()
}

// service maps the wire form to the handler's.
type service struct {
	entryhostpb.UnimplementedEntryHostServer
	handler Handler
}

func (s *service) Exchange(ctx context.Context, theirs *entryhostpb.Knowledge) (*entryhostpb.Knowledge, error) {
	ours, err := s.handler.Exchange(ctx, decodeKnowledge(theirs))
	if err != nil {
		return nil, err
	}
	return encodeKnowledge(ours), nil
}

func (s *service) Burn(ctx context.Context, _ *entryhostpb.BurnRequest) (*entryhostpb.BurnResponse, error) {
	counts, err := s.handler.Counts(ctx)
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
	answer, err := s.handler.ClaimFor(ctx, decodeClaim(request))
	if err != nil {
		return nil, err
	}
	return encodeAnswer(answer), nil
}

func (s *service) Finish(ctx context.Context, request *entryhostpb.FinishRequest) (*entryhostpb.RecordedResponse, error) {
	recorded, err := s.handler.FinishFor(ctx, decodeFinish(request))
	if err != nil {
		return nil, err
	}
	return &entryhostpb.RecordedResponse{
		Recorded: recorded,
	}, nil
}

func (s *service) Release(ctx context.Context, request *entryhostpb.ReleaseRequest) (*entryhostpb.RecordedResponse, error) {
	recorded, err := s.handler.ReleaseFor(ctx, decodeRelease(request))
	if err != nil {
		return nil, err
	}
	return &entryhostpb.RecordedResponse{
		Recorded: recorded,
	}, nil
}
