package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	settings "cicadaloom/internal/config/gateway"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

const (
	hardOldVersion route.Version = 11
	hardNewVersion route.Version = 12
	// hardMemory is the memory of a host: a quarter of it may be held.
	hardMemory = 32 * unit.Mebibyte
	// hardGrace lets a host drain, and end what clients are still reading.
	hardGrace = 8 * time.Second
	// hardTimeout is longer than this process may stand still beside others on its machine.
	hardTimeout = 3 * time.Second
	// unlistTime is when the platform has found twice that a stopping host is not ready, and
	// sends it no more clients.
	unlistTime = 2 * time.Second
	// calmRounds is how many whole rounds of requests must be answered once all is calm.
	calmRounds = 2
)

// hardProcess is one process of a host. Its fields belong to the soak's mutex where nothing else
// is said.
type hardProcess struct {
	name      string
	callers   string
	gateway   *Gateway
	startedAt time.Time
	endedAt   time.Time
	isKilled  atomic.Bool
	// version is the configuration in force, appliedAt when the new one was first seen.
	version   route.Version
	appliedAt time.Time
	// cuts are requests that were cut by a process which was not killed. It belongs to the tally.
	cuts []string
}

// hardSoak is a fleet under hard load and disturbances.
type hardSoak struct {
	*fleet
	random *rand.Rand
	names  []string
	near   []*pacedServer
	far    []*pacedServer
	models []*pacedServer
	runs   *runCounter
	tally  hardTally
	// faults has the goroutines that end a disturbance.
	faults tomb.Tomb
	// ended are the hosts to be started again.
	ended chan string
	// isMoved is set once the new configuration is in force on all hosts.
	isMoved atomic.Bool

	mu sync.Mutex
	// all are all processes, running those that have not ended, listed those that clients use.
	all       []*hardProcess
	running   map[string]*hardProcess
	listed    []*hardProcess
	writtenAt time.Time
	// outageFrom and outageUntil are of the key-value service for all hosts.
	outageFrom, outageUntil time.Time
	reverted                []string
}

// hardConfiguration has plain routes for all, and one for prompts of four accounts with equal shares.
func hardConfiguration(version route.Version, moved ident.ServiceName) route.Configuration {
	c := engineConfiguration()
	c.Version = version
	plain := c.Routes[0]
	plain.Anonymous = true
	plain.Timeout = hardTimeout
	c.Routes = nil
	for prefix, kind := range map[string]route.Kind{
		"/x/":        route.Safe,
		longPrefix:   route.Safe,
		movedPrefix:  route.Safe,
		oncePrefix:   route.Unsafe,
		chatPrefix:   route.Stream,
		promptPrefix: route.Unsafe,
	} {
		added := plain
		added.Name, added.Prefix, added.Kind = prefix, prefix, kind
		added.Targets = slices.Clone(plain.Targets)
		added.Targets[0].Service = "old"
		switch prefix {
		case movedPrefix:
			added.Targets[0].Service = moved
		case promptPrefix:
			added.Targets[0].Service = "models"
			added.Anonymous = false
			added.Objective = 300 * time.Millisecond
		}
		c.Routes = append(c.Routes, added)
	}
	engines := c.Services["models"]
	engines.Engine.Slots = pacedSlots
	engines.Engine.Models = engines.Engine.Models[:1]
	c.Services["models"] = engines
	for _, name := range []string{"hot", "one", "two", "three"} {
		digest, _ := account.Digest(name)
		c.Accounts = append(c.Accounts, account.Account{
			Name: ident.AccountName(name),
			Keys: []account.KeyDigest{digest},
			Limit: account.Limit{
				Unit:  account.Requests,
				Rate:  10_000,
				Burst: 10_000,
			},
		})
	}
	return c
}

// Guards against broken promises while all that hard load brings overlaps: servers whose pace
// changes many times a second, a hot account, a data centre that loses its servers, answers without
// end, clients that read slowly, hosts that stop and are killed, an absent key-value service, and a
// new configuration.
func TestSoakOfHardLoad(t *testing.T) {
	playSoak(t, soakHardLoad)
}

func soakHardLoad(t *testing.T, seed uint64) {
	s := startHardSoak(t, seed)
	var monitor, clients tomb.Tomb
	t.Cleanup(func() { monitor.Kill(nil); clients.Kill(nil) }) // also if the test fails
	monitor.Go(func() error { return s.watch(&monitor) })
	for k, kind := range hardKinds() {
		for n := range kind.clients {
			client := s.newClient(kind, "c"+strconv.Itoa(k)+"-"+strconv.Itoa(n), rand.New(rand.NewPCG(seed, uint64(100*k+n+1))))
			clients.Go(func() error { return client.run(&clients) })
		}
	}
	for _, disturb := range s.script() {
		disturb()
		s.restartEnded()
		time.Sleep(time.Duration(200+s.random.IntN(400)) * time.Millisecond)
	}
	s.faults.Kill(nil)
	require.NoError(t, s.faults.Wait())
	s.restartEnded()
	s.eventually(s.isMoved.Load, "the new configuration is in force everywhere")
	clients.Kill(nil)
	require.NoError(t, clients.Wait())
	s.requireAllServed()
	s.requireCalm(seed)
	monitor.Kill(nil)
	require.NoError(t, monitor.Wait())
	s.requireHeld()
}

func startHardSoak(t *testing.T, seed uint64) *hardSoak {
	s := &hardSoak{
		fleet:  newFleet(t),
		random: rand.New(rand.NewPCG(seed, 0)),
		names:  []string{"a", "b", "c", "d", "e"},
		runs: &runCounter{
			runs: make(map[string]int),
		},
		tally: hardTally{
			served:   make(map[string]int),
			statuses: make(map[int]int),
		},
		ended:   make(chan string, 16),
		running: make(map[string]*hardProcess),
	}
	s.faults.Go(func() error { // keeps the tomb alive
		<-s.faults.Dying()
		return nil
	})
	s.unfenced = true
	s.adjust = func(host string, loaded *settings.Settings) {
		loaded.Memory = hardMemory
		loaded.Bounds.Grace = hardGrace
		loaded.Locality.Spill = settings.SpillOn
		if host > "c" {
			loaded.Host.DataCentre = "north-2"
		}
	}
	s.keyValue.write("configuration", hardConfiguration(hardOldVersion, "old"))
	for n := range 3 {
		s.near = append(s.near, s.addServer("old", "near-"+strconv.Itoa(n), "north-1", 40*time.Millisecond))
		s.far = append(s.far, s.addServer("old", "far-"+strconv.Itoa(n), "north-2", 40*time.Millisecond))
		s.models = append(s.models, s.addServer("models", "engine-"+strconv.Itoa(n), "north-1", 60*time.Millisecond))
	}
	s.addServer("new", "new-0", "north-1", 40*time.Millisecond)
	s.addServer("new", "new-1", "north-2", 40*time.Millisecond)
	for _, name := range s.names {
		s.startProcess(name)
	}
	kind := hardKinds()[len(hardKinds())-1]
	client := s.newClient(kind, "first", s.random)
	for _, name := range s.names {
		s.eventually(func() bool {
			return s.isReady(name) && s.hosts[name].knownHostCount.Load() == int64(len(s.names)) && client.send(s.running[name], string(ident.NewRequestID())) == nil
		}, name)
	}
	return s
}

func (s *hardSoak) addServer(service, name string, centre ident.DataCentre, work time.Duration) *pacedServer {
	added := &pacedServer{
		fleet: s.fleet,
		name:  name,
		entry: entry{
			Service:    service,
			DataCentre: centre,
		},
		seed: s.random.Uint64(),
		work: work,
		runs: s.runs,
	}
	added.serve()
	return added
}

// startProcess starts a host, with the others as seeds, and lists it for clients.
func (s *hardSoak) startProcess(name string) {
	var seeds []string
	for _, other := range s.names {
		if address := s.listen[other].Peers; other != name && address != "" {
			seeds = append(seeds, address)
		}
	}
	startedAt := time.Now()
	s.start(name, seeds...)
	process := &hardProcess{
		name:      name,
		callers:   s.listen[name].Callers,
		gateway:   s.hosts[name],
		startedAt: startedAt,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, process)
	s.running[name] = process
	s.listed = append(s.listed, process)
}

func (s *hardSoak) restartEnded() {
	for {
		select {
		case name := <-s.ended:
			s.startProcess(name)
		default:
			return
		}
	}
}

// pick returns one of the processes that clients use, nil if there is none.
func (s *hardSoak) pick(random *rand.Rand) *hardProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.listed) == 0 {
		return nil
	}
	return s.listed[random.IntN(len(s.listed))]
}

func (s *hardSoak) unlist(process *hardProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = slices.DeleteFunc(s.listed, func(p *hardProcess) bool { return p == process })
}

func (s *hardSoak) recordEnd(process *hardProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process.endedAt = time.Now()
	delete(s.running, process.name)
}

// watch follows which configuration is in force on each host.
func (s *hardSoak) watch(monitor *tomb.Tomb) error {
	for monitor.Alive() {
		s.lookAtVersions()
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

func (s *hardSoak) lookAtVersions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	haveAll := true
	for _, process := range s.running {
		version := route.Version(0)
		if table := process.gateway.Routes(); table != nil {
			version = table.Configuration().Version
		}
		if version < process.version || version == hardOldVersion && s.isMoved.Load() {
			s.reverted = append(s.reverted, process.name)
		}
		process.version = version
		if version == hardNewVersion && process.appliedAt.IsZero() {
			process.appliedAt = time.Now()
		}
		haveAll = haveAll && version == hardNewVersion
	}
	if haveAll && len(s.running) > 0 {
		s.isMoved.Store(true)
	}
}

// dueAt is when the new configuration had to be in force in a process, at the latest.
func (s *hardSoak) dueAt(process *hardProcess) time.Time {
	from := s.writtenAt
	if process.startedAt.After(from) {
		from = process.startedAt
	}
	if s.outageUntil.After(from) && s.outageFrom.Before(from.Add(applyDeadline)) {
		from = s.outageUntil
	}
	return from.Add(applyDeadline)
}

// requireAllServed checks that every account got something under load, and so did the others.
func (s *hardSoak) requireAllServed() {
	tally := &s.tally
	s.t.Logf("served %v, statuses %v, unreached %d, cut by killed hosts %d", tally.served, tally.statuses, tally.unreached, tally.cut)
	for _, kind := range hardKinds() {
		require.NotZero(s.t, tally.served[kind.prefix+kind.account], kind.prefix+kind.account)
	}
}

// requireCalm checks that everything is answered while nothing is disturbed, and that hosts hold
// nothing afterwards.
func (s *hardSoak) requireCalm(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []*hardClient
	for k, kind := range hardKinds() {
		kind.isSlow = false
		all = append(all, s.newClient(kind, "calm-"+strconv.Itoa(k), random))
	}
	round := 0
	sendAll := func() error {
		round++
		var sending tomb.Tomb
		for _, client := range all {
			sending.Go(func() error {
				for _, name := range s.names {
					if err := client.send(s.running[name], client.name+"-"+strconv.Itoa(round)+name); err != nil {
						return err
					}
				}
				return nil
			})
		}
		return sending.Wait()
	}
	s.eventually(func() bool { return sendAll() == nil }, "everything is answered")
	for range calmRounds {
		require.NoError(s.t, sendAll(), "all is calm")
	}
	for _, process := range s.all {
		s.eventually(func() bool { return process.gateway.handler.HeldBytes.Stats().Held == 0 }, process.name+" holds nothing")
	}
}

// requireHeld checks that all promises were kept.
func (s *hardSoak) requireHeld() {
	for _, name := range s.names {
		s.crash(s.running[name])
	}
	t, tally := s.t, &s.tally
	s.logLoad()
	require.Empty(t, tally.wrong)
	require.Empty(t, s.reverted)
	for _, id := range tally.once {
		require.LessOrEqual(t, s.runs.count(id), 1, id)
	}
	for _, id := range tally.notRun {
		require.Zero(t, s.runs.count(id), id)
	}
	for _, process := range s.all {
		s.requireProcessHeld(process)
	}
	s.requireApart()
}

// logLoad logs whether the parts had something to do.
func (s *hardSoak) logLoad() {
	var peak unit.Bytes
	denied, shed := uint64(0), uint64(0)
	for _, process := range s.all {
		stats := process.gateway.handler.HeldBytes.Stats()
		peak = max(peak, stats.Peak)
		denied += stats.Denied
		shed += process.gateway.shed.Get()
	}
	changes := 0
	for _, process := range s.all {
		changes += (*process.gateway.pools.Load())["old"].Spill(time.Now()).Changes
	}
	leaders := make(map[ident.HostID]int)
	for _, order := range s.engines.sentOrders() {
		leaders[order.Leader]++
	}
	s.t.Logf("held %d of %d bytes at most, no room %d times; orders %v; %d connections shed; leaving began or ended %d times", peak, hardMemory/4, denied, leaders, shed, changes)
}

func (s *hardSoak) requireProcessHeld(process *hardProcess) {
	t := s.t
	stats := process.gateway.handler.HeldBytes.Stats()
	require.LessOrEqual(t, stats.Peak, stats.Limit)
	// A host that is short of processor time closes connections unread.
	require.LessOrEqual(t, uint64(len(process.cuts)), process.gateway.shed.Get(), "%s cut %v", process.name, process.cuts)
	due := s.dueAt(process)
	if process.endedAt.Before(due) {
		return
	}
	require.False(t, process.appliedAt.IsZero(), process.name)
	require.LessOrEqual(t, process.appliedAt, due, "%s, started %v and ended %v, configuration written %v", process.name, process.startedAt, process.endedAt, s.writtenAt)
}
