// Package placement decides which weights are loaded on which backend server.
//
// Plan is a pure function: it takes the known state of servers, documents and
// demand and returns the next moves, each with its reason. The package keeps no
// state between calls, so a new leader plans as the previous one did. Package
// orders calls Plan and executes the moves. Plan starts no goroutine and takes
// no lock; the caller must not use the input's servers while it runs.
//
// Plan works in this order, the most urgent first:
//
//  1. Every declared model gets its minimum number of replicas of the declared
//     version, on distinct servers, spread over regions and data centres. Where
//     memory is missing, Plan frees it (required.go, room.go).
//  2. Weights that are no longer declared are unloaded (retire.go).
//  3. Adapters are loaded on the servers of their base model (adapters.go).
//  4. Spare memory goes to the models whose demand justifies the move
//     (demand.go).
//
// A replica is unloaded only while another one of the same model is ready
// according to a fresh report, whether of the old or the new version.
// Undeclared models are exempt from this.
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

// Resident is a set of weights that is on a server, or that a pending load may
// still put there.
type Resident struct {
	Weights
	Memory unit.Bytes
	// Ready reports whether a fresh report shows the weights as serving.
	Ready bool
	// Loading reports whether a load is pending, so its outcome is unknown.
	Loading bool
	// Unloading reports whether an unload is pending. The weights may disappear
	// at any moment, so nothing may rely on them.
	Unloading bool
	// FirstSeenAt is when the leader first saw the weights on this server.
	FirstSeenAt time.Time
}

// Server is a backend server and what is loaded on it.
type Server struct {
	Name       ident.ServerName
	DataCentre ident.DataCentre
	Region     ident.Region
	// Usable reports whether the server accepts orders now.
	Usable bool
	Memory unit.Bytes
	// Reserved is the memory of all residents and of all loads that may still
	// take effect.
	Reserved  unit.Bytes
	Residents []Resident
}

// Rate is the smoothed demand for a model in one region.
type Rate struct {
	Model  ident.ModelName
	Region ident.Region
	// RequestsPerSecond is the demand in requests a second.
	RequestsPerSecond float64
	// ReplicaRequestsPerSecond is the number of requests a second that one
	// replica serves within the promised time; zero means
	// Settings.ReplicaRequestsPerSecond.
	ReplicaRequestsPerSecond float64
}

// Settings control how moves are weighed against attainment, the share of
// requests that are answered within the promised time. Zero fields get their
// defaults.
type Settings struct {
	// MovesWeight, from 0 to 1, is the share of a replica's work that a move
	// for demand must gain: at 0 only attainment counts, at 1 no move for
	// demand is made.
	MovesWeight float64
	// ReplicaRequestsPerSecond is the request rate that one replica serves in
	// time, used where none has been measured.
	ReplicaRequestsPerSecond float64
	// Horizon is how long a change of demand is expected to last.
	Horizon time.Duration
	// LoadTime is how long a load takes; a new replica serves nothing until
	// then.
	LoadTime time.Duration
	// EvictionProtection is how long all replicas of a model are protected from
	// eviction after the model gained one.
	EvictionProtection time.Duration
}

// The defaults of Settings.
const (
	DefaultReplicaRequestsPerSecond = 8
	DefaultHorizon                  = 5 * time.Minute
	DefaultLoadTime                 = 10 * time.Second
	DefaultEvictionProtection       = 2 * time.Minute
)

func (s Settings) withDefaults() Settings {
	s.ReplicaRequestsPerSecond = cmp.Or(s.ReplicaRequestsPerSecond, DefaultReplicaRequestsPerSecond)
	s.Horizon = cmp.Or(s.Horizon, DefaultHorizon)
	s.LoadTime = cmp.Or(s.LoadTime, DefaultLoadTime)
	s.EvictionProtection = cmp.Or(s.EvictionProtection, DefaultEvictionProtection)
	return s
}

// Budget is the number of loads that may start now.
type Budget struct {
	Models   int
	Adapters int
}

// Input is all that Plan depends on. Plan takes ownership of Servers and
// modifies them.
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
	ReasonMissing       Reason = "MissingReplica"
	ReasonVersionChange Reason = "VersionChange"
	ReasonMakeRoom      Reason = "MakeRoom"
	ReasonUndeclared    Reason = "Undeclared"
	ReasonAboveMax      Reason = "AboveMaxReplicas"
	ReasonAdapter       Reason = "AdapterFollowsModel"
	ReasonDemand        Reason = "Demand"
)

// Move is one load or unload.
type Move struct {
	Kind    backend.OrderKind
	Server  ident.ServerName
	Weights Weights
	Memory  unit.Bytes
	Reason  Reason
	// For is the model for which another model's weights are moved; empty where
	// the move is for the moved model itself.
	For ident.ModelName
	// Before the move, the model that it is for has Have replicas, and Want are
	// wanted. The names of these fields appear in logs.
	Have int
	Want int
	// Benefit and Cost are the weighed amounts, in shares of one replica's work
	// over Settings.Horizon. Both are zero for moves that are made at any cost.
	Benefit float64
	Cost    float64
}

// Blocker says why declared weights can't be loaded.
type Blocker string

// The reasons for blocked weights.
const (
	// BlockedNoRoom means that no server has enough memory and no spare replica
	// can be evicted.
	BlockedNoRoom Blocker = "NoRoom"
	// BlockedLastReplica means that the old version is the last ready replica
	// and there is no memory for the new version beside it.
	BlockedLastReplica Blocker = "LastReplica"
	// BlockedNoServer means that too few servers accept orders.
	BlockedNoServer Blocker = "NoServer"
)

// Blocked is a declared model or adapter that can't be loaded now.
type Blocked struct {
	Weights         Weights
	Blocker         Blocker
	PresentReplicas int
	WantedReplicas  int
	RequiredMemory  unit.Bytes
}

// Result is the outcome of Plan.
type Result struct {
	Moves   []Move
	Blocked []Blocked
}

// Plan returns the next moves. It is deterministic: the order of Models,
// Servers and Rates breaks ties, so callers sort them.
func Plan(input *Input) Result {
	p := newPlanner(input)
	p.placeRequired()
	p.retire()
	p.placeAdapters()
	p.placeDemand()
	return p.result
}

// Footprint returns the memory that one replica needs with all its adapters.
func Footprint(model *document.Model) unit.Bytes {
	total := model.Memory
	for i := range model.Adapters {
		total += model.Adapters[i].Memory
	}
	return total
}
