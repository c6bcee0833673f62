package loop

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"time"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// newControl makes the machines of this host.
func (l *Loop) newControl(peerAddress string) *control {
	host := l.options.Settings.Host
	return &control{
		Loop:      l,
		documents: l.newDocuments(),
		claims:    l.newClaims(),
		orders:    l.newOrders(),
		routing: routing.Machine{
			Place: routing.Place{
				DataCentre: host.DataCentre,
				Region:     host.Region,
			},
		},
		membership: membership.Machine{
			Self: membership.Peer{
				Host:       host.Name,
				DataCentre: host.DataCentre,
				Region:     host.Region,
				Address:    peerAddress,
			},
			Seed: rand.Uint64(),
		},
		watched:    make(map[ident.ServerName]bool),
		wholes:     make(map[ident.ServerName]whole),
		wanted:     make(map[ident.ServerName]bool),
		startedAt:  time.Now(),
		servers:    make(map[ident.ServerName]backend.Server),
		polling:    make(map[ident.ServerName]bool),
		exchanging: make(map[ident.HostID]bool),
		acquainted: make(map[ident.HostID]*acquaintance),
		epoch:      rand.Uint64(),
		claimers:   make(map[waiter]chan claims.Answer),
		noters:     make(map[waiter]chan bool),
		edits:      make(map[ident.EditID][]chan documents.EditResult),
		memories:   make(memories),
		listedAt:   make(map[ident.ServerName]time.Time),
		demand: demand.Machine{
			Host:       host.Name,
			DataCentre: host.DataCentre,
		},
		askedFor: make(map[ident.ModelName]int64),
		gauges:   newGauges(l.options.Metrics, l),
	}
}

func (l *Loop) newDocuments() *documents.Machine {
	control := l.options.Settings.Control
	return documents.New(documents.Config{
		Seed:         seedOf(l.options.Settings.Host.Name),
		CallTimeout:  control.CallTimeout,
		WatchSilence: control.WatchSilence,
	})
}

func (l *Loop) newClaims() *claims.Machine {
	settings := l.options.Settings.Claims
	return claims.New(claims.Options{
		Host:        l.options.Settings.Host.Name,
		Partitions:  settings.Partitions,
		Pace:        settings.Pace,
		SegmentSize: int(settings.SegmentSize),
	})
}

func (l *Loop) newOrders() *orders.Machine {
	settings := l.options.Settings
	return orders.New(orders.Settings{
		Host: settings.Host.Name,
		Placement: placement.Settings{
			MovesWeight: settings.Policy.MovesWeight,
		},
		PlanEvery: settings.Control.PlanInterval,
	})
}

// seedOf gives each host random choices of its own: hosts that wait the same
// time after an outage would all come back at the same instant.
func seedOf(host ident.HostID) uint64 {
	return maphash.String(maphash.MakeSeed(), string(host))
}

// Stopping makes this host tell its peers that it is stopping. It stays the
// home of no partition; what it has begun it ends.
func (l *Loop) Stopping() {
	l.stopping.Store(true)
	l.send(stopping{})
}

// stopping makes the next exchange come at once.
type stopping struct{}

func (stopping) apply(now time.Time, c *control) {
	c.exchangeAt = now
	c.runOrders(c.orders.Step(now, orders.Resign{}))
	c.runClaims(now, c.claims.Step(now, claims.Stopping{}))
}

// Resume takes Stopping back: the host may be the home of partitions and may lead
// again. What others have taken over meanwhile stays theirs until they are asked.
func (l *Loop) Resume() {
	l.stopping.Store(false)
	l.send(resuming{})
}

// resuming makes the next exchange come at once.
type resuming struct{}

func (resuming) apply(now time.Time, c *control) {
	c.exchangeAt = now
	c.runOrders(c.orders.Step(now, orders.Rejoin{}))
	c.runClaims(now, c.claims.Step(now, claims.Resumed{}))
}

// settleEvery is how often Settle looks.
const settleEvery = 10 * time.Millisecond

// Settle waits until what the requests of this host left to write of their
// claims is written.
func (l *Loop) Settle(ctx context.Context) error {
	ticker := time.NewTicker(settleEvery)
	defer ticker.Stop()
	for {
		settled, err := inquire(ctx, l, func(_ time.Time, c *control) bool {
			return c.claims.Idle() && len(c.claimers) == 0 && len(c.noters) == 0
		})
		if err != nil || settled {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop ends the control goroutine and all workers.
func (l *Loop) Stop() error {
	l.tomb.Kill(nil)
	err := l.tomb.Wait()
	l.pool.Close()
	l.engines.Close()
	l.plains.Close()
	l.list.Close()
	return err
}
