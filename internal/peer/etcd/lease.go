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

// GrantLease makes a lease that lapses unless it is kept within ttl, which is
// rounded up to whole seconds. After store.ErrUnknownOutcome a lease that nobody
// knows may stand until it lapses.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	call, ctx, cancel := c.begin(ctx, callGrantLease)
	defer cancel()
	response, err := c.leases.LeaseGrant(ctx, &pb.LeaseGrantRequest{
		TTL: wholeSeconds(ttl),
	})
	if err != nil {
		return 0, call.writeFailed(err)
	}
	if response.Error != "" {
		return 0, call.failed(store.ErrUnavailable, errors.New(response.Error))
	}
	return store.LeaseID(response.ID), nil
}

// KeepLease prolongs a lease by its ttl in one round trip. False says that the
// lease is gone, and its keys with it. After an error the lease may have been
// prolonged or not.
func (c *Client) KeepLease(ctx context.Context, lease store.LeaseID) (bool, error) {
	call, ctx, cancel := c.begin(ctx, callKeepLease)
	defer cancel()
	response, err := c.keepAlive(ctx, lease)
	if err != nil {
		return false, call.writeFailed(err)
	}
	if response.ID != int64(lease) {
		return false, call.failed(store.ErrUnknownOutcome, errors.Errorf("answer is for lease %d", response.ID))
	}
	return response.TTL > 0, nil
}

// RevokeLease ends a lease and deletes its keys. A lease that is gone already
// is no error.
func (c *Client) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	call, ctx, cancel := c.begin(ctx, callRevokeLease)
	defer cancel()
	_, err := c.leases.LeaseRevoke(ctx, &pb.LeaseRevokeRequest{
		ID: int64(lease),
	})
	if err == nil || call.refused(err) && status.Code(err) == codes.NotFound {
		return nil
	}
	return call.writeFailed(err)
}

func (c *Client) keepAlive(ctx context.Context, lease store.LeaseID) (*pb.LeaseKeepAliveResponse, error) {
	stream, err := c.leases.LeaseKeepAlive(ctx)
	if err != nil {
		return nil, err
	}
	err = stream.Send(&pb.LeaseKeepAliveRequest{
		ID: int64(lease),
	})
	// io.EOF says that the stream has ended: Recv has the reason.
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return stream.Recv()
}

func wholeSeconds(ttl time.Duration) int64 {
	return int64((ttl + time.Second - 1) / time.Second)
}
