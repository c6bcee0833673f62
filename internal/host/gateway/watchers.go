package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// In a large region a few hosts of each data centre, the watchers, follow the key-value
// service and send the changes to the other hosts there. They also forward the demand of
// those hosts to the leader, and the leader's inventory to them. If each host did all of
// this, calls to the service would grow with hosts times changes, and the leader's link
// and processor would be saturated by messages to hosts.
//
// A host that gets no up-to-date view from a watcher follows the service itself, so
// nothing depends on whether hosts agree on the watchers.
const (
	// watchersPerDataCentre is how many hosts of a data centre follow the service, where its
	// region has more than smallRegionHosts hosts. In smaller regions every host does.
	watchersPerDataCentre = 2
	smallRegionHosts      = 10
	// maxViewAge is how old a peer's view of the service may be to stand in for it: a long
	// poll of its watch, the pause after it and a margin. It is a part of the 4 s in which a
	// change must be known.
	maxViewAge = 2800 * time.Millisecond
	// minWatchNeedPoll is how often, at most, a host checks whether it has to follow the service
	// itself.
	minWatchNeedPoll = 100 * time.Millisecond
	// watcherBackoff is how long a watcher that didn't answer, or whose own view is out of
	// date, isn't asked; startupWatcherBackoff applies to a host that has no view yet: a
	// watcher may start at the same time, and be ready in a moment.
	watcherBackoff        = 1500 * time.Millisecond
	startupWatcherBackoff = 100 * time.Millisecond
)

// watcherSet has the addresses of the hosts that a host asks in place of the key-value
// service. The zero value is for hosts that follow the service themselves.
type watcherSet struct {
	// near are the watchers of the host's own data centre, far the others of its region.
	near []string
	far  []string
	// isLargeRegion tells that only watchers follow the service, whether this host is one of
	// them or not.
	isLargeRegion bool
}

func (w *watcherSet) isEmpty() bool {
	return len(w.near) == 0
}

// isOwn reports whether the host is a watcher itself.
func (w *watcherSet) isOwn() bool {
	return w.isLargeRegion && w.isEmpty()
}

func (w *watcherSet) addresses() []string {
	return slices.Concat(w.near, w.far)
}

// selectWatchers returns the watchers that this host asks.
func (c *control) selectWatchers(hosts []pacing.Host) watcherSet {
	own := &c.options.Settings.Host
	regionHosts := pacing.InRegion(hosts, own.Region)
	if len(regionHosts) <= smallRegionHosts {
		return watcherSet{}
	}
	set := watcherSet{
		isLargeRegion: true,
	}
	for _, dataCentre := range dataCentres(regionHosts) {
		for _, watcher := range dataCentreWatchers(regionHosts, dataCentre) {
			switch {
			case watcher.Name == own.Name:
				return watcherSet{
					isLargeRegion: true,
				}
			case dataCentre == own.DataCentre:
				set.near = append(set.near, watcher.Address)
			default:
				set.far = append(set.far, watcher.Address)
			}
		}
	}
	return set
}

func dataCentreWatchers(hosts []pacing.Host, dataCentre ident.DataCentre) []pacing.Host {
	return pacing.PickStrongHosts(pacing.InDataCentre(hosts, dataCentre), "reader", watchersPerDataCentre)
}

// withoutWatchers returns the hosts that may schedule prompts. Watchers, one of whom is
// the leader, have enough to do in a large region: prompts whose scheduler answers late
// go to engines that are full.
func withoutWatchers(hosts []pacing.Host) []pacing.Host {
	isWatcher := make(map[ident.HostID]bool)
	for _, regionHosts := range pacing.ByRegion(hosts) {
		if len(regionHosts) <= smallRegionHosts {
			continue
		}
		for _, dataCentre := range dataCentres(regionHosts) {
			for _, watcher := range dataCentreWatchers(regionHosts, dataCentre) {
				isWatcher[watcher.Name] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h pacing.Host) bool { return isWatcher[h.Name] })
}

// dataCentres returns the hosts' data centres, each once, sorted.
func dataCentres(hosts []pacing.Host) []ident.DataCentre {
	var found []ident.DataCentre
	for i := range hosts {
		found = append(found, hosts[i].DataCentre)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// countLeaderPeers counts the hosts that exchange messages with the leader directly.
func countLeaderPeers(hosts []pacing.Host) int {
	count := 0
	for _, regionHosts := range pacing.ByRegion(hosts) {
		if len(regionHosts) <= smallRegionHosts {
			count += len(regionHosts)
			continue
		}
		count += watchersPerDataCentre * len(dataCentres(regionHosts))
	}
	return count
}

// watcherPicker remembers which watchers, by address, did not answer. It belongs to one
// goroutine.
type watcherPicker struct {
	unavailableUntil map[string]time.Time
}

// pick returns a watcher to ask, empty where none is available: one of the host's own
// data centre, or else of its region.
func (w *watcherPicker) pick(now time.Time, set *watcherSet) string {
	for _, addresses := range [][]string{set.near, set.far} {
		available := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return now.Before(w.unavailableUntil[address]) })
		if len(available) > 0 {
			return available[rand.IntN(len(available))]
		}
	}
	return ""
}

func (w *watcherPicker) markUnavailable(address string, until time.Time) {
	if w.unavailableUntil == nil {
		w.unavailableUntil = make(map[string]time.Time)
	}
	w.unavailableUntil[address] = until
}

// hasFreshWatcher tells that a watcher's view stands in for the key-value service.
func (g *Gateway) hasFreshWatcher() bool {
	return !g.watchers.Load().isEmpty() && g.hasFreshPeerView()
}

// hasFreshPeerView tells that the service has lately answered a peer that sent this host
// the fleet's entries.
func (g *Gateway) hasFreshPeerView() bool {
	viewNanos := g.peerViewNanos.Load()
	return viewNanos > 0 && isFreshView(viewNanos)
}

// isFreshView tells whether a view of the service that was current at an instant of
// steadyNanos is recent enough to use.
func isFreshView(nanos int64) bool {
	return steadyNanos()-nanos < int64(maxViewAge)
}

// ownViewNanos is when the service last answered this host itself, for both prefixes, by
// steadyNanos; 0 where it has not answered for one of them.
func (g *Gateway) ownViewNanos() int64 {
	return min(g.fleetReadNanos.Load(), g.configurationReadNanos.Load())
}

// currentWatcherBackoff is how long a watcher that didn't answer isn't asked.
func (g *Gateway) currentWatcherBackoff() time.Duration {
	if g.storeAnsweredAt().IsZero() {
		return startupWatcherBackoff
	}
	return watcherBackoff
}

// waitUntilWatchNeeded waits while watchers provide a fresh view, and after the host's
// start for their first reply.
func (g *Gateway) waitUntilWatchNeeded() {
	g.waitForFirstReply()
	for g.tomb.Alive() {
		changed := *g.watchersChanged.Load()
		if !g.hasFreshWatcher() {
			return
		}
		staleAt := time.Duration(g.peerViewNanos.Load()) + maxViewAge
		g.sleepUnless(max(staleAt-time.Duration(steadyNanos()), minWatchNeedPoll), changed)
	}
}

// setWatchers replaces the watchers that this host asks, and wakes what waits for it to become a
// watcher itself or none any more.
func (g *Gateway) setWatchers(set *watcherSet) {
	before := g.watchers.Swap(set)
	if before.isEmpty() == set.isEmpty() {
		return
	}
	next := make(chan struct{})
	close(*g.watchersChanged.Swap(&next))
}

// storeAnsweredAt is when the service last answered this host, or the peer whose view it
// received; zero where neither has happened.
func (g *Gateway) storeAnsweredAt() time.Time {
	viewNanos := max(g.ownViewNanos(), g.peerViewNanos.Load())
	if viewNanos == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(viewNanos))
}

const (
	// firstReplyWait is how long after a host's start, at least, it waits for the first reply
	// of a watcher before it asks the service itself, firstReplyPoll how often it checks. In a
	// large data centre it waits for firstReplyTime more for each host that asks the same
	// watcher: if all asked the service, their listings would fill the link between regions
	// for half a minute.
	firstReplyWait = 2 * time.Second
	firstReplyTime = 120 * time.Millisecond
	firstReplyPoll = 20 * time.Millisecond
	// hostListTimeout is how long reading the entries of watchers or hosts may take.
	hostListTimeout = firstReplyWait
)

// findWatchers reads the watchers of this data centre before all else. Where none are listed, as
// in a small region or when a fleet starts for the first time, it reads the hosts and finds them
// by these. Where a large fleet starts at once, as after a loss of power, the entries of all
// servers would fill the link to the service's region for half a minute, and those of all hosts
// for seconds; watchers are few and near.
func (g *Gateway) findWatchers() {
	ctx, cancel := context.WithTimeout(g.context(), hostListTimeout)
	defer cancel()
	if !g.options.Settings.FirstStart {
		listing, err := g.options.KeyValue.ListStale(ctx, g.options.Layout.watchersPrefix(g.options.Settings.Host.DataCentre))
		if err == nil && len(listing.Entries) > 0 {
			g.post(watchersListed{
				entries: listing.Entries,
			})
			return
		}
		if err != nil {
			g.log.Info("watcher entries not read", zap.Error(err))
		}
	}
	listing, err := g.listNearHosts(ctx)
	if err != nil {
		g.log.Info("host entries not read", zap.Error(err))
		close(g.hostListDone)
		return
	}
	g.post(hostsListed{
		entries: listing.Entries,
		done:    g.hostListDone,
	})
}

// listNearHosts reads the entries of this data centre's hosts. A stale read is enough if it has
// this host's own entry: most hosts that start with it have written theirs by then.
func (g *Gateway) listNearHosts(ctx context.Context) (store.Listing, error) {
	host := &g.options.Settings.Host
	prefix := g.options.Layout.hostsPrefix(host.DataCentre)
	own := g.options.Layout.hostKey(host.DataCentre, host.Name)
	listing, err := g.options.KeyValue.ListStale(ctx, prefix)
	if err != nil || slices.ContainsFunc(listing.Entries, func(e store.Entry) bool { return e.Key == own }) {
		return listing, err
	}
	return g.options.KeyValue.List(ctx, prefix)
}

// watchersListed is the listing of this data centre's watchers.
type watchersListed struct {
	entries []store.Entry
}

func (e watchersListed) apply(_ time.Time, c *control) {
	own := &c.options.Settings.Host
	set := watcherSet{
		isLargeRegion: true,
	}
	for i := range e.entries {
		var watcher watcherEntry
		if err := json.Unmarshal(e.entries[i].Value, &watcher); err != nil {
			c.log.Warn("watcher's entry can't be decoded", zap.String("Key", e.entries[i].Key), zap.Error(err))
			continue
		}
		c.nearHostCount.Store(watcher.NearHosts)
		set.near = append(set.near, watcher.Peers)
	}
	if slices.ContainsFunc(e.entries, func(w store.Entry) bool { return w.Key == c.options.Layout.watcherKey(own.DataCentre, own.Name) }) {
		set.near = nil // this host was a watcher before it was restarted
	}
	if len(c.hosts) == 0 {
		c.setWatchers(&set)
		c.openConnections(nil, &set)
	}
	close(c.hostListDone)
}

// waitForFirstReply waits for the first reply of a watcher, if there are any to ask.
func (g *Gateway) waitForFirstReply() {
	g.sleepUnless(firstReplyWait, g.hostListDone)
	wait := max(firstReplyWait, firstReplyTime*time.Duration(g.nearHostCount.Load()/watchersPerDataCentre))
	for g.tomb.Alive() && time.Since(g.startedAt) < wait && !g.hasFreshWatcher() && !g.watchers.Load().isEmpty() {
		g.sleep(firstReplyPoll)
	}
}

// notePeerView records when the service last answered the peer that sent its view, and
// tells whether that view stands in for the service.
func (g *Gateway) notePeerView(storeAnsweredAt time.Time) bool {
	if storeAnsweredAt.IsZero() {
		return false
	}
	viewNanos := int64(storeAnsweredAt.Sub(processStart))
	if viewNanos > g.peerViewNanos.Load() {
		g.peerViewNanos.Store(viewNanos)
	}
	return isFreshView(viewNanos)
}
