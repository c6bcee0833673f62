// Package relay stands between two processes and fails as networks do: it cuts
// connections, swallows what is sent, delays it, and lets only so much through.
//
// # Usage
//
//	r := relay.New(relay.Options{
//		Target: "127.0.0.1:2379",
//	})
//	address, err := r.Start("127.0.0.1:0")
//	r.Faults.Set(relay.Faults{
//		Cut: true,
//	})
//
// The faults hold for connections that are open already as well as for new ones.
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

// Faults are what a relay can do to its connections.
type Faults struct {
	// Cut closes all connections and takes no new ones.
	Cut bool
	// Swallow keeps connections open and drops what is sent, as a network does
	// that has failed without a word.
	Swallow bool
	// Delay is added to each piece on its way.
	Delay fault.Duration
	// BytesPerSecond bounds each direction of all connections together; 0 is no
	// bound.
	BytesPerSecond int
}

// Options say where a relay leads to.
type Options struct {
	Target string
}

const (
	chunkSize   = 16 << 10
	dialTimeout = 2 * time.Second
)

// Relay is one relay. Make it with New.
type Relay struct {
	Faults   fault.Switch[Faults]
	options  Options
	tomb     tomb.Tomb
	listener net.Listener
	toTarget *rate.Limiter
	toClient *rate.Limiter
}

// New returns a relay that is not yet listening.
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

// Stop closes everything.
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

// proxyConnection carries one connection until either side or the relay ends it.
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

// waitForCut returns when the connection has ended or is to be cut.
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

// forward sends one piece on, as the faults have it, and tells whether it went on.
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
