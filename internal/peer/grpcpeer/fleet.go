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

// fleetHeader carries the sender's fleet on each call.
const fleetHeader = "cicadaloom-fleet"

// Fleet gives the fleet that a host belongs to, 0 while it doesn't know. nil is a host
// that knows of no fleets.
//
// Addresses of hosts that are gone come back in other fleets, whose hosts may have the
// same names. Without the check a host would take over the documents of the other fleet
// and grant its claims.
type Fleet func() ident.FleetID

func (f Fleet) id() ident.FleetID {
	if f == nil {
		return 0
	}
	return f()
}

// name adds the sender's fleet to a call.
func (f Fleet) name(ctx context.Context, method string, request, answer any, connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	if id := f.id(); id != 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, fleetHeader, strconv.FormatUint(uint64(id), 10))
	}
	return invoke(ctx, method, request, answer, connection, options...)
}

// admit refuses a call from a host of another fleet before anything is done for it. A
// call is admitted while either side doesn't know its fleet yet: a host that starts in
// an outage learns from its peers.
func (f Fleet) admit(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	ours := f.id()
	for _, theirs := range metadata.ValueFromIncomingContext(ctx, fleetHeader) {
		if ours != 0 && theirs != strconv.FormatUint(uint64(ours), 10) {
			return nil, status.Errorf(codes.FailedPrecondition, "found fleet %s, allowed %d", theirs, ours)
		}
	}
	return handle(ctx, request)
}
