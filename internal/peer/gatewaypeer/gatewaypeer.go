// Package gatewaypeer is what entry hosts say to one another that have their
// configuration and backend servers from a key-value service.
//
// There are two calls. Reserve asks the host that paces an engine when to send a
// prompt there. In Exchange each side tells what it knows. Everybody tells the
// configuration's version and the suspects; the asker tells the holder the demand
// that it has met, and the holder tells what the engines hold. The wire form is
// proto/gatewaypeer/gatewaypeer.proto.
//
// # Usage
//
//	var server gatewaypeer.Server
//	address, err := server.Start("10.0.0.3:8144", handler)
//	...
//	var pool gatewaypeer.Pool
//	theirs, err := pool.Exchange(ctx, "10.0.0.4:8144", ours)
package gatewaypeer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/wire/gatewaypeerpb"
)

// Word is what one host tells another.
type Word struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     ident.Region
	// Version is the newest configuration's that the teller has; Configuration is
	// its text as the operator wrote it, for those who have an older one.
	Version       route.Version
	Configuration []byte
	// Token is not 0 where the teller may give orders to engines.
	Token    ident.FencingNumber
	Demand   []Demand
	Engines  []Engine
	Suspects []suspects.Suspect
}

// Demand is what has come for some weights since it was last told.
type Demand struct {
	Service ident.ServiceName
	Weights request.Weights
	loading.Demand
}

// Engine is the holder's knowledge of one engine.
type Engine struct {
	Service ident.ServiceName
	loading.Holding
}

// Handler answers peers.
type Handler interface {
	Exchange(ctx context.Context, theirs Word) (Word, error)
	// Paced gives how long a prompt is to wait before it is sent.
	Paced(prompt Prompt) time.Duration
}

// Prompt is a prompt that is to be sent to an engine.
type Prompt struct {
	Server   ident.ServerName
	Reading  time.Duration
	Priority int
}

// Server listens for peers. The zero value works, once.
type Server struct {
	server grpcpeer.Server
}

// Start listens at an address ("ip:port") and gives the address that it got.
func (s *Server) Start(address string, handler Handler) (string, error) {
	return s.server.Start(address, func(registrar grpc.ServiceRegistrar) {
		gatewaypeerpb.RegisterPeerServer(registrar, &service{
			handler: handler,
		})
	}, nil)
}

// Stop ends the calls under way and gives the first error.
func (s *Server) Stop() error {
	return s.server.Stop()
}

type service struct {
	gatewaypeerpb.UnimplementedPeerServer
	handler Handler
}

func (s *service) Exchange(ctx context.Context, theirs *gatewaypeerpb.Word) (*gatewaypeerpb.Word, error) {
	ours, err := s.handler.Exchange(ctx, decode(theirs))
	if err != nil {
		return nil, err
	}
	return encode(&ours), nil
}

func (s *service) Reserve(_ context.Context, prompt *gatewaypeerpb.Prompt) (*gatewaypeerpb.Slot, error) {
	wait := s.handler.Paced(Prompt{
		Server:   ident.ServerName(prompt.GetServer()),
		Reading:  time.Duration(prompt.GetReading()),
		Priority: int(prompt.GetPriority()),
	})
	return &gatewaypeerpb.Slot{
		Wait: int64(wait),
	}, nil
}

// Pool calls peers, over one connection to each. The zero value works; it is safe
// for many goroutines.
type Pool struct {
	grpcpeer.Pool
}

// Exchange tells a peer what this host knows and gives what the peer knows.
func (p *Pool) Exchange(ctx context.Context, address string, ours Word) (Word, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return Word{}, err
	}
	theirs, err := gatewaypeerpb.NewPeerClient(connection).Exchange(ctx, encode(&ours))
	if err != nil {
		return Word{}, errors.Wrapf(err, "exchange with %s", address)
	}
	return decode(theirs), nil
}

// Reserve asks the pacer at an address how long a prompt is to wait.
func (p *Pool) Reserve(ctx context.Context, address string, prompt Prompt) (time.Duration, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return 0, err
	}
	slot, err := gatewaypeerpb.NewPeerClient(connection).Reserve(ctx, &gatewaypeerpb.Prompt{
		Server:   string(prompt.Server),
		Reading:  int64(prompt.Reading),
		Priority: int32(prompt.Priority),
	})
	if err != nil {
		return 0, errors.Wrapf(err, "slot of %s", address)
	}
	return time.Duration(slot.GetWait()), nil
}
