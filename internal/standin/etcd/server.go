// Package etcd is an in-memory stand-in of the platform's key-value service. It
// serves the part of the published etcd v3 gRPC protocol that
// internal/wire/etcdserverpb declares, with the quotas of the platform and with
// faults that can be switched on while it runs.
//
// # Usage
//
//	server := etcd.New(etcd.Options{})
//	address, err := server.Start("127.0.0.1:0")
//	defer server.Stop()
//	server.SetFaults(etcd.Faults{
//		LoseAnswers: 1,
//	})
//	http.Serve(admin, server.FaultsHandler())
//
// # Quotas
//
// Every call costs one token of a bucket that holds one second's worth. Txn,
// Put, DeleteRange, LeaseGrant, LeaseRevoke and each LeaseKeepAlive message draw
// on the writes; Range, a Txn that only reads, each watch that is created and
// each progress request draw on the reads. A waiting watch draws one read for
// each whole second that it waits. These seconds are charged when the next call
// or the sweep comes and may put the bucket into debt, so that many watches
// starve the reads; the watch itself is never refused for them. A call over the
// quota gets RESOURCE_EXHAUSTED and isn't executed. A progress request over the
// quota goes unanswered, since a stream has no other way to refuse one message.
//
// # What it leaves out
//
// Only current values are kept: a Range at an older revision is refused as
// compacted. The bounded event history serves watches alone. Range sorts by key
// ascending and in no other way, and watches don't send previous values.
//
// Start after Stop serves the same contents again, as after a restart of the
// service's processes.
package etcd

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cicadaloom/internal/domain/unit"
	pb "cicadaloom/internal/wire/etcdserverpb"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"gopkg.in/tomb.v2"
)

// Values of Options that are zero.
const (
	DefaultWritesPerSecond               = 300
	DefaultReadsPerSecond                = 2000
	DefaultHistory                       = 10000
	DefaultValueLimit         unit.Bytes = 1_000_000
	DefaultProgressNotifyTime            = 10 * time.Minute // that of etcd
)

const (
	// sweepInterval is how often leases are looked at without a call.
	sweepInterval = 10 * time.Millisecond
	// pingLimit is the shortest time between a client's pings, as in etcd.
	pingLimit = 5 * time.Second
)

// Options says how a Server behaves. The zero value works.
type Options struct {
	// Now is the clock of leases and quotas; zero is time.Now.
	Now             func() time.Time
	WritesPerSecond int
	ReadsPerSecond  int
	// History is how many events are kept for watches.
	History    int
	ValueLimit unit.Bytes
	// ProgressNotifyTime is how long a quiet watch waits until it is told the
	// revision unasked.
	ProgressNotifyTime time.Duration
	// Seed drives the random delays of the faults.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.History = cmp.Or(o.History, DefaultHistory)
	o.ValueLimit = cmp.Or(o.ValueLimit, DefaultValueLimit)
	o.ProgressNotifyTime = cmp.Or(o.ProgressNotifyTime, DefaultProgressNotifyTime)
	return o
}

// Server is the stand-in. Make one with New.
type Server struct {
	options Options

	mu      sync.Mutex
	state   *state
	quotas  *quotas
	faults  Faults
	random  *rand.Rand
	stats   counts
	waiting map[*watch]time.Time // up to when a watch's waiting is charged
	changed chan struct{}        // closed and replaced at each change
	running *running
}

// running is one life of the server between Start and Stop.
type running struct {
	tomb tomb.Tomb
	grpc *grpc.Server
}

// New returns a server that isn't started yet.
func New(options Options) *Server {
	options = options.withDefaults()
	return &Server{
		options: options,
		state:   newState(options.History, options.ValueLimit),
		quotas:  newQuotas(options),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		waiting: map[*watch]time.Time{},
		changed: make(chan struct{}),
	}
}

// Start listens at an address like "127.0.0.1:0" and returns the one it got.
func (s *Server) Start(listen string) (net.Addr, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		return nil, errors.New("key-value stand-in: already started")
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "key-value stand-in")
	}
	life := &running{
		grpc: s.newGRPC(),
	}
	life.tomb.Go(func() error { return serve(life.grpc, listener) })
	life.tomb.Go(func() error { return s.sweep(life.tomb.Dying()) })
	s.running = life
	return listener.Addr(), nil
}

// Stop cuts all connections and waits for what runs. The contents stay.
func (s *Server) Stop() error {
	s.mu.Lock()
	life := s.running
	s.running = nil
	s.mu.Unlock()
	if life == nil {
		return nil
	}
	life.tomb.Kill(nil)
	life.grpc.Stop()
	return life.tomb.Wait()
}

// serve takes a Stop that came before it for the usual end that it is.
func serve(server *grpc.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

func (s *Server) newGRPC() *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(math.MaxInt32),
		grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: pingLimit,
		}),
	)
	pb.RegisterKVServer(server, kvService{
		server: s,
	})
	pb.RegisterLeaseServer(server, leaseService{
		server: s,
	})
	pb.RegisterWatchServer(server, watchService{
		server: s,
	})
	return server
}

// sweep lets leases lapse and charges waiting watches while no calls come.
func (s *Server) sweep(dying <-chan struct{}) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-dying:
			return nil
		case <-ticker.C:
			s.mu.Lock()
			s.catchUp()
			s.mu.Unlock()
		}
	}
}

// catchUp does what time alone brings. The caller holds the lock.
func (s *Server) catchUp() {
	now := s.options.Now()
	s.chargeWaiting(now)
	if s.state.lapse(now) {
		s.wake()
	}
}

// wake tells all watch streams to look again. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) signal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// dying ends waits when the server stops.
func (s *Server) dying() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return s.running.tomb.Dying()
}
