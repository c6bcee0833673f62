// Package etcd is a client of an etcd v3 key-value service over gRPC. It uses the part
// of the published API that internal/wire/etcdserverpb declares. Client has single-key
// reads, prefix listings, compare-and-swap transactions, leases and watches; its
// methods are safe for concurrent use.
//
// # Usage
//
//	kv, err := etcd.Dial("10.0.0.1:2379", "10.0.0.2:2379")
//	defer kv.Close()
//	read, err := kv.Get(ctx, key)
//	result, err := kv.Swap(ctx, store.Swap{...})
//
// # Errors
//
// A read that fails returns store.ErrUnavailable. A write that fails returns
// store.ErrUnavailable only if it provably had no effect, and store.ErrUnknownOutcome
// otherwise; the client never repeats a write. These are the proofs:
//
//   - No stream was opened for the call: no connection was established, or the context
//     ended before one was. grpc reports each stream that it hands to a connection to a
//     stats handler, before the call can return.
//   - The server's response consists of nothing but a status that etcd returns only
//     before it executes a request, such as RESOURCE_EXHAUSTED for too many requests.
//
// grpc itself sends a call once more if the server's HTTP/2 layer proves that it never
// processed it (a refused stream, or one above the last stream of a GOAWAY). That isn't
// a repeated write; retries of any other kind are disabled.
//
// The error wraps its cause, so that errors.Is finds context.Canceled too.
//
// # Endpoints
//
// One connection carries all calls. It goes to the first reachable endpoint, in the
// order given, and to the next reachable one when it breaks.
package etcd

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"cicadaloom/internal/domain/ident"
	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
)

const (
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout is how long a watch may receive neither events nor progress
	// before it counts as broken.
	DefaultWatchTimeout = 6 * time.Second
)

const (
	scheme = "cicadaloom-kv"
	// minReconnectDelay and maxReconnectDelay bound the backoff between attempts to
	// connect.
	minReconnectDelay    = 50 * time.Millisecond
	maxReconnectDelay    = time.Second
	reconnectDelayGrowth = 1.6
	reconnectJitter      = 0.2
	// connectTimeout bounds one attempt to connect, for an endpoint that drops packets.
	connectTimeout = time.Second
	// pingInterval and pingTimeout are for keepalive pings, which detect a connection
	// whose peer has vanished. etcd rejects pings at intervals under five seconds.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
)

// Options has the timeouts of a Client. Zero fields take the defaults.
type Options struct {
	CallTimeout  time.Duration
	WatchTimeout time.Duration
}

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	options    Options
	connection *grpc.ClientConn
	kv         pb.KVClient
	leases     pb.LeaseClient
	watches    pb.WatchClient
	calls      callCounts
	clusterID  atomic.Uint64
}

// Dial returns a client of the endpoints, each "ip:port". It doesn't wait for a
// connection; it returns an error if there is no endpoint or one is malformed.
func Dial(endpoints ...string) (*Client, error) {
	return DialWith(Options{}, endpoints...)
}

// DialWith is Dial with options.
func DialWith(options Options, endpoints ...string) (*Client, error) {
	addresses, err := parseEndpoints(endpoints)
	if err != nil {
		return nil, err
	}
	connection, err := connect(addresses)
	if err != nil {
		return nil, errors.Wrap(err, "key-value client")
	}
	return &Client{
		options:    options.withDefaults(),
		connection: connection,
		kv:         pb.NewKVClient(connection),
		leases:     pb.NewLeaseClient(connection),
		watches:    pb.NewWatchClient(connection),
	}, nil
}

// FleetID returns the id of the service's cluster, as of the last response to a read; 0
// before the first one.
func (c *Client) FleetID() ident.FleetID {
	return ident.FleetID(c.clusterID.Load())
}

// Close closes the connection, which ends all calls and watches.
func (c *Client) Close() error {
	return errors.Wrap(c.connection.Close(), "key-value client")
}

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	return o
}

func parseEndpoints(endpoints []string) ([]resolver.Endpoint, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("key-value client: no endpoints")
	}
	var parsed []resolver.Endpoint
	for _, endpoint := range endpoints {
		address, err := netip.ParseAddrPort(endpoint)
		if err != nil {
			return nil, errors.Wrapf(err, "key-value client: endpoint %q is not ip:port", endpoint)
		}
		parsed = append(parsed, resolver.Endpoint{
			Addresses: []resolver.Address{{
				Addr: address.String(),
			}},
		})
	}
	return parsed, nil
}

func connect(endpoints []resolver.Endpoint) (*grpc.ClientConn, error) {
	builder := manual.NewBuilderWithScheme(scheme)
	builder.InitialState(resolver.State{
		Endpoints: endpoints,
	})
	return grpc.NewClient(scheme+":///",
		grpc.WithResolvers(builder),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithStatsHandler(traceHandler{}),
		// A size limit on responses could drop the response of a write that took effect.
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(math.MaxInt32)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    pingInterval,
			Timeout: pingTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minReconnectDelay,
				Multiplier: reconnectDelayGrowth,
				Jitter:     reconnectJitter,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
	)
}
