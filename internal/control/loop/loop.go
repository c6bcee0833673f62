// Package loop runs the control side of an entry host: one goroutine that owns
// every state machine, and workers that talk to the outside for it.
//
// The control goroutine takes typed messages from one channel, steps the
// machines and starts a worker for each command that they give. A worker makes
// its call and sends the answer back as the next message. Traffic goroutines
// never wait for the control goroutine, but for claims: they read the snapshots
// that it publishes and send messages that can be dropped when it is behind.
//
// # Usage
//
//	control := loop.New(loop.Options{
//		Settings: settings,
//		KeyValue: client,
//		Log:      log,
//	})
//	control.Start(peerAddress)
//	defer control.Stop(ctx)
//	table := control.Table()
//
// # Files
//
// One file for each concern: documents, claims, placement, servers (the
// platform's list and the reports), peers (exchanges between entry hosts),
// traffic (what requests tell), operators (what the administration asks).
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/engine"
	"cicadaloom/internal/peer/entryhost"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/peer/hostlist"
	"cicadaloom/internal/peer/plain"
)

// KeyValue is the platform's key-value service.
type KeyValue interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
	Swap(ctx context.Context, swap store.Swap) (store.SwapResult, error)
	Watch(ctx context.Context, prefix string, after ident.Revision, deliver func(store.Batch) error) error
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepLease(ctx context.Context, lease store.LeaseID) (bool, error)
	RevokeLease(ctx context.Context, lease store.LeaseID) error
}

// Options are what a loop is made of.
type Options struct {
	Settings settings.Settings
	KeyValue KeyValue
	// Fleet gives the fleet of this host, which its calls to peers name; nil names none.
	Fleet   grpcpeer.Fleet
	Log     *zap.Logger
	Metrics *metrics.Set
	// Decisions is where moves are kept for those who ask; nil keeps none.
	Decisions *decisions.Log
}

// Bounds of the loop.
const (
	inboxSize = 4096
	// idleTick is how often the machines see the time when nothing happens.
	idleTick = 250 * time.Millisecond
	leastNap = time.Millisecond
)

// Loop is the control side of one entry host.
type Loop struct {
	options Options
	log     *zap.Logger
	inbox   chan message
	tomb    tomb.Tomb
	pool    entryhost.Pool
	engines engine.Client
	plains  plain.Client
	list    hostlist.Client

	table    atomic.Pointer[routing.Table]
	suspects atomic.Pointer[suspects.View]
	inForce  atomic.Pointer[documents.Snapshot]
	dropped  atomic.Int64
	stopping atomic.Bool
}

// message is something that the control goroutine takes in.
type message interface {
	apply(now time.Time, c *control)
}

// control is the state that only the control goroutine touches.
type control struct {
	*Loop
	documents  *documents.Machine
	claims     *claims.Machine
	orders     *orders.Machine
	routing    routing.Machine
	membership membership.Machine
	suspected  suspects.Machine
	burn       burn.Machine
	reports    reports.Machine

	// direct tells that this host asks every server, watched has those that it
	// asks otherwise.
	direct  bool
	watched map[ident.ServerName]bool
	// wholes has the engines' own reports, wanted those to ask for.
	wholes    map[ident.ServerName]whole
	wanted    map[ident.ServerName]bool
	live      []ident.HostID
	startedAt time.Time
	// acquaintedYet tells that this host has its duties, watches that watching
	// the documents is one.
	acquaintedYet bool
	watches       bool
	leavingTold   int

	servers map[ident.ServerName]backend.Server
	polling map[ident.ServerName]bool
	// exchanging has the peers with which an exchange is under way, and whether
	// another has to follow it at once.
	exchanging map[ident.HostID]bool
	acquainted map[ident.HostID]*acquaintance
	// epoch names this life of the host to its peers.
	epoch       uint64
	claimers    map[waiter]chan claims.Answer
	noters      map[waiter]chan bool
	edits       map[ident.EditID][]chan documents.EditResult
	memories    memories
	listedAt    map[ident.ServerName]time.Time
	watch       context.CancelFunc
	demand      demand.Machine
	demandAt    time.Time
	askedFor    map[ident.ModelName]int64
	listAt      time.Time
	listLength  int
	pollAt      time.Time
	exchangeAt  time.Time
	planAt      time.Time
	documentsAt time.Time
	// planned is the revision of the documents that the plan has.
	planned ident.Revision
	dirty   bool
	// publishAt is when the next table may be made.
	publishAt time.Time
	gauges    gauges
}

// New makes a loop that Start sets going.
func New(options Options) *Loop {
	l := &Loop{
		options: options,
		log:     options.Log,
		inbox:   make(chan message, inboxSize),
		list: hostlist.Client{
			Address: hostOf(options.Settings.Platform.HostList),
		},
	}
	l.pool.Fleet = options.Fleet
	l.pool.Meter = newMeter(options.Metrics, "hosts")
	l.engines.Count(newMeter(options.Metrics, "servers"))
	l.plains.Count(newMeter(options.Metrics, "servers"))
	l.list.Count(newMeter(options.Metrics, "list"))
	return l
}

// Start starts the control goroutine. peerAddress is where this host listens
// for its peers, as they should dial it.
func (l *Loop) Start(peerAddress string) {
	c := l.newControl(peerAddress)
	l.tomb.Go(c.run)
}

// Table gives the newest table, nil before the documents are known.
func (l *Loop) Table() *routing.Table {
	return l.table.Load()
}

// Suspects gives the newest verdicts.
func (l *Loop) Suspects() *suspects.View {
	return l.suspects.Load()
}

// run is the control goroutine.
func (c *control) run() error {
	c.stepDocuments(time.Now(), documents.Started{
		Watch: false, // it takes up the duty when it knows the other hosts
	})
	timer := time.NewTimer(leastNap)
	defer timer.Stop()
	for {
		var woken time.Time
		select {
		case <-c.tomb.Dying():
			c.stopWatch()
			return nil
		case message := <-c.inbox:
			woken = time.Now()
			c.take(message)
			c.drain()
		case woken = <-timer.C:
		}
		now := time.Now()
		c.tick(now)
		c.publish(time.Now())
		c.gauges.busy.Add(time.Since(woken).Seconds())
		timer.Reset(c.nap(now))
	}
}

func (c *control) take(m message) {
	c.gauges.messages.Inc()
	m.apply(time.Now(), c)
}

// drain takes in what else has come, so that a burst of reports costs one table.
func (c *control) drain() {
	for range inboxSize {
		select {
		case message := <-c.inbox:
			c.take(message)
		default:
			return
		}
	}
}

// publish makes a new table where something has changed that tables show.
func (c *control) publish(now time.Time) {
	if !c.dirty || now.Before(c.publishAt) {
		return
	}
	c.dirty = false
	if c.documents.Revision() > 0 || c.documents.Snapshot().Revision > 0 {
		c.table.Store(c.routing.Table())
	}
	c.publishAt = publishAfter(now, time.Since(now))
}

// tablesShare is the part of a core's time that making tables may take, one in so
// many, and tableWait the longest that news waits for the next one.
const (
	tablesShare = 100
	tableWait   = 500 * time.Millisecond
)

// publishAfter is when the next table may be made. A table of the largest fleet
// takes some milliseconds: made for each message, tables would take the processor.
func publishAfter(now time.Time, cost time.Duration) time.Time {
	return now.Add(min(cost*tablesShare, tableWait))
}

// tick does what is due.
func (c *control) tick(now time.Time) {
	c.tickDocuments(now)
	c.tickClaims(now)
	c.tickPlacement(now)
	c.tickServers(now)
	c.tickPeers(now)
}

// nap gives how long nothing is due.
func (c *control) nap(now time.Time) time.Duration {
	nap := idleTick
	for _, due := range []time.Time{c.claims.NextTick(), c.orders.NextTick(), c.documentsAt, c.listAt, c.pollAt, c.exchangeAt, c.planAt} {
		if !due.IsZero() {
			nap = min(nap, due.Sub(now))
		}
	}
	if c.dirty {
		nap = min(nap, c.publishAt.Sub(now))
	}
	return max(nap, leastNap)
}

// send gives a message to the control goroutine, unless the loop is ending.
func (l *Loop) send(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.tomb.Dying():
		return false
	}
}

// tell gives a message that may be dropped when the control goroutine is behind.
func (l *Loop) tell(m message) {
	select {
	case l.inbox <- m:
	default:
		l.dropped.Add(1)
	}
}

// work starts a worker. Its context ends with the loop.
func (l *Loop) work(timeout time.Duration, job func(ctx context.Context)) {
	l.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), timeout)
		defer cancel()
		job(ctx)
		return nil
	})
}

// callTimeout bounds one call to the platform or to a peer.
func (l *Loop) callTimeout() time.Duration {
	return l.options.Settings.Control.CallTimeout
}
