package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// holderLease is how long the holder's key outlives it: the shorter, the sooner
	// another goes on. The service takes leases of a second and more.
	holderLease = 1600 * time.Millisecond
	holderKeep  = 400 * time.Millisecond
	// vacantPoll is how often a host looks whether there is a holder.
	vacantPoll = 100 * time.Millisecond
	// claimSpread keeps the hosts from claiming all at the same instant, and
	// elderPause lets one go first that began later than others: where hosts are
	// restarted one after the other, it isn't the next.
	claimSpread = 100 * time.Millisecond
	elderPause  = 150 * time.Millisecond
	// formerPause is by how much longer other hosts wait than the last holder while their
	// process is younger than freshProcess: about what hosts that were killed together
	// need to begin one after the other.
	formerPause = 400 * time.Millisecond
	// followerPause is by how much longer hosts wait that are to hear of the service from
	// others: they would all claim by a word that is already old, and they are weak ones.
	followerPause = 1500 * time.Millisecond
	freshProcess  = 3 * time.Second
	// fencedPause is how long a new holder waits where engines refuse the orders of
	// earlier ones: until hosts and reports have caught up.
	fencedPause = 300 * time.Millisecond
	// lateMargin is taken off the lease: an order is under way for as long.
	lateMargin = 200 * time.Millisecond
)

// tenure is one host's time as holder.
type tenure struct {
	token  ident.FencingNumber
	lease  store.LeaseID
	length time.Duration
	// first tells that no other host has ever been the holder, former which one was the
	// last.
	first  bool
	former ident.HostID
	// from is when the first order may be given, in nanoseconds of the steady clock: an
	// earlier holder that has lost its key without knowing may have given orders until
	// just now.
	from atomic.Int64
	// until and untilBoot are when the lease lapses, by the steady clock and by the
	// one that also counts while the machine is suspended, in nanoseconds.
	until     atomic.Int64
	untilBoot atomic.Int64
	ended     atomic.Bool
}

// bootClock reads the clock that goes on while the machine is suspended. The steady
// clock stands still then: a holder that wakes up would take its lease for valid.
func bootClock() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // before any instant is no reason to give an order: see mayOrder
	}
	return now.Nano()
}

// processStart and processBoot are when this process began, the latter by the clock that
// also counts while the machine is suspended.
var (
	processStart = time.Now()
	processBoot  = bootClock()
)

func steadyClock() int64 {
	return int64(time.Since(processStart))
}

// extend notes that the lease was renewed, asked for at the instants given.
func (t *tenure) extend(steady, boot int64, length time.Duration) {
	t.until.Store(steady + int64(length))
	t.untilBoot.Store(boot + int64(length))
}

// begun tells whether the time has come for the first order.
func (t *tenure) begun() bool {
	return steadyClock() >= t.from.Load()
}

// mayOrder tells whether an order may be given at this very instant. It is asked
// right before each send: a process that stood still since it decided on the order
// must not send it any more, since another holder may have begun. It holds since
// both clocks are read after the standstill, and count from before the service
// took the renewal.
func (t *tenure) mayOrder() bool {
	boot := bootClock()
	return !t.ended.Load() && boot > 0 && t.begun() &&
		steadyClock() < t.until.Load()-int64(lateMargin) && boot < t.untilBoot.Load()-int64(lateMargin)
}

// hold claims the holder's key whenever nobody has it, and keeps it.
func (g *Gateway) hold() error {
	for g.tomb.Alive() {
		g.sleep(vacantPoll)
		if g.stopping.Load() || !g.vacant.Load() || g.routes.Load() == nil {
			continue
		}
		g.sleep(g.claimPause())
		if !g.vacant.Load() || g.stopping.Load() {
			continue
		}
		t, err := g.claim(g.context())
		if err != nil {
			g.log.Info("holder's key not claimed", zap.Error(err))
			continue
		}
		if t != nil {
			g.serveTenure(t)
		}
	}
	return nil
}

// claimPause is how long this host lets others go first. Where all hosts begin anew at
// once, the last holder goes first: it takes over from itself and need not wait, where
// any other had no orders given for 3 s and more.
func (g *Gateway) claimPause() time.Duration {
	former := *g.former.Load()
	if former == g.options.Settings.Host.Name {
		return 0
	}
	pause := rand.N(claimSpread)
	if !g.youngest.Load() {
		pause += elderPause
	}
	if !g.following.Load().none() {
		pause += followerPause
	}
	if former != "" && time.Since(processStart) < freshProcess {
		pause += formerPause
	}
	return pause
}

// claim writes the holder's key if it is absent. A write whose outcome is unknown
// is given up with its lease: it may have been done, and then it lapses.
func (g *Gateway) claim(ctx context.Context) (*tenure, error) {
	term := ident.Revision(g.term.Load())
	former := *g.former.Load() // after the term: a later one fails the claim
	steady, boot := steadyClock(), bootClock()
	lease, length, err := g.options.KeyValue.Grant(ctx, holderLease)
	if err != nil {
		return nil, err
	}
	result, err := g.options.KeyValue.Swap(ctx, store.Swap{
		Compares: []store.Compare{
			{
				Key: g.options.Layout.holderKey(),
			},
			{
				Key:      g.options.Layout.termKey(),
				Revision: term,
			},
		},
		Puts: []store.Put{
			{
				Key:   g.options.Layout.holderKey(),
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
		if endErr := g.options.KeyValue.End(ctx, lease); endErr != nil {
			g.log.Debug("lease left to lapse", zap.Error(endErr))
		}
		return nil, err
	}
	t := &tenure{
		token:  ident.FencingNumber(result.Revision),
		lease:  lease,
		first:  term == 0,
		former: former,
		length: length,
	}
	t.from.Store(steadyClock() + int64(g.takeoverPause(t)))
	t.extend(steady, boot, length)
	return t, nil
}

// sleepUntilStop waits, but not beyond the beginning of a planned stop: the holder's
// key is given back at once then.
func (g *Gateway) sleepUntilStop(length time.Duration) {
	g.sleepUnless(length, g.stopBegun)
}

// serveTenure keeps the key until it is lost or the host stops.
func (g *Gateway) serveTenure(t *tenure) {
	g.log.Info("holds the orders", zap.Int64("Token", int64(t.token)), zap.Duration("BeginsIn", t.beginsIn()))
	g.holding.Store(t)
	g.post(tenureBegun{tenure: t})
	g.tomb.Go(func() error {
		g.followFormer(t)
		return nil
	})
	why := g.keepTenure(t)
	t.ended.Store(true)
	g.holding.Store(nil)
	g.post(tenureEnded{})
	g.log.Info("no longer holds the orders", zap.Int64("Token", int64(t.token)), zap.String("Why", why))
}

// endLease gives the holder's key back, so that another host can go on at once.
func (g *Gateway) endLease(ctx context.Context, t *tenure) {
	if err := g.options.KeyValue.End(context.WithoutCancel(ctx), t.lease); err != nil {
		g.log.Info("lease left to lapse", zap.Error(err))
	}
}

func (g *Gateway) keepTenure(t *tenure) string {
	ctx := g.context()
	for {
		g.sleepUntilStop(holderKeep)
		if g.stopping.Load() || !g.tomb.Alive() {
			t.ended.Store(true)
			g.endLease(ctx, t)
			return "the host stops"
		}
		if t.ended.Load() {
			g.endLease(ctx, t)
			return "an engine has seen a later holder, or this machine is slow"
		}
		steady, boot := steadyClock(), bootClock()
		err := g.options.KeyValue.Keep(ctx, t.lease)
		switch {
		case err == nil:
			t.extend(steady, boot, t.length)
		case errors.Is(err, store.ErrLeaseGone):
			return "the lease has ended"
		case steadyClock() > t.until.Load() || bootClock() > t.untilBoot.Load():
			return "the lease could not be kept: " + err.Error()
		}
	}
}
