package gateway

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/store"
)

// Pauses between two readings after a failure. The first is short, since a watch
// is cut also where the service is well; the longest keeps a host within a second
// of the service's return.
const (
	firstPause   = 60 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// mostPause is the longest one in a fleet of any size: what has changed in an outage
	// must be known 4 s after it.
	mostPause = 1500 * time.Millisecond
	// toldPause is the mean pause of hosts that readers tell when the service is back.
	toldPause = 3 * time.Second
)

// failurePause is how long to wait after a reading that failed. Of the hosts of a large
// region all would ask a service that is away, each every second, in calls that are
// counted; readers go on to, and tell the others. Those ask now and then, since the
// service may turn just the readers away.
func (g *Gateway) failurePause(pause time.Duration) time.Duration {
	if !g.following.Load().none() && !g.storeHeard().IsZero() {
		return toldPause/2 + rand.N(toldPause)
	}
	return min(g.fleetPace(pause/2+rand.N(pause)), mostPause)
}

// watcher takes in what stands under one prefix of the key-value service.
type watcher struct {
	prefix string
	// newest tells that only the newest state counts: where several changes come at once,
	// it is read again after a pause, rather than each step on the way. Configurations are
	// large, and in a quick series of them the steps alone would fill a slow link for
	// seconds.
	newest bool
	// read is where it is noted when the service last answered.
	read    *atomic.Int64
	replace func(listing store.Listing)
	change  func(batch store.Batch)
}

// errChanged ends a watch of which only the newest state counts.
var errChanged = errors.New("something has changed")

// watchConfiguration follows the operator's configuration.
func (g *Gateway) watchConfiguration() error {
	return g.watch(&watcher{
		prefix:  g.options.Layout.ConfigurationKey,
		newest:  true,
		read:    &g.configurationRead,
		replace: func(listing store.Listing) { g.post(configurationListed{entries: listing.Entries}) },
		change: func(batch store.Batch) {
			last := &batch.Events[len(batch.Events)-1]
			if !last.Deleted {
				g.post(configurationListed{entries: []store.Entry{last.Entry}})
			}
		},
	})
}

// fleetPause is about how long the hosts of a fleet that starts for the first time take
// until all have written their entries: one reading is enough then.
const fleetPause = 900 * time.Millisecond

// watchFleet follows the entries of servers and hosts: one watch for both, as calls
// are counted, a waiting one as well.
func (g *Gateway) watchFleet() error {
	if g.options.Settings.FirstStart {
		g.sleep(fleetPause/2 + rand.N(fleetPause))
	}
	g.learnHosts()
	return g.watch(&watcher{
		prefix:  g.options.Layout.FleetPrefix,
		read:    &g.fleetRead,
		replace: func(listing store.Listing) { g.post(listed{listing: listing}) },
		change:  func(batch store.Batch) { g.post(changed{batch: batch}) },
	})
}

// watch reads everything under a prefix and then follows the changes, for as long as
// the host lives. Each failure is told to the control: entries that go missing around
// it may come back.
func (g *Gateway) watch(w *watcher) error {
	pause := firstPause
	lost := false
	for g.tomb.Alive() {
		err := g.watchOnce(w, func() {
			if lost {
				g.log.Info("key-value service is back", zap.String("Prefix", w.prefix))
			}
			lost = false
			pause = firstPause
		})
		switch {
		case !g.tomb.Alive():
			return nil
		case errors.Is(err, errChanged):
			continue
		case !lost:
			g.log.Warn("key-value service is lost", zap.String("Prefix", w.prefix), zap.Error(err))
			lost = true
		}
		g.post(troubled{})
		g.sleep(g.failurePause(pause))
		pause = min(2*pause, longestPause)
	}
	return nil
}

// watchOnce reads everything, tells that it could, and follows the changes until the
// watch ends.
func (g *Gateway) watchOnce(w *watcher, read func()) error {
	ctx := g.context()
	g.awaitNeed()
	listing, err := g.options.KeyValue.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	read()
	w.replace(listing)
	w.read.Store(steadyClock())
	return g.options.KeyValue.Watch(ctx, w.prefix, listing.Revision, g.watchRound, func(batch store.Batch) error {
		if len(batch.Events) > 0 {
			w.change(batch)
		}
		w.read.Store(steadyClock()) // after the change is on its way to the control
		if len(batch.Events) > 0 {
			g.sleep(g.changePause(w))
		}
		if g.hearsReaders() || w.newest && len(batch.Events) > 1 {
			return errChanged
		}
		return nil
	})
}

const (
	// changePace is between a change and the next round of the watch, so that a burst
	// of changes comes in few calls.
	changePace = 200 * time.Millisecond
	// paceHosts is how many hosts there may be before each of them slows down what it
	// asks of the service and of the holder, and mostPace by how much at most. Hosts
	// that all follow every entry at once cost more calls than the service allows; what they
	// learn has to be known within seconds only.
	paceHosts = 10
	mostPace  = 6
)

// watchRound is how long the service may hold a round of a watch without news. A
// connection that has gone silent has to be found within the 4 s for which that excuses a
// host. Each round is a call that counts; but a host that the service turns away learns of a
// change only when its round is over, and asks peers. Readers take shorter rounds: by their age
// the others tell whether a reader still hears from the service.
const (
	longRound   = 2400 * time.Millisecond
	readerRound = 1200 * time.Millisecond
)

func (g *Gateway) watchRound() time.Duration {
	if g.following.Load().few {
		return readerRound
	}
	return longRound
}

// readerPause is between a change and a reader's next round.
const readerPause = 600 * time.Millisecond

// followPause is between the rounds of hosts that don't give orders, in a large fleet:
// a server that leaves has to be known 4 s after it says so.
const followPause = 2 * time.Second

// changePause is how long to wait after a change for those that come with it.
func (g *Gateway) changePause(w *watcher) time.Duration {
	if w.newest {
		return changePace // few follow it in a large fleet, and others wait for them
	}
	if following := g.following.Load(); following.few && following.none() {
		return readerPause
	}
	pause := g.fleetPace(changePace)
	if pause >= mostPace*changePace && g.holding.Load() == nil {
		return followPause
	}
	return pause
}

// fleetPace stretches a pause by the size of the fleet.
func (g *Gateway) fleetPace(pause time.Duration) time.Duration {
	return stretch(pause, g.knownHosts.Load())
}

// stretch makes a pause longer where many hosts keep it.
func stretch(pause time.Duration, hosts int64) time.Duration {
	return max(pause, min(pause*time.Duration(hosts)/paceHosts, pause*mostPace))
}

// sleep waits, but not beyond the host's end.
func (g *Gateway) sleep(length time.Duration) {
	g.sleepUnless(length, nil)
}

// sleepUnless waits, but not beyond the host's end, nor beyond something that ends the
// wait early.
func (g *Gateway) sleepUnless(length time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-early:
	case <-g.tomb.Dying():
	}
}
