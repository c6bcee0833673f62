package loop

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/store"
)

// orderEvent is an event for the machine that plans and gives orders.
type orderEvent struct {
	event orders.Event
}

func (m orderEvent) apply(now time.Time, c *control) {
	c.runOrders(c.orders.Step(now, m.event))
}

func (l *Loop) plan(event orders.Event) {
	l.send(orderEvent{
		event: event,
	})
}

// tickPlacement steps the plan at the time that it asked for, and tells it the
// demand at every plan interval.
func (c *control) tickPlacement(now time.Time) {
	due := c.orders.NextTick()
	if !due.IsZero() && !now.Before(due) {
		c.runOrders(c.orders.Step(now, orders.Tick{}))
	}
	if now.Before(c.planAt) {
		return
	}
	interval := c.options.Settings.Control.PlanInterval
	c.planAt = now.Add(interval)
	c.tickDemand(now, interval)
}

func (c *control) planServers(now time.Time, servers []backend.Server) {
	c.runOrders(c.orders.Step(now, orders.Servers{
		Servers: servers,
	}))
}

func (c *control) planReport(now time.Time, report backend.Report) {
	c.runOrders(c.orders.Step(now, orders.Report{
		Report:     &report,
		ReceivedAt: now,
	}))
}

// planDocuments tells the plan which documents are in force, once this host has
// every accepted edit up to the newest of them. A host that has just started
// learns documents one by one from its peers; a leader that planned by half of
// them would unload the models of every team that it had not heard of yet.
func (c *control) planDocuments(now time.Time) {
	snapshot := c.documents.Snapshot()
	if snapshot.Revision == c.planned || c.documents.Revision() < snapshot.Revision {
		return
	}
	c.planned = snapshot.Revision
	all := make([]*document.Document, 0, len(snapshot.Documents))
	for _, doc := range snapshot.Documents {
		all = append(all, doc)
	}
	c.runOrders(c.orders.Step(now, orders.Documents{
		Documents: all,
		Revision:  snapshot.Revision,
	}))
}

// runOrders starts a worker for each command.
func (c *control) runOrders(commands []orders.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case orders.GrantLease:
			c.grantLease()
		case orders.DropLease:
			c.dropLease(command.Lease)
		case orders.ReadLeader:
			c.readLeader()
		case orders.AcquireLeadership:
			c.swapPlan(command.Sequence, command.Swap)
		case orders.WritePlan:
			c.swapPlan(command.Sequence, command.Swap)
		case orders.ReadPlan:
			c.readPlan(command)
		case orders.SendOrder:
			c.sendOrder(command)
		case orders.Note:
			c.keepMove(&command.Move)
			c.log.Info("move", zap.Any("Move", command.Move.Move), zap.String("OrderID", string(command.Move.Order)))
		}
	}
}

// grantLease gets a lease and keeps it until it is dropped or lapses.
func (l *Loop) grantLease() {
	ttl := l.options.Settings.Control.LeaderLease
	l.tomb.Go(func() error {
		ctx := l.tomb.Context(context.Background())
		// The instant before the call: the service may count the lease from any
		// moment after it, so the holder never believes in it for too long.
		asked := time.Now()
		lease, err := l.options.KeyValue.GrantLease(ctx, ttl)
		if err != nil {
			l.plan(orders.LeaseLost{})
			return nil
		}
		l.plan(orders.LeaseGranted{
			Lease: lease,
			Until: asked.Add(ttl),
		})
		l.keepLease(ctx, lease, ttl)
		return nil
	})
}

// keepLease renews a lease three times in its life, until it is gone.
func (l *Loop) keepLease(ctx context.Context, lease store.LeaseID, ttl time.Duration) {
	ticker := time.NewTicker(ttl / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		asked := time.Now()
		kept, err := l.options.KeyValue.KeepLease(ctx, lease)
		switch {
		case err != nil:
			continue // the holder's own clock ends it in time
		case !kept:
			l.plan(orders.LeaseLost{
				Lease: lease,
			})
			return
		}
		l.plan(orders.LeaseGranted{
			Lease: lease,
			Until: asked.Add(ttl),
		})
	}
}

// dropLease gives a lease back; its keeper then finds it gone.
func (l *Loop) dropLease(lease store.LeaseID) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		if err := l.options.KeyValue.RevokeLease(ctx, lease); err != nil {
			l.log.Debug("a lease is left to lapse", zap.Error(err))
		}
	})
}

func (l *Loop) readLeader() {
	l.work(l.callTimeout(), func(ctx context.Context) {
		entry, err := l.options.KeyValue.Get(ctx, orders.LeaderKey)
		l.plan(orders.LeaderRead{
			Entry:  entry,
			Failed: err != nil,
		})
	})
}

func (l *Loop) readPlan(command orders.ReadPlan) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		listing, err := l.options.KeyValue.List(ctx, command.Prefix)
		l.plan(orders.PlanRead{
			Sequence: command.Sequence,
			Entries:  listing.Entries,
			Failed:   err != nil,
		})
	})
}

func (l *Loop) swapPlan(sequence int64, swap store.Swap) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		result, err := l.options.KeyValue.Swap(ctx, swap)
		l.plan(orders.SwapAnswered{
			Sequence: sequence,
			Outcome:  swapOutcome(result, err),
			Result:   result,
		})
	})
}

// swapOutcome takes every error that does not prove the write undone as unknown.
func swapOutcome(result store.SwapResult, err error) orders.SwapOutcome {
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return orders.SwapUnavailable
	case err != nil:
		return orders.SwapUnknown
	case !result.Swapped:
		return orders.SwapConflict
	default:
		return orders.SwapDone
	}
}

func (l *Loop) sendOrder(command orders.SendOrder) {
	timeout := min(max(time.Until(command.Deadline), leastNap), l.callTimeout())
	l.work(timeout, func(ctx context.Context) {
		accepted, reason, err := l.engines.SendOrder(ctx, command.Address, command.Order)
		if err != nil || !accepted {
			l.log.Warn("order not accepted", zap.String("OrderID", string(command.Order.ID)),
				zap.String("Server", string(command.Server)), zap.String("Reason", reason), zap.Error(err))
		}
		l.plan(orders.OrderAnswered{
			Server:   command.Server,
			ID:       command.Order.ID,
			Accepted: accepted && err == nil,
		})
	})
}
