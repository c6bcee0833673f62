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
	pieceSize   = 16 << 10
	dialTimeout = 2 * time.Second
)

// Relay is one relay. Make it with New.
type Relay struct {
	Faults   fault.Switch[Faults]
	options  Options
	tomb     tomb.Tomb
	listener net.Listener
	forth    *rate.Limiter
	back     *rate.Limiter
}

// New returns a relay that is not yet listening.
func New(options Options) *Relay {
	return &Relay{
		options: options,
		forth:   rate.NewLimiter(rate.Inf, pieceSize),
		back:    rate.NewLimiter(rate.Inf, pieceSize),
	}
}

// Start listens and returns the address.
func (r *Relay) Start(listen string) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Wrap(err, "relay")
	}
	r.listener = listener
	r.tomb.Go(r.accept)
	return listener.Addr().String(), nil
}

// Stop closes everything.
func (r *Relay) Stop() error {
	r.tomb.Kill(nil)
	_ = r.listener.Close()
	return r.tomb.Wait()
}

func (r *Relay) accept() error {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return nil // closed by Stop
		}
		if r.Faults.Get().Cut {
			_ = connection.Close()
			continue
		}
		r.tomb.Go(func() error { return r.join(connection) })
	}
}

// join carries one connection until either side or the relay ends it.
func (r *Relay) join(near net.Conn) error {
	far, err := net.DialTimeout("tcp", r.options.Target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return nil
	}
	ctx, cancel := context.WithCancel(r.tomb.Context(context.Background()))
	r.tomb.Go(func() error { return r.carry(ctx, cancel, near, far, r.forth) })
	r.tomb.Go(func() error { return r.carry(ctx, cancel, far, near, r.back) })
	r.watch(ctx)
	cancel()
	_ = near.Close()
	_ = far.Close()
	return nil
}

// watch returns when the connection has ended or is to be cut.
func (r *Relay) watch(ctx context.Context) {
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

func (r *Relay) carry(ctx context.Context, cancel context.CancelFunc, from, to net.Conn, limiter *rate.Limiter) error {
	defer cancel()
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n > 0 && !r.pass(ctx, to, piece[:n], limiter) {
			return nil
		}
		if err != nil {
			return nil
		}
	}
}

// pass sends one piece on, as the faults have it, and tells whether it went on.
func (r *Relay) pass(ctx context.Context, to net.Conn, piece []byte, limiter *rate.Limiter) bool {
	faults := r.Faults.Get()
	if faults.Swallow {
		return true
	}
	limit := rate.Inf
	if faults.BytesPerSecond > 0 {
		limit = rate.Limit(faults.BytesPerSecond)
	}
	limiter.SetLimit(limit)
	if err := limiter.WaitN(ctx, len(piece)); err != nil {
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
	_, err := to.Write(piece)
	return err == nil
}
