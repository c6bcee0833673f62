// Package gateway runs an entry host that takes its configuration and the list of
// backend servers from a platform's key-value service, and forwards callers'
// requests to these servers. The command cicadaloom starts one per process.
//
// # Usage
//
//	running, err := gateway.Start(gateway.Options{
//		Settings: loaded,
//		KeyValue: keyValue,
//		Engines:  engines,
//		Layout:   layout,
//		Codec:    codec,
//		Log:      log,
//		Metrics:  metrics.NewSet(),
//	})
//	...
//	err = running.Stop(ctx)
//
// # Goroutines
//
// One goroutine, the control goroutine, owns the host's state: it takes events from
// a channel and publishes what requests need (the route table and a pool of servers
// per service) through atomic pointers. Other goroutines watch the key-value service,
// renew the leases of this host's entry and of the leader key, exchange messages with
// peers, and fetch reports and send orders for the control goroutine; they post their
// results as events. Requests run on goroutines of their own and read only what is
// published.
//
// # The leader
//
// One host at a time, the leader, sends orders to engines. It owns a key under a
// lease; the revision at which it wrote the key is its fencing number. Other hosts
// send it their demand for models, and receive the inventory of the engines from it.
// In large regions a few hosts, the watchers, follow the key-value service and relay
// these messages for the others: see watcherSet.
//
// # Prompts
//
// Each engine region and model has one host, its prompt scheduler, that queues the
// prompts of all hosts and reserves slots at engines: see promptSchedulers.
//
// # Client accounts
//
// Each region has one host, its quota pool, that grants the region's requests what their
// accounts' limits allow: see quotaPools.
//
// # Request limits of servers
//
// For each server that names a request limit one host of its region, the issuer, grants the
// permits for the requests of all hosts: see package control/permits.
//
// # Streams that clients resume
//
// While servers of a service run several builds of its software, each stream has three hosts,
// its keepers, that know which build began it: see package control/streams. The key-value service
// has what must outlive all hosts: the origins of these streams, and the history of builds.
//
// # Planned stop
//
// See Stop.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"

	settings "cicadaloom/internal/config/gateway"
	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/gatewaypeer"
	"cicadaloom/internal/peer/httpserve"
	"cicadaloom/internal/peer/permitpeer"
	"cicadaloom/internal/peer/upstream"
	"cicadaloom/internal/traffic/limiter"
	"cicadaloom/internal/traffic/relay"
)

// KeyValue is the platform's key-value service. Implementations must be safe for many
// goroutines.
type KeyValue interface {
	List(ctx context.Context, prefix string) (store.Listing, error)
	// ListStale is a cheaper List whose result may be some seconds old.
	ListStale(ctx context.Context, prefix string) (store.Listing, error)
	// Watch passes the changes after a revision to deliver until deliver or the service
	// fails. Before each long poll it calls pollDuration for how long that may stay open
	// without changes; deliver gets an empty batch when it ends so.
	Watch(ctx context.Context, prefix string, after ident.Revision, pollDuration func() time.Duration, deliver func(store.Batch) error) error
	Swap(ctx context.Context, swap store.Swap) (store.SwapResult, error)
	// GrantLease creates a lease and returns how long it lasts unless it is renewed.
	GrantLease(ctx context.Context, duration time.Duration) (store.LeaseID, time.Duration, error)
	RenewLease(ctx context.Context, lease store.LeaseID) error
	RevokeLease(ctx context.Context, lease store.LeaseID) error
}

// Engines fetches reports from engines and sends orders to them, both until a deadline.
type Engines interface {
	FetchReport(ctx context.Context, server *backend.Server, incarnation ident.Incarnation, deadline time.Time) (backend.Report, error)
	SendOrder(ctx context.Context, address string, order *backend.CountedOrder, deadline time.Time) (backend.OrderAnswer, error)
}

// Layout says where the operator and the backend servers write in the key-value
// service, and decodes what they write.
type Layout struct {
	ConfigurationKey string
	// FleetPrefix covers the entries of servers and hosts: those of servers start with
	// RegistrationPrefix, those of hosts with HostPrefix, and both start with FleetPrefix.
	FleetPrefix        string
	RegistrationPrefix string
	HostPrefix         string
	// OriginPrefix is that of the entries in which hosts keep the origins of streams. FleetPrefix
	// must not cover them.
	OriginPrefix        string
	ReadyPath           string
	DecodeConfiguration func(value []byte) (*route.Configuration, error)
	// RedactConfiguration replaces the keys of client accounts by their digests. The result
	// decodes to the same configuration.
	RedactConfiguration func(value []byte) ([]byte, error)
	DecodeRegistration  func(entry store.Entry, regions map[ident.DataCentre]ident.Region, now time.Time) (backend.Registration, error)
}

// Options configures a host. All fields must be set but DialServer.
type Options struct {
	// DialServer opens a connection to a backend server; nil for upstream.Dial.
	DialServer func(ctx context.Context, address string) (net.Conn, error)

	Settings settings.Settings
	KeyValue KeyValue
	Engines  Engines
	Layout   Layout
	Codec    relay.Codec
	Log      *zap.Logger
	Metrics  *metrics.Set
}

// Gateway is a running entry host.
type Gateway struct {
	options         Options
	log             *zap.Logger
	tomb            tomb.Tomb
	inbox           chan controlEvent
	peers           gatewaypeer.Pool
	peerServer      gatewaypeer.Server
	handler         *relay.Handler
	upstreamClient  *upstream.Client
	tunnels         tunnels
	budget          *retries.Budget
	backpressure    backpressure.Table
	limiter         *limiter.Limiter
	schedulers      promptSchedulers
	quota           quotaPools
	streams         streamOrigins
	processor       processorLoad
	callerServer    httpserve.Server
	readinessServer httpserve.Server
	metrics         httpserve.Server

	// Published by the control goroutine. leaderless tells that the leader key is absent.
	routes       atomic.Pointer[routetable.Table]
	pools        atomic.Pointer[map[ident.ServiceName]*balance.Pool]
	serversKnown atomic.Bool
	leaderless   atomic.Bool
	// lastTerm is the latest term, and settledTerm the number of the latest one that is known to
	// be settled; see takeover. activeTerm is set while this host is the leader, ownTerm from
	// its first term on.
	lastTerm    atomic.Pointer[knownTerm]
	settledTerm atomic.Int64
	activeTerm  atomic.Pointer[leaderTerm]
	ownTerm     atomic.Pointer[leaderTerm]
	// lastOrderBootNanos is when this process last sent an order, by bootNanos, 0 if never.
	lastOrderBootNanos atomic.Int64
	// isYoungest tells that no known host started later than this one.
	isYoungest  atomic.Bool
	stopping    atomic.Bool
	stopStarted chan struct{}
	startedAt   time.Time
	// hostListDone is closed once the entries of this data centre's watchers or hosts are
	// applied, or could not be read.
	hostListDone chan struct{}
	// routesKnown is closed once there is a first route table.
	routesKnown chan struct{}
	suspectView atomic.Pointer[suspects.View]
	// harmlessParts are the parts of prompts to which servers have lately begun answers to this host.
	harmlessParts suspects.Answered
	// knownHostCount is the number of hosts whose entry is known.
	knownHostCount atomic.Int64
	seeds          atomic.Pointer[[]string]
	// watchers are the hosts that this host asks in place of the key-value service,
	// leaderPeerCount is how many hosts exchange messages with the leader directly.
	watchers        atomic.Pointer[watcherSet]
	leaderPeerCount atomic.Int64
	// watchersChanged is closed when watchers becomes empty, and when it stops being so.
	watchersChanged atomic.Pointer[chan struct{}]
	// Instants by steadyNanos, 0 for never: peerViewNanos is when the service last answered
	// the peer whose view of the fleet this host received; fleetReadNanos and
	// configurationReadNanos are when it last answered this host itself.
	peerViewNanos          atomic.Int64
	fleetReadNanos         atomic.Int64
	configurationReadNanos atomic.Int64
	// exchangeTimeout is the timeout of the next exchange, in nanoseconds; see there.
	exchangeTimeout atomic.Int64
	// isExchangeFailing tells that the leader, or the watcher that relays for it, does not answer.
	isExchangeFailing atomic.Bool
	// failingWatches is how many of this host's watches the key-value service does not answer.
	failingWatches atomic.Int64
	// nearHostCount is the number of hosts of this data centre.
	nearHostCount atomic.Int64
	// cancelRequests makes every request in progress answer at once. exchangeWanted wakes
	// the exchange with the leader, since a request waits for weights or a configuration.
	cancelRequests context.CancelFunc
	exchangeWanted chan struct{}
	// gossipWanted wakes the exchange with random peers.
	gossipWanted chan struct{}
	// promptQueued tells that a prompt waits in this host's queue.
	promptQueued chan struct{}
	// explaining is held while the operators' listener explains where a request would go.
	explaining sync.Mutex
	// shed counts the connections that were closed unread because the host was overloaded.
	shed *metrics.Counter
}

// inboxSize lets bursts of events wait for the control goroutine without blocking
// their senders.
const inboxSize = 512

// Start starts a host. It does not wait for the key-value service.
func Start(options Options) (*Gateway, error) {
	g := &Gateway{
		options:        options,
		log:            options.Log,
		inbox:          make(chan controlEvent, inboxSize),
		exchangeWanted: make(chan struct{}, 1),
		gossipWanted:   make(chan struct{}, 1),
		promptQueued:   make(chan struct{}, 1),
		stopStarted:    make(chan struct{}),
		startedAt:      time.Now(),

		hostListDone: make(chan struct{}),
		routesKnown:  make(chan struct{}),
		budget: retries.New(retries.Options{
			Ratio:     options.Settings.Bounds.RetryRatio,
			Window:    options.Settings.Bounds.RetryWindow,
			Slack:     options.Settings.Bounds.RetrySlack,
			StartedAt: processStart,
		}),
	}
	bounds := &options.Settings.Bounds
	g.quota.pool = quota.NewPool(bootTime(), quota.Settings{
		Window:    bounds.QuotaWindow,
		Overshoot: bounds.QuotaOvershoot,
		Slack:     account.Amount(bounds.QuotaSlack),
	})
	g.quota.ownAddress = options.Settings.Listen.Peers
	g.quota.choice = quota.NewChoice(bootTime(), g.quota.ownAddress)
	g.quota.client.GrantsAhead = true
	g.budget.SetHosts(unknownHostCount)
	g.limiter = limiter.New(limiter.Options{
		Own: options.Settings.Host.Name,
		Peers: permitpeer.Client{
			Pool: &g.peers.Pool,
		},
		IsInTouch: g.isInTouch,
		Log:       options.Log,
	})
	g.streams.ledger.Own = options.Settings.Host.Name
	g.streams.client.Pool = &g.peers.Pool
	g.streams.added = make(chan struct{}, 1)
	g.streams.unstored = make(chan struct{}, 1)
	g.streams.reads = make(chan struct{}, maxOriginReads)
	g.streams.stored = options.Metrics.NewCounter("cicadaloom_stream_origins_stored_total")
	g.streams.storeFailures = options.Metrics.NewCounter("cicadaloom_stream_origin_writes_failed_total")
	if g.options.DialServer == nil {
		g.options.DialServer = upstream.Dial
	}
	g.SetSeeds(options.Settings.Seeds)
	g.watchers.Store(&watcherSet{})
	watchersChanged := make(chan struct{})
	g.watchersChanged.Store(&watchersChanged)
	g.lastTerm.Store(&knownTerm{})
	g.pools.Store(&map[ident.ServiceName]*balance.Pool{})
	dialed := options.Metrics.NewCounter("cicadaloom_connections_opened_total")
	g.shed = options.Metrics.NewCounter("cicadaloom_connections_shed_total")
	strayBytes := options.Metrics.NewCounter(`cicadaloom_stray_answers_total{at="IdleConnection"}`)
	g.upstreamClient = &upstream.Client{
		OnDial:       dialed.Inc,
		OnStrayBytes: strayBytes.Inc,
	}
	requestsCtx, cancelRequests := context.WithCancel(context.Background())
	g.cancelRequests = cancelRequests
	g.handler = &relay.Handler{
		Codec:         options.Codec,
		ControlPlane:  g,
		Upstream:      g.upstreamClient,
		Budget:        g.budget,
		Log:           options.Log,
		Metrics:       relay.NewMetrics(options.Metrics),
		HeldBytes:     newHeldBytes(options.Settings.Memory, options.Metrics),
		HarmlessParts: &g.harmlessParts,
		Now:           time.Now,
		Random:        rand.Uint64,
		Shutdown:      requestsCtx,
	}
	if err := g.listen(); err != nil {
		g.close(context.Background())
		return nil, err
	}
	g.start()
	return g, nil
}

// unknownHostCount is how many hosts are assumed to share the retry budget before any read
// says how many there are: so many that no share is left.
const unknownHostCount = 1 << 16

func (g *Gateway) listen() error {
	listen := g.options.Settings.Listen
	if _, err := g.peerServer.Start(listen.Peers, g); err != nil {
		return err
	}
	if err := g.serve(&g.readinessServer, listen.Ready, httpserve.Options{
		Handler: http.HandlerFunc(g.serveReady),
	}); err != nil {
		return err
	}
	if listen.Metrics != "" {
		if err := g.serve(&g.metrics, listen.Metrics, httpserve.Options{
			Handler: http.HandlerFunc(g.serveMetrics),
		}); err != nil {
			return err
		}
	}
	return g.serve(&g.callerServer, listen.Callers, httpserve.Options{
		Handler:        g.handler,
		Admit:          g.admitConnection,
		MaxConnections: g.options.Settings.Descriptors / 2,
	})
}

func (g *Gateway) serve(server *httpserve.Server, address string, options httpserve.Options) error {
	options.Log = g.log
	_, err := server.Start(address, options)
	return err
}

func (g *Gateway) start() {
	g.tomb.Go(func() error { return newControl(g).run() })
	g.tomb.Go(g.watchConfiguration)
	g.tomb.Go(g.watchFleet)
	g.tomb.Go(g.register)
	g.tomb.Go(g.runLeadership)
	g.tomb.Go(g.runExchanges)
	g.tomb.Go(g.runGossip)
	g.tomb.Go(g.runLoadSamples)
	g.tomb.Go(g.runGrants)
	g.tomb.Go(g.runDeliveries)
	g.tomb.Go(g.runOriginWrites)
	g.tomb.Go(g.runQuotaMembership)
}

// context returns a context that ends with the host.
func (g *Gateway) context() context.Context {
	return g.tomb.Context(context.Background())
}

// Routes returns the current route table, nil while none is known.
func (g *Gateway) Routes() *routetable.Table {
	return g.routes.Load()
}

// routesWait is how long after a host's start a request waits for the first
// configuration. Where all hosts lose power at once, clients reach them within
// milliseconds of their return, and the configuration takes a second; a client that is
// rejected by one host finds no other that knows more. After this time the service is
// unavailable, and nobody can say for how long.
const routesWait = 2500 * time.Millisecond

// AwaitRoutes implements relay.ControlPlane.
func (g *Gateway) AwaitRoutes(ctx context.Context) *routetable.Table {
	if table := g.Routes(); table != nil {
		return table
	}
	timer := time.NewTimer(time.Until(g.startedAt.Add(routesWait)))
	defer timer.Stop()
	select {
	case <-g.routesKnown:
	case <-timer.C:
	case <-g.stopStarted:
	case <-ctx.Done():
	}
	return g.Routes()
}

// newerRoutesPoll is how often a request that waits for a newer configuration checks for it.
const newerRoutesPoll = 20 * time.Millisecond

// AwaitNewerRoutes implements relay.ControlPlane. A watcher or the leader is asked at once;
// a host that follows the key-value service itself gets changes without asking.
func (g *Gateway) AwaitNewerRoutes(ctx context.Context, table *routetable.Table) (*routetable.Table, bool) {
	g.requestExchange()
	ticker := time.NewTicker(newerRoutesPoll)
	defer ticker.Stop()
	for {
		if current := g.Routes(); current != table {
			return current, true
		}
		select {
		case <-ticker.C:
		case <-g.stopStarted:
			return table, false
		case <-ctx.Done():
			return table, g.isInTouch()
		}
	}
}

// HasCurrentRoutes implements relay.ControlPlane.
func (g *Gateway) HasCurrentRoutes() bool {
	return g.isInTouch()
}

// Pool implements relay.ControlPlane.
func (g *Gateway) Pool(service ident.ServiceName) *balance.Pool {
	return (*g.pools.Load())[service]
}

// ReportMissingWeights implements relay.ControlPlane.
func (g *Gateway) ReportMissingWeights() {
	g.requestExchange()
}

// ReportBrittle implements relay.ControlPlane.
func (g *Gateway) ReportBrittle() {
	g.requestExchange()
}

// requestExchange makes the host exchange messages with a watcher or the leader soon.
func (g *Gateway) requestExchange() {
	select {
	case g.exchangeWanted <- struct{}{}:
	default: // one is wanted already
	}
}

// serveReady answers whether the host accepts clients: it knows a configuration and
// the servers, and is not stopping.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.options.Layout.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if g.stopping.Load() || g.routes.Load() == nil || !g.serversKnown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveMetrics(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
		g.options.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	case explainPath:
		g.serveExplain(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
