// Package engine is a stand-in for a model engine. It simulates continuous
// batching, a priority queue, a prefix cache, weights in limited memory, orders
// with fencing numbers and delayed reports, and the failures of such a server.
//
// Engine serves the HTTP API and outlives simulated crashes; incarnation holds all
// state that a crash loses. Engine.mu guards the current incarnation,
// incarnation.mu its queue, memory, cache and reports. Each HTTP request, each
// load and each delayed order has a goroutine; one more records reports.
//
// # Usage
//
//	engine := engine.New(engine.Options{
//		Name:  "brest-a-gpu-03",
//		Slots: 8,
//	})
//	address, err := engine.Start("127.0.0.1:0")
//	defer engine.Stop()
//	engine.Faults.Set(engine.Faults{
//		CutStreamAfter: 3,
//	})
//
// # Timing
//
// At most Slots requests run. Up to QueueLimit others wait in a queue, ordered by
// priority, then by arrival. A running request takes
//
//	first token:  FirstTokenTime * (1 - 0.8*cached) * SlowFactor
//	each further: TimePerToken * (1 + running/Slots) * SlowFactor
//
// where cached is the share of its messages whose prefix is cached, and running is
// the number of requests that run when the token is generated.
//
// # Answers
//
// The first token is "briefing/3: echo of <message>", with the weights' version;
// the others, such as " w0-1c2d", depend only on the model, the adapter and the
// last user message. So all replicas give the same answer, and a resumed stream
// continues where the first one ended.
//
// # Faults
//
// `POST /faults` replaces all Faults with its JSON body; durations are written
// "200ms". `GET /stats` returns Stats. Both are served regardless of the faults.
package engine

import (
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/standin/fault"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

// PathStats is the path of Stats.
const PathStats = "/stats"

// Defaults of Options.
const (
	DefaultMemory           = 80 * unit.Gibibyte
	DefaultSlots            = 8
	DefaultQueueLimit       = 64
	DefaultFirstTokenTime   = 40 * time.Millisecond
	DefaultTimePerToken     = 5 * time.Millisecond
	DefaultLoadDelay        = 200 * time.Millisecond
	DefaultAdapterLoadDelay = 10 * time.Millisecond
	DefaultCacheEntries     = 1024
	DefaultRestartAfter     = 500 * time.Millisecond
)

// Options configures an Engine. Zero values take the defaults.
type Options struct {
	Name           ident.ServerName
	Memory         unit.Bytes
	Slots          int
	QueueLimit     int
	FirstTokenTime time.Duration
	TimePerToken   time.Duration
	// WeightStore is the address of the weight store. If it is empty, a load takes
	// LoadDelay or AdapterLoadDelay.
	WeightStore      string
	LoadDelay        time.Duration
	AdapterLoadDelay time.Duration
	// CacheEntries is the capacity of the prefix cache.
	CacheEntries int
	// IgnoreFencing makes the engine accept orders without checking their
	// incarnation and fencing number.
	IgnoreFencing bool
	// RestartAfter is the time from a crash to the restart.
	RestartAfter time.Duration
}

// Faults are the failures that the engine simulates, set at /faults.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool
	// FreezeRequests accepts requests and holds them, including those that run,
	// until it is cleared.
	FreezeRequests bool
	// SlowFactor multiplies the time of each token, if it is not 0.
	SlowFactor float64
	// LoseOrders is the number of next orders that are answered 202 and dropped.
	LoseOrders int
	// DelayOrders is the number of next orders that are answered 202 and executed
	// after DelayOrdersBy.
	DelayOrders   int
	DelayOrdersBy fault.Duration
	// CrashOnMarker crashes the engine after the first token's time of a request
	// whose body contains this text. RestartAfter, if it is not 0, replaces the
	// option of that name.
	CrashOnMarker string
	RestartAfter  fault.Duration
	// ReportLag is the age of the reports served.
	ReportLag fault.Duration
	// CacheEventGaps drops each cache event whose number is a multiple of it.
	CacheEventGaps int
	IgnoreFencing  bool
	// CutStreamAfter closes the connection after this number of tokens,
	// BreakStreamAfter sends a malformed chunk, EndStreamEarly ends the HTTP
	// answer in order but without the end mark. They apply to every request while
	// they are set.
	CutStreamAfter   int
	BreakStreamAfter int
	EndStreamEarly   int
	// ForeignAnswers is the number of next requests that get the answer of another
	// request, under that request's attempt id.
	ForeignAnswers int
	// LeaveNow refuses new requests and reports Leaving.
	LeaveNow bool
	// RequestLimit is named in all answers to chats, if it is not empty.
	RequestLimit string
	// RestFor refuses chats with status 503 and this Retry-After, if it is not empty.
	RestFor string
	// SayLeaving says in all answers to chats that the engine is leaving.
	SayLeaving bool
}

// Engine is the simulated engine. Create it with New.
type Engine struct {
	Faults        fault.Switch[Faults]
	options       Options
	server        server.Server
	weightsClient httpsend.Client
	counters      counters

	mu          sync.Mutex
	incarnation *incarnation
	crashed     bool
	leaving     bool
}

// New returns an engine without loaded weights. It is not started yet.
func New(options Options) *Engine {
	e := &Engine{
		options: options.withDefaults(),
	}
	e.incarnation = newIncarnation(e)
	return e
}

func (o Options) withDefaults() Options {
	setDefault(&o.Memory, DefaultMemory)
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.QueueLimit, DefaultQueueLimit)
	setDefault(&o.FirstTokenTime, DefaultFirstTokenTime)
	setDefault(&o.TimePerToken, DefaultTimePerToken)
	setDefault(&o.LoadDelay, DefaultLoadDelay)
	setDefault(&o.AdapterLoadDelay, DefaultAdapterLoadDelay)
	setDefault(&o.CacheEntries, DefaultCacheEntries)
	setDefault(&o.RestartAfter, DefaultRestartAfter)
	if o.Name == "" {
		o.Name = "engine"
	}
	return o
}

func setDefault[T int | unit.Bytes | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Start starts the HTTP server and returns its address.
func (e *Engine) Start(listen string) (string, error) {
	router := bunrouter.New()
	router.POST(engineapi.PathChat, server.Route(e.serveChat))
	router.DELETE(engineapi.PathRequests+":attempt", e.serveCancel)
	router.POST(engineapi.PathOrders, server.Route(e.serveOrder))
	router.GET(engineapi.PathReport, server.Route(e.serveReport))
	router.GET(engineapi.PathCacheEvents, server.Route(e.serveCacheEvents))
	router.GET(PathStats, server.Route(e.serveStats))
	router.GET(fault.Path, server.Route(e.Faults.ServeHTTP))
	router.POST(fault.Path, server.Route(e.Faults.ServeHTTP))
	address, err := e.server.Start(listen, e.server.ApplyFaults(e.requestFaults(), router))
	if err != nil {
		return "", err
	}
	e.server.Go(e.recordReports)
	return address, nil
}

// Leave makes the engine refuse new requests and report Leaving, as an engine does
// before it stops.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Stop calls Leave, waits for the requests that wait or run, and stops the engine.
func (e *Engine) Stop() error {
	e.Leave()
	err := e.server.Stop()
	e.current().terminate()
	e.weightsClient.Close()
	return err
}

// Crash simulates a killed process: connections are closed and memory is lost.
// After the restart delay a new incarnation listens on the same address.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.crashed = true
	e.counters.countCrash()
	e.incarnation.terminate()
	restartDelay := e.options.RestartAfter
	if override := time.Duration(e.Faults.Get().RestartAfter); override > 0 {
		restartDelay = override
	}
	e.server.Crash(restartDelay, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = newIncarnation(e)
	e.crashed = false
}

// Incarnation returns the id of the current incarnation.
func (e *Engine) Incarnation() ident.Incarnation {
	return e.current().id
}

func (e *Engine) current() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving || e.Faults.Get().LeaveNow
}

func (e *Engine) checksFencing() bool {
	return !e.options.IgnoreFencing && !e.Faults.Get().IgnoreFencing
}

func (e *Engine) requestFaults() server.RequestFaults {
	return server.RequestFaults{
		Changed:     e.Faults.Changed,
		IsFrozen:    func() bool { return e.Faults.Get().FreezeRequests },
		IsDown:      func() bool { return e.Faults.Get().Down },
		ExemptPaths: []string{fault.Path, PathStats},
	}
}
