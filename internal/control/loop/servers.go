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

// Checks of a backend server that fell silent under a request.
const (
	deathChecks     = 20
	deathCheckEvery = 250 * time.Millisecond
)

// A list's bytes, measured, and what reading it may cost.
const (
	listEntryBytes     = 130
	listBytesPerSecond = 3 << 10
	// smallList is up to how many entries the list is read as configured.
	smallList = 100
)

// hostOf gives the host and port of a base URL, or the text itself.
func hostOf(base string) string {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" {
		return base
	}
	return parsed.Host
}

// listed is the platform's list, or the failure to read it.
type listed struct {
	servers []backend.Server
	err     error
}

// reported is a backend server's word on itself, or the failure to get it.
type reported struct {
	server ident.ServerName
	report backend.Report
	err    error
}

// tickServers reads the list and the reports that are due.
func (c *control) tickServers(now time.Time) {
	if !now.Before(c.listAt) {
		c.listAt = now.Add(listInterval(c.options.Settings.Control.ListInterval, c.listLength))
		c.work(c.callTimeout(), func(ctx context.Context) {
			servers, err := c.list.List(ctx)
			c.send(listed{
				servers: servers,
				err:     err,
			})
		})
	}
	c.askWanted()
	if now.Before(c.pollAt) {
		return
	}
	c.pollAt = now.Add(c.pollInterval())
	for name, server := range c.servers {
		if c.polls(name) {
			c.poll(server)
		}
	}
}

// listInterval is the time between two readings of the list. A list that grows
// is read less often, so that its bytes stay the same. Hosts are not in step, so
// that one of them reads it soon, and tells which servers leave: see noteLeaving.
func listInterval(configured time.Duration, entries int) time.Duration {
	if entries <= smallList {
		return configured
	}
	paced := time.Duration(entries*listEntryBytes) * time.Second / listBytesPerSecond
	return max(configured, paced)
}

// poll asks one backend server, unless it still owes the last answer.
func (c *control) poll(server backend.Server) {
	if c.polling[server.Name] {
		return
	}
	c.polling[server.Name] = true
	c.work(c.callTimeout(), func(ctx context.Context) {
		report, err := c.ask(ctx, server)
		c.send(reported{
			server: server.Name,
			report: report,
			err:    err,
		})
	})
}

func (l *Loop) ask(ctx context.Context, server backend.Server) (backend.Report, error) {
	if server.Kind == backend.KindEngine {
		report, err := l.engines.Report(ctx, server.Address)
		report.Server = server.Name
		return report, err
	}
	word, err := l.plains.Report(ctx, server.Address)
	return backend.Report{
		Server:      server.Name,
		Incarnation: word.Incarnation,
		At:          time.Now(),
		Running:     word.Running,
		Waiting:     word.Waiting,
		Slots:       word.Slots,
		Leaving:     word.Leaving,
	}, err
}

func (m listed) apply(now time.Time, c *control) {
	if m.err != nil {
		c.log.Debug("the host list can't be read", zap.Error(m.err))
		return
	}
	if len(m.servers) == 0 && len(c.servers) > 0 {
		// A list that has just been started shows nobody. Taken at its word, it
		// would leave every model without a replica while all of them serve on.
		c.log.Warn("the host list is empty; the one before stays")
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
	c.relist(now, servers)
	c.membership.Step(now, membership.Listed{
		Hosts: hosts,
	})
	c.reports.Step(now, reports.Listed{
		Servers: m.servers,
	})
	c.forgetHosts()
	c.shareDuties(now)
	c.routing.Step(now, routing.Servers{
		Servers: m.servers,
	})
	c.noteLeaving(now)
	c.planServers(now, m.servers)
	c.dirty = true
}

// relist takes note of the backend servers that have come, asks them soon, and
// lets go of what was kept for those that have gone.
func (c *control) relist(now time.Time, servers map[ident.ServerName]backend.Server) {
	for name := range servers {
		if _, known := c.servers[name]; !known {
			c.pollAt = now
			c.listedAt[name] = now
		}
	}
	for name := range c.servers {
		if _, stays := servers[name]; !stays {
			delete(c.listedAt, name)
			delete(c.memories, name)
		}
	}
	c.servers = servers
	c.tellCapacity(now)
}

// forgetHosts lets go of what was kept for hosts that have been replaced: some
// hundreds a day in a large fleet, each with a connection.
func (c *control) forgetHosts() {
	known := make(map[ident.HostID]bool)
	addresses := make(map[string]bool)
	for _, peer := range c.membership.All() {
		known[peer.Host] = true
		addresses[peer.Address] = true
	}
	maps.DeleteFunc(c.acquainted, func(host ident.HostID, _ *acquaintance) bool {
		return !known[host]
	})
	maps.DeleteFunc(c.wholes, func(server ident.ServerName, _ whole) bool {
		_, listed := c.servers[server]
		return !listed
	})
	c.pool.Keep(addresses)
}

func (m reported) apply(now time.Time, c *control) {
	delete(c.polling, m.server)
	if m.err != nil {
		return
	}
	c.hearWhole(now, &m.report)
}

// died is a request's word that a backend server fell silent under it.
type died struct {
	suspects.Loss
}

// Died implements dispatch.Reporter.
func (l *Loop) Died(loss suspects.Loss) {
	l.tell(died{
		Loss: loss,
	})
}

// apply finds out whether the server died. A cut connection alone proves
// nothing: the server may have frozen, or the network between may have failed,
// and a request is not to be refused for that. A refused connection or another
// incarnation does prove it.
func (m died) apply(_ time.Time, c *control) {
	server := c.servers[m.Life.Server]
	if server.Kind != backend.KindEngine {
		return
	}
	c.work(deathChecks*deathCheckEvery, func(ctx context.Context) {
		ticker := time.NewTicker(deathCheckEvery)
		defer ticker.Stop()
		for range deathChecks {
			if c.provenDead(ctx, m) {
				c.send(proven(m))
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

func (l *Loop) provenDead(ctx context.Context, m died) bool {
	ctx, cancel := context.WithTimeout(ctx, deathCheckEvery)
	defer cancel()
	report, err := l.engines.Report(ctx, m.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return report.Incarnation != m.Life.Incarnation
}

// proven is a death that has been found out.
type proven died

func (m proven) apply(now time.Time, c *control) {
	changed := c.suspected.Step(now, suspects.Death{
		Fingerprint: m.Fingerprint,
		Life:        m.Life,
	})
	if !changed {
		return
	}
	c.log.Warn("request under way at a backend server that died",
		zap.String("RequestID", string(m.Request)), zap.String("AttemptID", string(m.Attempt)),
		zap.Uint64("Fingerprint", uint64(m.Fingerprint)), zap.String("Server", string(m.Life.Server)))
	c.suspects.Store(c.suspected.View())
	// Peers learn it at once: the caller may be sending it again through them.
	c.exchangeAt = now
}

// sortedServers gives the listed backend servers by name.
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
