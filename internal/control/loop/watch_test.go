package loop

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/entryhost"
)

// Today's fleets ask every server themselves, as before; the target's don't.
func TestFewHostsPollDirectly(t *testing.T) {
	require.True(t, pollsDirectly(7, 30))
	require.True(t, pollsDirectly(7, 73))
	require.False(t, pollsDirectly(7, 74))
	require.False(t, pollsDirectly(targetHosts, targetServers))
	today, _ := newTarget(7, 30)
	require.Equal(t, today.options.Settings.Control.ReportInterval, today.pollInterval())
	require.True(t, today.polls("dc-3-gpu-010"))
	require.Equal(t, time.Second, listInterval(time.Second, 37-4))
	require.Less(t, listInterval(time.Second, targetHosts+targetServers), time.Minute)
}

// hearAll lets a control hear that all hosts of the list live.
func hearAll(c *control, now time.Time, hosts int) {
	for i := range hosts {
		peer := membership.Peer{
			Host:    ident.HostID(fmt.Sprintf("dc-%d-entry-%03d", i%targetDataCentres, i)),
			Address: "10.1.0.0:7300",
			Beat:    1,
		}
		peer.DataCentre, peer.Region = placeOf(i)
		c.membership.Step(now, membership.Heard{
			From: peer.Host,
			Word: membership.Word{
				Peers: []membership.Peer{peer},
			},
		})
	}
	c.newHomes(now)
}

// A host starts in a fleet of 370. It must not ask 850 servers while it has not
// heard yet that there are others, and asks few once it has.
func TestAHostOfALargeFleetPollsFewServers(t *testing.T) {
	c, _ := newTarget(targetHosts, targetServers)
	require.Empty(t, c.watched)
	require.False(t, c.direct)
	hearAll(c, targetStart, targetHosts)
	require.NotEmpty(t, c.watched)
	require.Less(t, len(c.watched), 25)
	watching := 0
	for i := range targetHosts {
		c.watches = false
		c.options.Settings.Host.Name = ident.HostID(fmt.Sprintf("dc-%d-entry-%03d", i%targetDataCentres, i))
		c.options.Settings.Host.DataCentre, c.options.Settings.Host.Region = placeOf(i)
		c.watchDuty(targetStart, c.membership.Roster(targetStart))
		if c.watches {
			watching++
		}
	}
	require.Equal(t, targetDataCentres*documentWatchers, watching)
	for name := range c.watched {
		require.Equal(t, "dc-0", string(c.servers[name].DataCentre))
	}
	require.Greater(t, c.pollInterval(), c.options.Settings.Control.ReportInterval)
}

// A host that is cut off from all others looks after every server itself, once
// it has waited for the others.
func TestAHostThatIsAlonePollsEverything(t *testing.T) {
	c, _ := newTarget(targetHosts, targetServers)
	c.startedAt = targetStart
	c.shareDuties(targetStart)
	require.False(t, c.watches)
	c.shareDuties(targetStart.Add(acquaintIn))
	require.Len(t, c.watched, targetServers)
	require.True(t, c.watches)
}

// The platform's list shows a data centre's servers leaving. A host that reads it
// a minute later must hear of each from its peers, within a few words.
func TestLeavingServersOfTheListAreTold(t *testing.T) {
	c, list := newTarget(targetHosts, targetServers)
	other, _ := newTarget(targetHosts, targetServers)
	leaving := 0
	for i := range list {
		if list[i].Kind == backend.KindEngine && list[i].DataCentre == "dc-3" {
			list[i].State = backend.StateLeaving
			leaving++
		}
	}
	listed{
		servers: list,
	}.apply(targetStart, c)
	for range 5 {
		told := c.leaving()
		require.LessOrEqual(t, len(told), mostLeaving)
		for _, one := range told {
			other.routing.Step(targetStart, one)
		}
	}
	require.Len(t, other.routing.Leaving(), leaving)
}

// The leader learns by peers that an engine has settled an order, which they
// leave out of their word: it must ask the engine, and must not ask the others.
func TestTheLeaderAsksOnlyWhereSomethingChanged(t *testing.T) {
	c, list := newTarget(targetHosts, targetServers)
	server := list[targetHosts].Name
	before := targetReport(server, 0, targetStart)
	later := targetReport(server, 0, targetStart.Add(time.Second))
	later.Running = 9
	c.reports.Step(targetStart, reports.Polled{
		Report: later,
	})
	c.planNews(targetStart, &later)
	require.Empty(t, c.wanted)
	changed := before
	changed.At = targetStart.Add(2 * time.Second)
	changed.Fencing = 7
	c.reports.Step(targetStart, reports.Polled{
		Report: changed,
	})
	c.planNews(targetStart, &changed)
	require.Contains(t, c.wanted, server)
}

// A peer restarts and its old acquaintance believes that it has everything. The
// restarted one must not take a word that begins in the middle for all of it.
func TestAWordThatBeginsTooLateIsNotTakenForAll(t *testing.T) {
	c, _ := newTarget(7, 1)
	word := entryhost.Knowledge{
		Peers: []membership.Peer{{
			Host: "dc-1-entry-001",
		}},
		From: entryhost.Marks{
			Peers:   5,
			Reports: 5,
		},
		Told: entryhost.Marks{
			Epoch:   9,
			Peers:   8,
			Reports: 8,
		},
	}
	c.acquaint(&word)
	require.Zero(t, c.acquaintance("dc-1-entry-001").theirs.Peers)
	require.Zero(t, c.acquaintance("dc-1-entry-001").theirs.Reports)
	word.From = entryhost.Marks{}
	c.acquaint(&word)
	require.EqualValues(t, 8, c.acquaintance("dc-1-entry-001").theirs.Reports)
	word.Told.Epoch = 10
	word.From.Peers = 8
	c.acquaint(&word)
	require.Zero(t, c.acquaintance("dc-1-entry-001").theirs.Peers)
}
