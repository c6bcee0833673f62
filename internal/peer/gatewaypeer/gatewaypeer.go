// Package gatewaypeer has the calls between entry hosts that take their configuration and
// backend servers from a key-value service. It translates between Go types and the wire
// form, proto/gatewaypeer/gatewaypeer.proto; Server receives calls for a Handler, which the
// package host/gateway implements, and Pool sends them.
//
// There are six calls, besides those of packages permitpeer, tunnelpeer and streampeer:
//
//   - Exchange sends a message and returns the peer's. Both have the sender's configuration
//     version and suspects. The caller adds its demand for models; the reply adds what has
//     changed in the fleet and in the engines' inventory since the revisions that the caller
//     knows.
//   - Reserve asks a prompt scheduler which engine to send a prompt to, and when.
//   - Leave reports to the prompt scheduler that a prompt has released its slot.
//   - Borrow asks for a retry token that other hosts have transferred to the peer.
//   - Acquire asks a quota pool for a part of a client account's limit.
//   - LendQuota is what a quota pool asks that of another region when it runs short.
//
// # Usage
//
//	var server gatewaypeer.Server
//	address, err := server.Start("10.0.0.3:8144", handler)
//	...
//	var pool gatewaypeer.Pool
//	received, err := pool.Exchange(ctx, "10.0.0.4:8144", message)
//
// # Goroutines
//
// The handler is called on a goroutine per call. A Pool is safe for many goroutines.
package gatewaypeer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/peer/permitpeer"
	"cicadaloom/internal/peer/streampeer"
	"cicadaloom/internal/peer/tunnelpeer"
	"cicadaloom/internal/wire/gatewaypeerpb"
)

// Message is what one host sends another in an exchange.
type Message struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     ident.Region
	// ConfigurationVersion is that of the sender's configuration; PackedConfiguration is its
	// text as the operator wrote it, in gzip, for receivers that have an older one.
	ConfigurationVersion route.Version
	PackedConfiguration  []byte
	// LeaderToken is the sender's fencing number, 0 unless it is the leader.
	LeaderToken ident.FencingNumber
	// LastOrderAt is the latest instant, by the receiver's clock, at which the sender may have
	// sent an order: when its process last sent one, or when that process started, since an
	// earlier one may have until then.
	LastOrderAt time.Time
	Demand      []Demand
	// Paces are the paces that engines have named since the last message.
	Paces    []pace.ServerReading
	Suspects []suspects.Suspect
	// Brittleness is what the servers of services have lately said about the refusals that they bear.
	Brittleness []backend.ServiceBrittleness
	// WantsFleet and WantsInventory ask for the changes after KnownFleetRevision and
	// KnownInventory; Fleet and Inventory answer that, nil where nothing was asked.
	WantsFleet         bool
	WantsInventory     bool
	KnownFleetRevision ident.Revision
	KnownInventory     holdings.Cursor
	Fleet              *entries.Update
	Inventory          *holdings.Update
	// TakesPackedFleet is whether the sender reads PackedFleet: all entries, as MarshalFleet
	// returns them, in gzip. Fleet then has the changes after them.
	TakesPackedFleet bool
	PackedFleet      []byte
	// TokenTransfers are retry tokens that the sender gives up: the receiver may lend them.
	TokenTransfers []retries.Transfer
	// StoreAnsweredAt is when the key-value service last answered the sender, or the peer whose
	// view of the fleet it uses; StoreFailedAt is when it last failed. Both are zero where it
	// never did.
	StoreAnsweredAt time.Time
	StoreFailedAt   time.Time
}

// Demand counts the requests for some weights since the last message.
type Demand struct {
	Service ident.ServiceName
	Weights request.Weights
	loading.Demand
}

// Handler answers peers. It must be safe for many goroutines.
type Handler interface {
	permitpeer.Handler
	tunnelpeer.Handler
	streampeer.Handler
	Exchange(ctx context.Context, received Message) (Message, error)
	// Schedule finds an engine for a prompt, and the instant to send it. It may wait.
	Schedule(ctx context.Context, prompt *pacing.Prompt) pacing.Reservation
	// Lend takes one retry token that other hosts have transferred to this one, if any is left.
	Lend(service ident.ServiceName) bool
	// Release ends a prompt's reservation of a slot at an engine.
	Release(server ident.ServerName, ticket pacing.Ticket)
	// Acquire answers a host's ask for a part of an account's limit. It may ask the quota
	// pool of another region.
	Acquire(ctx context.Context, ask quota.Ask) quota.Answer
	// LendQuota takes an amount out of an account's limit for a request in another region, and
	// otherwise returns when there may be enough.
	LendQuota(name ident.AccountName, amount account.Amount) (account.Amount, time.Duration)
}

// Server listens for peers. The zero value is ready to use, once.
type Server struct {
	server grpcpeer.Server
}

// Start listens at an address ("ip:port") and returns the address that it got.
func (s *Server) Start(address string, handler Handler) (string, error) {
	return s.server.Start(address, func(registrar grpc.ServiceRegistrar) {
		gatewaypeerpb.RegisterPeerServer(registrar, &service{
			handler: handler,
		})
		permitpeer.Register(registrar, handler)
		tunnelpeer.Register(registrar, handler)
		streampeer.Register(registrar, handler)
	}, nil)
}

// Stop ends the calls in progress and returns the first error.
func (s *Server) Stop() error {
	return s.server.Stop()
}

type service struct {
	gatewaypeerpb.UnimplementedPeerServer
	handler Handler
}

func (s *service) Exchange(ctx context.Context, received *gatewaypeerpb.Word) (*gatewaypeerpb.Word, error) {
	reply, err := s.handler.Exchange(ctx, decodeMessage(received))
	if err != nil {
		return nil, err
	}
	return encodeMessage(&reply), nil
}

func (s *service) Reserve(ctx context.Context, wire *gatewaypeerpb.Prompt) (*gatewaypeerpb.Slot, error) {
	prompt := decodePrompt(wire, time.Now())
	if len(prompt.Candidates) == 0 {
		return nil, status.Error(codes.InvalidArgument, "no engine to choose from")
	}
	reservation := s.handler.Schedule(ctx, &prompt)
	return &gatewaypeerpb.Slot{
		Wait:      int64(time.Until(reservation.SendAt)),
		Candidate: int32(reservation.Index),
		Booked:    reservation.Booked,
		Ahead:     int64(reservation.StartDelay),
		Full:      reservation.QueueFull,
	}, nil
}

func (s *service) Leave(_ context.Context, wire *gatewaypeerpb.Place) (*gatewaypeerpb.Left, error) {
	s.handler.Release(ident.ServerName(wire.GetServer()), pacing.Ticket(wire.GetTicket()))
	return &gatewaypeerpb.Left{}, nil
}

func (s *service) Borrow(_ context.Context, wire *gatewaypeerpb.Need) (*gatewaypeerpb.Loan, error) {
	return &gatewaypeerpb.Loan{
		Granted: s.handler.Lend(ident.ServiceName(wire.GetService())),
	}, nil
}

// Pool calls peers, over one connection to each. The zero value is ready to use; it is safe
// for many goroutines.
type Pool struct {
	grpcpeer.Pool
}

// Exchange sends a peer a message and returns the peer's reply.
func (p *Pool) Exchange(ctx context.Context, address string, message Message) (Message, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return Message{}, err
	}
	reply, err := gatewaypeerpb.NewPeerClient(connection).Exchange(ctx, encodeMessage(&message))
	if err != nil {
		return Message{}, errors.Wrapf(err, "exchange with %s", address)
	}
	return decodeMessage(reply), nil
}

// Reserve asks the prompt scheduler at an address for an engine, and when to send a prompt.
func (p *Pool) Reserve(ctx context.Context, address string, prompt *pacing.Prompt) (pacing.Reservation, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return pacing.Reservation{}, err
	}
	wire, err := gatewaypeerpb.NewPeerClient(connection).Reserve(ctx, encodePrompt(prompt))
	if err != nil {
		return pacing.Reservation{}, errors.Wrapf(err, "reserve a slot with %s", address)
	}
	return decodeReservation(wire, prompt, time.Now())
}

// Borrow asks the host at an address for a retry token.
func (p *Pool) Borrow(ctx context.Context, address string, service ident.ServiceName) (bool, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return false, err
	}
	wire, err := gatewaypeerpb.NewPeerClient(connection).Borrow(ctx, &gatewaypeerpb.Need{
		Service: string(service),
	})
	if err != nil {
		return false, errors.Wrapf(err, "borrow a retry from %s", address)
	}
	return wire.GetGranted(), nil
}

// Leave tells the prompt scheduler at an address that a prompt has released its slot.
func (p *Pool) Leave(ctx context.Context, address string, server ident.ServerName, ticket pacing.Ticket) error {
	connection, err := p.Connection(address)
	if err != nil {
		return err
	}
	_, err = gatewaypeerpb.NewPeerClient(connection).Leave(ctx, &gatewaypeerpb.Place{
		Server: string(server),
		Ticket: uint64(ticket),
	})
	return errors.Wrapf(err, "release a slot with %s", address)
}
