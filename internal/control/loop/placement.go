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

// orderEvent is an event for the machine that plans and sends orders.
type orderEvent struct {
	event orders.Event
}

func (m orderEvent) apply(now time.Time, c *control) {
	c.runOrderCommands(c.orders.Step(now, m.event))
}

func (l *Loop) sendOrdersEvent(event orders.Event) {
	l.send(orderEvent{
		event: event,
	})
}

// tickPlacement steps the orders machine when its next tick is due, and updates the
// demand at every plan interval.
func (c *control) tickPlacement(now time.Time) {
	due := c.orders.NextTick()
	if !due.IsZero() && !now.Before(due) {
		c.runOrderCommands(c.orders.Step(now, orders.Tick{}))
	}
	if now.Before(c.nextPlanAt) {
		return
	}
	interval := c.options.Settings.Control.PlanInterval
	c.nextPlanAt = now.Add(interval)
	c.tickDemand(now, interval)
}

func (c *control) planServers(now time.Time, servers []backend.Server) {
	c.runOrderCommands(c.orders.Step(now, orders.Servers{
		Servers: servers,
	}))
}

func (c *control) planReport(now time.Time, report backend.Report) {
	c.runOrderCommands(c.orders.Step(now, orders.Report{
		Report:     &report,
		ReceivedAt: now,
	}))
}

// planDocuments passes the documents in force to the orders machine, once this host
// has every accepted edit up to the newest of them. A host that has just started
// receives documents one by one from its peers; a leader that planned by a part of
// them would unload the models of every team whose document it had not received yet.
func (c *control) planDocuments(now time.Time) {
	snapshot := c.documents.Snapshot()
	if snapshot.Revision == c.plannedRevision || c.documents.Revision() < snapshot.Revision {
		return
	}
	c.plannedRevision = snapshot.Revision
	all := make([]*document.Document, 0, len(snapshot.Documents))
	for _, doc := range snapshot.Documents {
		all = append(all, doc)
	}
	c.runOrderCommands(c.orders.Step(now, orders.Documents{
		Documents: all,
		Revision:  snapshot.Revision,
	}))
}

// runOrderCommands starts a worker for each command that makes a call, and records moves.
func (c *control) runOrderCommands(commands []orders.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case orders.GrantLease:
			c.grantLease()
		case orders.RevokeLease:
			c.revokeLease(command.Lease)
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
		case orders.RecordMove:
			c.recordMove(&command.Move)
			c.log.Info("move", zap.Any("Move", command.Move.Move), zap.String("OrderID", string(command.Move.Order)))
		}
	}
}

// grantLease gets a lease and renews it until it is revoked or lapses.
func (l *Loop) grantLease() {
	ttl := l.options.Settings.Control.LeaderLease
	l.tomb.Go(func() error {
		ctx := l.tomb.Context(context.Background())
		// Taken before the call: the service may count the lease from any moment
		// after it, and this host must not take the lease for valid too long.
		requestedAt := time.Now()
		lease, err := l.options.KeyValue.GrantLease(ctx, ttl)
		if err != nil {
			l.sendOrdersEvent(orders.LeaseLost{})
			return nil
		}
		l.sendOrdersEvent(orders.LeaseGranted{
			Lease: lease,
			Until: requestedAt.Add(ttl),
		})
		l.renewLease(ctx, lease, ttl)
		return nil
	})
}

// renewLease renews a lease three times in its TTL, until it is gone.
func (l *Loop) renewLease(ctx context.Context, lease store.LeaseID, ttl time.Duration) {
	ticker := time.NewTicker(ttl / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		requestedAt := time.Now()
		kept, err := l.options.KeyValue.RenewLease(ctx, lease)
		switch {
		case err != nil:
			continue // the orders machine stops by its own clock when the lease runs out
		case !kept:
			l.sendOrdersEvent(orders.LeaseLost{
				Lease: lease,
			})
			return
		}
		l.sendOrdersEvent(orders.LeaseGranted{
			Lease: lease,
			Until: requestedAt.Add(ttl),
		})
	}
}

// revokeLease revokes a lease; renewLease then finds it gone.
func (l *Loop) revokeLease(lease store.LeaseID) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		if err := l.options.KeyValue.RevokeLease(ctx, lease); err != nil {
			l.log.Debug("could not revoke a lease; it is left to lapse", zap.Error(err))
		}
	})
}

func (l *Loop) readLeader() {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		entry, err := l.options.KeyValue.Get(ctx, orders.LeaderKey)
		l.sendOrdersEvent(orders.LeaderRead{
			Entry:  entry,
			Failed: err != nil,
		})
	})
}

func (l *Loop) readPlan(command orders.ReadPlan) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		listing, err := l.options.KeyValue.List(ctx, command.Prefix)
		l.sendOrdersEvent(orders.PlanRead{
			Sequence: command.Sequence,
			Entries:  listing.Entries,
			Failed:   err != nil,
		})
	})
}

func (l *Loop) swapPlan(sequence int64, swap store.Swap) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		result, err := l.options.KeyValue.Swap(ctx, swap)
		l.sendOrdersEvent(orders.SwapAnswered{
			Sequence: sequence,
			Outcome:  swapOutcome(result, err),
			Result:   result,
		})
	})
}

// swapOutcome maps every error that does not prove that nothing was written to SwapUnknown.
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

// sendOrderUnlessResting sends no order to an engine that wants nothing from this host now.
func (l *Loop) sendOrderUnlessResting(ctx context.Context, command *orders.SendOrder) (bool, string, error) {
	pressure := l.pressures.Server(command.Server, command.Order.Incarnation).State()
	if pressure.IsResting(time.Now()) {
		return false, "not sent: the engine rests", nil
	}
	return l.engines.SendOrder(ctx, command.Address, command.Order)
}

func (l *Loop) sendOrder(command orders.SendOrder) {
	timeout := min(max(time.Until(command.Deadline), minSleep), l.callTimeout())
	l.startWorker(timeout, func(ctx context.Context) {
		accepted, reason, err := l.sendOrderUnlessResting(ctx, &command)
		if err != nil || !accepted {
			l.log.Warn("order not accepted", zap.String("OrderID", string(command.Order.ID)),
				zap.String("Server", string(command.Server)), zap.String("Reason", reason), zap.Error(err))
		}
		l.sendOrdersEvent(orders.OrderAnswered{
			Server:   command.Server,
			ID:       command.Order.ID,
			Accepted: accepted && err == nil,
		})
	})
}
