// Package backend has what the system knows of backend servers: the platform's
// list of them, the reports that model engines give of themselves, the orders
// that engines take, and the events of their prefix caches.
//
// # Usage
//
//	free := report.Memory - report.Taken()
//	order := backend.Order{
//		ID:      "ord-17",
//		Fencing: 4,
//		Kind:    backend.LoadModel,
//		Model:   "briefing",
//		Version: "3",
//		Memory:  20 * unit.Gibibyte,
//	}
//
// All of it is hearsay: the list lags, reports lag, orders get lost or come
// late, and cache events have gaps. Each type says how old it is or what orders it.
package backend

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// Kind tells model engines from plain services and entry hosts in the list.
type Kind string

// The kinds of host in the platform's list.
const (
	KindEngine  Kind = "Engine"
	KindService Kind = "Service"
	KindEntry   Kind = "Entry"
)

// State is what the list says of a host.
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
}

// Report is a model engine's word on itself.
type Report struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
	// At is when the engine took the report, by its own clock.
	At time.Time
	// Memory is all accelerator memory of the server.
	Memory unit.Bytes
	// Residents are the weights in memory, those still loading among them.
	Residents []Resident
	// Running and Waiting count requests; Slots is how many can run at once.
	Running int
	Waiting int
	Slots   int
	// TokensPerSecond is what the engine generated lately, over all requests.
	TokensPerSecond float64
	// Leaving tells that the engine takes no new work.
	Leaving bool
	// ChecksFencing tells that the engine refuses orders with a smaller fencing
	// number than Fencing, the greatest it has seen.
	ChecksFencing bool
	Fencing       ident.FencingNumber
	// Settled has the orders that can no longer take effect later than now:
	// carried out, failed or refused, the newest last. It is bounded.
	Settled []SettledOrder

	// OrderUnderWay tells that the engine carries an order out and takes no other.
	OrderUnderWay bool
	// OrdersAccepted counts the orders that this life of the engine has taken.
	// Engines that count tell by it whether an order can still take effect: one
	// that was sent under an earlier count can't.
	OrdersAccepted int64
	// Coming has the adapters that are on their way to the engine.
	Coming []Resident
	// InHostMemory and OnDisk are the models of which the server has a copy.
	InHostMemory []ident.ModelName
	OnDisk       []ident.ModelName
	// CacheUsed is the part of CacheTotal that can't be evicted.
	CacheUsed  unit.Tokens
	CacheTotal unit.Tokens
}

// Registration is a server's own entry in a registry.
type Registration struct {
	Server Server
	// Report is what the entry says of the server itself: Incarnation, Slots,
	// Leaving, OrdersAccepted and, for a model engine, Residents.
	Report Report
	// GoneAt is when a server that leaves at short notice is gone; zero for all
	// others.
	GoneAt time.Time
}

// Resident is a set of weights in a server's memory.
type Resident struct {
	Model   ident.ModelName
	Adapter ident.AdapterName // empty for the model itself
	Version ident.Version
	Memory  unit.Bytes
	Ready   bool
}

// Weights is what a request asks for that this resident can answer.
func (r *Resident) Weights() request.Weights {
	return request.Weights{
		Model:   r.Model,
		Adapter: r.Adapter,
	}
}

// Holds gives the weights of all residents.
func (r *Report) Holds() []request.Weights {
	holds := make([]request.Weights, 0, len(r.Residents))
	for i := range r.Residents {
		holds = append(holds, r.Residents[i].Weights())
	}
	return holds
}

// Taken adds up the memory of all residents.
func (r *Report) Taken() unit.Bytes {
	var taken unit.Bytes
	for i := range r.Residents {
		taken += r.Residents[i].Memory
	}
	return taken
}

// OrderKind says what an order asks for.
type OrderKind string

// The orders that a model engine takes.
const (
	LoadModel     OrderKind = "LoadModel"
	UnloadModel   OrderKind = "UnloadModel"
	LoadAdapter   OrderKind = "LoadAdapter"
	UnloadAdapter OrderKind = "UnloadAdapter"
)

// Order asks a model engine to change what it holds. An engine carries out an
// order id at most once in one incarnation.
type Order struct {
	ID      ident.OrderID
	Fencing ident.FencingNumber
	// Incarnation is the life of the server that the order is meant for; a
	// server in another life refuses it where it checks fencing.
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
	// Holder names who gives the order.
	Holder ident.HostID
	// Server is the engine that the order is meant for; any other refuses it.
	Server ident.ServerName
	// AfterOrders is the count of accepted orders at which the order may take effect.
	AfterOrders int64
}

// OrderAnswer is what an engine that counts orders says of one.
type OrderAnswer string

// The answers to an order. Unknown stands for no answer: the order may take
// effect at once, later or never.
const (
	OrderUnknown   OrderAnswer = "Unknown"
	OrderAccepted  OrderAnswer = "Accepted"
	OrderHolds     OrderAnswer = "Holds"     // there was nothing to do
	OrderConflicts OrderAnswer = "Conflicts" // another is under way, or the count differs
	OrderFenced    OrderAnswer = "Fenced"    // a later holder has been seen
	OrderInvalid   OrderAnswer = "Invalid"   // the engine knows no such order
	OrderMisplaced OrderAnswer = "Misplaced" // another server has the address
)

// SettledOrder is an order that has had its effect, or never will.
type SettledOrder struct {
	ID     ident.OrderID
	Result OrderResult
}

// OrderResult is how an order ended at the engine.
type OrderResult string

// The ends of an order.
const (
	OrderDone    OrderResult = "Done"
	OrderFailed  OrderResult = "Failed"
	OrderRefused OrderResult = "Refused"
)

// CacheEvent tells that a prefix came into or left an engine's cache. Events
// of one incarnation are numbered; a jump in Number is a gap.
type CacheEvent struct {
	Number int64
	Model  ident.ModelName
	Prefix uint64
	Stored bool
}
