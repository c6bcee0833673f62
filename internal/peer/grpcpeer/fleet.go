package grpcpeer

import (
	"context"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cicadaloom/internal/domain/ident"
)

// fleetHeader carries the sender's fleet in each call.
const fleetHeader = "cicadaloom-fleet"

// FleetFunc returns the fleet that a host belongs to, or 0 while it does not know. A
// nil FleetFunc stands for a host without fleets.
//
// The address of a removed host may be reused in another fleet, whose hosts may have
// the same names. Without the check a host would accept the documents of the other
// fleet and grant its claims.
type FleetFunc func() ident.FleetID

func (f FleetFunc) id() ident.FleetID {
	if f == nil {
		return 0
	}
	return f()
}

// attachFleet is a client interceptor that adds the sender's fleet to a call.
func (f FleetFunc) attachFleet(ctx context.Context, method string, request, answer any, connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	if id := f.id(); id != 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, fleetHeader, strconv.FormatUint(uint64(id), 10))
	}
	return invoke(ctx, method, request, answer, connection, options...)
}

// checkFleet is a server interceptor that refuses a call from another fleet before it
// takes effect. A call is accepted while either side does not know its fleet: a host
// that starts during an outage learns from its peers.
func (f FleetFunc) checkFleet(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	own := f.id()
	for _, sender := range metadata.ValueFromIncomingContext(ctx, fleetHeader) {
		if own != 0 && sender != strconv.FormatUint(uint64(own), 10) {
			return nil, status.Errorf(codes.FailedPrecondition, "found fleet %s, allowed %d", sender, own)
		}
	}
	return handle(ctx, request)
}
