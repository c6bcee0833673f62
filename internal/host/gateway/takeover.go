package gateway

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/takeover"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
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
	// settleTimeout is the timeout of the write of a settled term, and settleRetryInterval is
	// between two attempts.
	settleTimeout       = time.Second
	settleRetryInterval = leaderRenewInterval
)

// takeoverSettings are the bounds by which a new leader waits where engines don't refuse the
// orders of earlier leaders.
//
// Where hosts are restarted one after the other the leader changes each time: with longer
// waits nobody sends orders for half of the time.
func (g *Gateway) takeoverSettings() takeover.Settings {
	return takeover.Settings{
		Separation:    g.options.Settings.Bounds.HolderLease,
		LeaseDuration: leaderLeaseDuration,
		OrderTransit:  orderTransitTime,
		OwnOrderTime:  orderTimeout + orderTransitTime,
	}
}

// knownTerm is the latest term as its entry in the key-value service says. The zero value tells
// that there has been none.
type knownTerm struct {
	revision ident.Revision
	leader   ident.HostID
	// seenAt is when this process first saw the entry, by bootTime.
	seenAt time.Time
}

// describeClaim returns what this host knows of earlier leaders right after it has acquired
// the key.
func (g *Gateway) describeClaim(former *knownTerm) takeover.Claim {
	return takeover.Claim{
		At:           bootTime(),
		Former:       ident.FencingNumber(former.revision),
		IsOwn:        former.leader == g.options.Settings.Host.Name,
		FormerSeenAt: former.seenAt,
		Settled:      ident.FencingNumber(g.settledTerm.Load()),
		Last:         g.lastOwnTerm(),
	}
}

// lastOwnTerm is the last term that this process has begun.
func (g *Gateway) lastOwnTerm() takeover.Term {
	term := g.ownTerm.Load()
	if term == nil {
		return takeover.Term{}
	}
	return takeover.Term{
		Number:       term.token,
		EarlierUntil: term.earlierUntil(),
	}
}

// startWait sets when a new leader that has asked nobody may send its first order. Where
// engines refuse the orders of earlier leaders, its first order fences these off.
func (g *Gateway) startWait(term *leaderTerm) {
	// Kept also where engines refuse them: hosts that follow may have other settings by now.
	settings := g.takeoverSettings()
	term.setEarlierUntil(&settings, settings.EarlierUntil(&term.claim))
	switch {
	case term.isFirst:
		term.firstOrderNanos.Store(steadyNanos())
	case g.options.Settings.Bounds.Fenced:
		term.firstOrderNanos.Store(steadyNanos() + int64(fencedTakeoverDelay))
	}
}

// setEarlierUntil records until when orders of earlier leaders may arrive.
func (t *leaderTerm) setEarlierUntil(settings *takeover.Settings, until time.Time) {
	nanos := int64(0)
	if !until.IsZero() {
		nanos = until.UnixNano()
	}
	t.earlierUntilNanos.Store(nanos)
	t.firstOrderNanos.Store(steadyNanos() + int64(settings.MayOrderAt(&t.claim, until).Sub(bootTime())))
}

// earlierUntil is until when orders of earlier leaders may arrive, zero if they no longer matter.
func (t *leaderTerm) earlierUntil() time.Time {
	if nanos := t.earlierUntilNanos.Load(); nanos != 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

// awaitFormerLeader lets a new leader start sooner if the former one can be asked: that one
// reports when it sent its last order, and ends its term if it had not noticed the loss.
// It also reports until when the leaders before it may have sent orders. Only an answer counts.
// A former leader that can't be reached may go on until its lease is over. One that was killed
// answers once it has restarted, and reports its start: the killed process can't have sent an
// order after that.
//
// When leaders are stopped, killed or cut off this halves the 4.6 s without orders.
func (g *Gateway) awaitFormerLeader(term *leaderTerm) {
	formerLeader := term.formerLeader
	if formerLeader == "" || formerLeader == g.options.Settings.Host.Name || g.options.Settings.Bounds.Fenced {
		return
	}
	for !term.mayStart() && !term.ended.Load() && g.tomb.Alive() {
		if answer, known := g.askFormerLeader(formerLeader, term); known {
			settings := g.takeoverSettings()
			term.setEarlierUntil(&settings, settings.EarlierUntilByAnswer(&term.claim, &answer))
			g.log.Info("former leader reported its last order", zap.String("Former", string(formerLeader)),
				zap.Duration("Ago", bootTime().Sub(answer.LastOrderAt)), zap.Bool("Complete", answer.Covers == term.claim.Former),
				zap.Duration("BeginsIn", term.untilFirstOrder()))
			return
		}
		g.sleep(formerLeaderPoll)
	}
}

// settle records in the key-value service that this leader is apart from all before it, so that
// nobody needs to know of them any more, also if this host is gone by then.
func (g *Gateway) settle(term *leaderTerm) {
	if g.options.Settings.Bounds.Fenced {
		return
	}
	for ; !term.ended.Load() && g.tomb.Alive(); g.sleep(settleRetryInterval) {
		if !term.mayStart() {
			g.sleep(term.untilFirstOrder())
			continue
		}
		err := g.writeSettled(term.token)
		if err == nil {
			return
		}
		g.log.Debug("settled term not written", zap.Error(err))
	}
}

// writeSettled writes a term's number, unless a later term has begun.
func (g *Gateway) writeSettled(token ident.FencingNumber) error {
	ctx, cancel := context.WithTimeout(g.context(), settleTimeout)
	defer cancel()
	_, err := g.options.KeyValue.Swap(ctx, store.Swap{
		Compares: []store.Compare{{
			Key:      g.options.Layout.termKey(),
			Revision: ident.Revision(token),
		}},
		Puts: []store.Put{{
			Key:   g.options.Layout.settledKey(),
			Value: strconv.AppendInt(nil, int64(token), 10),
		}},
	})
	return err
}

// decodeSettled returns the number of a settled term, 0 if the value has none.
func decodeSettled(value []byte) int64 {
	token, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return token
}

// untilFirstOrder is how long it takes until the first order may be sent.
func (t *leaderTerm) untilFirstOrder() time.Duration {
	return time.Duration(max(t.firstOrderNanos.Load()-steadyNanos(), 0))
}

// askFormerLeader asks the former leader when it sent its last order. The message has the
// new term's number, by which the former leader ends its own term before it answers.
func (g *Gateway) askFormerLeader(formerLeader ident.HostID, term *leaderTerm) (takeover.Answer, bool) {
	out := g.buildMessage(recipient{
		address: func(c *control) string { return c.hostAddress(formerLeader) },
	})
	if out.address == "" {
		return takeover.Answer{}, false
	}
	out.message.LeaderToken = term.token
	ctx, cancel := context.WithTimeout(g.context(), formerLeaderTimeout)
	defer cancel()
	reply, err := g.peers.Exchange(ctx, out.address, out.message)
	if err != nil {
		g.log.Debug("former leader does not answer", zap.String("Former", string(formerLeader)), zap.Error(err))
		return takeover.Answer{}, false
	}
	// A host that is the leader again, or another host at its address, proves nothing.
	return takeover.Answer{
		LastOrderAt: bootTime().Add(-time.Since(reply.LastOrderAt)),
		Covers:      reply.LastOrderCovers,
	}, reply.Host == formerLeader && reply.LeaderToken == 0
}

// latestOrderTime is the latest instant at which this host may have sent an order: when this
// process last sent one, or when it started, since an earlier process may have until then. It
// covers all leaders before the term that is returned too, and is in the future while they may
// still send orders. Where the clock that counts through a suspension can't be read, it is now.
func (c *control) latestOrderTime(now time.Time) (time.Time, ident.FencingNumber) {
	nowBootNanos := bootNanos()
	if nowBootNanos == 0 || processStartBootNanos == 0 {
		return now, 0
	}
	settings, last := c.takeoverSettings(), c.lastOwnTerm()
	latest := settings.LastOrderAt(last, time.Unix(0, max(c.lastOrderBootNanos.Load(), processStartBootNanos)))
	return now.Add(latest.Sub(time.Unix(0, nowBootNanos))), last.Number
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
	c.latestToken = max(c.latestToken, token)
	if c.term != nil && token > c.term.token {
		c.term.ended.Store(true)
		c.log.Info("a later leader is known", zap.Int64("Token", int64(c.term.token)), zap.Int64("Later", int64(token)))
		c.term = nil
		c.planners = nil
	}
}
