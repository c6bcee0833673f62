// Package etcd is the client of the platform's key-value service: the published
// etcd v3 gRPC protocol, in the part that internal/wire/etcdserverpb declares.
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
// A read that fails gives store.ErrUnavailable. A write that fails gives
// store.ErrUnavailable only where it is proven that it had no effect, and
// store.ErrUnknownOutcome otherwise; the client never sends a write again.
// These are the proofs:
//
//   - No stream was opened for the call: no connection came about, or the
//     context ended before one did. grpc reports each stream that it hands to a
//     connection to a stats handler, before the call can return.
//   - The server answered with nothing but a status that etcd gives only before
//     it executes a request, such as RESOURCE_EXHAUSTED for too many requests.
//
// grpc itself sends a call once more where the server's HTTP/2 layer proves that
// it never saw it (a refused stream, or one above GOAWAY's last). That isn't a
// repeated write, and retries of any other kind are off.
//
// The cause stays in the error, so that errors.Is finds context.Canceled too.
//
// # Endpoints
//
// One connection serves all calls. It goes to the first endpoint that can be
// reached, in the order given, and moves on when it breaks.
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
	// DefaultCallLimit bounds a call whose context has no deadline.
	DefaultCallLimit = 2 * time.Second
	// DefaultWatchSilence is how long a watch may bring neither event nor
	// progress before it counts as broken.
	DefaultWatchSilence = 6 * time.Second
)

const (
	scheme = "cicadaloom-kv"
	// reconnectDelay and reconnectDelayMax bound the pause between attempts to
	// connect, which grow in between.
	reconnectDelay       = 50 * time.Millisecond
	reconnectDelayMax    = time.Second
	reconnectDelayGrowth = 1.6
	reconnectJitter      = 0.2
	// connectTimeout bounds one attempt, for an endpoint that drops packets.
	connectTimeout = time.Second
	// pingInterval and pingTimeout find a connection whose other end vanished.
	// etcd refuses pings that come more often than every five seconds.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
)

// Options bound the waiting of a Client. Fields that are zero have the defaults.
type Options struct {
	CallLimit    time.Duration
	WatchSilence time.Duration
}

// Client speaks to the key-value service. Its methods may be called from any
// goroutine.
type Client struct {
	options    Options
	connection *grpc.ClientConn
	kv         pb.KVClient
	leases     pb.LeaseClient
	watches    pb.WatchClient
	calls      callCounts
	fleet      atomic.Uint64
}

// Dial returns a client of the endpoints, each "ip:port". It doesn't wait for a
// connection; an error means that an endpoint is malformed.
func Dial(endpoints ...string) (*Client, error) {
	return DialWith(Options{}, endpoints...)
}

// DialWith is Dial with other bounds than the defaults.
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

// Fleet gives the id of the key-value service's cluster, as its last answer to a read
// had it; 0 before the first one.
func (c *Client) Fleet() ident.FleetID {
	return ident.FleetID(c.fleet.Load())
}

// Close ends the connection, and with it all calls and watches.
func (c *Client) Close() error {
	return errors.Wrap(c.connection.Close(), "key-value client")
}

func (o Options) withDefaults() Options {
	if o.CallLimit == 0 {
		o.CallLimit = DefaultCallLimit
	}
	if o.WatchSilence == 0 {
		o.WatchSilence = DefaultWatchSilence
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
		// A limit on answers would lose the answer of a write that took effect.
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(math.MaxInt32)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    pingInterval,
			Timeout: pingTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectDelay,
				Multiplier: reconnectDelayGrowth,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectDelayMax,
			},
			MinConnectTimeout: connectTimeout,
		}),
	)
}
