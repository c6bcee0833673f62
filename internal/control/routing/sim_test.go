package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

// A simulation of one model with the formula of the engine stand-in: no sockets, a
// simulated clock, one random seed.
const (
	simStep              = time.Millisecond
	simFirstToken        = 40 * time.Millisecond
	simTimePerToken      = 5 * time.Millisecond
	simTokens            = 16
	simPrefixCacheSaving = 0.8
	simSlots             = 8
	simBurstPeriod       = 730 * time.Millisecond // not a multiple of the hosts' intervals
)

// simOptions are the parameters of one run.
type simOptions struct {
	hosts            int
	servers          int
	reportLag        time.Duration
	pollInterval     time.Duration
	exchangeInterval time.Duration
	rate             float64 // requests a second
	burstFactor      float64 // multiplies the rate in every second simBurstPeriod
	prefixCount      int     // number of different prefixes; 0: each request has its own
	ignorePrefix     bool    // choose by a random prefix instead of the request's
	pairOnly         bool    // restrict each choice to the two preferred replicas
	cacheSize        int
	policy           Policy
	slowServers      int  // number of servers at half speed
	mixedLengths     bool // random answer lengths, with the same mean
	duration         time.Duration
}

func simDefaults() simOptions {
	return simOptions{
		hosts:            7,
		servers:          12,
		reportLag:        300 * time.Millisecond,
		pollInterval:     500 * time.Millisecond,
		exchangeInterval: time.Second,
		rate:             300,
		burstFactor:      1,
		cacheSize:        64,
		policy:           LeastCost{},
		duration:         20 * time.Second,
	}
}

// simResult has the figures of one run.
type simResult struct {
	p50, p95, p99 time.Duration // time to the first token
	queueError    float64       // mean of |estimated - true queue| at the choice
	hitRate       float64       // share of requests that found their prefix cached
	busiestRatio  float64       // requests to the busiest server over the mean
}

func (r simResult) String() string {
	return fmt.Sprintf("p50 %v p95 %v p99 %v queue error %.2f hits %.2f busiest %.2f",
		r.p50, r.p95, r.p99, r.queueError, r.hitRate, r.busiestRatio)
}

type simRequest struct {
	arrivedAt    time.Time
	replica      *Replica
	prefix       uint64
	firstTokenAt time.Time
	endsAt       time.Time
	queued       bool
}

type simServer struct {
	name    ident.ServerName
	running []*simRequest
	waiting []*simRequest
	depths  []int // requests running and waiting, by step
	cache   []uint64
	served  int
	slow    bool
}

type sim struct {
	simOptions
	fleets        []*testFleet
	targets       []*Target
	servers       []*simServer
	rng           *rand.Rand
	start         time.Time
	now           time.Time
	ttfts         []time.Duration
	queueErrorSum float64
	choices       int
	hitCount      int
}

func simulate(options simOptions) simResult {
	s := &sim{
		simOptions: options,
		rng:        rand.New(rand.NewPCG(1, 2)),
	}
	for range options.hosts {
		s.fleets = append(s.fleets, newTestFleet(options.servers, 1, options.servers, 0))
	}
	s.start = s.fleets[0].now
	for i := range options.servers {
		s.servers = append(s.servers, &simServer{
			name: engineName(i),
			slow: i < options.slowServers,
		})
	}
	s.targets = make([]*Target, options.hosts)
	for s.now = s.start; s.now.Before(s.start.Add(options.duration)); s.now = s.now.Add(simStep) {
		s.step()
	}
	return s.result()
}

func (s *sim) step() {
	for _, server := range s.servers {
		s.advanceServer(server)
	}
	for h := range s.fleets {
		s.deliverUpdates(h)
	}
	rate := s.rate
	if s.now.Sub(s.start)/simBurstPeriod%2 == 1 {
		rate *= s.burstFactor
	}
	for s.rng.Float64() < rate*simStep.Seconds() {
		s.addRequest(s.rng.IntN(s.hosts))
		rate -= 1 / simStep.Seconds()
	}
}

// advanceServer ends and starts the requests that are due at a server.
func (s *sim) advanceServer(server *simServer) {
	server.running = slices.DeleteFunc(server.running, func(r *simRequest) bool {
		if r.endsAt.After(s.now) {
			return false
		}
		r.replica.LoadTracker.RecordAnswer(s.now, Timing{
			FirstToken: r.firstTokenAt.Sub(r.arrivedAt),
			Total:      r.endsAt.Sub(r.arrivedAt),
			Queued:     r.queued,
		})
		return true
	})
	for len(server.running) < simSlots && len(server.waiting) > 0 {
		s.startRequest(server, server.waiting[0])
		server.waiting = server.waiting[1:]
	}
	server.depths = append(server.depths, len(server.running)+len(server.waiting))
}

func (s *sim) startRequest(server *simServer, r *simRequest) {
	server.running = append(server.running, r)
	first := simFirstToken
	if server.lookUp(r.prefix, s.cacheSize) {
		first = time.Duration(float64(first) * (1 - simPrefixCacheSaving))
		s.hitCount++
	}
	share := float64(len(server.running)) / simSlots
	slowdown := 1.0
	if server.slow {
		slowdown = 2
	}
	tokens := float64(simTokens)
	if s.mixedLengths {
		tokens *= s.rng.ExpFloat64()
	}
	r.firstTokenAt = s.now.Add(time.Duration(slowdown * float64(first)))
	r.endsAt = r.firstTokenAt.Add(time.Duration(slowdown * tokens * float64(simTimePerToken) * (1 + share)))
	s.ttfts = append(s.ttfts, r.firstTokenAt.Sub(r.arrivedAt))
}

func (v *simServer) lookUp(prefix uint64, size int) bool {
	at := slices.Index(v.cache, prefix)
	if at >= 0 {
		v.cache = append(slices.Delete(v.cache, at, at+1), prefix)
		return true
	}
	v.cache = append(v.cache, prefix)
	if len(v.cache) > size {
		v.cache = v.cache[1:]
	}
	return false
}

// isDue reports whether host h does a periodic task in this step; hosts have
// different phases.
func (s *sim) isDue(h int, period time.Duration) bool {
	phase := period / time.Duration(s.hosts) * time.Duration(h)
	return (s.now.Sub(s.start)+phase)%period < simStep
}

// deliverUpdates applies to a host the reports and peer messages that arrive now.
func (s *sim) deliverUpdates(h int) {
	f := s.fleets[h]
	f.now = s.now
	if s.isDue(h, s.pollInterval) || s.targets[h] == nil {
		for _, server := range s.servers {
			s.deliverReport(f, server)
		}
	}
	if s.isDue(h, s.exchangeInterval) {
		for p := range s.fleets {
			if p != h {
				f.machine.Step(s.now, PeerInFlight{
					Host:     ident.HostID(fmt.Sprint(p)),
					Requests: s.fleets[p].machine.InFlight(),
				})
			}
		}
	}
	s.targets[h] = f.firstTarget()
}

func (s *sim) deliverReport(f *testFleet, server *simServer) {
	at := max(0, len(server.depths)-1-int(s.reportLag/simStep))
	report := *f.reports[server.name]
	report.Running = server.depths[at]
	report.ReportedAt = s.start.Add(time.Duration(at) * simStep)
	f.machine.Step(s.now, ReportReceived{
		Report: report,
	})
}

func (s *sim) addRequest(h int) {
	r := &simRequest{
		arrivedAt: s.now,
		prefix:    s.rng.Uint64(),
	}
	if s.prefixCount > 0 {
		// A few prefixes are common and most are rare.
		r.prefix = splitmix.Mix(uint64(float64(s.prefixCount) * s.rng.Float64() * s.rng.Float64()))
	}
	prefixHash := r.prefix
	if s.ignorePrefix {
		prefixHash = s.rng.Uint64()
	}
	choice, err := s.policy.Choose(s.targets[h], &Request{
		Now:        s.now,
		Random:     s.rng.Uint64(),
		PrefixHash: prefixHash,

		Fingerprint: s.rng.Uint64(),
		PairOnly:    s.pairOnly,
	})
	if err != nil {
		panic(err)
	}
	r.replica = choice.Replica
	server := s.servers[slices.IndexFunc(s.servers, func(v *simServer) bool { return v.name == choice.Replica.Server })]
	depth := float64(len(server.running) + len(server.waiting))
	estimated := r.replica.LoadTracker.EstimateQueue(s.now)
	s.queueErrorSum += max(estimated-depth, depth-estimated)
	s.choices++
	r.queued = r.replica.LoadTracker.StartRequest(s.now)
	server.waiting = append(server.waiting, r)
	server.served++
}

func (s *sim) result() simResult {
	slices.Sort(s.ttfts)
	percentile := func(share float64) time.Duration { return s.ttfts[int(share*float64(len(s.ttfts)-1))] }
	busiest := 0
	for _, server := range s.servers {
		busiest = max(busiest, server.served)
	}
	return simResult{
		p50:          percentile(0.5),
		p95:          percentile(0.95),
		p99:          percentile(0.99),
		queueError:   s.queueErrorSum / float64(s.choices),
		hitRate:      float64(s.hitCount) / float64(len(s.ttfts)),
		busiestRatio: float64(busiest*len(s.servers)) / float64(s.choices),
	}
}
