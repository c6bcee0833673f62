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

// Each host of a small fleet polls every server; in a large fleet it does not.
func TestSmallFleetPollsEveryServer(t *testing.T) {
	require.True(t, shouldPollEveryServer(7, 30))
	require.True(t, shouldPollEveryServer(7, 73))
	require.False(t, shouldPollEveryServer(7, 74))
	require.False(t, shouldPollEveryServer(largeFleetHosts, largeFleetServers))
	small, _ := newFleetControl(7, 30)
	require.Equal(t, small.options.Settings.Control.ReportInterval, small.pollInterval())
	require.True(t, small.isPolledHere("dc-3-gpu-010"))
	require.Equal(t, time.Second, listInterval(time.Second, 37-4))
	require.Less(t, listInterval(time.Second, largeFleetHosts+largeFleetServers), time.Minute)
}

// receiveAllHosts makes a control receive heartbeats of all hosts of the list.
func receiveAllHosts(c *control, now time.Time, hosts int) {
	for i := range hosts {
		peer := membership.Peer{
			Host:      ident.HostID(fmt.Sprintf("dc-%d-entry-%03d", i%largeFleetDataCentres, i)),
			Address:   "10.1.0.0:7300",
			Heartbeat: 1,
		}
		peer.DataCentre, peer.Region = locationOf(i)
		c.membership.Step(now, membership.PeerMessageReceived{
			From: peer.Host,
			Message: membership.Message{
				Peers: []membership.Peer{peer},
			},
		})
	}
	c.updateLiveHosts(now)
}

// A host starts in a fleet of 370. It must not poll 850 servers before it has heard
// of its peers, and must poll few once it has.
func TestHostInLargeFleetPollsFewServers(t *testing.T) {
	c, _ := newFleetControl(largeFleetHosts, largeFleetServers)
	require.Empty(t, c.watched)
	require.False(t, c.pollsEveryServer)
	receiveAllHosts(c, testStart, largeFleetHosts)
	require.NotEmpty(t, c.watched)
	require.Less(t, len(c.watched), 25)
	watching := 0
	for i := range largeFleetHosts {
		c.watchesDocuments = false
		c.options.Settings.Host.Name = ident.HostID(fmt.Sprintf("dc-%d-entry-%03d", i%largeFleetDataCentres, i))
		c.options.Settings.Host.DataCentre, c.options.Settings.Host.Region = locationOf(i)
		c.updateDocumentsWatch(testStart, c.membership.Roster(testStart))
		if c.watchesDocuments {
			watching++
		}
	}
	require.Equal(t, largeFleetDataCentres*documentWatchersPerDataCentre, watching)
	for name := range c.watched {
		require.Equal(t, "dc-0", string(c.servers[name].DataCentre))
	}
	require.Greater(t, c.pollInterval(), c.options.Settings.Control.ReportInterval)
}

// A host that is cut off from all others must poll every server itself, once it has
// waited for peers.
func TestIsolatedHostPollsEveryServer(t *testing.T) {
	c, _ := newFleetControl(largeFleetHosts, largeFleetServers)
	c.startedAt = testStart
	c.updateDuties(testStart)
	require.False(t, c.watchesDocuments)
	c.updateDuties(testStart.Add(peerDiscoveryTimeout))
	require.Len(t, c.watched, largeFleetServers)
	require.True(t, c.watchesDocuments)
}

// The platform's list shows a data centre's servers as leaving. A host that reads it
// a minute later must learn of each from its peers, within a few messages.
func TestLeavingServersAreSentToPeers(t *testing.T) {
	c, list := newFleetControl(largeFleetHosts, largeFleetServers)
	other, _ := newFleetControl(largeFleetHosts, largeFleetServers)
	leaving := 0
	for i := range list {
		if list[i].Kind == backend.KindEngine && list[i].DataCentre == "dc-3" {
			list[i].State = backend.StateLeaving
			leaving++
		}
	}
	listRead{
		servers: list,
	}.apply(testStart, c)
	for range 5 {
		sent := c.leavingToSend()
		require.LessOrEqual(t, len(sent), maxLeaving)
		for _, server := range sent {
			other.routing.Step(testStart, server)
		}
	}
	require.Len(t, other.routing.LeavingServers(), leaving)
}

// The leader gets from peers the report of an engine that has settled an order,
// which they leave out of their messages: it must poll this engine, and no other.
func TestLeaderPollsOnlyChangedEngines(t *testing.T) {
	c, list := newFleetControl(largeFleetHosts, largeFleetServers)
	server := list[largeFleetHosts].Name
	before := engineReport(server, 0, testStart)
	later := engineReport(server, 0, testStart.Add(time.Second))
	later.Running = 9
	c.reports.Step(testStart, reports.ReportPolled{
		Report: later,
	})
	c.planPeerReport(testStart, &later)
	require.Empty(t, c.wantedPolls)
	changed := before
	changed.ReportedAt = testStart.Add(2 * time.Second)
	changed.Fencing = 7
	c.reports.Step(testStart, reports.ReportPolled{
		Report: changed,
	})
	c.planPeerReport(testStart, &changed)
	require.Contains(t, c.wantedPolls, server)
}

// A peer has recorded that this host has all its changes, and this host restarts. It
// must not take a message that begins in the middle for all of them.
func TestMessageWithGapDoesNotAdvanceCursor(t *testing.T) {
	c, _ := newFleetControl(7, 1)
	message := entryhost.Message{
		Peers: []membership.Peer{{
			Host: "dc-1-entry-001",
		}},
		SentAfter: entryhost.Cursors{
			Peers:   5,
			Reports: 5,
		},
		SentThrough: entryhost.Cursors{
			Epoch:   9,
			Peers:   8,
			Reports: 8,
		},
	}
	c.updateCursors(&message)
	require.Zero(t, c.peerState("dc-1-entry-001").received.Peers)
	require.Zero(t, c.peerState("dc-1-entry-001").received.Reports)
	message.SentAfter = entryhost.Cursors{}
	c.updateCursors(&message)
	require.EqualValues(t, 8, c.peerState("dc-1-entry-001").received.Reports)
	message.SentThrough.Epoch = 10
	message.SentAfter.Peers = 8
	c.updateCursors(&message)
	require.Zero(t, c.peerState("dc-1-entry-001").received.Peers)
}
