package gateway

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// troubled tells that the key-value service failed a call.
type troubled struct{}

func (troubled) apply(now time.Time, c *control) {
	c.registry.Troubled(now)
}

// configurationListed brings the configuration as it stands.
type configurationListed struct {
	entries []store.Entry
}

func (m configurationListed) apply(now time.Time, c *control) {
	for i := range m.entries {
		if m.entries[i].Key == c.options.Layout.ConfigurationKey {
			c.install(now, m.entries[i].Value, fromKeyValue)
		}
	}
}

// listed brings the entries of all servers and hosts.
type listed struct {
	entries []store.Entry
}

func (m listed) apply(now time.Time, c *control) {
	registrations := make([]backend.Registration, 0, len(m.entries))
	hosts := make(map[ident.HostID]bool)
	c.holder = ""
	for i := range m.entries {
		entry := &m.entries[i]
		switch {
		case strings.HasPrefix(entry.Key, c.options.Layout.RegistrationPrefix):
			if registration, readable := c.registration(entry, now); readable {
				registrations = append(registrations, registration)
			}
		case strings.HasPrefix(entry.Key, c.options.Layout.HostPrefix):
			hosts[c.hostEntry(entry)] = true
		}
	}
	c.registry.Replace(now, registrations)
	for name, host := range c.hosts {
		if !hosts[name] && host.missingSince.IsZero() {
			host.missingSince = now
		}
	}
	c.vacant.Store(c.holder == "")
	c.serversKnown.Store(true)
	c.dirty = true
}

// fromKeyValue names where a configuration came from.
const fromKeyValue = "key-value service"

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

// changed brings changes of these entries.
type changed struct {
	events []store.Event
}

func (m changed) apply(now time.Time, c *control) {
	for i := range m.events {
		event := &m.events[i]
		key := event.Entry.Key
		switch {
		case strings.HasPrefix(key, c.options.Layout.RegistrationPrefix):
			c.serverChanged(now, event)
		case strings.HasPrefix(key, c.options.Layout.HostPrefix):
			c.hostChanged(now, event)
		}
	}
	c.vacant.Store(c.holder == "")
	c.dirty = true
}

func (c *control) serverChanged(now time.Time, event *store.Event) {
	entry := &event.Entry
	name := ident.ServerName(strings.TrimPrefix(entry.Key, c.options.Layout.RegistrationPrefix))
	if event.Deleted {
		c.log.Info("server's entry removed", zap.String("Server", string(name)), zap.Int64("Revision", int64(entry.Revision)))
		c.registry.Remove(now, name)
		return
	}
	registration, readable := c.registration(entry, now)
	if !readable {
		c.registry.Remove(now, name)
		return
	}
	c.log.Info("server's entry changed", zap.String("Server", string(name)), zap.String("State", string(registration.Server.State)),
		zap.String("Incarnation", string(registration.Report.Incarnation)), zap.Int64("OrdersAccepted", registration.Report.OrdersAccepted),
		zap.Int64("Revision", int64(entry.Revision)))
	c.registry.Put(now, registration)
}

func (c *control) hostChanged(now time.Time, event *store.Event) {
	key := event.Entry.Key
	switch {
	case !event.Deleted:
		c.hostEntry(&event.Entry)
	case key == c.options.Layout.holderKey():
		c.holder = ""
	default:
		if host, known := c.hosts[c.options.Layout.hostOf(key)]; known {
			host.missingSince = now
		}
	}
}

// hostEntry takes in one entry of the hosts' own, and gives the host whose it is.
func (c *control) hostEntry(entry *store.Entry) ident.HostID {
	layout := &c.options.Layout
	switch entry.Key {
	case layout.holderKey():
		c.holder = ident.HostID(entry.Value)
		return ""
	case layout.termKey():
		former := ident.HostID(entry.Value)
		c.former.Store(&former)
		c.term.Store(int64(entry.Revision))
		return ""
	}
	name := layout.hostOf(entry.Key)
	if name == "" {
		return ""
	}
	host, err := decodeHost(entry.Value)
	if err != nil {
		c.log.Warn("host's entry not readable", zap.String("Peer", string(name)), zap.Error(err))
		return ""
	}
	c.hosts[name] = &host
	return name
}
