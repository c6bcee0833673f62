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
	// first tells that no other host has ever been the holder.
	first bool
	// from is when the first order may be given: an earlier holder that has lost its
	// key without knowing may have given orders until just now.
	from time.Time
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

var processStart = time.Now()

func steadyClock() int64 {
	return int64(time.Since(processStart))
}

// extend notes that the lease was renewed, asked for at the instants given.
func (t *tenure) extend(steady, boot int64, length time.Duration) {
	t.until.Store(steady + int64(length))
	t.untilBoot.Store(boot + int64(length))
}

// mayOrder tells whether an order may be given at this very instant. It is asked
// right before each send: a process that stood still since it decided on the order
// must not send it any more, since another holder may have begun. It holds since
// both clocks are read after the standstill, and count from before the service
// took the renewal.
func (t *tenure) mayOrder() bool {
	boot := bootClock()
	return !t.ended.Load() && boot > 0 && !time.Now().Before(t.from) &&
		steadyClock() < t.until.Load()-int64(lateMargin) && boot < t.untilBoot.Load()-int64(lateMargin)
}

// hold claims the holder's key whenever nobody has it, and keeps it.
func (g *Gateway) hold() error {
	for g.tomb.Alive() {
		g.sleep(vacantPoll)
		if g.stopping.Load() || !g.vacant.Load() || g.routes.Load() == nil {
			continue
		}
		pause := rand.N(claimSpread)
		if !g.youngest.Load() {
			pause += elderPause
		}
		g.sleep(pause)
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

// claim writes the holder's key if it is absent. A write whose outcome is unknown
// is given up with its lease: it may have been done, and then it lapses.
func (g *Gateway) claim(ctx context.Context) (*tenure, error) {
	term := ident.Revision(g.term.Load())
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
		from:   time.Now().Add(g.takeoverPause(term)),
		length: length,
	}
	t.extend(steady, boot, length)
	return t, nil
}

// takeoverPause is how long a new holder gives no orders. Where engines don't
// refuse the orders of earlier holders, one that has lost its key without knowing
// must have stopped first, and then for as long as holders must be apart. Where they
// refuse them, the new holder's first order ends the earlier one's. The first holder
// of all takes over from nobody: its claim compared that no term had ever begun.
//
// With 3 s in place of 0.3 s, a fleet whose hosts are restarted one every 2 s had no
// orders for half of 14 s, in the middle of a change of demand.
func (g *Gateway) takeoverPause(term ident.Revision) time.Duration {
	if term == 0 {
		return 0
	}
	bounds := &g.options.Settings.Bounds
	if bounds.Fenced {
		return fencedPause
	}
	return bounds.HolderLease + holderLease
}

// sleepUntilStop waits, but not beyond the beginning of a planned stop: the holder's
// key is given back at once then.
func (g *Gateway) sleepUntilStop(length time.Duration) {
	g.sleepUnless(length, g.stopBegun)
}

// serveTenure keeps the key until it is lost or the host stops.
func (g *Gateway) serveTenure(t *tenure) {
	g.log.Info("holds the orders", zap.Int64("Token", int64(t.token)), zap.Time("From", t.from))
	g.holding.Store(t)
	g.post(tenureBegun{tenure: t})
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
