// Package routing decides which backend server a request goes to.
//
// A Machine, owned by the control goroutine, turns what the host hears
// (accepted documents, the platform's list, load reports, peers' word) into
// immutable Tables. Traffic goroutines read the newest Table and choose from it
// on their own, with no lock and no allocation. Tables say who can answer what;
// they change seldom. Loads change with each report and each request: they stand
// in a Gauge per server that outlives the tables.
//
// # Usage
//
//	target, found := table.Target("briefing")
//	choice, err := policy.Choose(target, routing.Request{
//		Now:    now,
//		Dice:   rand.Uint64(),
//		Prefix: hash,
//	})
//	queued := choice.Replica.Gauge.Begin(now)
//	...
//	choice.Replica.Gauge.Answered(now, routing.Timing{...})
//
// # What a choice weighs
//
// The cost of a replica is the expected time to the first token: the queue
// before it, the work of the prompt less what its cache saves, the way there
// and back, and a surcharge for replicas that have just come or just failed.
// Load reports lag, so the queue is what others had there in the last report,
// fading into what is usual there, at least what peers say they have there, and
// what this host has there now.
// All hosts see the same lagging reports: were each to take the cheapest
// replica, all would pick the same one. So a choice looks at a few candidates
// only, drawn at random, and takes the cheapest of these.
package routing

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/control/admission"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Table is what one host knows at one instant. It never changes after it has
// been published, but for the Gauges it points to.
type Table struct {
	// Documents is the revision of the documents that the table was made from.
	Documents ident.Revision
	models    map[ident.ModelName]*Target
	services  map[ident.ServiceName]*Target
	names     []ident.ModelName
	hosts     int
}

// Target is something that callers ask for by name: a model, an adapter or a
// plain service.
type Target struct {
	Team    ident.TeamName
	Model   ident.ModelName
	Adapter ident.AdapterName
	Version ident.Version
	Service *document.Service
	// MayRepeat is the document's word on a model or adapter; for a service it
	// depends on the method.
	MayRepeat bool
	Promise   document.Promise
	Document  *document.Document
	Replicas  []Replica
	// nearby counts the replicas in this host's region: they come first.
	nearby int
}

// Replica is one backend server that can answer for a target.
type Replica struct {
	Server      ident.ServerName
	Address     string
	Incarnation ident.Incarnation
	Version     ident.Version
	Kind        backend.Kind
	DataCentre  ident.DataCentre
	Region      ident.Region
	Gauge       *Gauge
	// Team is the target's team's part of the server.
	Team *admission.Team
	// seed is a hash of the server's name.
	seed uint64
	// absentUntil is Unix nanoseconds: until then the server is known not to have
	// what the target needs, whatever its last report says.
	absentUntil *atomic.Int64
	// warmFrom is when a new replica takes its full part of the load.
	warmFrom time.Time
	far      bool
	// wayBack is the time there and back.
	wayBack time.Duration
}

// absentFor is longer than it takes to hear the report that says so.
const absentFor = 2 * time.Second

// Absent records that the server has said it does not have what the target needs:
// it has restarted, or was told to unload it, and its report lags. Without this a
// server that lost its models draws the requests of all of them, as it refuses
// at once and so looks idle.
func (r *Replica) Absent(now time.Time) {
	r.absentUntil.Store(now.Add(absentFor).UnixNano())
}

// HostsInRegion gives the number of live entry hosts in this host's region, at
// least this one.
func (t *Table) HostsInRegion() int {
	if t == nil {
		return 1
	}
	return max(1, t.hosts)
}

// Far tells that the way to the replica goes over the link between regions.
func (r *Replica) Far() bool {
	return r.far
}

// HasFar tells whether the target has replicas in another region.
func (t *Target) HasFar() bool {
	return t.nearby < len(t.Replicas)
}

// Target finds a model or adapter by the name that callers use.
func (t *Table) Target(name ident.ModelName) (*Target, bool) {
	if t == nil {
		return nil, false
	}
	target, found := t.models[name]
	return target, found
}

// Service finds a plain service.
func (t *Table) Service(name ident.ServiceName) (*Target, bool) {
	if t == nil {
		return nil, false
	}
	target, found := t.services[name]
	return target, found
}

// Names gives all models and adapters, sorted.
func (t *Table) Names() []ident.ModelName {
	if t == nil {
		return nil
	}
	return t.names
}

// Label gives the name under which a target is counted and logged.
func (t *Target) Label() string {
	switch {
	case t.Service != nil:
		return string(t.Service.Name)
	case t.Adapter != "":
		return string(t.Adapter)
	default:
		return string(t.Model)
	}
}
