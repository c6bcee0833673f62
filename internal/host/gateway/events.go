package gateway

import (
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// storeCallFailed reports that a call to the key-value service failed.
type storeCallFailed struct{}

// apply ignores failures that affect this host alone: while the service answers a peer
// that sends this host the fleet's entries, an entry that goes missing there is gone.
func (storeCallFailed) apply(now time.Time, c *control) {
	if !c.hasFreshPeerView() {
		c.noteStoreFailure(now)
	}
}

// noteStoreFailure records that the key-value service failed at an instant: entries that
// go missing around it may come back.
func (c *control) noteStoreFailure(at time.Time) {
	if at.After(c.storeFailedAt) {
		c.storeFailedAt = at
		c.registry.RecordFailure(at)
	}
}

// configurationRead has the entries under the configuration's key.
type configurationRead struct {
	entries []store.Entry
}

func (e configurationRead) apply(now time.Time, c *control) {
	for i := range e.entries {
		if e.entries[i].Key == c.options.Layout.ConfigurationKey {
			c.installConfiguration(now, e.entries[i].Value, keyValueSource)
		}
	}
}

// fleetListed has the entries of all servers and hosts.
type fleetListed struct {
	listing store.Listing
}

func (e fleetListed) apply(now time.Time, c *control) {
	c.applyEvents(now, c.fleetEntries.Replace(e.listing))
	if !c.serversKnown.Swap(true) {
		c.hostsChanged = true
		c.log.Info("server and host entries read", zap.Int("Entries", len(e.listing.Entries)), zap.Int64("Revision", int64(e.listing.Revision)))
	}
}

// keyValueSource is the log's name for the key-value service as a configuration's source.
const keyValueSource = "key-value service"

// decodeRegistration decodes a server's entry, and returns false if that fails. Such a
// server is not used; what an earlier entry said of it no longer holds either.
func (c *control) decodeRegistration(entry *store.Entry, now time.Time) (backend.Registration, bool) {
	registration, err := c.options.Layout.DecodeRegistration(*entry, c.options.Settings.Host.DataCentres, now)
	if err != nil {
		c.log.Warn("server's entry can't be decoded", zap.String("Key", entry.Key), zap.Int64("Revision", int64(entry.Revision)), zap.Error(err))
		return backend.Registration{}, false
	}
	return registration, true
}

// hostsListed has the entries of the hosts of one data centre, which are read before all
// others. They don't say who is the leader.
type hostsListed struct {
	entries []store.Entry
	done    chan<- struct{}
}

func (e hostsListed) apply(now time.Time, c *control) {
	c.applyEvents(now, c.fleetEntries.Apply(store.Batch{
		Events: entries.WriteEvents(e.entries),
	}))
	c.leaderless.Store(false)
	c.publishHosts()
	close(e.done)
}

// fleetChanged has changes of the entries of servers and hosts.
type fleetChanged struct {
	batch store.Batch
}

func (e fleetChanged) apply(now time.Time, c *control) {
	c.applyEvents(now, c.fleetEntries.Apply(e.batch))
}

// applyEvents applies changes of the entries of servers and hosts.
func (c *control) applyEvents(now time.Time, events []store.Event) {
	for i := range events {
		event := &events[i]
		key := event.Entry.Key
		switch {
		case strings.HasPrefix(key, c.options.Layout.RegistrationPrefix):
			c.applyServerEvent(now, event)
		case strings.HasPrefix(key, c.options.Layout.HostPrefix):
			c.applyHostEvent(now, event)
		}
	}
	c.leaderless.Store(c.leader == "")
}

// entryLogLevel is the level at which changes of entries are logged. Hosts that follow watchers
// leave it to these: otherwise each change would be logged a thousand times in a large fleet.
func (c *control) entryLogLevel() zapcore.Level {
	if c.watchers.Load().isEmpty() {
		return zapcore.InfoLevel
	}
	return zapcore.DebugLevel
}

func (c *control) applyServerEvent(now time.Time, event *store.Event) {
	entry := &event.Entry
	name := ident.ServerName(strings.TrimPrefix(entry.Key, c.options.Layout.RegistrationPrefix))
	if event.Deleted {
		c.log.Log(c.entryLogLevel(), "server's entry removed", zap.String("Server", string(name)), zap.Int64("Revision", int64(entry.Revision)))
		c.registry.Remove(now, name)
		return
	}
	registration, isValid := c.decodeRegistration(entry, now)
	if !isValid {
		c.registry.Remove(now, name)
		return
	}
	// A change of the models in memory alone is not logged: there are many, by orders that
	// the leader logs.
	before, known := c.registry.Get(name)
	if known && before.Report.Incarnation != registration.Report.Incarnation && before.Server.Build != registration.Server.Build {
		c.streams.ledger.Invalidate(now, name)
	}
	if c.serversKnown.Load() && (!known || before.Report.Incarnation != registration.Report.Incarnation || before.Server.State != registration.Server.State) {
		c.log.Log(c.entryLogLevel(), "server's entry changed", zap.String("Server", string(name)), zap.String("State", string(registration.Server.State)),
			zap.String("Incarnation", string(registration.Report.Incarnation)), zap.String("Build", string(registration.Server.Build)),
			zap.Int64("OrdersAccepted", registration.Report.OrdersAccepted), zap.Int64("Revision", int64(entry.Revision)))
	}
	c.registry.Put(now, registration)
}

func (c *control) applyHostEvent(now time.Time, event *store.Event) {
	key := event.Entry.Key
	switch {
	case !event.Deleted:
		c.applyHostEntry(now, &event.Entry)
	case key == c.options.Layout.leaderKey():
		c.leader = ""
	default:
		if host, known := c.hosts[c.options.Layout.hostIDOf(key)]; known {
			host.missingSince = now
			c.hostsChanged = true
		}
	}
}

// applyHostEntry applies an entry below HostPrefix.
func (c *control) applyHostEntry(now time.Time, entry *store.Entry) {
	layout := &c.options.Layout
	switch entry.Key {
	case layout.leaderKey():
		c.leader = ident.HostID(entry.Value)
		c.hostsChanged = true // so that a connection is opened before the first message
		return
	case layout.termKey():
		if c.lastTerm.Load().revision != entry.Revision {
			c.lastTerm.Store(&knownTerm{
				revision: entry.Revision,
				leader:   ident.HostID(entry.Value),
				seenAt:   bootTime(),
			})
		}
		return
	case layout.settledKey():
		c.settledTerm.Store(decodeSettled(entry.Value))
		return
	case layout.suspectsKey():
		c.applySuspectsEntry(now, entry)
		return
	case layout.buildsKey():
		c.applyBuildsEntry(entry)
		return
	}
	name := layout.hostIDOf(entry.Key)
	if name == "" {
		return
	}
	host, err := decodeHost(entry.Value)
	if err != nil {
		c.log.Warn("host's entry can't be decoded", zap.String("Peer", string(name)), zap.Error(err))
		return
	}
	c.hosts[name] = &host
	c.hostsChanged = true
}
