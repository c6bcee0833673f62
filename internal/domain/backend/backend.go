// Package backend has the data types for backend servers: the platform's server
// list, the reports that engines send of themselves, the orders that they accept,
// and the events of their prefix caches.
//
// # Usage
//
//	free := report.Memory - report.MemoryUsed()
//	order := backend.Order{
//		ID:      "ord-17",
//		Fencing: 4,
//		Kind:    backend.LoadModel,
//		Model:   "briefing",
//		Version: "3",
//		Memory:  20 * unit.Gibibyte,
//	}
//
// None of this data is current or complete: the list and the reports lag, orders get
// lost or arrive late, and cache events have gaps. Each type has the time or the number
// that dates or orders it.
package backend

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// Kind is what a host of the platform's list runs: an engine, a plain service or an
// entry host.
type Kind string

// The kinds of host in the platform's list.
const (
	KindEngine  Kind = "Engine"
	KindService Kind = "Service"
	KindEntry   Kind = "Entry"
)

// State is the state of a host in the platform's list.
type State string

// The states of a host in the platform's list.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Server is one host in the platform's list.
type Server struct {
	Name       ident.ServerName
	Kind       Kind
	State      State
	Address    string
	DataCentre ident.DataCentre
	Region     ident.Region
	// Service is the plain service that runs there, for KindService.
	Service ident.ServiceName
	// Build is the software that the server runs. It is empty on platforms that don't say;
	// streams may then go on at any server.
	Build ident.Build
}

// Report is the status that an engine reports of itself.
type Report struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	// ReportedAt is when the report was made, by the engine's clock; for a report that
	// carries no time, when it was decoded.
	ReportedAt time.Time
	// Memory is all accelerator memory of the server.
	Memory unit.Bytes
	// Residents are the weights in accelerator memory, including those that still load.
	Residents []Resident
	// Running and Waiting count requests; Slots is how many can run at once.
	Running int
	Waiting int
	Slots   int
	// TokensPerSecond is the engine's recent output, over all requests.
	TokensPerSecond float64
	// Leaving is set if the engine accepts no new work.
	Leaving bool
	// ChecksFencing is set if the engine refuses orders with a smaller fencing
	// number than Fencing, the greatest that it has seen.
	ChecksFencing bool
	Fencing       ident.FencingNumber
	// MaxRefusals is how many refusals a second the server bears, 0 if it doesn't say.
	MaxRefusals unit.Rate
	// Settled has the orders that can't take effect after this report, since they
	// have been executed, have failed or were refused; the newest last. Its length
	// is bounded.
	Settled []SettledOrder

	// OrderInProgress is set while the engine executes an order; it accepts no other.
	OrderInProgress bool
	// OrdersAccepted counts the orders that the engine accepted in this incarnation.
	// It shows whether an order can still take effect at an engine that counts: an
	// order that was sent for a smaller count can't.
	OrdersAccepted int64
	// LoadingAdapters are the adapters that are being loaded.
	LoadingAdapters []Resident
	// InHostMemory and OnDisk are the models whose weights the server has a copy of
	// in host memory and on disk.
	InHostMemory []ident.ModelName
	OnDisk       []ident.ModelName
	// CacheUsed is the part of CacheTotal that can't be evicted.
	CacheUsed  unit.Tokens
	CacheTotal unit.Tokens
}

// Registration is the entry that a server writes of itself in a registry.
type Registration struct {
	Server Server
	// Report has the part of the server's status that the entry contains: Incarnation,
	// Slots, Leaving, OrdersAccepted, InHostMemory, OnDisk and, for an engine, Residents.
	Report Report
	// TerminatesAt is when a server that leaves at short notice terminates; zero for
	// all others.
	TerminatesAt time.Time
}

// Resident is one set of weights in an engine: of a model or of an adapter. Ready is
// unset while it loads.
type Resident struct {
	Model   ident.ModelName
	Adapter ident.AdapterName // empty for the model itself
	Version ident.Version
	Memory  unit.Bytes
	Ready   bool
}

// Weights returns the weights that a request names to be answered by this resident.
func (r *Resident) Weights() request.Weights {
	return request.Weights{
		Model:   r.Model,
		Adapter: r.Adapter,
	}
}

// Weights returns the weights of all residents.
func (r *Report) Weights() []request.Weights {
	weights := make([]request.Weights, 0, len(r.Residents))
	for i := range r.Residents {
		weights = append(weights, r.Residents[i].Weights())
	}
	return weights
}

// MemoryUsed returns the memory that all residents use together.
func (r *Report) MemoryUsed() unit.Bytes {
	var used unit.Bytes
	for i := range r.Residents {
		used += r.Residents[i].Memory
	}
	return used
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of order that an engine executes.
const (
	LoadModel     OrderKind = "LoadModel"
	UnloadModel   OrderKind = "UnloadModel"
	LoadAdapter   OrderKind = "LoadAdapter"
	UnloadAdapter OrderKind = "UnloadAdapter"
)

// Order requests an engine to load or unload weights. An engine executes an order id
// at most once in one incarnation.
type Order struct {
	ID      ident.OrderID
	Fencing ident.FencingNumber
	// Incarnation is the server's incarnation that the order is meant for. A server
	// that checks fencing refuses an order for another incarnation.
	Incarnation ident.Incarnation
	Kind        OrderKind
	Model       ident.ModelName
	Adapter     ident.AdapterName
	Version     ident.Version
	Memory      unit.Bytes
}

// CountedOrder is an order to an engine that counts the orders that it accepts.
type CountedOrder struct {
	Order
	// Leader is the host that sends the order.
	Leader ident.HostID
	// Server is the engine that the order is meant for; any other refuses it.
	Server ident.ServerName
	// AfterOrders is the count of accepted orders for which the order is valid: an
	// engine with another count refuses it.
	AfterOrders int64
}

// OrderAnswer is the response to an order of an engine that counts orders.
type OrderAnswer string

// The responses to an order. OrderUnknown means that there was none: the order may take
// effect now, later or never.
const (
	OrderUnknown   OrderAnswer = "Unknown"
	OrderAccepted  OrderAnswer = "Accepted"
	OrderNotNeeded OrderAnswer = "Holds"     // already in effect: there was nothing to do
	OrderConflicts OrderAnswer = "Conflicts" // another order is in progress, or the count differs
	OrderFenced    OrderAnswer = "Fenced"    // the engine has seen a later leader
	OrderInvalid   OrderAnswer = "Invalid"   // the engine can't execute such an order
	OrderMisplaced OrderAnswer = "Misplaced" // another server has the address, or none was reached
)

// SettledOrder is an order that can't take effect any more.
type SettledOrder struct {
	ID     ident.OrderID
	Result OrderResult
}

// OrderResult is the final result of an order at the engine.
type OrderResult string

// The results of an order.
const (
	OrderDone    OrderResult = "Done"
	OrderFailed  OrderResult = "Failed"
	OrderRefused OrderResult = "Refused"
)

// CacheEvent reports that a prefix was stored in an engine's cache or evicted from it.
// Number counts the events of one incarnation; a jump means that events were lost.
type CacheEvent struct {
	Number int64
	Model  ident.ModelName
	Prefix uint64
	Stored bool
}
