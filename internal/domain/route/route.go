// Package route has the configuration of an entry host: which requests are routed to
// which service, whether they may be repeated, and the capacity of each service's
// servers.
//
// # Usage
//
//	configuration := route.Configuration{
//		Version: 7,
//		Routes: []route.Route{{
//			Host:   "boats.example",
//			Prefix: "/dispatch/",
//			Kind:   route.Unsafe,
//			Targets: []route.Target{{
//				Service: "dispatch-desk",
//				Weight:  1,
//			}},
//		}},
//	}
//
// Times here are durations, as an operator writes them; a request has the points in
// time that follow from them.
package route

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Version orders configurations. It only increases; zero means none.
type Version int64

// Kind is the kind of a route's requests, by which they may be repeated or not.
type Kind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = "Safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "Unsafe"
	// Stream requests are answered by a stream of events. They may run at most once
	// unless Route.Resumable is set.
	Stream Kind = "Stream"
)

// Configuration is all that the operator configures.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[ident.ServiceName]Service
	// Accounts are the client accounts. If there are any, a request needs the key of one,
	// unless its route is anonymous.
	Accounts []account.Account
	Limits   Limits
}

// Route is the handling of the requests for one host name and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable is set if a stream may be continued by another server.
	Resumable bool
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// MaxAttempts is the maximum of servers that one request is sent to.
	MaxAttempts int
	// Timeout is the maximum time that a request may wait.
	Timeout time.Duration
	// Objective is the latency objective of a complete answer, or of a stream's first
	// event.
	Objective time.Duration
	// EventGap is the objective of the pause between two events of a stream.
	EventGap time.Duration
	// Targets receive the requests in proportion to their weights.
	Targets []Target
}

// Target is one of the services of a route.
type Target struct {
	Service ident.ServiceName
	Weight  int
}

// MayRepeat reports whether a request may be sent again after an attempt that may have
// run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is the configuration of the backend servers that run one service.
type Service struct {
	Name       ident.ServiceName
	HealthPath string
	// MaxConnections is the number of connections that one server accepts, over all
	// entry hosts.
	MaxConnections int
	// Engine is set for services whose servers serve models.
	Engine *Engine
}

// Engine is the capacity of one model server, and the models that it may load.
type Engine struct {
	Slots        int
	CacheTokens  unit.Tokens // of the KV cache, for running requests and cached prompts
	Memory       unit.Bytes  // of the accelerator, for models and adapters
	HostMemory   unit.Bytes  // for copies of weights
	Disk         unit.Bytes  // for copies of weights
	AdapterSlots int
	// TokensPerEvent is how many tokens an event of a stream has, 0 if that isn't known.
	TokensPerEvent int
	// LoadsPerSecond is the load rate that the weight store allows over all servers.
	LoadsPerSecond float64
	Models         []Model
}

// Model is one configured model with its adapters.
type Model struct {
	Name          ident.ModelName
	Memory        unit.Bytes
	Adapters      []ident.AdapterName
	AdapterMemory unit.Bytes
	// StoreLoadTime, DiskLoadTime and HostMemoryLoadTime are the durations of a load
	// from the weight store, from the server's disk and from the server's host memory.
	StoreLoadTime      time.Duration
	DiskLoadTime       time.Duration
	HostMemoryLoadTime time.Duration
}

// Declares reports whether a model, or an adapter of it, is configured for the engines.
func (e *Engine) Declares(model ident.ModelName, adapter ident.AdapterName) bool {
	for i := range e.Models {
		if e.Models[i].Name == model {
			return adapter == "" || slices.Contains(e.Models[i].Adapters, adapter)
		}
	}
	return false
}

// Limits bound the size of a client's request, and how long a client may take to send a
// header or leave its connection idle.
type Limits struct {
	MaxHeader     unit.Bytes
	MaxBody       unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
