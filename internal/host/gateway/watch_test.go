package gateway

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
)

// Calls to the service are counted, and 76 hosts made 6,400 in a minute. In a large fleet
// each asks less often, and still knows within the 4 s that it has: that a server leaves,
// that the service is back, that its own watch has been cut.
func TestALargeFleetAsksTheServiceLessOften(t *testing.T) {
	const known = 4 * time.Second
	g := &Gateway{}
	require.Equal(t, changePace, g.changePause(&watcher{}))
	g.knownHosts.Store(76)
	require.Equal(t, followPause, g.changePause(&watcher{}))
	require.Less(t, followPause, known)
	require.Less(t, mostPause, known)
	g.holding.Store(&tenure{})
	require.Less(t, g.changePause(&watcher{}), followPause, "the holder knows first")
}

// A large region's hosts all read every step of a quick series of configurations, and
// the link to the service's region was full for 15 s. Three of them read, all hosts agree
// on which, and the others follow those; a small region's hosts all read.
func TestFewHostsOfALargeRegionReadTheConfiguration(t *testing.T) {
	readersOf := func(hosts, self int) []string {
		c := &control{
			Gateway: &Gateway{},
		}
		reachable := []pacing.Host{{
			Name:    "far",
			Address: "far:1",
			Region:  "south",
		}}
		for i := range hosts {
			reachable = append(reachable, pacing.Host{
				Name:    ident.HostID("h" + strconv.Itoa(i)),
				Address: "h" + strconv.Itoa(i) + ":1",
				Region:  "north",
			})
		}
		c.options.Settings.Host.Name = ident.HostID("h" + strconv.Itoa(self))
		c.options.Settings.Host.Region = "north"
		return c.readers(reachable)
	}
	require.Empty(t, readersOf(manyHosts, 0))
	var agreed []string
	reading := 0
	for self := range 36 {
		readers := readersOf(36, self)
		if len(readers) == 0 {
			reading++
			continue
		}
		require.Len(t, readers, readersPerRegion)
		if agreed == nil {
			agreed = readers
		}
		require.Equal(t, agreed, readers)
	}
	require.Equal(t, readersPerRegion, reading)
}

// A host that follows readers hears from none any more. It has to follow the service
// itself, within the 4 s in which a configuration must be in force.
func TestAHostThatHearsFromNoReaderReadsItself(t *testing.T) {
	g := &Gateway{}
	g.readerAddresses.Store(&[]string{"reader:1"})
	require.False(t, g.hearsReaders(), "before the first word")
	g.readerHeard.Store(steadyClock())
	require.True(t, g.hearsReaders())
	g.readerHeard.Store(steadyClock() - int64(readerTrust))
	require.False(t, g.hearsReaders())
	require.Less(t, readerTrust, 4*time.Second)
	g.readerHeard.Store(steadyClock())
	g.readerAddresses.Store(&[]string{})
	require.False(t, g.hearsReaders(), "it is a reader now")
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
