package loop

import (
	"cmp"
	"context"
	"maps"
	"net/url"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// How often a backend server that fell silent during a request is checked for a crash.
const (
	crashChecks        = 20
	crashCheckInterval = 250 * time.Millisecond
)

// The size of the platform's host list, and the rate at which it may be read.
const (
	listEntryBytes     = 130
	listBytesPerSecond = 3 << 10
	// smallListEntries is the longest list that is read at the configured interval.
	smallListEntries = 100
)

// hostPort returns the host and port of a base URL, or the text itself if it has none.
func hostPort(base string) string {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" {
		return base
	}
	return parsed.Host
}

// listRead is the platform's host list, or the failure to read it.
type listRead struct {
	servers []backend.Server
	err     error
}

// pollAnswered is a backend server's report, or the failure to get it.
type pollAnswered struct {
	server ident.ServerName
	report backend.Report
	err    error
}

// tickServers reads the host list and polls the servers when they are due.
func (c *control) tickServers(now time.Time) {
	if !now.Before(c.nextListAt) {
		c.nextListAt = now.Add(listInterval(c.options.Settings.Control.ListInterval, c.listLength))
		c.startWorker(c.callTimeout(), func(ctx context.Context) {
			servers, err := c.list.List(ctx)
			c.send(listRead{
				servers: servers,
				err:     err,
			})
		})
	}
	c.startWantedPolls()
	if now.Before(c.nextPollAt) {
		return
	}
	c.nextPollAt = now.Add(c.pollInterval())
	for name, server := range c.servers {
		if c.isPolledHere(name) {
			c.poll(server)
		}
	}
}

// listInterval returns the time between two readings of the list. A longer list is
// read less often, so that the bytes per second stay the same. Hosts read it at
// different times, so that one of them soon sees which servers leave, and reports
// them to the others: see shareLeaving.
func listInterval(configured time.Duration, entries int) time.Duration {
	if entries <= smallListEntries {
		return configured
	}
	stretched := time.Duration(entries*listEntryBytes) * time.Second / listBytesPerSecond
	return max(configured, stretched)
}

// poll asks one backend server for its report, unless a poll of it is in flight or it wants
// nothing from this host now.
func (c *control) poll(server backend.Server) {
	pressure := c.routing.Pressure(server.Name).State()
	if c.polling[server.Name] || pressure.IsResting(time.Now()) {
		return
	}
	c.polling[server.Name] = true
	c.startWorker(c.callTimeout(), func(ctx context.Context) {
		report, err := c.fetchReport(ctx, server)
		c.send(pollAnswered{
			server: server.Name,
			report: report,
			err:    err,
		})
	})
}

func (l *Loop) fetchReport(ctx context.Context, server backend.Server) (backend.Report, error) {
	if server.Kind == backend.KindEngine {
		report, err := l.engines.FetchReport(ctx, server.Address)
		report.Server = server.Name
		return report, err
	}
	status, err := l.plains.FetchReport(ctx, server.Address)
	return backend.Report{
		Server:      server.Name,
		Incarnation: status.Incarnation,
		ReportedAt:  time.Now(),
		Running:     status.Running,
		Waiting:     status.Waiting,
		Slots:       status.Slots,
		Leaving:     status.Leaving,
	}, err
}

func (m listRead) apply(now time.Time, c *control) {
	if m.err != nil {
		c.log.Debug("host list can't be read", zap.Error(m.err))
		return
	}
	if len(m.servers) == 0 && len(c.servers) > 0 {
		// A host list that has just been restarted is empty. Taken as it is, it would
		// leave every model without a replica while all of them still serve.
		c.log.Warn("host list is empty; the previous one stays in use")
		return
	}
	c.listLength = len(m.servers)
	servers := make(map[ident.ServerName]backend.Server, len(m.servers))
	var hosts []membership.Peer
	for _, server := range m.servers {
		if server.Kind == backend.KindEntry {
			hosts = append(hosts, membership.Peer{
				Host:       ident.HostID(server.Name),
				DataCentre: server.DataCentre,
				Region:     server.Region,
				Address:    server.Address,
			})
			continue
		}
		servers[server.Name] = server
	}
	c.replaceServers(now, servers)
	c.membership.Step(now, membership.HostsListed{
		Hosts: hosts,
	})
	c.reports.Step(now, reports.ServersListed{
		Servers: m.servers,
	})
	c.forgetHosts()
	c.updateDuties(now)
	c.routing.Step(now, routing.ServerList{
		Servers: m.servers,
	})
	c.pressures.Sweep(now, c.routing.HasIncarnation)
	c.shareLeaving(now)
	c.planServers(now, m.servers)
	c.tableOutdated = true
}

// replaceServers replaces the listed backend servers, makes a poll due for those
// that are new, and deletes what was kept for those that have gone.
func (c *control) replaceServers(now time.Time, servers map[ident.ServerName]backend.Server) {
	for name := range servers {
		if _, known := c.servers[name]; !known {
			c.nextPollAt = now
			c.firstListedAt[name] = now
		}
	}
	for name := range c.servers {
		if _, stillListed := servers[name]; !stillListed {
			delete(c.firstListedAt, name)
			delete(c.memoryByServer, name)
		}
	}
	c.servers = servers
	c.updateCapacity(now)
}

// forgetHosts deletes what was kept for hosts that have been replaced: some hundreds
// a day in a large fleet, each with a connection.
func (c *control) forgetHosts() {
	known := make(map[ident.HostID]bool)
	addresses := make(map[string]bool)
	for _, peer := range c.membership.KnownPeers() {
		known[peer.Host] = true
		addresses[peer.Address] = true
	}
	maps.DeleteFunc(c.peerStates, func(host ident.HostID, _ *peerState) bool {
		return !known[host]
	})
	maps.DeleteFunc(c.polledReports, func(server ident.ServerName, _ polledReport) bool {
		_, listed := c.servers[server]
		return !listed
	})
	c.pool.CloseOthers(addresses)
}

func (m pollAnswered) apply(now time.Time, c *control) {
	delete(c.polling, m.server)
	if m.err != nil {
		return
	}
	c.receivePolledReport(now, &m.report)
}

// lostAttempt is an attempt during which a backend server fell silent.
type lostAttempt struct {
	suspects.LostAttempt
}

// ReportLostAttempt implements dispatch.Reporter.
func (l *Loop) ReportLostAttempt(loss suspects.LostAttempt) {
	l.trySend(lostAttempt{
		LostAttempt: loss,
	})
}

// apply checks whether the server crashed. A cut connection alone proves nothing:
// the server may have frozen, or the network between may have failed, and neither
// is a reason to refuse a request. A refused connection or another incarnation
// proves a crash.
func (m lostAttempt) apply(_ time.Time, c *control) {
	server := c.servers[m.ServerIncarnation.Server]
	if server.Kind != backend.KindEngine {
		return
	}
	c.startWorker(crashChecks*crashCheckInterval, func(ctx context.Context) {
		ticker := time.NewTicker(crashCheckInterval)
		defer ticker.Stop()
		for range crashChecks {
			if c.isCrashProven(ctx, m) {
				c.send(crashProven(m))
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (l *Loop) isCrashProven(ctx context.Context, m lostAttempt) bool {
	pressure := l.pressures.Server(m.ServerIncarnation.Server, m.ServerIncarnation.Incarnation).State()
	if pressure.IsResting(time.Now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckInterval)
	defer cancel()
	report, err := l.engines.FetchReport(ctx, m.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return report.Incarnation != m.ServerIncarnation.Incarnation
}

// crashProven is an attempt during which the backend server is known to have crashed.
type crashProven lostAttempt

func (m crashProven) apply(now time.Time, c *control) {
	changed := c.suspectMachine.Step(now, suspects.Crash{
		Fingerprint:       m.Fingerprint,
		ServerIncarnation: m.ServerIncarnation,
	})
	if !changed {
		return
	}
	c.log.Warn("request under way at a backend server that died",
		zap.String("RequestID", string(m.Request)), zap.String("AttemptID", string(m.Attempt)),
		zap.Uint64("Fingerprint", uint64(m.Fingerprint)), zap.String("Server", string(m.ServerIncarnation.Server)))
	c.suspects.Store(c.suspectMachine.View())
	// Exchange at once: the caller may already be repeating the request through a peer.
	c.nextExchangeAt = now
}

// sortedServers returns the listed backend servers, sorted by name.
func (c *control) sortedServers() []backend.Server {
	servers := make([]backend.Server, 0, len(c.servers))
	for _, server := range c.servers {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b backend.Server) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return servers
}
