// Package engine stands in for a model engine: continuous batching, a priority
// queue, a prefix cache, weights in limited memory, orders with fencing
// numbers, lagging reports, and all the ways in which such a server fails.
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
// # Time
//
// At most Slots requests run, the others wait in a queue of QueueLimit by
// priority, then by arrival. A request that runs takes
//
//	first token:  FirstToken * (1 - 0.8*cached) * SlowFactor
//	each further: PerToken * (1 + running/Slots) * SlowFactor
//
// where cached is the share of its messages whose prefix is in the cache, and
// running is the number that runs at that token.
//
// # Answers
//
// Tokens follow from the model, the adapter and the last user message alone, but
// for the version in the first: "briefing/3: echo of <message>", " w0-1c2d", ...
// So each replica gives the same, and a resumed stream fits its beginning.
//
// # Faults
//
// `POST /faults` takes Faults as JSON and replaces all of them; durations are
// written "200ms". `GET /stats` gives Stats. Neither fails with the rest.
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

// PathStats is where the engine serves Stats.
const PathStats = "/stats"

// The defaults of Options.
const (
	DefaultMemory           = 80 * unit.Gibibyte
	DefaultSlots            = 8
	DefaultQueueLimit       = 64
	DefaultFirstToken       = 40 * time.Millisecond
	DefaultPerToken         = 5 * time.Millisecond
	DefaultLoadDelay        = 200 * time.Millisecond
	DefaultAdapterLoadDelay = 10 * time.Millisecond
	DefaultCacheEntries     = 1024
	DefaultRestartAfter     = 500 * time.Millisecond
)

// Options are the engine's settings; zero values take the defaults.
type Options struct {
	Name       ident.ServerName
	Memory     unit.Bytes
	Slots      int
	QueueLimit int
	FirstToken time.Duration
	PerToken   time.Duration
	// Weights is the weight store's address. Without it a load takes LoadDelay
	// or AdapterLoadDelay.
	Weights          string
	LoadDelay        time.Duration
	AdapterLoadDelay time.Duration
	// CacheEntries bounds the prefix cache.
	CacheEntries int
	// IgnoreFencing makes an engine that takes any order, whoever gives it.
	IgnoreFencing bool
	// RestartAfter is how long the engine stays away after a crash.
	RestartAfter time.Duration
}

// Faults are the switches at /faults.
type Faults struct {
	// Down cuts each connection without an answer.
	Down bool
	// FreezeRequests takes requests and holds them, also those that run, until it is off.
	FreezeRequests bool
	// SlowFactor makes each token take as many times as long.
	SlowFactor float64
	// LoseOrders is how many next orders are answered 202 and dropped.
	LoseOrders int
	// DelayOrders is how many next orders are answered 202 and looked at after DelayOrdersBy.
	DelayOrders   int
	DelayOrdersBy fault.Duration
	// CrashOnMarker ends the process when it has run the prompt of a request
	// whose body contains it. It is back after RestartAfter, if that is not 0.
	CrashOnMarker string
	RestartAfter  fault.Duration
	// ReportLag is how old the report is.
	ReportLag fault.Duration
	// CacheEventGaps drops each cache event whose number it divides.
	CacheEventGaps int
	IgnoreFencing  bool
	// CutStreamAfter cuts the connection after so many tokens, BreakStreamAfter
	// sends a malformed chunk, EndStreamEarly ends the answer in order but
	// without the end mark. They hold for every request while they are set.
	CutStreamAfter   int
	BreakStreamAfter int
	EndStreamEarly   int
	// ForeignAnswers is how many next requests get a neighbour's answer, under
	// the neighbour's attempt id.
	ForeignAnswers int
	// LeaveNow refuses new work and reports Leaving.
	LeaveNow bool
}

// Engine is the stand-in.
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

// New makes an engine with empty memory.
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
	setDefault(&o.FirstToken, DefaultFirstToken)
	setDefault(&o.PerToken, DefaultPerToken)
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

// Start serves the engine and returns the address.
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

// Leave refuses new work from now on and reports Leaving, as an engine does
// that is about to stop.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Stop leaves, lets the requests that wait or run end, and ends the engine.
func (e *Engine) Stop() error {
	e.Leave()
	err := e.server.Stop()
	e.current().terminate()
	e.weightsClient.Close()
	return err
}

// Crash ends this life of the engine as a killed process does: connections
// are cut, memory is lost. After the restart time a new incarnation listens on
// the same address.
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

// Incarnation is the engine's life of now.
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
