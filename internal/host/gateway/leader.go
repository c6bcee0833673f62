package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cicadaloom/internal/control/takeover"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// leaderLeaseDuration is how long the leader's key outlives it: the shorter, the sooner
	// another host takes over. The service grants leases of a second and more.
	leaderLeaseDuration = 1600 * time.Millisecond
	leaderRenewInterval = 400 * time.Millisecond
	// leaderPollInterval is how often a host checks whether there is a leader, and
	// followerPollInterval how often one that follows watchers does, which waits longer before
	// it takes over anyway.
	leaderPollInterval   = 100 * time.Millisecond
	followerPollInterval = 500 * time.Millisecond
	// acquireJitter keeps the hosts from writing the leader key all at the same instant, and
	// olderHostDelay lets a host go first that started later than others: where hosts are
	// restarted one after the other, it isn't the next to be restarted.
	acquireJitter  = 100 * time.Millisecond
	olderHostDelay = 150 * time.Millisecond
	// otherHostDelay is how much longer hosts other than the last leader wait while their
	// process is younger than freshProcessAge: about what hosts that were killed together
	// need to start one after the other.
	otherHostDelay = 400 * time.Millisecond
	// followerDelay is how much longer hosts wait that follow watchers: they would all act on
	// a message that is already old, and they have little CPU capacity.
	followerDelay   = 1500 * time.Millisecond
	freshProcessAge = 3 * time.Second
	// fencedTakeoverDelay is how long a new leader waits where engines refuse the orders of
	// earlier ones: until hosts and reports have caught up.
	fencedTakeoverDelay = 300 * time.Millisecond
	// leaseMargin is subtracted from the lease, since an order is in flight for about as long.
	leaseMargin = 200 * time.Millisecond
)

// leaderTerm is one host's time as leader.
type leaderTerm struct {
	token         ident.FencingNumber
	lease         store.LeaseID
	leaseDuration time.Duration
	// isFirst tells that there has been no leader before, formerLeader is the last one.
	isFirst      bool
	formerLeader ident.HostID
	// claim is what the host knew of earlier leaders when it acquired the key, and
	// earlierUntilNanos until when their orders may arrive, by bootNanos, 0 if they no longer
	// matter.
	claim             takeover.Claim
	earlierUntilNanos atomic.Int64
	// firstOrderNanos is when the first order may be sent, by steadyNanos: an earlier leader
	// that has lost its key without noticing may have sent orders until just now.
	firstOrderNanos atomic.Int64
	// expiryNanos and expiryBootNanos are when the lease expires, by steadyNanos and by
	// bootNanos.
	expiryNanos     atomic.Int64
	expiryBootNanos atomic.Int64
	ended           atomic.Bool
}

// bootNanos reads the clock that goes on while the machine is suspended. The steady
// clock stands still then: a leader that resumes would take its lease for valid.
func bootNanos() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // mayOrder allows no order then
	}
	return now.Nano()
}

// processStart and processStartBootNanos are when this process started, the latter by
// bootNanos.
var (
	processStart          = time.Now()
	processStartBootNanos = bootNanos()
)

func steadyNanos() int64 {
	return int64(time.Since(processStart))
}

// extendLease records that the lease was renewed by a request sent at the given instants.
func (t *leaderTerm) extendLease(steadySent, bootSent int64, duration time.Duration) {
	t.expiryNanos.Store(steadySent + int64(duration))
	t.expiryBootNanos.Store(bootSent + int64(duration))
}

// mayStart tells whether the first order may be sent by now.
func (t *leaderTerm) mayStart() bool {
	return steadyNanos() >= t.firstOrderNanos.Load()
}

// mayOrder tells whether an order may be sent at this very instant. It is called right
// before each send: a process that was suspended since it decided on the order must not
// send it any more, since another leader may have started. The check is valid since both
// clocks are read after the suspension, and the lease counts from before the service
// received the renewal.
func (t *leaderTerm) mayOrder() bool {
	nowBootNanos := bootNanos()
	return !t.ended.Load() && nowBootNanos > 0 && t.mayStart() &&
		steadyNanos() < t.expiryNanos.Load()-int64(leaseMargin) && nowBootNanos < t.expiryBootNanos.Load()-int64(leaseMargin)
}

// runLeadership acquires the leader key whenever it is absent, and renews its lease.
func (g *Gateway) runLeadership() error {
	for g.tomb.Alive() {
		g.sleep(g.currentLeaderPoll())
		if g.stopping.Load() || !g.leaderless.Load() || g.routes.Load() == nil || g.tunnels.isCutOffAlone() {
			continue
		}
		g.sleep(g.acquireDelay())
		if !g.leaderless.Load() || g.stopping.Load() {
			continue
		}
		term, err := g.acquire(g.context())
		if err != nil {
			g.log.Info("leader key not acquired", zap.Error(err))
			continue
		}
		if term != nil {
			g.serveTerm(term)
		}
	}
	return nil
}

func (g *Gateway) currentLeaderPoll() time.Duration {
	if g.watchers.Load().isEmpty() {
		return leaderPollInterval
	}
	return followerPollInterval
}

// acquireDelay is how long this host lets others go first. Where all hosts restart at
// once, the last leader goes first: it takes over from itself and need not wait, while
// under any other host no orders would be sent for 3 s and more.
func (g *Gateway) acquireDelay() time.Duration {
	lastLeader := g.lastTerm.Load().leader
	if lastLeader == g.options.Settings.Host.Name {
		return 0
	}
	delay := rand.N(acquireJitter)
	if !g.isYoungest.Load() {
		delay += olderHostDelay
	}
	if !g.watchers.Load().isEmpty() {
		delay += followerDelay
	}
	if lastLeader != "" && time.Since(processStart) < freshProcessAge {
		delay += otherHostDelay
	}
	return delay
}

// acquire writes the leader key if it is absent; the term is nil if it is not. A write
// whose outcome is unknown is abandoned with its lease: if it was done, the key expires.
func (g *Gateway) acquire(ctx context.Context) (*leaderTerm, error) {
	former := *g.lastTerm.Load()
	steadySent, bootSent := steadyNanos(), bootNanos()
	lease, duration, err := g.options.KeyValue.GrantLease(ctx, leaderLeaseDuration)
	if err != nil {
		return nil, err
	}
	result, err := g.options.KeyValue.Swap(ctx, store.Swap{
		Compares: []store.Compare{
			{
				Key: g.options.Layout.leaderKey(),
			},
			{
				Key:      g.options.Layout.termKey(),
				Revision: former.revision,
			},
		},
		Puts: []store.Put{
			{
				Key:   g.options.Layout.leaderKey(),
				Value: []byte(g.options.Settings.Host.Name),
				Lease: lease,
			},
			{
				Key:   g.options.Layout.termKey(),
				Value: []byte(g.options.Settings.Host.Name),
			},
		},
	})
	if err != nil || !result.Swapped {
		if revokeErr := g.options.KeyValue.RevokeLease(ctx, lease); revokeErr != nil {
			g.log.Debug("lease not revoked; it will expire", zap.Error(revokeErr))
		}
		return nil, err
	}
	term := &leaderTerm{
		token:         ident.FencingNumber(result.Revision),
		lease:         lease,
		isFirst:       former.revision == 0,
		formerLeader:  former.leader,
		leaseDuration: duration,
		claim:         g.describeClaim(&former),
	}
	g.startWait(term)
	g.ownTerm.Store(term)
	term.extendLease(steadySent, bootSent, duration)
	return term, nil
}

// sleepUntilStop waits, but not beyond the start of a planned stop, since the leader key
// is released at once then.
func (g *Gateway) sleepUntilStop(duration time.Duration) {
	g.sleepUnless(duration, g.stopStarted)
}

// serveTerm renews the lease until the key is lost or the host stops.
func (g *Gateway) serveTerm(term *leaderTerm) {
	g.log.Info("this host is the leader", zap.Int64("Token", int64(term.token)), zap.Duration("BeginsIn", term.untilFirstOrder()))
	g.activeTerm.Store(term)
	g.post(termStarted{term: term})
	g.tomb.Go(func() error {
		g.awaitFormerLeader(term)
		g.settle(term)
		return nil
	})
	reason := g.keepTerm(term)
	term.ended.Store(true)
	g.activeTerm.Store(nil)
	g.post(termEnded{})
	g.log.Info("this host is no longer the leader", zap.Int64("Token", int64(term.token)), zap.String("Why", reason))
}

// releaseKey revokes the leader key's lease, so that another host can take over at once.
func (g *Gateway) releaseKey(ctx context.Context, term *leaderTerm) {
	if err := g.options.KeyValue.RevokeLease(context.WithoutCancel(ctx), term.lease); err != nil {
		g.log.Info("lease not revoked; it will expire", zap.Error(err))
	}
}

func (g *Gateway) keepTerm(term *leaderTerm) string {
	ctx := g.context()
	for {
		g.sleepUntilStop(leaderRenewInterval)
		if g.stopping.Load() || !g.tomb.Alive() {
			term.ended.Store(true)
			g.releaseKey(ctx, term)
			return "the host stops"
		}
		if term.ended.Load() {
			g.releaseKey(ctx, term)
			return "an engine or a peer knows a later leader, or this machine is slow or cut off from servers"
		}
		steadySent, bootSent := steadyNanos(), bootNanos()
		err := g.options.KeyValue.RenewLease(ctx, term.lease)
		switch {
		case err == nil:
			term.extendLease(steadySent, bootSent, term.leaseDuration)
		case errors.Is(err, store.ErrLeaseGone):
			return "the lease has ended"
		case steadyNanos() > term.expiryNanos.Load() || bootNanos() > term.expiryBootNanos.Load():
			return "the lease could not be renewed: " + err.Error()
		}
	}
}
