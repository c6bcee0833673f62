package etcd

import (
	"context"
	"io"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// leaseService serves leases.
type leaseService struct {
	pb.UnimplementedLeaseServer
	server *Server
}

// LeaseGrant makes a lease.
func (l leaseService) LeaseGrant(ctx context.Context, request *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	var response *pb.LeaseGrantResponse
	err := l.server.call(ctx, kindGrant, func(s *state, now time.Time) (effect, error) {
		ttl := max(request.TTL, 1)
		id, err := s.grant(request.ID, time.Duration(ttl)*time.Second, now)
		if err != nil {
			return false, err
		}
		response = &pb.LeaseGrantResponse{
			Header: s.header(),
			ID:     id,
			TTL:    ttl,
		}
		return true, nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// LeaseRevoke ends a lease and deletes its keys.
func (l leaseService) LeaseRevoke(ctx context.Context, request *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	var response *pb.LeaseRevokeResponse
	err := l.server.call(ctx, kindRevoke, func(s *state, _ time.Time) (effect, error) {
		if !s.revoke(request.ID) {
			return false, errNoLease
		}
		response = &pb.LeaseRevokeResponse{
			Header: s.header(),
		}
		return true, nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// LeaseKeepAlive prolongs leases, one for each message. A lease that is gone is
// answered with a TTL of zero.
func (l leaseService) LeaseKeepAlive(stream grpc.BidiStreamingServer[pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		response, err := l.keep(stream.Context(), request.ID)
		if err != nil {
			return err
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

func (l leaseService) keep(ctx context.Context, id int64) (*pb.LeaseKeepAliveResponse, error) {
	var response *pb.LeaseKeepAliveResponse
	err := l.server.call(ctx, kindKeepAlive, func(s *state, now time.Time) (effect, error) {
		ttl := s.keep(id, now)
		response = &pb.LeaseKeepAliveResponse{
			Header: s.header(),
			ID:     id,
			TTL:    int64(ttl / time.Second),
		}
		// No effect, so that a lost answer asked for hits a write of keys and not
		// the heartbeat of some lease that came in between.
		return false, nil
	})
	return response, err
}
