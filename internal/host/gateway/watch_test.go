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

// Calls to the service are counted, and 76 hosts made 6,400 in a minute. In a large fleet
// each asks less often, and still knows within the 4 s that it has: that a server leaves,
// that the service is back, that its own watch has been cut.
func TestALargeFleetAsksTheServiceLessOften(t *testing.T) {
	const known = 4 * time.Second
	g := &Gateway{}
	g.following.Store(&readers{})
	require.Equal(t, changePace, g.changePause(&watcher{}))
	g.knownHosts.Store(76)
	require.Equal(t, followPause, g.changePause(&watcher{}))
	require.Less(t, followPause, known)
	require.Less(t, mostPause, known)
	g.holding.Store(&tenure{})
	require.Less(t, g.changePause(&watcher{}), followPause, "the holder knows first")
}

// A large region's hosts all read every step of a quick series of configurations, and
// the link to the service's region was full for 15 s. Two of each data centre read, the
// strong ones, all hosts agree on which, and the others follow those; a small region's
// hosts all read.
func TestFewHostsOfALargeRegionFollowTheService(t *testing.T) {
	readersOf := func(hosts, self int) readers {
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
				Name:       ident.HostID("h" + strconv.Itoa(i)),
				Address:    "h" + strconv.Itoa(i) + ":1",
				DataCentre: ident.DataCentre("north-" + strconv.Itoa(i%2)),
				Region:     "north",
				Power:      0.2,
			}
			if i < 8 {
				host.Power = 0.8
			}
			reachable = append(reachable, host)
		}
		c.options.Settings.Host.Name = ident.HostID("h" + strconv.Itoa(self))
		c.options.Settings.Host.DataCentre = ident.DataCentre("north-" + strconv.Itoa(self%2))
		c.options.Settings.Host.Region = "north"
		return c.readers(reachable)
	}
	require.Equal(t, readers{}, readersOf(manyHosts, 0))
	agreed := make(map[int]readers)
	reading := 0
	for self := range 36 {
		found := readersOf(36, self)
		require.True(t, found.few)
		if found.none() {
			require.Less(t, self, 8, "a strong one")
			reading++
			continue
		}
		require.Len(t, found.near, readersPerDataCentre)
		require.Len(t, found.far, readersPerDataCentre)
		if _, known := agreed[self%2]; !known {
			agreed[self%2] = found
		}
		require.Equal(t, agreed[self%2], found)
	}
	require.Equal(t, 2*readersPerDataCentre, reading)
}

// A host that follows readers hears from none any more, or from one that hears nothing of
// the service itself. It has to follow the service, within the 4 s in which a change must
// be known.
func TestAHostThatHearsFromNoReaderFollowsTheServiceItself(t *testing.T) {
	g := &Gateway{}
	g.following.Store(&readers{
		near: []string{"reader:1"},
		few:  true,
	})
	require.False(t, g.hearsReaders(), "before the first word")
	require.False(t, g.noteReader(time.Time{}), "a reader that has heard nothing")
	require.True(t, g.noteReader(time.Now()))
	require.True(t, g.hearsReaders())
	g.readerHeard.Store(steadyClock() - int64(readerTrust))
	require.False(t, g.hearsReaders())
	require.False(t, g.noteReader(time.Now().Add(-readerTrust)), "a reader that the service turns away")
	require.False(t, g.hearsReaders())
	require.Less(t, readerTrust, 4*time.Second)
	require.Less(t, readerRound+readerPause, readerTrust, "a reader in calm is up to date")
	require.True(t, g.noteReader(time.Now()))
	g.following.Store(&readers{
		few: true,
	})
	require.False(t, g.hearsReaders(), "it is a reader now")
}

// The service turns a reader away and serves a peer, which tells the reader of the fleet.
// The reader passes that on with a view that is up to date, and must not tell its own
// failures beside it: who hears them keeps a server that is gone for two seconds more, as
// one whose entry may come back after an outage.
func TestAReaderThatIsTurnedAwayTellsNoOutage(t *testing.T) {
	now := time.Now()
	c := &control{
		Gateway: &Gateway{},
	}
	c.following.Store(&readers{
		few: true,
	})
	c.former.Store(new(ident.HostID))
	troubled{}.apply(now, c)
	require.Equal(t, now, c.greeting(now).StoreFailed, "its own view, and its own failures")
	peer := gatewaypeer.Word{
		Fleet:      &entries.Update{},
		StoreHeard: now,
	}
	c.hear(now, &peer)
	require.True(t, c.noteReader(peer.StoreHeard))
	told := c.greeting(now)
	require.Equal(t, now.Sub(processStart), told.StoreHeard.Sub(processStart))
	require.Zero(t, told.StoreFailed, "the service answers the peer")
	peer.StoreFailed = now.Add(-time.Second)
	c.hear(now, &peer)
	require.Equal(t, peer.StoreFailed, c.greeting(now).StoreFailed, "the peer's failures are passed on")
}

func TestAConfigurationIsPackedForPeers(t *testing.T) {
	text := []byte(strings.Repeat(`{"Host":"desk.example","Prefix":"/"}`, 2000))
	packed := pack(text)
	require.Less(t, 10*len(packed), len(text))
	unpacked, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, text, unpacked)
	_, err = unpack(packed[:len(packed)/2])
	require.Error(t, err)
	_, err = unpack(pack(make([]byte, maxConfiguration+1)))
	require.ErrorContains(t, err, "over")
}
