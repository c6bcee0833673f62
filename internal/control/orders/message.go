package orders

import (
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Event is what the machine is told. The set of events is closed.
type Event interface{ event() }

// Documents has every accepted document as of a revision.
type Documents struct {
	Documents []*document.Document
	Revision  ident.Revision
}

// Servers is the platform's list.
type Servers struct {
	Servers []backend.Server
}

// Report is a model engine's report; the receiver keeps it unchanged after.
type Report struct {
	Report     *backend.Report
	ReceivedAt time.Time
}

// Demand has smoothed request rates, replacing earlier ones for the same model
// and data centre.
type Demand struct {
	Rates []DemandRate
}

// DemandRate is the demand of callers in one data centre for one model.
type DemandRate struct {
	Model      ident.ModelName
	DataCentre ident.DataCentre
	// PerSecond is the smoothed number of requests a second.
	PerSecond float64
	// ReplicaPerSecond is how many one replica serves in time; zero if unknown.
	ReplicaPerSecond float64
}

// LeaseGranted tells that this host holds a lease until an instant: at the
// grant and each time it is kept alive.
type LeaseGranted struct {
	Lease store.LeaseID
	Until time.Time
}

// LeaseLost tells that a lease lapsed or could not be granted.
type LeaseLost struct {
	Lease store.LeaseID
}

// LeaderRead answers ReadLeader. Failed tells that the service did not answer.
type LeaderRead struct {
	Entry  store.Entry
	Failed bool
}

// PlanRead answers ReadPlan.
type PlanRead struct {
	Sequence int64
	Entries  []store.Entry
	Failed   bool
}

// SwapOutcome is how a swap ended.
type SwapOutcome string

// The outcomes of swaps.
const (
	SwapDone        SwapOutcome = "Done"
	SwapConflict    SwapOutcome = "Conflict"
	SwapUnknown     SwapOutcome = "Unknown"     // store.ErrUnknownOutcome
	SwapUnavailable SwapOutcome = "Unavailable" // store.ErrUnavailable
)

// SwapAnswered answers AcquireLeadership and WritePlan.
type SwapAnswered struct {
	Sequence int64
	Outcome  SwapOutcome
	Result   store.SwapResult
}

// OrderAnswered is an engine's answer to SendOrder, or its absence. It settles
// nothing: only reports do.
type OrderAnswered struct {
	Server   ident.ServerName
	ID       ident.OrderID
	Accepted bool
}

// Tick tells only the time.
type Tick struct{}

func (Documents) event()     {}
func (Servers) event()       {}
func (Report) event()        {}
func (Demand) event()        {}
func (LeaseGranted) event()  {}
func (LeaseLost) event()     {}
func (LeaderRead) event()    {}
func (PlanRead) event()      {}
func (SwapAnswered) event()  {}
func (OrderAnswered) event() {}
func (Tick) event()          {}

// Command is what the machine asks for. The set of commands is closed.
type Command interface{ command() }

// GrantLease asks for a lease, to be kept alive until DropLease.
type GrantLease struct{}

// DropLease asks to revoke a lease and keep it alive no more.
type DropLease struct {
	Lease store.LeaseID
}

// ReadLeader asks for the entry at LeaderKey.
type ReadLeader struct{}

// AcquireLeadership asks for the swap that elects this host.
type AcquireLeadership struct {
	Sequence int64
	Swap     store.Swap
}

// ReadPlan asks for all entries under Prefix.
type ReadPlan struct {
	Sequence int64
	Prefix   string
}

// WritePlan asks for a swap of plan pages.
type WritePlan struct {
	Sequence int64
	Swap     store.Swap
}

// SendOrder asks to send an order to an engine, once. The machine repeats it.
type SendOrder struct {
	Server  ident.ServerName
	Address string
	Order   backend.Order
	// Deadline is when the sender gives up, connection and all. An order kept
	// longer could reach a later life of an engine that ignores fencing.
	Deadline time.Time
}

// Note tells of a move whose intent is written, for logs and metrics.
type Note struct {
	Move NotedMove
}

// NotedMove is a move with its order and the instant of its writing.
type NotedMove struct {
	Order ident.OrderID
	At    time.Time
	Move  placement.Move
}

func (GrantLease) command()        {}
func (DropLease) command()         {}
func (ReadLeader) command()        {}
func (AcquireLeadership) command() {}
func (ReadPlan) command()          {}
func (WritePlan) command()         {}
func (SendOrder) command()         {}
func (Note) command()              {}
