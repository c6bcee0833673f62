// Package holdings keeps the inventory and load of each engine as the leader knows them, and
// which of these have changed since a host was last updated.
//
// The leader sends its knowledge to hundreds of hosts several times a second. Nearly all of it
// is the same each time, and most changes are to an engine's load. So each change has a number,
// and a host names the last one that it knows (its Cursor). Hosts relay updates with the
// leader's own numbers, so a host may ask any other for the next update: changes older than
// those it knows are ignored.
//
// The leader's host calls Record with the changes that its planner returns. Watchers and other
// hosts call Apply with the updates that they receive, and Since for the hosts that ask them. A
// Table has no lock: one goroutine owns it. An update costs as much as there are changes, not
// as there are engines.
//
// # Usage
//
//	var table holdings.Table
//	table.Record(now, fencingNumber, changed, removed) // at the leader
//	update := table.Since(cursor)                      // for a host that knows all changes up to cursor
//	...
//	applied := table.Apply(now, &update)               // at the host that asked
//	if table.IsFresh(now) {
//		inventory, known := table.Get("i-7f3a91c2")
//	}
package holdings

import (
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// MaxAge is how long the leader's report takes precedence over the servers' own entries:
// several rounds of the exchange.
const MaxAge = 2 * time.Second

// Cursor is a point in the sequence of a leader's changes: all up to LastChange are known. The
// leader is identified by its fencing number. The zero value is before all changes.
type Cursor struct {
	FencingNumber ident.FencingNumber
	LastChange    int64
}

// Engine is what the leader knows of one engine.
type Engine struct {
	loading.Inventory
	// InventoryChange and LoadChange are the numbers of the last changes of its inventory and
	// of its load, to which its pace belongs.
	InventoryChange int64
	LoadChange      int64
	// LoadOnly is whether the inventory has not changed and is left out.
	LoadOnly bool
}

// Update has the changes since a cursor.
type Update struct {
	Cursor
	// ReportedAt is when the leader reported them, by the clock of the host that reads the
	// update.
	ReportedAt time.Time
	Engines    []Engine
}

// Table has the engines. The zero value is empty and ready to use; it belongs to one goroutine.
type Table struct {
	cursor     Cursor
	reportedAt time.Time
	engines    map[ident.ServerName]*entry
	log        changeLog
	loads      loadHistory
}

// entry is an engine and when it last changed.
type entry struct {
	Engine
	changedAt time.Time
}

// lastChange returns the number of the engine's last change of any kind.
func (e *Engine) lastChange() int64 {
	return max(e.InventoryChange, e.LoadChange)
}

// Cursor returns the point up to which all changes are known.
func (t *Table) Cursor() Cursor {
	return t.cursor
}

// Len returns the number of engines.
func (t *Table) Len() int {
	return len(t.engines)
}

// IsFresh returns whether the leader's last report is no older than MaxAge.
func (t *Table) IsFresh(now time.Time) bool {
	return now.Sub(t.reportedAt) <= MaxAge
}

// Get returns what the leader reported of an engine.
func (t *Table) Get(name ident.ServerName) (loading.Inventory, bool) {
	if e, known := t.engines[name]; known {
		return e.Inventory, true
	}
	return loading.Inventory{}, false
}

// reset starts with an empty table for another leader's fencing number.
func (t *Table) reset(fencingNumber ident.FencingNumber) {
	t.cursor = Cursor{
		FencingNumber: fencingNumber,
	}
	t.engines = make(map[ident.ServerName]*entry)
	t.log = nil
}

// Record records what the leader itself knows now: the inventories that may have changed since
// the last call, and the engines that it knows nothing of any more. One that comes back is sent
// in full.
func (t *Table) Record(now time.Time, fencingNumber ident.FencingNumber, changed []loading.Inventory, removed []ident.ServerName) {
	if t.cursor.FencingNumber != fencingNumber || t.engines == nil {
		t.reset(fencingNumber)
	}
	t.reportedAt = now
	for i := range changed {
		t.set(now, &changed[i])
	}
	for _, name := range removed {
		delete(t.engines, name)
	}
	t.loads.endBatch(now)
}

func (t *Table) set(now time.Time, reported *loading.Inventory) {
	known, found := t.engines[reported.Server]
	if !found {
		known = &entry{}
		t.engines[reported.Server] = known
	}
	before := t.cursor.LastChange
	if !found || !sameInventory(&known.Inventory, reported) {
		t.cursor.LastChange++
		known.InventoryChange = t.cursor.LastChange
		t.loads.record(now, reported)
	}
	if known.Running != reported.Running || known.Waiting != reported.Waiting || known.Pace != reported.Pace {
		t.cursor.LastChange++
		known.LoadChange = t.cursor.LastChange
	}
	known.Inventory = *reported
	if t.cursor.LastChange > before {
		known.changedAt = now
		t.logChange(known)
	}
}

// sameInventory returns whether two reports of an engine differ in its load at most. Weights
// may be in any order.
func sameInventory(a, b *loading.Inventory) bool {
	return a.Incarnation == b.Incarnation && sameSet(a.Weights, b.Weights) && sameSet(a.Retiring, b.Retiring)
}

func sameSet[T request.Weights | ident.ModelName](a, b []T) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] && !slices.Contains(b, a[i]) {
			return false
		}
	}
	return true
}

// Since returns the changes after a cursor, or everything if the cursor is of another leader.
func (t *Table) Since(known Cursor) Update {
	after := known.LastChange
	if known.FencingNumber != t.cursor.FencingNumber {
		after = 0
	}
	update := Update{
		Cursor:     t.cursor,
		ReportedAt: t.reportedAt,
	}
	for _, change := range t.log.since(after) {
		e, known := t.engines[change.server]
		if !known || e.lastChange() != change.number {
			continue // it has changed again
		}
		changed := e.Engine
		if e.InventoryChange <= after {
			changed.LoadOnly = true
			changed.Weights = nil
			changed.Retiring = nil
		}
		update.Engines = append(update.Engines, changed)
	}
	return update
}

// Apply applies an update since this table's cursor, or since an earlier one, and returns the
// engines that have changed by it. An update of an earlier leader is ignored.
func (t *Table) Apply(now time.Time, update *Update) []Engine {
	if update.FencingNumber < t.cursor.FencingNumber || update.FencingNumber == 0 {
		return nil
	}
	if update.FencingNumber > t.cursor.FencingNumber || t.engines == nil {
		t.reset(update.FencingNumber)
	}
	var applied []Engine
	for i := range update.Engines {
		if t.applyEngine(now, &update.Engines[i]) {
			applied = append(applied, update.Engines[i])
		}
	}
	t.loads.endBatch(now)
	t.cursor.LastChange = max(t.cursor.LastChange, update.LastChange)
	if update.ReportedAt.After(t.reportedAt) {
		t.reportedAt = update.ReportedAt
	}
	return applied
}

func (t *Table) applyEngine(now time.Time, reported *Engine) bool {
	known, found := t.engines[reported.Server]
	if !found {
		if reported.LoadOnly {
			return false
		}
		known = &entry{}
		t.engines[reported.Server] = known
	}
	lastChange := known.lastChange()
	if !reported.LoadOnly && reported.InventoryChange > known.InventoryChange {
		known.InventoryChange = reported.InventoryChange
		known.Server = reported.Server
		known.Incarnation = reported.Incarnation
		known.Weights = reported.Weights
		known.Retiring = reported.Retiring
		t.loads.record(now, &known.Inventory)
	}
	if reported.LoadChange > known.LoadChange {
		known.LoadChange = reported.LoadChange
		known.Running = reported.Running
		known.Waiting = reported.Waiting
		known.Pace = reported.Pace
	}
	if known.lastChange() == lastChange {
		return false
	}
	known.changedAt = now
	t.logChange(known)
	return true
}

// missingRetention is how long an engine is kept that is not reported and has no entry of its
// own in the key-value service. That entry may arrive a little after the leader's report.
const missingRetention = time.Minute

// Forget drops the engines that no longer exist.
func (t *Table) Forget(now time.Time, exists func(ident.ServerName) bool) {
	for name, e := range t.engines {
		if now.Sub(e.changedAt) > missingRetention && !exists(name) {
			delete(t.engines, name)
		}
	}
	maps.DeleteFunc(t.loads.inventories, func(name ident.ServerName, _ loading.LoadedModels) bool { return !exists(name) })
}
