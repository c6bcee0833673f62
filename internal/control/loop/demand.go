package loop

import (
	"context"
	"time"

	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// demandMessageSpacing is the least mean time between two demand messages at the leader.
const demandMessageSpacing = 50 * time.Millisecond

// demandMessageInterval returns the time between two demand messages of one host.
func demandMessageInterval(planInterval time.Duration, hosts int) time.Duration {
	return max(planInterval, time.Duration(hosts)*demandMessageSpacing)
}

// tickDemand smooths the request counts of this host's callers. The leader passes
// the sums over all hosts to the placement; other hosts send their rates to the leader.
func (c *control) tickDemand(now time.Time, interval time.Duration) {
	c.demand.Step(demand.RequestCounts{
		Counts:   c.requestCounts,
		Interval: interval,
	})
	clear(c.requestCounts)
	if c.orders.IsLeading() {
		c.planDemand(now)
		return
	}
	if now.Before(c.nextDemandAt) {
		return
	}
	c.nextDemandAt = now.Add(demandMessageInterval(interval, len(c.liveHosts)))
	c.sendDemand(c.orders.Leader())
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
	c.runOrderCommands(c.orders.Step(now, orders.Demand{
		Rates: rates,
	}))
}

func (c *control) sendDemand(leader ident.HostID) {
	address, known := c.membership.Address(leader)
	rates := c.demand.RatesToSend(leader)
	if !known || len(rates) == 0 {
		return
	}
	host := &c.options.Settings.Host
	c.startWorker(c.callTimeout(), func(ctx context.Context) {
		err := c.pool.SendDemand(ctx, address, demand.HostRates{
			Host:       host.Name,
			DataCentre: host.DataCentre,
			Rates:      rates,
		})
		if err != nil {
			return // the next interval sends the rates again
		}
		c.send(demandEvent{
			event: demand.RatesAccepted{
				Leader: leader,
				Rates:  rates,
			},
		})
	})
}

// demandEvent is an event for the machine that sums demand.
type demandEvent struct {
	event demand.Event
}

func (m demandEvent) apply(_ time.Time, c *control) {
	c.demand.Step(m.event)
}

// Demand implements entryhost.Handler.
func (l *Loop) Demand(_ context.Context, received demand.HostRates) error {
	if !l.send(demandEvent{
		event: received,
	}) {
		return errStopping
	}
	return nil
}
