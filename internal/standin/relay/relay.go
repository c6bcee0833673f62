// Package relay is a TCP proxy that simulates network failures between two
// processes: it can close connections, discard and delay data, and limit the
// bandwidth.
//
// # Usage
//
//	r := relay.New(relay.Options{
//		Target: "127.0.0.1:2379",
//	})
//	address, err := r.Start("127.0.0.1:0")
//	defer r.Stop()
//	r.Faults.Set(relay.Faults{
//		Cut: true,
//	})
//
// Faults apply to open connections as well as to new ones. Each connection has a
// goroutine for each direction and one that waits for its end.
package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/standin/fault"
)

// Faults are the failures that a relay simulates.
type Faults struct {
	// Cut closes all connections, and closes new ones at once.
	Cut bool
	// Swallow keeps connections open but discards the data, as a network does that
	// drops packets silently.
	Swallow bool
	// Delay is added to each chunk of data.
	Delay fault.Duration
	// BytesPerSecond limits each direction of all connections together; 0 is no
	// limit.
	BytesPerSecond int
}

// Options configures a Relay.
type Options struct {
	// Target is the address to which connections are forwarded.
	Target string
}

const (
	chunkSize   = 16 << 10
	dialTimeout = 2 * time.Second
)

// Relay is the proxy. Create it with New.
type Relay struct {
	Faults   fault.Switch[Faults]
	options  Options
	tomb     tomb.Tomb
	listener net.Listener
	toTarget *rate.Limiter
	toClient *rate.Limiter
}

// New returns a relay that is not started yet.
func New(options Options) *Relay {
	return &Relay{
		options:  options,
		toTarget: rate.NewLimiter(rate.Inf, chunkSize),
		toClient: rate.NewLimiter(rate.Inf, chunkSize),
	}
}

// Start listens and returns the address.
func (r *Relay) Start(listen string) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Wrap(err, "relay")
	}
	r.listener = listener
	r.tomb.Go(r.acceptLoop)
	return listener.Addr().String(), nil
}

// Stop closes the listener and all connections.
func (r *Relay) Stop() error {
	r.tomb.Kill(nil)
	_ = r.listener.Close()
	return r.tomb.Wait()
}

func (r *Relay) acceptLoop() error {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return nil // closed by Stop
		}
		if r.Faults.Get().Cut {
			_ = connection.Close()
			continue
		}
		r.tomb.Go(func() error { return r.proxyConnection(connection) })
	}
}

// proxyConnection forwards one connection until either side closes it, the Cut
// fault is set or the relay stops.
func (r *Relay) proxyConnection(client net.Conn) error {
	target, err := net.DialTimeout("tcp", r.options.Target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return nil
	}
	ctx, cancel := context.WithCancel(r.tomb.Context(context.Background()))
	r.tomb.Go(func() error { return r.copyDirection(ctx, cancel, client, target, r.toTarget) })
	r.tomb.Go(func() error { return r.copyDirection(ctx, cancel, target, client, r.toClient) })
	r.waitForCut(ctx)
	cancel()
	_ = client.Close()
	_ = target.Close()
	return nil
}

// waitForCut returns when the connection has ended or the Cut fault is set.
func (r *Relay) waitForCut(ctx context.Context) {
	for {
		changed := r.Faults.Changed()
		if r.Faults.Get().Cut {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) copyDirection(ctx context.Context, cancel context.CancelFunc, from, to net.Conn, limiter *rate.Limiter) error {
	defer cancel()
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if n > 0 && !r.forward(ctx, to, chunk[:n], limiter) {
			return nil
		}
		if err != nil {
			return nil
		}
	}
}

// forward writes one chunk as the faults allow, and reports whether to continue.
func (r *Relay) forward(ctx context.Context, to net.Conn, chunk []byte, limiter *rate.Limiter) bool {
	faults := r.Faults.Get()
	if faults.Swallow {
		return true
	}
	limit := rate.Inf
	if faults.BytesPerSecond > 0 {
		limit = rate.Limit(faults.BytesPerSecond)
	}
	limiter.SetLimit(limit)
	if err := limiter.WaitN(ctx, len(chunk)); err != nil {
		return false
	}
	if faults.Delay > 0 {
		timer := time.NewTimer(time.Duration(faults.Delay))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	_, err := to.Write(chunk)
	return err == nil
}
