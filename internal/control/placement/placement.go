// Package placement decides which weights should be on which backend server.
//
// It is a pure function: Plan takes what is known of servers, documents and
// demand and returns the next moves, each with its reason. It keeps nothing
// between calls, so that a new leader plans as the old one did. Package orders
// feeds it and makes the moves safely.
//
// Plan works in this order, the most needed first:
//
//  1. every declared model gets its least number of replicas of the declared
//     version, on distinct servers, spread over regions and data centres; where
//     there is no room, it is made (required.go, room.go);
//  2. what nobody declares any more goes (retire.go);
//  3. adapters follow the replicas of their base model (adapters.go);
//  4. memory to spare goes to the models whose demand pays for the move
//     (demand.go).
//
// A replica is dropped only while another one of the same model is ready by a
// fresh report, be it of the old or the new version.
//
// # Usage
//
//	result := placement.Plan(&placement.Input{
//		Now:      now,
//		Settings: settings,
//		Models:   models,
//		Servers:  servers,
//		Budget: placement.Budget{
//			Models:   2,
//			Adapters: 40,
//		},
//	})
//	for _, move := range result.Moves {
//		// write the intent, then send the order
//	}
package placement

import (
	"cmp"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Weights names one set of weights. Adapter is empty for the model itself.
type Weights struct {
	Model   ident.ModelName
	Adapter ident.AdapterName
	Version ident.Version
}

// Resident is a set of weights that is on a server, or may yet come there.
type Resident struct {
	Weights
	Memory unit.Bytes
	// Ready tells that a fresh report shows the weights serving.
	Ready bool
	// Loading tells that a load has not settled.
	Loading bool
	// Unloading tells that an unload has not settled: the weights may go at
	// any instant, so nothing may rely on them.
	Unloading bool
	// Since is when the leader first saw the weights here.
	Since time.Time
}

// Server is a backend server whose residents count.
type Server struct {
	Name       ident.ServerName
	DataCentre ident.DataCentre
	Region     ident.Region
	// Usable tells that the server may get orders now.
	Usable bool
	Memory unit.Bytes
	// Reserved is the memory of all residents and of all loads that could
	// still take effect.
	Reserved  unit.Bytes
	Residents []Resident
}

// Rate is the smoothed demand for a model in one region.
type Rate struct {
	Model  ident.ModelName
	Region ident.Region
	// PerSecond is the number of requests a second.
	PerSecond float64
	// ReplicaPerSecond is how many requests a second one replica serves within
	// the promised time; zero takes Settings.ReplicaPerSecond.
	ReplicaPerSecond float64
}

// Settings weigh moves against attainment. Zero fields take the defaults.
type Settings struct {
	// MovesWeight is 0 where only attainment counts and 1 where only moves do:
	// the part of a replica's work that a move for demand must bring.
	MovesWeight float64
	// ReplicaPerSecond is the request rate of one replica where none is measured.
	ReplicaPerSecond float64
	// Horizon is how long a change of demand is expected to last.
	Horizon time.Duration
	// LoadTime is how long a load takes: a new replica earns nothing until then.
	LoadTime time.Duration
	// MinStay is how long a model that got a replica keeps all it has.
	MinStay time.Duration
}

// The defaults of Settings.
const (
	DefaultReplicaPerSecond = 8
	DefaultHorizon          = 5 * time.Minute
	DefaultLoadTime         = 10 * time.Second
	DefaultMinStay          = 2 * time.Minute
)

func (s Settings) withDefaults() Settings {
	s.ReplicaPerSecond = cmp.Or(s.ReplicaPerSecond, DefaultReplicaPerSecond)
	s.Horizon = cmp.Or(s.Horizon, DefaultHorizon)
	s.LoadTime = cmp.Or(s.LoadTime, DefaultLoadTime)
	s.MinStay = cmp.Or(s.MinStay, DefaultMinStay)
	return s
}

// Budget is how many loads may start now.
type Budget struct {
	Models   int
	Adapters int
}

// Input is all that Plan looks at. Plan takes the servers over and changes them.
type Input struct {
	Now      time.Time
	Settings Settings
	// Models has every declared model once.
	Models  []document.Model
	Servers []Server
	Rates   []Rate
	Budget  Budget
}

// Reason says why a move is made.
type Reason string

// The reasons of moves.
const (
	ReasonMissing    Reason = "MissingReplica"
	ReasonVersion    Reason = "VersionChange"
	ReasonRoom       Reason = "MakeRoom"
	ReasonUndeclared Reason = "Undeclared"
	ReasonAboveMax   Reason = "AboveMaxReplicas"
	ReasonAdapter    Reason = "AdapterFollowsModel"
	ReasonDemand     Reason = "Demand"
)

// Move is one load or unload.
type Move struct {
	Kind    backend.OrderKind
	Server  ident.ServerName
	Weights Weights
	Memory  unit.Bytes
	Reason  Reason
	// For is the model that gains where it is not the one moved.
	For ident.ModelName
	// Have and Want are replicas of the model that gains, before the move.
	Have int
	Want int
	// Benefit and Cost are what was weighed, in shares of one replica's work over
	// Settings.Horizon; both are zero for moves that are made whatever they cost.
	Benefit float64
	Cost    float64
}

// Blocker says why something declared is not in place.
type Blocker string

// The blockers.
const (
	// BlockedNoRoom: no server has the memory, and nothing spare can go.
	BlockedNoRoom Blocker = "NoRoom"
	// BlockedLastReplica: the old version is the last ready replica and there
	// is no room for the new one beside it.
	BlockedLastReplica Blocker = "LastReplica"
	// BlockedNoServer: too few servers take orders.
	BlockedNoServer Blocker = "NoServer"
)

// Blocked is a declared model or adapter that cannot be put in place now.
type Blocked struct {
	Weights Weights
	Why     Blocker
	Have    int
	Want    int
	Needs   unit.Bytes
}

// Result is what Plan found.
type Result struct {
	Moves   []Move
	Blocked []Blocked
}

// Plan returns the next moves. It is deterministic: the order of Models,
// Servers and Rates breaks ties, so callers sort them.
func Plan(input *Input) Result {
	work := newWork(input)
	work.placeRequired()
	work.retire()
	work.placeAdapters()
	work.placeDemand()
	return work.result
}

// Footprint is the memory that one replica needs with all its adapters.
func Footprint(model *document.Model) unit.Bytes {
	total := model.Memory
	for i := range model.Adapters {
		total += model.Adapters[i].Memory
	}
	return total
}
