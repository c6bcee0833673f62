package gateway

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// troubled tells that the key-value service failed a call.
type troubled struct{}

// apply leaves out what befalls this host alone: what goes missing for a peer that the
// service answers is gone.
func (troubled) apply(now time.Time, c *control) {
	if !c.peerHearsStore() {
		c.noteTrouble(now)
	}
}

// noteTrouble takes in that the service failed at an instant: entries that go missing
// around it may come back.
func (c *control) noteTrouble(at time.Time) {
	if at.After(c.storeFailed) {
		c.storeFailed = at
		c.registry.Troubled(at)
	}
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
	listing store.Listing
}

func (m listed) apply(now time.Time, c *control) {
	c.takeNews(now, c.fleet.Replace(m.listing))
	if !c.serversKnown.Swap(true) {
		c.log.Info("servers known", zap.Int("Entries", len(m.listing.Entries)), zap.Int64("Revision", int64(m.listing.Revision)))
	}
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

// hostsListed brings the entries of the hosts of one data centre, before all others. They
// say nothing of who is the holder.
type hostsListed struct {
	entries []store.Entry
	learned chan<- struct{}
}

func (m hostsListed) apply(now time.Time, c *control) {
	c.takeNews(now, c.fleet.Apply(store.Batch{
		Events: entries.Written(m.entries),
	}))
	c.vacant.Store(false)
	c.publishHosts()
	close(m.learned)
}

// changed brings changes of these entries.
type changed struct {
	batch store.Batch
}

func (m changed) apply(now time.Time, c *control) {
	c.takeNews(now, c.fleet.Apply(m.batch))
}

// takeNews takes in what has changed among the entries of servers and hosts.
func (c *control) takeNews(now time.Time, events []store.Event) {
	for i := range events {
		event := &events[i]
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
	// What an engine holds changes all the time, by orders that the holder logs.
	before, known := c.registry.Of(name)
	if c.serversKnown.Load() && (!known || before.Report.Incarnation != registration.Report.Incarnation || before.Server.State != registration.Server.State) {
		c.log.Info("server's entry changed", zap.String("Server", string(name)), zap.String("State", string(registration.Server.State)),
			zap.String("Incarnation", string(registration.Report.Incarnation)), zap.Int64("OrdersAccepted", registration.Report.OrdersAccepted),
			zap.Int64("Revision", int64(entry.Revision)))
	}
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
			c.hostsChanged = true
		}
	}
}

// hostEntry takes in one entry of the hosts' own.
func (c *control) hostEntry(entry *store.Entry) {
	layout := &c.options.Layout
	switch entry.Key {
	case layout.holderKey():
		c.holder = ident.HostID(entry.Value)
		c.hostsChanged = true // its connection is opened ahead of the first word
		return
	case layout.termKey():
		former := ident.HostID(entry.Value)
		c.former.Store(&former)
		c.term.Store(int64(entry.Revision))
		return
	}
	name := layout.hostOf(entry.Key)
	if name == "" {
		return
	}
	host, err := decodeHost(entry.Value)
	if err != nil {
		c.log.Warn("host's entry not readable", zap.String("Peer", string(name)), zap.Error(err))
		return
	}
	c.hosts[name] = &host
	c.hostsChanged = true
}
