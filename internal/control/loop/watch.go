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
	// directPolls is up to how many pairs of an entry host and a backend server
	// each host asks each server itself: 7 hosts before 73 servers. Above it a
	// server is asked by its watchers only, and peers tell the others.
	directPolls = 512
	// watchersOfServer ask one server, so that the loss of a host blinds nobody.
	watchersOfServer = 2
	// watchStretch is by how much longer watchers wait between two reports: what
	// they hear has to go round all hosts.
	watchStretch = 6
	// wholePollsAtOnce bounds how many servers a leader asks at once for what
	// peers don't tell, and wholeAgain is when it asks although nothing seems new:
	// two digests may be the same by chance.
	wholePollsAtOnce = 12
	wholeAgain       = 5 * time.Minute
	// documentWatchers is how many hosts of a data centre watch the documents.
	documentWatchers = 2
	documentsDuty    = "documents"
	// acquaintIn is how long a host that has just started waits for its peers
	// before it believes that it is alone, with all servers and with the documents.
	acquaintIn = 5 * time.Second
)

// pollsDirectly is the rule by which hosts ask servers themselves. Hosts that
// differ about it for a while ask too much or learn from peers: both work.
func pollsDirectly(hosts, servers int) bool {
	return hosts*servers <= directPolls
}

// whole is a report as its engine gave it, for the placement.
type whole struct {
	report  backend.Report
	digest  uint32
	askedAt time.Time
}

// shareDuties works out what this host has to do among the live ones, where
// these or the servers have changed.
func (c *control) shareDuties(now time.Time) {
	all := c.membership.All()
	roster := c.membership.Roster(now)
	self := c.options.Settings.Host.Name
	c.direct = pollsDirectly(len(all), len(c.servers))
	c.watched = make(map[ident.ServerName]bool)
	c.acquaintedYet = roster.Size() > 1 || !now.Before(c.startedAt.Add(acquaintIn))
	if !c.acquaintedYet {
		return
	}
	c.watchDuty(now, roster)
	if c.direct {
		return
	}
	for name, server := range c.servers {
		if roster.Has(self, string(name), server.DataCentre, server.Region, watchersOfServer) {
			c.watched[name] = true
		}
	}
}

// watchDuty has the documents watched by a few hosts of each data centre: each
// watch counts as a call of the key-value service in each second, and its rates
// grow more slowly than the fleet. The others learn by the exchange.
func (c *control) watchDuty(now time.Time, roster *membership.Roster) {
	self := &c.options.Settings.Host
	watches := roster.Has(self.Name, documentsDuty, self.DataCentre, self.Region, documentWatchers)
	if watches != c.watches {
		c.watches = watches
		c.stepDocuments(now, documents.WatchDuty{
			Watch: watches,
		})
	}
}

// noteLeaving has peers told which servers the list shows to leave. Each host of a
// large fleet reads the list once a minute: without a word from the first that
// read it, most would give a leaving server new work for most of that time.
func (c *control) noteLeaving(now time.Time) {
	if c.direct {
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

// mostLeaving bounds a word's part on leaving servers.
const mostLeaving = 32

// leaving gives the leaving servers to tell in one word: all in turn, where a
// whole data centre leaves.
func (c *control) leaving() []routing.ServerLeaving {
	all := c.routing.Leaving()
	if len(all) <= mostLeaving {
		return all
	}
	c.leavingTold += mostLeaving
	some := make([]routing.ServerLeaving, 0, mostLeaving)
	for i := range mostLeaving {
		some = append(some, all[(c.leavingTold+i)%len(all)])
	}
	return some
}

// pollInterval is between two reports that this host asks of one server.
func (c *control) pollInterval() time.Duration {
	if c.direct {
		return c.options.Settings.Control.ReportInterval
	}
	return c.options.Settings.Control.ReportInterval * watchStretch
}

// polls tells whether this host asks a server at each interval.
func (c *control) polls(server ident.ServerName) bool {
	return c.direct || c.watched[server]
}

// hear takes in a report, from its server or from a peer.
func (c *control) hear(now time.Time, report *backend.Report) {
	c.routing.Step(now, routing.Reported{
		Report: *report,
	})
	if c.servers[report.Server].Kind == backend.KindEngine {
		c.measure(now, report)
	}
	c.dirty = true
}

// hearWhole takes in a report that this host has asked for.
func (c *control) hearWhole(now time.Time, report *backend.Report) {
	c.hear(now, report)
	if !c.direct {
		c.reports.Step(now, reports.Polled{
			Report: *report,
		})
	}
	if c.servers[report.Server].Kind != backend.KindEngine {
		return
	}
	c.planReport(now, *report)
	c.wholes[report.Server] = whole{
		report:  *report,
		digest:  reports.Digest(report),
		askedAt: now,
	}
}

// learnReports takes in what a peer told of servers.
func (c *control) learnReports(now time.Time, from ident.HostID, word reports.Word) {
	news := c.reports.Step(now, reports.Told{
		From: from,
		Word: word,
	})
	if news.Missing {
		c.acquaintance(from).theirs.Reports = 0
	}
	leading := c.orders.Leading()
	for i := range news.Reports {
		c.hear(now, &news.Reports[i])
		if leading {
			c.planNews(now, &news.Reports[i])
		}
	}
}

// planNews gives the placement a peer's report. Peers leave out what only the
// placement needs, the settled orders above all; while the digest says that this
// has not changed since the engine was last asked, the earlier report stands for
// it. Otherwise the engine is asked.
func (c *control) planNews(now time.Time, news *backend.Report) {
	if c.servers[news.Server].Kind != backend.KindEngine {
		return
	}
	newest, digest, _ := c.reports.Newest(news.Server)
	known, found := c.wholes[news.Server]
	if !found || known.digest != digest || now.Sub(known.askedAt) > wholeAgain {
		c.wanted[news.Server] = true
		return
	}
	report := known.report
	if !newest.At.After(report.At) {
		return
	}
	report.At = newest.At
	report.Running = newest.Running
	report.Waiting = newest.Waiting
	c.planReport(now, report)
}

// askWanted asks the engines whose whole report the placement waits for.
func (c *control) askWanted() {
	for name := range c.wanted {
		if len(c.polling) >= wholePollsAtOnce {
			return
		}
		delete(c.wanted, name)
		if server, listed := c.servers[name]; listed {
			c.poll(server)
		}
	}
}

// reportsFor gives the news of servers for a peer that wants it.
func (c *control) reportsFor(known *acquaintance, reader reports.Reader) reports.Word {
	if !known.wantsReports {
		return reports.Word{}
	}
	reader.All = known.allReports
	return c.reports.Word(reader, known.ours.Reports)
}

// sameHosts tells whether the live hosts are those of the last look.
func (c *control) sameHosts(live []ident.HostID) bool {
	same := slices.Equal(c.live, live)
	for _, host := range c.live {
		if _, still := slices.BinarySearch(live, host); !still {
			// What a dead host had under way would weigh on the servers for good.
			c.routing.Step(time.Time{}, routing.PeerGone{
				Host: host,
			})
			c.demand.Step(demand.Gone{
				Host: host,
			})
		}
	}
	c.live = live
	return same
}
