// Package route has the configuration of an entry host: which requests go to
// which service, what may be done with them, and what each service's servers
// can hold.
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
// Lengths of time here are part of what an operator writes; requests carry the
// instants that follow from them.
package route

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Version orders configurations. It only grows; zero is none.
type Version int64

// Kind says what may be repeated.
type Kind string

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = "Safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "Unsafe"
	// Stream requests are answered by a series of events. They count as unsafe
	// unless Route.Resumable.
	Stream Kind = "Stream"
)

// Configuration is everything that the operator declares.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[ident.ServiceName]Service
	Limits   Limits
}

// Route says what happens with the requests of one host below one path.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable tells that a stream may go on at another server.
	Resumable bool
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many servers one request may be sent to.
	MaxAttempts int
	// Timeout is how long a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration
	// Gap is the longest pause between a stream's events that is on time.
	Gap time.Duration
	// Targets share the requests by weight.
	Targets []Target
}

// Target is one of the services that a route leads to.
type Target struct {
	Service ident.ServiceName
	Weight  int
}

// MayRepeat tells whether a request may be sent again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a kind of backend server.
type Service struct {
	Name       ident.ServiceName
	HealthPath string
	// MaxConnections is what one server accepts from all entry hosts together.
	MaxConnections int
	// Engine is set for services whose servers hold models.
	Engine *Engine
}

// Engine says what one model server can hold and do.
type Engine struct {
	Slots         int
	CacheTokens   unit.Tokens // shared by running requests and kept prompts
	Memory        unit.Bytes  // of the accelerator, for models and adapters
	HostMemory    unit.Bytes  // for copies of weights
	Disk          unit.Bytes  // for copies of weights
	AdapterPlaces int
	// LoadsPerSecond is what the weight store allows over all servers.
	LoadsPerSecond float64
	Models         []Model
}

// Model is one declared model with its adapters.
type Model struct {
	Name          ident.ModelName
	Memory        unit.Bytes
	Adapters      []ident.AdapterName
	AdapterMemory unit.Bytes
	// LoadTime, DiskTime and WarmTime are how long a load takes from the weight
	// store, the server's disk and the server's host memory.
	LoadTime time.Duration
	DiskTime time.Duration
	WarmTime time.Duration
}

// Declares tells whether the engines may be asked for a model, or for an adapter of it.
func (e *Engine) Declares(model ident.ModelName, adapter ident.AdapterName) bool {
	for i := range e.Models {
		if e.Models[i].Name == model {
			return adapter == "" || slices.Contains(e.Models[i].Adapters, adapter)
		}
	}
	return false
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeader     unit.Bytes
	MaxBody       unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
