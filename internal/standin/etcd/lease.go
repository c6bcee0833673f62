package etcd

import (
	"context"
	"io"
	"time"

	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// leaseService implements the Lease gRPC service.
type leaseService struct {
	pb.UnimplementedLeaseServer
	server *Server
}

// LeaseGrant creates a lease.
func (l leaseService) LeaseGrant(ctx context.Context, request *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	var response *pb.LeaseGrantResponse
	err := l.server.call(ctx, kindGrant, func(s *state, now time.Time) (effect, error) {
		ttl := max(request.TTL, 1)
		id, err := s.grantLease(request.ID, time.Duration(ttl)*time.Second, now)
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
		if !s.revokeLease(request.ID) {
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

// LeaseKeepAlive renews one lease for each message. For a lease that does not
// exist the response has a TTL of zero.
func (l leaseService) LeaseKeepAlive(stream grpc.BidiStreamingServer[pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		response, err := l.renew(stream.Context(), request.ID)
		if err != nil {
			return err
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

func (l leaseService) renew(ctx context.Context, id int64) (*pb.LeaseKeepAliveResponse, error) {
	var response *pb.LeaseKeepAliveResponse
	err := l.server.call(ctx, kindKeepAlive, func(s *state, now time.Time) (effect, error) {
		ttl := s.renewLease(id, now)
		response = &pb.LeaseKeepAliveResponse{
			Header: s.header(),
			ID:     id,
			TTL:    int64(ttl / time.Second),
		}
		// Reports no effect, so that LoseAnswers hits the next write of keys and
		// not a keepalive that arrives before it.
		return false, nil
	})
	return response, err
}
