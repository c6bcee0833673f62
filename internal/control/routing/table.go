// Package routing decides which backend server a request goes to.
//
// A Machine, owned by the control goroutine, turns what the host receives (accepted
// documents, the platform's server list, load reports, messages from peers) into
// immutable Tables. Traffic goroutines read the newest Table and choose from it
// concurrently, with no lock and no allocation. A Table says which servers can
// answer which requests and changes seldom. Server load changes with each report
// and each request, so it is kept in a LoadTracker per server that is shared by
// successive tables.
//
// # Usage
//
//	target, found := table.Target("briefing")
//	choice, err := policy.Choose(target, &routing.Request{
//		Now:        now,
//		Random:     rand.Uint64(),
//		PrefixHash: hash,
//	})
//	queued := choice.Replica.LoadTracker.StartRequest(now)
//	...
//	choice.Replica.LoadTracker.RecordAnswer(now, routing.Timing{...})
//
// # Cost of a replica
//
// The cost of a replica is the expected time to the first token: the wait in its
// queue, the prefill time less what its prefix cache saves, the network round trip,
// and a penalty for replicas that are new or have no recent report. Servers that
// keep failing are not candidates for a while (see LoadTracker).
//
// Load reports lag, so the queue is estimated: the requests of other hosts in the
// last report, decaying towards the average number there, but at least the number
// that peers report, plus this host's own requests in flight.
//
// All hosts see the same lagging reports: if each took the cheapest replica, all
// would pick the same one. So a choice looks at only a few candidates, drawn at
// random, and takes the cheapest of these.
package routing

import (
	"sync/atomic"
	"time"

	"cicadaloom/internal/control/admission"
	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Table is one host's view of the backend servers at one instant. It does not
// change after it has been published, except for the LoadTrackers that it points
// to.
type Table struct {
	// DocumentsRevision is the revision of the documents that the table was built
	// from.
	DocumentsRevision ident.Revision
	models            map[ident.ModelName]*Target
	services          map[ident.ServiceName]*Target
	names             []ident.ModelName
	hostsInRegion     int
}

// Target is something that callers request by name: a model, an adapter or a plain
// service.
type Target struct {
	Team    ident.TeamName
	Model   ident.ModelName
	Adapter ident.AdapterName
	Version ident.Version
	Service *document.Service
	// MayRepeat is what the document states for a model or adapter; for a service it
	// depends on the method.
	MayRepeat bool
	Promise   document.Promise
	Document  *document.Document
	Replicas  []Replica
	// localCount is the number of replicas in this host's region: they come first.
	localCount int
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
	LoadTracker *LoadTracker
	// Pressure is what the server's answers have asked for.
	Pressure *backpressure.Server
	// Team is the share that the target's team has of the server.
	Team *admission.Team
	// nameHash is a hash of the server's name.
	nameHash uint64
	// missingUntil is in Unix nanoseconds: until then the server is known not to
	// have what the target needs, whatever its last report says.
	missingUntil *atomic.Int64
	// slowStartUntil is when a new replica starts to get its full share of requests.
	slowStartUntil time.Time
	inOtherRegion  bool
	// roundTrip is the network round trip to the server.
	roundTrip time.Duration
}

// missingDuration is how long MarkMissing applies: longer than it takes to receive
// the report that shows the same.
const missingDuration = 2 * time.Second

// MarkMissing records that the server has answered that it does not have what the
// target needs: it has restarted, or was ordered to unload it, and its report lags.
// Without this a server that lost its models attracts the requests for all of them,
// because it refuses at once and so looks idle.
func (r *Replica) MarkMissing(now time.Time) {
	r.missingUntil.Store(now.Add(missingDuration).UnixNano())
}

// HostsInRegion returns the number of live entry hosts in this host's region,
// including this one.
func (t *Table) HostsInRegion() int {
	if t == nil {
		return 1
	}
	return max(1, t.hostsInRegion)
}

// InOtherRegion reports whether the replica is in another region than this host.
func (r *Replica) InOtherRegion() bool {
	return r.inOtherRegion
}

// OpensAt returns when the first of the servers that a request may be sent to accepts one
// again, if all of them accept none now by their own word. The second result is false if there
// are none, or if one has another reason.
func (t *Target) OpensAt(request *Request) (time.Time, bool) {
	var first time.Time
	for i := range t.Replicas {
		replica := &t.Replicas[i]
		if request.hasTried(replica.Server) {
			continue
		}
		state := replica.Pressure.State()
		if state.IsLeaving {
			continue
		}
		at := state.OpensAt()
		if !at.After(request.Now) {
			return time.Time{}, false
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// HasOtherRegionReplicas reports whether the target has replicas in another region.
func (t *Target) HasOtherRegionReplicas() bool {
	return t.localCount < len(t.Replicas)
}

// Target returns the model or adapter of a name that callers use.
func (t *Table) Target(name ident.ModelName) (*Target, bool) {
	if t == nil {
		return nil, false
	}
	target, found := t.models[name]
	return target, found
}

// Service returns the plain service of a name.
func (t *Table) Service(name ident.ServiceName) (*Target, bool) {
	if t == nil {
		return nil, false
	}
	target, found := t.services[name]
	return target, found
}

// Names returns the names of all models and adapters, sorted.
func (t *Table) Names() []ident.ModelName {
	if t == nil {
		return nil
	}
	return t.names
}

// Label returns the name under which a target is counted and logged.
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
