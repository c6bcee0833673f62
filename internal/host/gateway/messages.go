package gateway

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/store"
)

// configurationRead brings a configuration's text.
type configurationRead struct {
	text []byte
	from string
}

func (m configurationRead) apply(now time.Time, c *control) {
	c.install(now, m.text, m.from)
}

// troubled tells that the key-value service failed a call.
type troubled struct{}

func (troubled) apply(now time.Time, c *control) {
	c.registry.Troubled(now)
}

// serversListed brings all servers' entries.
type serversListed struct {
	entries []store.Entry
}

func (m serversListed) apply(now time.Time, c *control) {
	registrations := make([]backend.Registration, 0, len(m.entries))
	for i := range m.entries {
		if registration, readable := c.registration(&m.entries[i], now); readable {
			registrations = append(registrations, registration)
		}
	}
	c.registry.Replace(now, registrations)
	c.listed.Store(true)
	c.dirty = true
}

// registration reads a server's entry. One that can't be read names no server to
// use; what an earlier entry said of it no longer holds either.
func (c *control) registration(entry *store.Entry, now time.Time) (backend.Registration, bool) {
	registration, err := c.options.Layout.DecodeRegistration(*entry, c.options.Settings.Host.DataCentres, now)
	if err != nil {
		c.log.Warn("server's entry not readable", zap.String("Key", entry.Key), zap.Int64("Revision", int64(entry.Revision)), zap.Error(err))
		return backend.Registration{}, false
	}
	return registration, true
}

// serversChanged brings changes of servers' entries.
type serversChanged struct {
	events []store.Event
}

func (m serversChanged) apply(now time.Time, c *control) {
	for i := range m.events {
		entry := &m.events[i].Entry
		name := ident.ServerName(strings.TrimPrefix(entry.Key, c.options.Layout.RegistrationPrefix))
		if m.events[i].Deleted {
			c.log.Info("server's entry removed", zap.String("Server", string(name)), zap.Int64("Revision", int64(entry.Revision)))
			c.registry.Remove(now, name)
			continue
		}
		registration, readable := c.registration(entry, now)
		if !readable {
			c.registry.Remove(now, name)
			continue
		}
		c.log.Debug("server's entry changed", zap.String("Server", string(name)), zap.String("State", string(registration.Server.State)),
			zap.String("Incarnation", string(registration.Report.Incarnation)), zap.Int64("Revision", int64(entry.Revision)))
		if registration.Report.Leaving {
			c.log.Info("server leaves", zap.String("Server", string(name)), zap.Int64("Revision", int64(entry.Revision)))
		}
		c.registry.Put(now, registration)
	}
	c.dirty = true
}

// holdsOf gives what requests may ask for by a report.
func holdsOf(report *backend.Report) []request.Weights {
	holds := make([]request.Weights, 0, len(report.Residents))
	for i := range report.Residents {
		holds = append(holds, request.Weights{
			Model:   report.Residents[i].Model,
			Adapter: report.Residents[i].Adapter,
		})
	}
	return holds
}

// hostsListed brings all entries of hosts, and the holder's key.
type hostsListed struct {
	entries []store.Entry
}

func (m hostsListed) apply(now time.Time, c *control) {
	seen := make(map[ident.HostID]bool)
	c.holder = ""
	for i := range m.entries {
		if name := c.hostEntry(&m.entries[i]); name != "" {
			seen[name] = true
		}
	}
	for name, host := range c.hosts {
		if !seen[name] && host.missingSince.IsZero() {
			host.missingSince = now
		}
	}
	c.vacant.Store(c.holder == "")
	c.dirty = true
}

// hostEntry takes in one entry under the hosts' own prefix.
func (c *control) hostEntry(entry *store.Entry) ident.HostID {
	if entry.Key == holderKey {
		c.holder = ident.HostID(entry.Value)
		return ""
	}
	if !strings.HasPrefix(entry.Key, hostPrefix) {
		return ""
	}
	name, host, err := decodeHost(entry)
	if err != nil {
		c.log.Warn("host's entry not readable", zap.Error(err))
		return ""
	}
	c.hosts[name] = &host
	return name
}

// hostsChanged brings changes of these.
type hostsChanged struct {
	events []store.Event
}

func (m hostsChanged) apply(now time.Time, c *control) {
	for i := range m.events {
		entry := &m.events[i].Entry
		switch {
		case !m.events[i].Deleted:
			c.hostEntry(entry)
		case entry.Key == holderKey:
			c.holder = ""
		default:
			if host, known := c.hosts[ident.HostID(strings.TrimPrefix(entry.Key, hostPrefix))]; known {
				host.missingSince = now
			}
		}
	}
	c.vacant.Store(c.holder == "")
	c.dirty = true
}
