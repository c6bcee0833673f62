// Package loop runs the control side of an entry host: one goroutine owns all
// state machines, and worker goroutines make the calls to other processes.
//
// The control goroutine receives typed messages from one channel, steps the
// machines and starts a worker for each command that they return. A worker makes
// its call and sends the answer back as another message. Goroutines that serve
// requests wait for the control goroutine only for claims. Otherwise they read the
// snapshots that it publishes, and send messages that are dropped when its inbox
// is full. The methods of Loop may be called from any goroutine.
//
// Package host creates a Loop. Package dispatch sends it claims and the outcomes
// of requests, entryhost passes it the calls of other entry hosts, and operator
// the requests of administrators.
//
// # Usage
//
//	control := loop.New(loop.Options{
//		Settings: settings,
//		KeyValue: client,
//		Log:      log,
//		Metrics:  set,
//	})
//	control.Start(peerAddress)
//	defer control.Stop()
//	table := control.Table()
//
// # Files
//
// One file for each concern: documents, claims, placement (plan, orders and the
// leader's lease), leader (the hint on who leads), demand, servers (the platform's
// host list, polls and crash checks), watch (which host polls which server, and how
// reports spread), limits (permits for limited servers), peers (exchanges between entry hosts), traffic (outcomes of
// requests), operators (status and edits), decisions and gather (questions to all
// hosts), metrics, start (creation, planned stop and end).
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/heldbytes"
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
	"cicadaloom/internal/peer/permitpeer"
	"cicadaloom/internal/peer/plain"
	"cicadaloom/internal/traffic/limiter"
)

// KeyValue is the platform's key-value service.
type KeyValue interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
	Swap(ctx context.Context, swap store.Swap) (store.SwapResult, error)
	Watch(ctx context.Context, prefix string, after ident.Revision, deliver func(store.Batch) error) error
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	RenewLease(ctx context.Context, lease store.LeaseID) (bool, error)
	RevokeLease(ctx context.Context, lease store.LeaseID) error
}

// Options configure a Loop.
type Options struct {
	Settings settings.Settings
	KeyValue KeyValue
	// Fleet returns the fleet of this host, which calls to peers carry; nil sends none.
	Fleet   grpcpeer.FleetFunc
	Log     *zap.Logger
	Metrics *metrics.Set
	// Decisions records moves, so that operators can ask for them; nil records none.
	Decisions *decisions.Log
	// HeldBytes bounds the reports that are being read; nil for no bound.
	HeldBytes *heldbytes.Budget
}

// Limits of the loop.
const (
	inboxSize = 4096
	// idleTick is how often the machines are stepped when nothing else happens.
	idleTick = 250 * time.Millisecond
	minSleep = time.Millisecond
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
	limiter *limiter.Limiter

	// pressures keeps the signals of servers' answers.
	pressures backpressure.Table
	// isInTouch is whether this host sees most of the hosts that it knows.
	isInTouch atomic.Bool
	table     atomic.Pointer[routing.Table]
	suspects  atomic.Pointer[suspects.View]
	inForce   atomic.Pointer[documents.Snapshot]
	dropped   atomic.Int64
	stopping  atomic.Bool
}

// message is handled by the control goroutine.
type message interface {
	apply(now time.Time, c *control)
}

// control is the state that only the control goroutine accesses.
type control struct {
	*Loop
	documents      *documents.Machine
	claims         *claims.Machine
	orders         *orders.Machine
	routing        routing.Machine
	membership     membership.Machine
	suspectMachine suspects.Machine
	burn           burn.Machine
	reports        reports.Machine

	// With pollsEveryServer this host polls each listed server; otherwise it polls
	// those in watched.
	pollsEveryServer bool
	watched          map[ident.ServerName]bool
	// polledReports has the complete reports of engines that this host polled,
	// wantedPolls the engines to poll for the placement.
	polledReports map[ident.ServerName]polledReport
	wantedPolls   map[ident.ServerName]bool
	liveHosts     []ident.HostID
	startedAt     time.Time
	// hasDuties reports whether this host has taken its share of the duties,
	// watchesDocuments whether watching the documents is one of them.
	hasDuties        bool
	watchesDocuments bool
	// leavingOffset is where leavingToSend goes on among the leaving servers.
	leavingOffset int

	servers map[ident.ServerName]backend.Server
	// polling has the servers with a poll in flight.
	polling map[ident.ServerName]bool
	// exchanging has the peers with an exchange in flight; true if another has to
	// follow at once.
	exchanging map[ident.HostID]bool
	peerStates map[ident.HostID]*peerState
	// epoch identifies this incarnation of the host to its peers.
	epoch uint64
	// The waiters get an answer each when the machine decides.
	claimWaiters   map[waiterKey]chan claims.Answer
	updateWaiters  map[waiterKey]chan bool
	editWaiters    map[ident.EditID][]chan documents.EditResult
	memoryByServer memoryByServer
	firstListedAt  map[ident.ServerName]time.Time
	cancelWatch    context.CancelFunc
	demand         demand.Machine
	nextDemandAt   time.Time
	// requestCounts has the requests of this host's callers since the last tickDemand.
	requestCounts       map[ident.ModelName]int64
	nextListAt          time.Time
	listLength          int
	nextPollAt          time.Time
	nextExchangeAt      time.Time
	nextPlanAt          time.Time
	nextDocumentsTickAt time.Time
	// plannedRevision is the revision of the documents that the plan uses.
	plannedRevision ident.Revision
	tableOutdated   bool
	// nextPublishAt is the earliest time for the next table.
	nextPublishAt time.Time
	gauges        gauges
}

// New returns a Loop that Start sets going.
func New(options Options) *Loop {
	l := &Loop{
		options: options,
		log:     options.Log,
		inbox:   make(chan message, inboxSize),
		list: hostlist.Client{
			Address: hostPort(options.Settings.Platform.HostList),
		},
	}
	l.pool.Fleet = options.Fleet
	l.limiter = limiter.New(limiter.Options{
		Own: options.Settings.Host.Name,
		Peers: permitpeer.Client{
			Pool: &l.pool.Pool,
		},
		IsInTouch: l.isInTouch.Load,
		Log:       options.Log,
	})
	l.pool.Meter = newMeter(options.Metrics, "hosts")
	l.engines.UseMeter(newMeter(options.Metrics, "servers"))
	l.plains.UseMeter(newMeter(options.Metrics, "servers"))
	l.engines.UseHeldBytes(options.HeldBytes)
	l.plains.UseHeldBytes(options.HeldBytes)
	l.list.UseMeter(newMeter(options.Metrics, "list"))
	return l
}

// Start starts the control goroutine. peerAddress is where this host listens for
// its peers, as they dial it.
func (l *Loop) Start(peerAddress string) {
	c := l.newControl(peerAddress)
	l.tomb.Go(c.run)
}

// Table returns the newest routing table, nil before the documents are known.
func (l *Loop) Table() *routing.Table {
	return l.table.Load()
}

// Suspects returns the newest verdicts on suspect requests.
func (l *Loop) Suspects() *suspects.View {
	return l.suspects.Load()
}

// run is the control goroutine.
func (c *control) run() error {
	c.stepDocuments(time.Now(), documents.Started{
		ShouldWatch: false, // updateDocumentsWatch starts the watch once the other hosts are known
	})
	timer := time.NewTimer(minSleep)
	defer timer.Stop()
	for {
		var wokenAt time.Time
		select {
		case <-c.tomb.Dying():
			c.stopWatch()
			return nil
		case message := <-c.inbox:
			wokenAt = time.Now()
			c.handle(message)
			c.drainInbox()
		case wokenAt = <-timer.C:
		}
		now := time.Now()
		c.tick(now)
		c.publish(time.Now())
		c.gauges.busySeconds.Add(time.Since(wokenAt).Seconds())
		timer.Reset(c.sleepTime(now))
	}
}

func (c *control) handle(m message) {
	c.gauges.messages.Inc()
	m.apply(time.Now(), c)
}

// drainInbox handles the other messages in the inbox, so that a burst of reports
// costs one table.
func (c *control) drainInbox() {
	for range inboxSize {
		select {
		case message := <-c.inbox:
			c.handle(message)
		default:
			return
		}
	}
}

// publish makes a new table when something in it has changed.
func (c *control) publish(now time.Time) {
	if !c.tableOutdated || now.Before(c.nextPublishAt) {
		return
	}
	c.tableOutdated = false
	if c.documents.Revision() > 0 || c.documents.Snapshot().Revision > 0 {
		c.table.Store(c.routing.Table())
	}
	c.nextPublishAt = nextPublishTime(now, time.Since(now))
}

// Making tables may take one part in tableCPUDivisor of a core's time. A change
// waits at most maxTableDelay for the next table.
const (
	tableCPUDivisor = 100
	maxTableDelay   = 500 * time.Millisecond
)

// nextPublishTime returns the earliest time for the next table. A table of the
// largest fleet takes some milliseconds: made for each message, tables would use
// up the processor.
func nextPublishTime(now time.Time, cost time.Duration) time.Time {
	return now.Add(min(cost*tableCPUDivisor, maxTableDelay))
}

// tick does the periodic work that is due.
func (c *control) tick(now time.Time) {
	c.tickDocuments(now)
	c.tickClaims(now)
	c.tickPlacement(now)
	c.tickServers(now)
	c.tickPeers(now)
}

// sleepTime returns the time until the next periodic work is due.
func (c *control) sleepTime(now time.Time) time.Duration {
	sleep := idleTick
	for _, due := range []time.Time{c.claims.NextTick(), c.orders.NextTick(), c.nextDocumentsTickAt, c.nextListAt, c.nextPollAt, c.nextExchangeAt, c.nextPlanAt} {
		if !due.IsZero() {
			sleep = min(sleep, due.Sub(now))
		}
	}
	if c.tableOutdated {
		sleep = min(sleep, c.nextPublishAt.Sub(now))
	}
	return max(sleep, minSleep)
}

// send sends a message to the control goroutine. It returns false if the loop is stopping.
func (l *Loop) send(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.tomb.Dying():
		return false
	}
}

// trySend sends a message, or drops it when the inbox is full.
func (l *Loop) trySend(m message) {
	select {
	case l.inbox <- m:
	default:
		l.dropped.Add(1)
	}
}

// startWorker runs a job in a goroutine of its own. Its context ends with the loop.
func (l *Loop) startWorker(timeout time.Duration, job func(ctx context.Context)) {
	l.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), timeout)
		defer cancel()
		job(ctx)
		return nil
	})
}

// callTimeout is the timeout of one call to the platform or to a peer.
func (l *Loop) callTimeout() time.Duration {
	return l.options.Settings.Control.CallTimeout
}
