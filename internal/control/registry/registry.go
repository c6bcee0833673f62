// Package registry keeps what backend servers have written about themselves in the key-value
// service, and decides what a missing entry means.
//
// A server that leaves says so in its entry, or its entry is removed: it gets no new work from
// then on. But entries are bound to leases, and those expire during an outage of the service
// although the servers are alive. So an entry that goes missing around an outage counts as
// removed only some time after the service's return, by when servers that are alive have
// written their entries again.
//
// The control goroutine of each entry host owns a Table and calls it with the changes that it
// receives from the service. A Table has no lock and starts no goroutines.
//
// # Usage
//
//	var table registry.Table
//	table.Put(now, registration)
//	table.Remove(now, "i-7f3a91c2")
//	for _, registration := range table.Servers(now) {
//		...
//	}
//	for _, name := range table.TakeChanges(now) {
//		registration, known := table.Get(name) // or it is gone
//	}
package registry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

const (
	// returnTimeout is how long after the service's return a missing entry may come back.
	// Servers that are alive write their entries again within two seconds.
	returnTimeout = 2200 * time.Millisecond
	// leftRetention is how long an incarnation that has left is remembered, so that an entry
	// that arrives late or is written again can't bring it back.
	leftRetention = time.Minute
	sweepInterval = leftRetention / 10
)

// Table has the entries. The zero value is empty and ready to use; it belongs to one goroutine.
type Table struct {
	entries map[ident.ServerName]*backend.Registration
	// leftAt has the incarnations that have announced that they leave, and when they last did.
	leftAt map[serverIncarnation]time.Time
	// failedAt is when the service last failed a call of this host.
	failedAt time.Time
	// missing has the servers whose entry is missing, and when it is dropped unless it has come
	// back; changed lists those whose entry has changed or been dropped since TakeChanges.
	missing map[ident.ServerName]time.Time
	changed map[ident.ServerName]struct{}
	sweptAt time.Time
}

type serverIncarnation struct {
	server      ident.ServerName
	incarnation ident.Incarnation
}

// RecordFailure records that the service has failed a call, and extends the time in which
// missing entries may come back.
func (t *Table) RecordFailure(now time.Time) {
	t.failedAt = now
	for name := range t.missing {
		t.missing[name] = now.Add(returnTimeout)
	}
}

// Put stores an entry. An incarnation that has announced that it leaves stays marked as
// leaving.
func (t *Table) Put(now time.Time, registration backend.Registration) {
	if t.entries == nil {
		t.entries = make(map[ident.ServerName]*backend.Registration)
		t.leftAt = make(map[serverIncarnation]time.Time)
		t.missing = make(map[ident.ServerName]time.Time)
		t.changed = make(map[ident.ServerName]struct{})
	}
	key := incarnationOf(&registration)
	if registration.Report.Leaving {
		t.leftAt[key] = now
	}
	if _, hasLeft := t.leftAt[key]; hasLeft {
		registration.Report.Leaving = true
		registration.Server.State = backend.StateLeaving
	}
	name := registration.Server.Name
	t.entries[name] = &registration
	delete(t.missing, name)
	t.changed[name] = struct{}{}
}

func incarnationOf(registration *backend.Registration) serverIncarnation {
	return serverIncarnation{
		server:      registration.Server.Name,
		incarnation: registration.Report.Incarnation,
	}
}

// Remove drops an entry that is missing or, around an outage of the service, keeps it for a
// while.
func (t *Table) Remove(now time.Time, name ident.ServerName) {
	registration, known := t.entries[name]
	if _, isMissing := t.missing[name]; !known || isMissing {
		return
	}
	if !registration.Report.Leaving && now.Sub(t.failedAt) < returnTimeout {
		t.missing[name] = t.failedAt.Add(returnTimeout)
		return
	}
	t.drop(name)
}

func (t *Table) drop(name ident.ServerName) {
	delete(t.entries, name)
	delete(t.missing, name)
	t.changed[name] = struct{}{}
}

// expire drops the entries that have not come back in time, and forgets incarnations that left
// long ago.
func (t *Table) expire(now time.Time) {
	for name, until := range t.missing {
		if !now.Before(until) {
			t.drop(name)
		}
	}
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, at := range t.leftAt {
		if now.Sub(at) > leftRetention {
			delete(t.leftAt, key)
		}
	}
}

// TakeChanges drops the entries that have not come back in time, and returns the servers whose
// entry has changed or been dropped since the last call.
func (t *Table) TakeChanges(now time.Time) []ident.ServerName {
	t.expire(now)
	if len(t.changed) == 0 {
		return nil
	}
	names := slices.Collect(maps.Keys(t.changed))
	clear(t.changed)
	return names
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

// Incarnation returns the incarnation that a server's entry names.
func (t *Table) Incarnation(name ident.ServerName) (ident.Incarnation, bool) {
	if registration, known := t.entries[name]; known {
		return registration.Report.Incarnation, true
	}
	return "", false
}

// Get returns a server's entry as it was last written.
func (t *Table) Get(name ident.ServerName) (backend.Registration, bool) {
	if registration, known := t.entries[name]; known {
		return *registration, true
	}
	return backend.Registration{}, false
}

// Servers drops the entries that have not come back in time, and returns the others, sorted by
// name.
func (t *Table) Servers(now time.Time) []backend.Registration {
	t.expire(now)
	servers := make([]backend.Registration, 0, len(t.entries))
	for _, registration := range t.entries {
		servers = append(servers, *registration)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].Server.Name < servers[j].Server.Name })
	return servers
}
