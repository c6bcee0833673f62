package etcd

import (
	"context"
	"io"
	"time"

	"cicadaloom/internal/domain/store"
	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// GrantLease opens a lease that expires unless it is renewed within ttl, which is
// rounded up to whole seconds. After store.ErrUnknownOutcome a lease of unknown id may
// exist until it expires.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	call, ctx, cancel := c.startCall(ctx, callGrantLease)
	defer cancel()
	response, err := c.leases.LeaseGrant(ctx, &pb.LeaseGrantRequest{
		TTL: roundUpToSeconds(ttl),
	})
	if err != nil {
		return 0, call.newWriteError(err)
	}
	if response.Error != "" {
		return 0, call.newError(store.ErrUnavailable, errors.New(response.Error))
	}
	return store.LeaseID(response.ID), nil
}

// RenewLease renews a lease for its ttl in one round trip. It returns false if the lease
// has ended, which has deleted its keys. After an error the lease may have been renewed
// or not.
func (c *Client) RenewLease(ctx context.Context, lease store.LeaseID) (bool, error) {
	call, ctx, cancel := c.startCall(ctx, callRenewLease)
	defer cancel()
	response, err := c.sendKeepAlive(ctx, lease)
	if err != nil {
		return false, call.newWriteError(err)
	}
	if response.ID != int64(lease) {
		return false, call.newError(store.ErrUnknownOutcome, errors.Errorf("response is for lease %d", response.ID))
	}
	return response.TTL > 0, nil
}

// RevokeLease ends a lease and deletes its keys. It returns no error if the lease has
// already ended.
func (c *Client) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	call, ctx, cancel := c.startCall(ctx, callRevokeLease)
	defer cancel()
	_, err := c.leases.LeaseRevoke(ctx, &pb.LeaseRevokeRequest{
		ID: int64(lease),
	})
	if err == nil || call.isRefusal(err) && status.Code(err) == codes.NotFound {
		return nil
	}
	return call.newWriteError(err)
}

func (c *Client) sendKeepAlive(ctx context.Context, lease store.LeaseID) (*pb.LeaseKeepAliveResponse, error) {
	stream, err := c.leases.LeaseKeepAlive(ctx)
	if err != nil {
		return nil, err
	}
	err = stream.Send(&pb.LeaseKeepAliveRequest{
		ID: int64(lease),
	})
	// io.EOF means that the stream has ended; Recv returns the reason.
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return stream.Recv()
}

func roundUpToSeconds(ttl time.Duration) int64 {
	return int64((ttl + time.Second - 1) / time.Second)
}
