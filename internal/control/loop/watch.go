package loop

import (
	"slices"
	"time"

	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

const (
	// maxDirectPolls is the largest product of entry hosts and backend servers at
	// which each host polls each server itself: 7 hosts with 73 servers. Above it
	// only a server's watchers poll it, and the other hosts get its report from
	// their peers.
	maxDirectPolls = 512
	// watchersPerServer is two, so that reports go on when one host is lost.
	watchersPerServer = 2
	// watcherIntervalFactor multiplies the report interval of watchers: their
	// reports have to pass through all hosts.
	watcherIntervalFactor = 6
	// maxConcurrentPolls limits the polls in flight when a leader asks engines for
	// what peers' reports leave out. At polledReportMaxAge it asks again even if the
	// digest is the same: two digests may be equal by chance.
	maxConcurrentPolls = 12
	polledReportMaxAge = 5 * time.Minute
	// documentWatchersPerDataCentre is how many hosts of a data centre watch the documents.
	documentWatchersPerDataCentre = 2
	documentsDuty                 = "documents"
	// peerDiscoveryTimeout is how long a host that has just started waits to hear of
	// peers. After that it takes itself for the only host, and polls all servers and
	// watches the documents.
	peerDiscoveryTimeout = 5 * time.Second
)

// shouldPollEveryServer reports whether each host polls each server. Hosts that
// disagree for a while poll too much or get reports from peers; both work.
func shouldPollEveryServer(hosts, servers int) bool {
	return hosts*servers <= maxDirectPolls
}

// polledReport is a complete report, as its engine returned it, for the placement.
type polledReport struct {
	report     backend.Report
	digest     uint32
	receivedAt time.Time
}

// updateDuties recomputes this host's share of polls and watches among the live
// hosts. Call it when these or the servers have changed.
func (c *control) updateDuties(now time.Time) {
	all := c.membership.KnownPeers()
	roster := c.membership.Roster(now)
	self := c.options.Settings.Host.Name
	c.pollsEveryServer = shouldPollEveryServer(len(all), len(c.servers))
	c.watched = make(map[ident.ServerName]bool)
	c.hasDuties = roster.Size() > 1 || !now.Before(c.startedAt.Add(peerDiscoveryTimeout))
	if !c.hasDuties {
		return
	}
	c.updateDocumentsWatch(now, roster)
	if c.pollsEveryServer {
		return
	}
	for name, server := range c.servers {
		if roster.IsChosen(self, string(name), server.DataCentre, server.Region, watchersPerServer) {
			c.watched[name] = true
		}
	}
}

// updateDocumentsWatch has the documents watched by a few hosts of each data centre
// only: each watch counts as one call of the key-value service a second, and the
// rates of that service grow more slowly than the fleet. The other hosts get the
// documents by exchanges.
func (c *control) updateDocumentsWatch(now time.Time, roster *membership.Roster) {
	self := &c.options.Settings.Host
	watches := roster.IsChosen(self.Name, documentsDuty, self.DataCentre, self.Region, documentWatchersPerDataCentre)
	if watches != c.watchesDocuments {
		c.watchesDocuments = watches
		c.stepDocuments(now, documents.WatchAssignmentChanged{
			ShouldWatch: watches,
		})
	}
}

// shareLeaving passes the servers that the list shows as leaving to routing, whose
// leaving servers go into the messages to peers. Each host of a large fleet reads
// the list once a minute: without a message from the first that has read it, most
// would send new work to a leaving server for most of that time.
func (c *control) shareLeaving(now time.Time) {
	if c.pollsEveryServer {
		return
	}
	for name, server := range c.servers {
		if server.State == backend.StateLeaving {
			c.routing.Step(now, routing.ServerLeaving{
				Server: name,
			})
		}
	}
}

// maxLeaving limits the leaving servers in one message.
const maxLeaving = 32

// leavingToSend returns the leaving servers for one message. If there are too many,
// as when a whole data centre leaves, successive messages carry all in turn.
func (c *control) leavingToSend() []routing.ServerLeaving {
	all := c.routing.LeavingServers()
	if len(all) <= maxLeaving {
		return all
	}
	c.leavingOffset += maxLeaving
	part := make([]routing.ServerLeaving, 0, maxLeaving)
	for i := range maxLeaving {
		part = append(part, all[(c.leavingOffset+i)%len(all)])
	}
	return part
}

// pollInterval is the time between two polls of one server by this host.
func (c *control) pollInterval() time.Duration {
	if c.pollsEveryServer {
		return c.options.Settings.Control.ReportInterval
	}
	return c.options.Settings.Control.ReportInterval * watcherIntervalFactor
}

// isPolledHere reports whether this host polls a server at each interval.
func (c *control) isPolledHere(server ident.ServerName) bool {
	return c.pollsEveryServer || c.watched[server]
}

// receiveReport applies a report, from its server or from a peer.
func (c *control) receiveReport(now time.Time, report *backend.Report) {
	c.routing.Step(now, routing.ReportReceived{
		Report: *report,
	})
	if c.servers[report.Server].Kind == backend.KindEngine {
		c.recordServerMemory(now, report)
	}
	c.tableOutdated = true
}

// receivePolledReport applies a report that this host has polled.
func (c *control) receivePolledReport(now time.Time, report *backend.Report) {
	c.receiveReport(now, report)
	if !c.pollsEveryServer {
		c.reports.Step(now, reports.ReportPolled{
			Report: *report,
		})
	}
	if c.servers[report.Server].Kind != backend.KindEngine {
		return
	}
	c.planReport(now, *report)
	c.polledReports[report.Server] = polledReport{
		report:     *report,
		digest:     reports.ComputeDigest(report),
		receivedAt: now,
	}
}

// receivePeerReports applies the reports in a peer's message.
func (c *control) receivePeerReports(now time.Time, from ident.HostID, message reports.Message) {
	update := c.reports.Step(now, reports.PeerMessageReceived{
		From:    from,
		Message: message,
	})
	if update.MissingInventory {
		c.peerState(from).received.Reports = 0
	}
	leading := c.orders.IsLeading()
	for i := range update.Reports {
		c.receiveReport(now, &update.Reports[i])
		if leading {
			c.planPeerReport(now, &update.Reports[i])
		}
	}
}

// planPeerReport passes a peer's report to the placement. Peers leave out what only
// the placement needs, the settled orders above all. While the digest shows that
// this has not changed since the engine was last polled, it is taken from that
// report. Otherwise the engine is polled.
func (c *control) planPeerReport(now time.Time, received *backend.Report) {
	if c.servers[received.Server].Kind != backend.KindEngine {
		return
	}
	newest, digest, _ := c.reports.NewestReport(received.Server)
	polled, found := c.polledReports[received.Server]
	if !found || polled.digest != digest || now.Sub(polled.receivedAt) > polledReportMaxAge {
		c.wantedPolls[received.Server] = true
		return
	}
	report := polled.report
	if !newest.ReportedAt.After(report.ReportedAt) {
		return
	}
	report.ReportedAt = newest.ReportedAt
	report.Running = newest.Running
	report.Waiting = newest.Waiting
	c.planReport(now, report)
}

// startWantedPolls polls the engines whose complete report the placement waits for.
func (c *control) startWantedPolls() {
	for name := range c.wantedPolls {
		if len(c.polling) >= maxConcurrentPolls {
			return
		}
		delete(c.wantedPolls, name)
		if server, listed := c.servers[name]; listed {
			c.poll(server)
		}
	}
}

// reportsMessage returns the reports for a peer that relies on its peers for them.
func (c *control) reportsMessage(state *peerState, receiver reports.Recipient) reports.Message {
	if !state.wantsReports {
		return reports.Message{}
	}
	receiver.AllRegions = state.allReports
	return c.reports.MessageFor(receiver, state.acknowledged.Reports)
}

// replaceLiveHosts records the live hosts, drops the load and demand of those that
// are gone, and reports whether the hosts are the same as before.
func (c *control) replaceLiveHosts(live []ident.HostID) bool {
	unchanged := slices.Equal(c.liveHosts, live)
	for _, host := range c.liveHosts {
		if _, stillLive := slices.BinarySearch(live, host); !stillLive {
			// A dead host's requests in flight would count as load of the servers for ever.
			c.routing.Step(time.Time{}, routing.PeerGone{
				Host: host,
			})
			c.demand.Step(demand.HostGone{
				Host: host,
			})
		}
	}
	c.liveHosts = live
	return unchanged
}
