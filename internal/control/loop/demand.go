package loop

import (
	"context"
	"time"

	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// demandSpacing is between two words on demand that reach the leader.
const demandSpacing = 50 * time.Millisecond

// demandInterval is between two words of one host.
func demandInterval(planInterval time.Duration, hosts int) time.Duration {
	return max(planInterval, time.Duration(hosts)*demandSpacing)
}

// tickDemand smooths what callers asked for, and tells it to the leader or, on
// the leader, gives the placement the sums.
func (c *control) tickDemand(now time.Time, interval time.Duration) {
	c.demand.Step(demand.Asked{
		Counts:   c.askedFor,
		Interval: interval,
	})
	clear(c.askedFor)
	if c.orders.Leading() {
		c.planDemand(now)
		return
	}
	if now.Before(c.demandAt) {
		return
	}
	c.demandAt = now.Add(demandInterval(interval, len(c.live)))
	c.tellDemand(c.orders.Leader())
}

func (c *control) planDemand(now time.Time) {
	sums := c.demand.Sums()
	rates := make([]orders.DemandRate, 0, len(sums))
	for _, sum := range sums {
		rates = append(rates, orders.DemandRate{
			Model:      sum.Model,
			DataCentre: sum.DataCentre,
			PerSecond:  sum.PerSecond,
		})
	}
	c.runOrders(c.orders.Step(now, orders.Demand{
		Rates: rates,
	}))
}

func (c *control) tellDemand(leader ident.HostID) {
	address, known := c.membership.Address(leader)
	rates := c.demand.ToTell(leader)
	if !known || len(rates) == 0 {
		return
	}
	host := &c.options.Settings.Host
	c.work(c.callTimeout(), func(ctx context.Context) {
		err := c.pool.Demand(ctx, address, demand.Told{
			Host:       host.Name,
			DataCentre: host.DataCentre,
			Rates:      rates,
		})
		if err != nil {
			return // it is told again
		}
		c.send(demandEvent{
			event: demand.Taken{
				Leader: leader,
				Rates:  rates,
			},
		})
	})
}

// demandEvent is an event for the machine that adds demand up.
type demandEvent struct {
	event demand.Event
}

func (m demandEvent) apply(_ time.Time, c *control) {
	c.demand.Step(m.event)
}

// Demand implements entryhost.Handler.
func (l *Loop) Demand(_ context.Context, told demand.Told) error {
	if !l.send(demandEvent{
		event: told,
	}) {
		return errEnding
	}
	return nil
}
