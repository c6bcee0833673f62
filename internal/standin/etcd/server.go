// Package etcd is an in-memory stand-in for the platform's key-value service. It
// serves the part of the etcd v3 gRPC protocol that internal/wire/etcdserverpb
// declares, enforces the platform's quotas, and simulates faults that can be
// changed while it runs.
//
// Server is the service; its gRPC handlers, kvService, leaseService and
// watchService, share one state, which Server's mutex guards. Each watch stream
// has a goroutine that sends and one that receives. A goroutine sweeps expired
// leases.
//
// # Usage
//
//	server := etcd.New(etcd.Options{})
//	address, err := server.Start("127.0.0.1:0")
//	defer server.Stop()
//	server.SetFaults(etcd.Faults{
//		LoseAnswers: 1,
//	})
//	http.Serve(admin, server.AdminHandler())
//
// # Quotas
//
// Every call costs one token of a bucket that holds one second's worth. Txn, Put,
// DeleteRange, LeaseGrant, LeaseRevoke and each LeaseKeepAlive message are charged
// to the write quota; Range, a read-only Txn, each watch that is created and each
// progress request to the read quota. A waiting watch costs one read for each
// whole second that it waits. These seconds are charged at the next call or sweep
// and may put the bucket into debt, so that many watches starve the reads; the
// watch itself is never refused for them. A call over the quota fails with
// RESOURCE_EXHAUSTED and is not executed. A progress request over the quota is not
// answered, since a stream has no other way to refuse one message.
//
// # Limitations
//
// Only current values are kept: a Range at an older revision is refused as
// compacted. The bounded event history serves watches only. Range sorts by key in
// ascending order only, and watches do not send previous values.
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

// Defaults of Options.
const (
	DefaultWritesPerSecond               = 300
	DefaultReadsPerSecond                = 2000
	DefaultHistoryEvents                 = 10000
	DefaultValueLimit         unit.Bytes = 1_000_000
	DefaultProgressNotifyTime            = 10 * time.Minute // as in etcd
)

const (
	// leaseSweepInterval is how often expired leases are revoked when no calls
	// arrive.
	leaseSweepInterval = 10 * time.Millisecond
	// minPingInterval is the shortest interval allowed between a client's pings,
	// as in etcd.
	minPingInterval = 5 * time.Second
)

// Options configures a Server. Zero values take the defaults.
type Options struct {
	// Now is the clock of leases and quotas; nil means time.Now.
	Now             func() time.Time
	WritesPerSecond int
	ReadsPerSecond  int
	// HistoryEvents is the number of events kept for watches.
	HistoryEvents int
	ValueLimit    unit.Bytes
	// ProgressNotifyTime is the interval of unrequested progress notifications,
	// which tell idle watches the current revision.
	ProgressNotifyTime time.Duration
	// Seed seeds the random delays of the MaxDelay fault.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.HistoryEvents = cmp.Or(o.HistoryEvents, DefaultHistoryEvents)
	o.ValueLimit = cmp.Or(o.ValueLimit, DefaultValueLimit)
	o.ProgressNotifyTime = cmp.Or(o.ProgressNotifyTime, DefaultProgressNotifyTime)
	return o
}

// Server is the key-value service. Create it with New.
type Server struct {
	options Options

	mu           sync.Mutex
	state        *state
	quotas       *quotas
	activeFaults Faults
	random       *rand.Rand
	counters     counters
	chargedUntil map[*watch]time.Time // time up to which each open watch is charged
	changed      chan struct{}        // closed and replaced at each change of state or faults
	instance     *instance
}

// instance holds what exists from a Start to the next Stop.
type instance struct {
	tomb tomb.Tomb
	grpc *grpc.Server
}

// New returns a server that is not started yet.
func New(options Options) *Server {
	options = options.withDefaults()
	return &Server{
		options:      options,
		state:        newState(options.HistoryEvents, options.ValueLimit),
		quotas:       newQuotas(options),
		random:       rand.New(rand.NewPCG(options.Seed, 0)),
		chargedUntil: map[*watch]time.Time{},
		changed:      make(chan struct{}),
	}
}

// Start listens at an address such as "127.0.0.1:0" and returns the actual
// address.
func (s *Server) Start(listen string) (net.Addr, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != nil {
		return nil, errors.New("key-value stand-in: already started")
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "key-value stand-in")
	}
	started := &instance{
		grpc: s.newGRPC(),
	}
	started.tomb.Go(func() error { return serve(started.grpc, listener) })
	started.tomb.Go(func() error { return s.sweep(started.tomb.Dying()) })
	s.instance = started
	return listener.Addr(), nil
}

// Stop closes all connections and waits for running handlers. The contents are
// kept.
func (s *Server) Stop() error {
	s.mu.Lock()
	stopped := s.instance
	s.instance = nil
	s.mu.Unlock()
	if stopped == nil {
		return nil
	}
	stopped.tomb.Kill(nil)
	stopped.grpc.Stop()
	return stopped.tomb.Wait()
}

// serve returns no error if Stop was called, even before Serve began.
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
			MinTime: minPingInterval,
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

// sweep revokes expired leases and charges waiting watches when no calls arrive.
func (s *Server) sweep(dying <-chan struct{}) error {
	ticker := time.NewTicker(leaseSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-dying:
			return nil
		case <-ticker.C:
			s.mu.Lock()
			s.applyElapsedTime()
			s.mu.Unlock()
		}
	}
}

// applyElapsedTime charges waiting watches and revokes expired leases. The caller
// holds the lock.
func (s *Server) applyElapsedTime() {
	now := s.options.Now()
	s.chargeWatches(now)
	if s.state.expireLeases(now) {
		s.notifyWatches()
	}
}

// notifyWatches makes all watch streams check the state again. The caller holds
// the lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// dying returns a channel that is closed when the server stops.
func (s *Server) dying() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return s.instance.tomb.Dying()
}
