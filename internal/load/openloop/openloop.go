// Package openloop sends requests to entry hosts at their planned arrival times,
// regardless of how many are still unanswered (an open-loop load generator). Each
// answer is read, classified and handed to a callback as a result.Record. The load
// tool and package experiment call it.
//
// # Usage
//
//	var collector result.Collector
//	sender := openloop.Sender{
//		Targets: []string{"127.0.0.1:8080", "127.0.0.1:8090"},
//		MaxOpen: 4096,
//		Record:  collector.Add,
//	}
//	err := sender.Run(ctx, demand.NewArrivals(plan, span))
//
// # Bounds
//
// At most MaxOpen requests are open at once. One that arrives beyond that is not
// sent, and recorded as result.NotSent. Waiting for another to end would make this a
// closed loop, which slows down with the servers that it measures.
//
// # Targets
//
// Requests are distributed at random over the targets. Like the platform's load
// balancer, this package skips a target for a second after a connection to it fails,
// and sends the request to another. A request of which anything may have been sent
// is never sent again, not by net/http either.
//
// # Concurrency
//
// Run starts one goroutine that waits for the arrivals, and one for each open
// request. A Sender runs once at a time.
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
	"cicadaloom/internal/peer/httpsend"
)

const (
	// DefaultMaxOpen is used if MaxOpen is 0.
	DefaultMaxOpen = 4096
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	// deadlineGrace is how long after its deadline a request is abandoned, so that
	// the server's own refusal at the deadline arrives before that.
	deadlineGrace = time.Second
)

// Arrivals returns the requests in the order of their arrival, then false.
type Arrivals interface {
	Next() (demand.Request, bool)
}

// Sender sends requests. Targets and Record must be set.
type Sender struct {
	// Targets are the caller-facing addresses of entry hosts, as host:port.
	Targets []string
	// MaxOpen is the maximum number of requests open at once.
	MaxOpen int
	// Record is called with the result of each request, from many goroutines.
	Record func(*result.Record)

	numOpen  atomic.Int64
	client   *http.Client
	balancer balancer
}

// Run sends all arrivals and returns when the last request has ended. If the context
// ends first, it abandons the open requests, sends no more and returns the error of
// the context.
func (s *Sender) Run(ctx context.Context, arrivals Arrivals) error {
	if len(s.Targets) == 0 {
		return errors.New("targets: found none, allowed at least one")
	}
	if s.MaxOpen <= 0 {
		s.MaxOpen = DefaultMaxOpen
	}
	transport := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
		MaxIdleConnsPerHost: s.MaxOpen,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	s.client = &http.Client{
		Transport: httpsend.NewTransport(transport),
	}
	s.balancer.targets = make([]target, len(s.Targets))
	for i, address := range s.Targets {
		s.balancer.targets[i].address = address
	}
	var sending tomb.Tomb
	sending.Go(func() error {
		return s.schedule(ctx, &sending, arrivals)
	})
	return sending.Wait()
}

// schedule starts each request at its arrival.
func (s *Sender) schedule(ctx context.Context, sending *tomb.Tomb, arrivals Arrivals) error {
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
		if s.numOpen.Add(1) > int64(s.MaxOpen) {
			s.numOpen.Add(-1)
			s.Record(&result.Record{
				Request: &request,
				Kind:    result.NotSent,
			})
			continue
		}
		sending.Go(func() error {
			defer s.numOpen.Add(-1)
			s.Record(s.send(ctx, &request))
			return nil
		})
	}
}
