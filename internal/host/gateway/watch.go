package gateway

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/store"
)

// Delays between two attempts after a failure. The first is short, since a watch is
// also cut while the service works; the longest lets a host reconnect within a second of
// the service's return.
const (
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxFleetRetryDelay is the longest one in a fleet of any size: what has changed in an
	// outage must be known 4 s after it.
	maxFleetRetryDelay = 1500 * time.Millisecond
	// followerRetryDelay is the mean delay of hosts whose watchers report when the service is
	// back.
	followerRetryDelay = 3 * time.Second
)

// retryDelay is how long to wait after a read that failed. Failed calls are counted too, and
// if all hosts of a large region called an unavailable service every second these would be
// many. So only the watchers do, and tell the others when the service is back. The others
// still call now and then, since the service may reject just the watchers.
func (g *Gateway) retryDelay(delay time.Duration) time.Duration {
	if !g.watchers.Load().isEmpty() && !g.storeAnsweredAt().IsZero() {
		return followerRetryDelay/2 + rand.N(followerRetryDelay)
	}
	return min(g.stretchByFleet(delay/2+rand.N(delay)), maxFleetRetryDelay)
}

// prefixWatch follows the entries under one prefix of the key-value service.
type prefixWatch struct {
	prefix string
	// isLatestOnly tells that only the latest state counts: where several changes come at once,
	// it is read again after a delay, in place of each step on the way. Configurations are
	// large, and in a quick series of them the steps alone would fill a slow link for
	// seconds.
	isLatestOnly bool
	// readNanos stores when the service last answered, by steadyNanos.
	readNanos    *atomic.Int64
	applyListing func(listing store.Listing)
	applyBatch   func(batch store.Batch)
}

// errRestartWatch ends a watch that has to read the latest state again, or that is not needed
// while a watcher's view is fresh.
var errRestartWatch = errors.New("the watch has to be started again")

// watchConfiguration follows the operator's configuration.
func (g *Gateway) watchConfiguration() error {
	return g.watch(&prefixWatch{
		prefix:       g.options.Layout.ConfigurationKey,
		isLatestOnly: true,
		readNanos:    &g.configurationReadNanos,
		applyListing: func(listing store.Listing) { g.post(configurationRead{entries: listing.Entries}) },
		applyBatch: func(batch store.Batch) {
			last := &batch.Events[len(batch.Events)-1]
			if !last.Deleted {
				g.post(configurationRead{entries: []store.Entry{last.Entry}})
			}
		},
	})
}

// firstStartDelay is about how long the hosts of a fleet that starts for the first time
// take until all have written their entries: one read is enough then.
const firstStartDelay = 900 * time.Millisecond

// watchFleet follows the entries of servers and hosts: one watch for both, since the
// service counts calls, and an open long poll is one.
func (g *Gateway) watchFleet() error {
	if g.options.Settings.FirstStart {
		g.sleep(firstStartDelay/2 + rand.N(firstStartDelay))
	}
	g.findWatchers()
	return g.watch(&prefixWatch{
		prefix:       g.options.Layout.FleetPrefix,
		readNanos:    &g.fleetReadNanos,
		applyListing: func(listing store.Listing) { g.post(fleetListed{listing: listing}) },
		applyBatch:   func(batch store.Batch) { g.post(fleetChanged{batch: batch}) },
	})
}

// watch reads everything under a prefix and then follows the changes until the host ends.
// Each failure is posted to the control goroutine: entries that go missing around it may
// come back.
func (g *Gateway) watch(w *prefixWatch) error {
	delay := minRetryDelay
	isFailing := false
	for g.tomb.Alive() {
		err := g.watchOnce(w, func() {
			if isFailing {
				g.log.Info("key-value service is back", zap.String("Prefix", w.prefix))
				g.failingWatches.Add(-1)
			}
			isFailing = false
			delay = minRetryDelay
		})
		switch {
		case !g.tomb.Alive():
			return nil
		case errors.Is(err, errRestartWatch):
			continue
		case !isFailing:
			g.log.Warn("key-value service does not answer", zap.String("Prefix", w.prefix), zap.Error(err))
			isFailing = true
			g.failingWatches.Add(1)
			g.requestGossip()
		}
		g.post(storeCallFailed{})
		g.sleep(g.retryDelay(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// watchOnce reads everything, calls onListed, and follows the changes until the watch
// ends.
func (g *Gateway) watchOnce(w *prefixWatch, onListed func()) error {
	ctx := g.context()
	g.waitUntilWatchNeeded()
	began := steadyNanos()
	listing, err := g.options.KeyValue.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	onListed()
	w.applyListing(listing)
	w.noteRead(began)
	hasChanged := false
	var wait time.Duration
	pollDuration := func() time.Duration {
		began, wait = steadyNanos(), g.pollDuration()
		if w.isLatestOnly && hasChanged {
			wait /= 2 // until it is over, the view is as old as the poll that brought the change
		}
		return wait
	}
	return g.options.KeyValue.Watch(ctx, w.prefix, listing.Revision, pollDuration, func(batch store.Batch) error {
		hasChanged = len(batch.Events) > 0
		if hasChanged {
			w.applyBatch(batch)
			w.noteRead(began)
			g.sleep(g.changeDelayFor(w))
		} else {
			w.noteRead(began + int64(wait))
		}
		if g.hasFreshWatcher() || w.isLatestOnly && len(batch.Events) > 1 {
			return errRestartWatch
		}
		return nil
	})
}

// noteRead records, after what was read is posted to the control goroutine, that the service has
// answered. asOf is the latest instant, by steadyNanos, before which the answer has all changes for
// certain: on a host whose processor is overloaded, answers wait for a while.
func (w *prefixWatch) noteRead(asOf int64) {
	now := steadyNanos()
	if !w.isLatestOnly {
		asOf = now // entries change too often for each long poll to be known to be complete
	}
	w.readNanos.Store(min(asOf, now))
}

const (
	// changeDelay is between a change and the next long poll of the watch, so that a burst
	// of changes comes in few calls.
	changeDelay = 200 * time.Millisecond
	// stretchThresholdHosts is how many hosts there may be before each of them calls the
	// service and the leader less often, and maxStretch is the largest factor. If all hosts
	// followed every entry at once this would cost more calls than the service allows; it is
	// enough that a change is known within seconds.
	stretchThresholdHosts = 10
	maxStretch            = 6
)

// How long the service may hold a long poll without changes. A connection that has gone
// silent has to be detected, and what it did not bring read again, within 3 s: a configuration may
// not be out of date for longer because of it. Longer polls are fewer calls; but a host that the service rejects notices it
// only when its poll is over, and asks peers then. Watchers use shorter polls: the other
// hosts judge by the age of a watcher's view whether the service still answers it.
const (
	longPollDuration    = 1600 * time.Millisecond
	watcherPollDuration = 1200 * time.Millisecond
)

func (g *Gateway) pollDuration() time.Duration {
	if g.watchers.Load().isLargeRegion {
		return watcherPollDuration
	}
	return longPollDuration
}

// watcherChangeDelay is between a change and a watcher's next long poll.
const watcherChangeDelay = 600 * time.Millisecond

// largeFleetChangeDelay is between a change and the next poll of hosts other than the
// leader, in a large fleet: a leaving server has to be known within 4 s of its report.
const largeFleetChangeDelay = 2 * time.Second

// changeDelayFor is how long to wait after a change for others that come with it.
func (g *Gateway) changeDelayFor(w *prefixWatch) time.Duration {
	if w.isLatestOnly {
		return changeDelay // in a large fleet few hosts follow it, and the others wait for them
	}
	if g.watchers.Load().isOwn() {
		return watcherChangeDelay
	}
	delay := g.stretchByFleet(changeDelay)
	if delay >= maxStretch*changeDelay && g.activeTerm.Load() == nil {
		return largeFleetChangeDelay
	}
	return delay
}

// stretchByFleet lengthens a delay by the size of the fleet.
func (g *Gateway) stretchByFleet(delay time.Duration) time.Duration {
	return stretch(delay, g.knownHostCount.Load())
}

// stretch lengthens a delay in proportion to hosts above stretchThresholdHosts.
func stretch(delay time.Duration, hosts int64) time.Duration {
	return max(delay, min(delay*time.Duration(hosts)/stretchThresholdHosts, delay*maxStretch))
}

// sleep waits, but not beyond the host's end.
func (g *Gateway) sleep(duration time.Duration) {
	g.sleepUnless(duration, nil)
}

// sleepUnless waits, but not beyond the host's end, nor beyond the close of early or a value in it.
func (g *Gateway) sleepUnless(duration time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-early:
	case <-g.tomb.Dying():
	}
}
