package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/domain/ident"
)

const (
	// formerLeaderPoll is how often a new leader asks the former one for its last order, and
	// formerLeaderTimeout how long it waits for the answer: several round trips between
	// regions.
	formerLeaderPoll    = 250 * time.Millisecond
	formerLeaderTimeout = 250 * time.Millisecond
	// orderTransitTime is how long an order may be in flight after the sender reported it as
	// sent: the latency between regions, and what a slow machine adds.
	orderTransitTime = 250 * time.Millisecond
)

// takeoverDelay is how long a new leader sends no orders if the former one can't be
// reached. Where engines don't refuse the orders of earlier leaders, a leader that has
// lost its key without noticing must have stopped first, and orders of two leaders must be
// apart by Bounds.HolderLease on top of that. Where engines refuse them, the new leader's
// first order fences the earlier one off. The first leader of all takes over from nobody:
// its write of the leader key checked that no term had ever started. A host that was
// itself the last leader needs no distance; it waits for the orders of its earlier term
// that are in flight.
//
// Where hosts are restarted one after the other the leader changes each time: with longer
// delays nobody sends orders for half of the time.
func (g *Gateway) takeoverDelay(term *leaderTerm) time.Duration {
	bounds := &g.options.Settings.Bounds
	switch {
	case term.isFirst:
		return 0
	case bounds.Fenced:
		return fencedTakeoverDelay
	case term.formerLeader == g.options.Settings.Host.Name:
		return orderTimeout + orderTransitTime
	default:
		return bounds.HolderLease + leaderLeaseDuration
	}
}

// awaitFormerLeader lets a new leader start sooner if the former one can be asked: that one
// reports when it sent its last order, and ends its term if it had not noticed the loss.
// Only an answer counts. A former leader that can't be reached may go on until its lease
// is over. One that was killed answers once it has restarted, and reports its start: the
// killed process can't have sent an order after that.
//
// When leaders are stopped, killed or cut off this halves the 4.6 s without orders.
func (g *Gateway) awaitFormerLeader(term *leaderTerm) {
	formerLeader := term.formerLeader
	if formerLeader == "" || formerLeader == g.options.Settings.Host.Name || g.options.Settings.Bounds.Fenced {
		return
	}
	for !term.mayStart() && !term.ended.Load() && g.tomb.Alive() {
		if lastOrder, known := g.askFormerLeader(formerLeader, term); known {
			term.allowOrdersFrom(lastOrder.Add(g.options.Settings.Bounds.HolderLease + orderTransitTime))
			g.log.Info("former leader reported its last order", zap.String("Former", string(formerLeader)),
				zap.Duration("Ago", time.Since(lastOrder)), zap.Duration("BeginsIn", term.untilFirstOrder()))
			return
		}
		g.sleep(formerLeaderPoll)
	}
}

// allowOrdersFrom lets the first order be sent from an instant, if that is sooner.
func (t *leaderTerm) allowOrdersFrom(at time.Time) {
	t.firstOrderNanos.Store(min(t.firstOrderNanos.Load(), steadyNanos()+int64(time.Until(at))))
}

// untilFirstOrder is how long it takes until the first order may be sent.
func (t *leaderTerm) untilFirstOrder() time.Duration {
	return time.Duration(max(t.firstOrderNanos.Load()-steadyNanos(), 0))
}

// askFormerLeader asks the former leader when it sent its last order. The message has the
// new term's number, by which the former leader ends its own term before it answers.
func (g *Gateway) askFormerLeader(formerLeader ident.HostID, term *leaderTerm) (time.Time, bool) {
	out := g.buildMessage(recipient{
		address: func(c *control) string { return c.hostAddress(formerLeader) },
	})
	if out.address == "" {
		return time.Time{}, false
	}
	out.message.LeaderToken = term.token
	ctx, cancel := context.WithTimeout(g.context(), formerLeaderTimeout)
	defer cancel()
	reply, err := g.peers.Exchange(ctx, out.address, out.message)
	if err != nil {
		g.log.Debug("former leader does not answer", zap.String("Former", string(formerLeader)), zap.Error(err))
		return time.Time{}, false
	}
	// A host that is the leader again, or another host at its address, proves nothing.
	return reply.LastOrderAt, reply.Host == formerLeader && reply.LeaderToken == 0
}

// hostAddress returns a host's address, empty where it is not known.
func (c *control) hostAddress(name ident.HostID) string {
	if host, known := c.hosts[name]; known {
		return host.address
	}
	return ""
}

// endOutdatedTerm ends this host's term if a peer knows a later one.
func (c *control) endOutdatedTerm(token ident.FencingNumber) {
	if c.term != nil && token > c.term.token {
		c.term.ended.Store(true)
		c.log.Info("a later leader is known", zap.Int64("Token", int64(c.term.token)), zap.Int64("Later", int64(token)))
		c.term = nil
		c.planners = nil
	}
}
