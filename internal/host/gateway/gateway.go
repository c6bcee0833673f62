// Package gateway puts an entry host together that takes its configuration and its
// backend servers from a platform's key-value service, and passes requests on to
// them.
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
// One goroutine, the control, owns what the host knows: it takes typed messages
// from its inbox, and publishes what requests need (the route table, a pool a
// service). Others watch the key-value service, keep this host's entry and the
// holder's lease, exchange words with peers, and carry out what the control asks
// for; all they learn goes into the inbox. Requests run on goroutines of their
// own and read what is published.
//
// # The holder
//
// One host at a time, the holder, gives orders to engines. It owns a key under a
// lease; the revision at which it wrote the key is its fencing number. Other hosts
// tell it what they are asked for and hear from it what engines hold.
//
// # A planned stop
//
// See Stop.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"

	settings "cicadaloom/internal/config/gateway"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/gatewaypeer"
	"cicadaloom/internal/peer/httpserve"
	"cicadaloom/internal/peer/upstream"
	"cicadaloom/internal/traffic/relay"
)

// KeyValue is the platform's key-value service.
type KeyValue interface {
	List(ctx context.Context, prefix string) (store.Listing, error)
	// Watch holds each round without news for as long as round says before it.
	Watch(ctx context.Context, prefix string, after ident.Revision, round func() time.Duration, deliver func(store.Batch) error) error
	Swap(ctx context.Context, swap store.Swap) (store.SwapResult, error)
	// Grant opens a lease and gives how long it lasts unless it is kept.
	Grant(ctx context.Context, length time.Duration) (store.LeaseID, time.Duration, error)
	Keep(ctx context.Context, lease store.LeaseID) error
	End(ctx context.Context, lease store.LeaseID) error
}

// Engines are model servers, beside the requests to them.
type Engines interface {
	Report(ctx context.Context, server *backend.Server, life ident.Incarnation, limit time.Time) (backend.Report, error)
	Order(ctx context.Context, address string, order *backend.CountedOrder, limit time.Time) (backend.OrderAnswer, error)
}

// Layout says where the operator and the backend servers write in the key-value
// service, and reads what they write.
type Layout struct {
	ConfigurationKey string
	// FleetPrefix is where the entries of servers and hosts stand, both below it: those
	// of servers at RegistrationPrefix, those of hosts at HostPrefix.
	FleetPrefix         string
	RegistrationPrefix  string
	HostPrefix          string
	ReadyPath           string
	DecodeConfiguration func(value []byte) (*route.Configuration, error)
	DecodeRegistration  func(entry store.Entry, regions map[ident.DataCentre]ident.Region, now time.Time) (backend.Registration, error)
}

// Options is what a host is made of. All fields must be set.
type Options struct {
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
	options Options
	log     *zap.Logger
	tomb    tomb.Tomb
	inbox   chan message
	peers   gatewaypeer.Pool
	server  gatewaypeer.Server
	handler *relay.Handler
	up      *upstream.Client
	budget  *retries.Budget
	pacers  pacers
	callers httpserve.Server
	ready   httpserve.Server
	metrics httpserve.Server

	// What the control publishes.
	routes       atomic.Pointer[routetable.Table]
	pools        atomic.Pointer[map[ident.ServiceName]*balance.Pool]
	serversKnown atomic.Bool
	vacant       atomic.Bool
	// term is the revision at which the last holder began, 0 where none ever did.
	term atomic.Int64
	// former is the last host that became the holder, empty where none ever did.
	former  atomic.Pointer[ident.HostID]
	holding atomic.Pointer[tenure]
	// lastOrder is when this process last gave an order, by the clock that also counts
	// while the machine is suspended, 0 if it never did.
	lastOrder atomic.Int64
	// youngest tells that no known host began later than this one.
	youngest  atomic.Bool
	stopping  atomic.Bool
	stopBegun chan struct{}
	started   time.Time
	// hostsLearned is closed once it is known whom to ask, or can't be.
	hostsLearned chan struct{}
	// routesKnown is closed once there is a first table of routes.
	routesKnown chan struct{}
	suspected   atomic.Pointer[suspects.View]
	// knownHosts is how many hosts are known.
	knownHosts atomic.Int64
	seeds      atomic.Pointer[[]string]
	// following is whom this host asks in place of the key-value service, directAskers how
	// many hosts exchange words with the holder itself.
	following    atomic.Pointer[readers]
	directAskers atomic.Int64
	// readerHeard is when the service last answered the reader that told this host of it,
	// fleetRead and configurationRead when it last answered this host itself; all by the
	// steady clock, 0 for never.
	readerHeard       atomic.Int64
	fleetRead         atomic.Int64
	configurationRead atomic.Int64
	// endRequests has every request answered at once.
	endRequests context.CancelFunc
	missed      chan struct{}
	// queued tells that a prompt waits in this host's queue.
	queued chan struct{}
}

// inboxSize lets bursts of news wait for the control without holding up who
// learned them.
const inboxSize = 512

// Start starts a host. It does not wait for the key-value service.
func Start(options Options) (*Gateway, error) {
	g := &Gateway{
		options:   options,
		log:       options.Log,
		inbox:     make(chan message, inboxSize),
		missed:    make(chan struct{}, 1),
		queued:    make(chan struct{}, 1),
		stopBegun: make(chan struct{}),
		started:   time.Now(),

		hostsLearned: make(chan struct{}),
		routesKnown:  make(chan struct{}),
		budget: retries.New(retries.Options{
			Ratio:  options.Settings.Bounds.RetryRatio,
			Window: options.Settings.Bounds.RetryWindow,
			Slack:  options.Settings.Bounds.RetrySlack,
			Begun:  processStart,
		}),
	}
	g.budget.SetHosts(unknownHosts)
	g.SetSeeds(options.Settings.Seeds)
	g.following.Store(&readers{})
	g.former.Store(new(ident.HostID))
	g.pools.Store(&map[ident.ServiceName]*balance.Pool{})
	dialed := options.Metrics.NewCounter("cicadaloom_connections_opened_total")
	g.up = &upstream.Client{
		Dialed: dialed.Inc,
	}
	ended, end := context.WithCancel(context.Background())
	g.endRequests = end
	g.handler = &relay.Handler{
		Codec:     options.Codec,
		Knowledge: g,
		Upstream:  g.up,
		Budget:    g.budget,
		Log:       options.Log,
		Metrics:   relay.NewMetrics(options.Metrics),
		Now:       time.Now,
		Dice:      rand.Uint64,
		Ended:     ended,
	}
	if err := g.listen(); err != nil {
		g.close(context.Background())
		return nil, err
	}
	g.start()
	return g, nil
}

// unknownHosts is how many hosts are taken to share the retry budget before any
// reading says how many there are: more than a fleet has.
const unknownHosts = 128

func (g *Gateway) listen() error {
	listen := g.options.Settings.Listen
	if _, err := g.server.Start(listen.Peers, g); err != nil {
		return err
	}
	if err := g.serve(&g.ready, listen.Ready, http.HandlerFunc(g.serveReady)); err != nil {
		return err
	}
	if listen.Metrics != "" {
		if err := g.serve(&g.metrics, listen.Metrics, http.HandlerFunc(g.serveMetrics)); err != nil {
			return err
		}
	}
	return g.serve(&g.callers, listen.Callers, g.handler)
}

func (g *Gateway) serve(server *httpserve.Server, address string, handler http.Handler) error {
	_, err := server.Start(address, httpserve.Options{
		Handler: handler,
		Log:     g.log,
	})
	return err
}

func (g *Gateway) start() {
	g.tomb.Go(func() error { return newControl(g).run() })
	g.tomb.Go(g.watchConfiguration)
	g.tomb.Go(g.watchFleet)
	g.tomb.Go(g.register)
	g.tomb.Go(g.hold)
	g.tomb.Go(g.exchange)
	g.tomb.Go(g.grantPrompts)
}

// context gives a context that ends with the host.
func (g *Gateway) context() context.Context {
	return g.tomb.Context(context.Background())
}

// Routes gives the table in force, nil while none is known.
func (g *Gateway) Routes() *routetable.Table {
	return g.routes.Load()
}

// firstRoutes is for how long after a host's start a request waits for the first
// configuration. Where all hosts lose power at once, clients reach them within
// milliseconds of their return, and the configuration takes a second; a client that is
// turned away by one host finds no other that knows more. Later than that the service is
// away, and nobody can say for how long.
const firstRoutes = 2500 * time.Millisecond

// AwaitRoutes implements relay.Knowledge.
func (g *Gateway) AwaitRoutes(ctx context.Context) *routetable.Table {
	if table := g.Routes(); table != nil {
		return table
	}
	patience := time.NewTimer(time.Until(g.started.Add(firstRoutes)))
	defer patience.Stop()
	select {
	case <-g.routesKnown:
	case <-patience.C:
	case <-g.stopBegun:
	case <-ctx.Done():
	}
	return g.Routes()
}

// Pool implements relay.Knowledge.
func (g *Gateway) Pool(service ident.ServiceName) *balance.Pool {
	return (*g.pools.Load())[service]
}

// Miss implements relay.Knowledge.
func (g *Gateway) Miss() {
	select {
	case g.missed <- struct{}{}:
	default:
	}
}

// serveReady answers whether the host takes clients: it knows a configuration and
// the servers, and does not stop.
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
	if r.URL.Path != "/metrics" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.options.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
