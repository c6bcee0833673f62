// Package openloop sends requests to entry hosts at the instants at which they
// arrive, whatever is still open, as callers do who know nothing of each other.
//
// # Usage
//
//	var collector result.Collector
//	load := openloop.Load{
//		Targets: []string{"127.0.0.1:8080", "127.0.0.1:8090"},
//		MaxOpen: 4096,
//		Record:  collector.Add,
//	}
//	err := load.Run(ctx, demand.New(plan, span))
//
// # Bounds
//
// At most MaxOpen requests are open at once. One that arrives beyond that is
// not sent and recorded so; waiting for a place would turn the load into a
// closed loop, which slows down with the servers that it measures.
//
// # Targets
//
// Requests are spread at random over the targets. As the platform's balancer
// does, the tool passes over a target for a second when no connection to it
// comes about. A request of which anything may have been sent is never sent
// again, also not by net/http.
package openloop

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/result"
)

const (
	// DefaultMaxOpen is MaxOpen where it is 0.
	DefaultMaxOpen = 4096
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	// grace is how long after its deadline a request is given up: the server's
	// own word on the deadline comes first.
	grace = time.Second
)

// Arrivals gives the requests in the order of their arrival, then false.
type Arrivals interface {
	Next() (demand.Request, bool)
}

// Load sends requests. Targets and Record must be set.
type Load struct {
	// Targets are the callers' addresses of entry hosts, as host:port.
	Targets []string
	// MaxOpen bounds the requests that are open at once.
	MaxOpen int
	// Record gets what became of each request, from many goroutines.
	Record func(*result.Record)

	open     atomic.Int64
	client   *http.Client
	balancer balancer
}

// Run sends all arrivals and returns when the last of them has ended. When the
// context ends before, it gives up what is open and sends no more.
func (l *Load) Run(ctx context.Context, arrivals Arrivals) error {
	if len(l.Targets) == 0 {
		return errors.New("targets: found none, allowed at least one")
	}
	if l.MaxOpen <= 0 {
		l.MaxOpen = DefaultMaxOpen
	}
	transport := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
		MaxIdleConnsPerHost: l.MaxOpen,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	l.client = &http.Client{
		Transport: transport,
	}
	l.balancer.targets = make([]target, len(l.Targets))
	for i, address := range l.Targets {
		l.balancer.targets[i].address = address
	}
	var sending tomb.Tomb
	sending.Go(func() error {
		return l.schedule(ctx, &sending, arrivals)
	})
	return sending.Wait()
}

// schedule starts each request at its instant.
func (l *Load) schedule(ctx context.Context, sending *tomb.Tomb, arrivals Arrivals) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		request, more := arrivals.Next()
		if !more {
			return nil
		}
		timer.Reset(time.Until(request.At))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if l.open.Add(1) > int64(l.MaxOpen) {
			l.open.Add(-1)
			l.Record(&result.Record{
				Request: &request,
				Kind:    result.NotSent,
			})
			continue
		}
		sending.Go(func() error {
			defer l.open.Add(-1)
			l.Record(l.send(ctx, &request))
			return nil
		})
	}
}
