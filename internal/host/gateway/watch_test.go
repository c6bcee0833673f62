package gateway

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
)

// Calls to the key-value service are counted: 6,400 in a minute if 76 hosts poll at the
// interval of a small fleet. In a large fleet each calls less often, and must still know
// within 4 s that a server leaves, that the service is back, and that its own watch has been
// cut.
func TestLargeFleetCallsStoreLessOften(t *testing.T) {
	const changeDeadline = 4 * time.Second
	g := &Gateway{}
	g.watchers.Store(&watcherSet{})
	require.Equal(t, changeDelay, g.changeDelayFor(&prefixWatch{}))
	g.knownHostCount.Store(76)
	require.Equal(t, largeFleetChangeDelay, g.changeDelayFor(&prefixWatch{}))
	require.Less(t, largeFleetChangeDelay, changeDeadline)
	require.Less(t, maxFleetRetryDelay, changeDeadline)
	g.activeTerm.Store(&leaderTerm{})
	require.Less(t, g.changeDelayFor(&prefixWatch{}), largeFleetChangeDelay, "the leader gets changes first")
}

// If all hosts of a large region read every step of a quick series of configurations, the
// link to the service's region is full for 15 s. Only two hosts of each data centre may
// follow the service, of those with the most CPU capacity; all hosts agree on which, and the
// others follow those. In a small region all hosts follow the service.
func TestLargeRegionSelectsFewWatchers(t *testing.T) {
	selectFor := func(hosts, self int) watcherSet {
		c := &control{
			Gateway: &Gateway{},
		}
		reachable := []pacing.Host{{
			Name:    "far",
			Address: "far:1",
			Region:  "south",
		}}
		for i := range hosts {
			host := pacing.Host{
				Name:        ident.HostID("h" + strconv.Itoa(i)),
				Address:     "h" + strconv.Itoa(i) + ":1",
				DataCentre:  ident.DataCentre("north-" + strconv.Itoa(i%2)),
				Region:      "north",
				CPUCapacity: 0.2,
			}
			if i < 8 {
				host.CPUCapacity = 0.8
			}
			reachable = append(reachable, host)
		}
		c.options.Settings.Host.Name = ident.HostID("h" + strconv.Itoa(self))
		c.options.Settings.Host.DataCentre = ident.DataCentre("north-" + strconv.Itoa(self%2))
		c.options.Settings.Host.Region = "north"
		return c.selectWatchers(reachable)
	}
	require.Equal(t, watcherSet{}, selectFor(smallRegionHosts, 0))
	agreed := make(map[int]watcherSet)
	watcherCount := 0
	for self := range 36 {
		set := selectFor(36, self)
		require.True(t, set.isLargeRegion)
		if set.isEmpty() {
			require.Less(t, self, 8, "high CPU capacity")
			watcherCount++
			continue
		}
		require.Len(t, set.near, watchersPerDataCentre)
		require.Len(t, set.far, watchersPerDataCentre)
		if _, known := agreed[self%2]; !known {
			agreed[self%2] = set
		}
		require.Equal(t, agreed[self%2], set)
	}
	require.Equal(t, 2*watchersPerDataCentre, watcherCount)
}

// A host's watchers stop answering, or have an old view themselves. The host has to follow
// the service, within the 4 s in which a change must be known.
func TestHostWithoutFreshWatcherFollowsStore(t *testing.T) {
	g := &Gateway{}
	g.watchers.Store(&watcherSet{
		near:          []string{"reader:1"},
		isLargeRegion: true,
	})
	require.False(t, g.hasFreshWatcher(), "before the first reply")
	require.False(t, g.notePeerView(time.Time{}), "a watcher without an answer from the service")
	require.True(t, g.notePeerView(time.Now()))
	require.True(t, g.hasFreshWatcher())
	g.peerViewNanos.Store(steadyNanos() - int64(maxViewAge))
	require.False(t, g.hasFreshWatcher())
	require.False(t, g.notePeerView(time.Now().Add(-maxViewAge)), "a watcher that the service rejects")
	require.False(t, g.hasFreshWatcher())
	require.Less(t, maxViewAge, 4*time.Second)
	require.Less(t, watcherPollDuration+watcherChangeDelay, maxViewAge, "a watcher is up to date while nothing changes")
	require.True(t, g.notePeerView(time.Now()))
	g.watchers.Store(&watcherSet{
		isLargeRegion: true,
	})
	require.False(t, g.hasFreshWatcher(), "it is a watcher now")
}

// The key-value service rejects a watcher and serves a peer, which sends the watcher the
// fleet. The watcher passes on a view that is up to date, and must not report its own
// failures with it: a host that receives them keeps a removed server for two seconds more,
// as one whose entry may come back after an outage.
func TestWatcherReportsFailuresOfItsView(t *testing.T) {
	now := time.Now()
	c := &control{
		Gateway: &Gateway{},
	}
	c.watchers.Store(&watcherSet{
		isLargeRegion: true,
	})
	c.lastTerm.Store(&knownTerm{})
	storeCallFailed{}.apply(now, c)
	require.Equal(t, now, c.baseMessage(now).StoreFailedAt, "its own view, and its own failures")
	peer := gatewaypeer.Message{
		Fleet:           &entries.Update{},
		StoreAnsweredAt: now,
	}
	c.receive(now, &peer)
	require.True(t, c.notePeerView(peer.StoreAnsweredAt))
	reported := c.baseMessage(now)
	require.Equal(t, now.Sub(processStart), reported.StoreAnsweredAt.Sub(processStart))
	require.Zero(t, reported.StoreFailedAt, "the service answers the peer")
	peer.StoreFailedAt = now.Add(-time.Second)
	c.receive(now, &peer)
	require.Equal(t, peer.StoreFailedAt, c.baseMessage(now).StoreFailedAt, "the peer's failures are passed on")
}

func TestConfigurationIsCompressedForPeers(t *testing.T) {
	text := []byte(strings.Repeat(`{"Host":"desk.example","Prefix":"/"}`, 2000))
	packed := compress(text)
	require.Less(t, 10*len(packed), len(text))
	unpacked, err := decompress(packed, maxConfigurationBytes)
	require.NoError(t, err)
	require.Equal(t, text, unpacked)
	_, err = decompress(packed[:len(packed)/2], maxConfigurationBytes)
	require.Error(t, err)
	_, err = decompress(compress(make([]byte, maxConfigurationBytes+1)), maxConfigurationBytes)
	require.ErrorContains(t, err, "over")
}
