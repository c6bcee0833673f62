package orders

import (
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Event is an input of the machine. The set of events is closed.
type Event interface{ event() }

// Documents has every accepted document as of a revision.
type Documents struct {
	Documents []*document.Document
	Revision  ident.Revision
}

// Servers is the platform's list of backend servers.
type Servers struct {
	Servers []backend.Server
}

// Report is an engine's report. The machine keeps it, so it must not be changed
// afterwards.
type Report struct {
	Report     *backend.Report
	ReceivedAt time.Time
}

// Demand has smoothed request rates. They replace earlier rates for the same model
// and data centre.
type Demand struct {
	Rates []DemandRate
}

// DemandRate is the demand of the callers in one data centre for one model.
type DemandRate struct {
	Model      ident.ModelName
	DataCentre ident.DataCentre
	// PerSecond is the smoothed number of requests per second; zero or less
	// removes the rate.
	PerSecond float64
	// ReplicaPerSecond is how many requests per second one replica serves in time;
	// zero if unknown.
	ReplicaPerSecond float64
}

// LeaseGranted reports that this host holds a lease until a given time. It is sent
// when the lease is granted and after each keep-alive.
type LeaseGranted struct {
	Lease store.LeaseID
	Until time.Time
}

// LeaseLost reports that a lease has expired or could not be granted.
type LeaseLost struct {
	Lease store.LeaseID
}

// LeaderRead answers ReadLeader. Failed is set if the service did not answer.
type LeaderRead struct {
	Entry  store.Entry
	Failed bool
}

// PlanRead answers ReadPlan. Failed is set if the service did not answer.
type PlanRead struct {
	Sequence int64
	Entries  []store.Entry
	Failed   bool
}

// SwapOutcome is the result of a swap.
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

// OrderAnswered is an engine's response to SendOrder, or the lack of one. It does
// not settle the order: only reports do.
type OrderAnswered struct {
	Server   ident.ServerName
	ID       ident.OrderID
	Accepted bool
}

// Tick makes the machine do whatever is due at the current time.
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

// Command is an action that the machine asks its caller for. The set of commands is
// closed.
type Command interface{ command() }

// GrantLease asks for a lease, to be kept alive until RevokeLease.
type GrantLease struct{}

// RevokeLease asks to revoke a lease and to stop keeping it alive.
type RevokeLease struct {
	Lease store.LeaseID
}

// ReadLeader asks for the entry at LeaderKey.
type ReadLeader struct{}

// AcquireLeadership asks for the swap that elects this host.
type AcquireLeadership struct {
	Sequence int64
	Swap     store.Swap
}

// ReadPlan asks for all entries under KeyPrefix.
type ReadPlan struct {
	Sequence int64
	Prefix   string
}

// WritePlan asks for a swap of plan pages.
type WritePlan struct {
	Sequence int64
	Swap     store.Swap
}

// SendOrder asks to send an order to an engine once. The machine repeats the
// command for as long as the order is in doubt.
type SendOrder struct {
	Server  ident.ServerName
	Address string
	Order   backend.Order
	// Deadline is when the sender abandons the order and closes its connection.
	// An order delivered later could reach a later incarnation of an engine that
	// ignores fencing.
	Deadline time.Time
}

// RecordMove asks to log and count a move whose order is recorded in the plan.
type RecordMove struct {
	Move RecordedMove
}

// RecordedMove is a move with its order and the time at which it was planned.
type RecordedMove struct {
	Order ident.OrderID
	At    time.Time
	Move  placement.Move
}

func (GrantLease) command()        {}
func (RevokeLease) command()       {}
func (ReadLeader) command()        {}
func (AcquireLeadership) command() {}
func (ReadPlan) command()          {}
func (WritePlan) command()         {}
func (SendOrder) command()         {}
func (RecordMove) command()        {}
