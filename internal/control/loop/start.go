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

// newControl returns the control state with the machines of this host.
func (l *Loop) newControl(peerAddress string) *control {
	host := l.options.Settings.Host
	return &control{
		Loop:      l,
		documents: l.newDocuments(),
		claims:    l.newClaims(),
		orders:    l.newOrders(),
		routing: routing.Machine{
			Location: routing.Location{
				DataCentre: host.DataCentre,
				Region:     host.Region,
			},
			Pressures: &l.pressures,
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
		watched:        make(map[ident.ServerName]bool),
		polledReports:  make(map[ident.ServerName]polledReport),
		wantedPolls:    make(map[ident.ServerName]bool),
		startedAt:      time.Now(),
		servers:        make(map[ident.ServerName]backend.Server),
		polling:        make(map[ident.ServerName]bool),
		exchanging:     make(map[ident.HostID]bool),
		peerStates:     make(map[ident.HostID]*peerState),
		epoch:          rand.Uint64(),
		claimWaiters:   make(map[waiterKey]chan claims.Answer),
		updateWaiters:  make(map[waiterKey]chan bool),
		editWaiters:    make(map[ident.EditID][]chan documents.EditResult),
		memoryByServer: make(memoryByServer),
		firstListedAt:  make(map[ident.ServerName]time.Time),
		demand: demand.Machine{
			Host:       host.Name,
			DataCentre: host.DataCentre,
		},
		requestCounts: make(map[ident.ModelName]int64),
		gauges:        newGauges(l.options.Metrics, l),
	}
}

func (l *Loop) newDocuments() *documents.Machine {
	control := l.options.Settings.Control
	return documents.New(documents.Config{
		Seed:         randomSeed(l.options.Settings.Host.Name),
		CallTimeout:  control.CallTimeout,
		WatchSilence: control.WatchSilence,
	})
}

func (l *Loop) newClaims() *claims.Machine {
	settings := l.options.Settings.Claims
	return claims.New(claims.Options{
		Host:         l.options.Settings.Host.Name,
		Partitions:   settings.Partitions,
		SwapInterval: settings.Pace,
		SegmentSize:  int(settings.SegmentSize),
	})
}

func (l *Loop) newOrders() *orders.Machine {
	settings := l.options.Settings
	return orders.New(orders.Settings{
		Host: settings.Host.Name,
		Placement: placement.Settings{
			MovesWeight: settings.Policy.MovesWeight,
		},
		MinPlanInterval: settings.Control.PlanInterval,
	})
}

// randomSeed returns a seed of this host's own: hosts with the same random choices
// would wait the same time after an outage and all return at the same instant.
func randomSeed(host ident.HostID) uint64 {
	return maphash.String(maphash.MakeSeed(), string(host))
}

// AnnounceStop reports to peers that this host is stopping. It no longer owns
// partitions or leads; claims that it has begun are finished.
func (l *Loop) AnnounceStop() {
	l.stopping.Store(true)
	l.send(stopAnnounced{})
}

// stopAnnounced makes an exchange due at once and gives up the leadership.
type stopAnnounced struct{}

func (stopAnnounced) apply(now time.Time, c *control) {
	c.nextExchangeAt = now
	c.runOrderCommands(c.orders.Step(now, orders.Resign{}))
	c.runClaimCommands(now, c.claims.Step(now, claims.Stopping{}))
}

// Resume undoes AnnounceStop: the host may own partitions and lead again. A peer
// that has become the leader meanwhile goes on leading, and partitions come back
// as the other hosts see this one live.
func (l *Loop) Resume() {
	l.stopping.Store(false)
	l.send(stopWithdrawn{})
}

// stopWithdrawn makes an exchange due at once and lets this host lead again.
type stopWithdrawn struct{}

func (stopWithdrawn) apply(now time.Time, c *control) {
	c.nextExchangeAt = now
	c.runOrderCommands(c.orders.Step(now, orders.Rejoin{}))
	c.runClaimCommands(now, c.claims.Step(now, claims.Resumed{}))
}

// claimsPollInterval is the time between two checks of WaitForClaims.
const claimsPollInterval = 10 * time.Millisecond

// WaitForClaims waits until no claim, finish or release of this host's requests is left to
// write, and no caller or peer waits for one.
func (l *Loop) WaitForClaims(ctx context.Context) error {
	ticker := time.NewTicker(claimsPollInterval)
	defer ticker.Stop()
	for {
		settled, err := runOnControl(ctx, l, func(_ time.Time, c *control) bool {
			return c.claims.Idle() && len(c.claimWaiters) == 0 && len(c.updateWaiters) == 0
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
