package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

// The engine stand-in's formula, in a simulation of one model: no sockets, a
// clock of its own, one seed.
const (
	simStep       = time.Millisecond
	simFirstToken = 40 * time.Millisecond
	simPerToken   = 5 * time.Millisecond
	simTokens     = 16
	simCacheSaves = 0.8
	simSlots      = 8
	simBurstEvery = 730 * time.Millisecond // no multiple of what hosts do at times
)

// simOptions are one run's circumstances.
type simOptions struct {
	hosts         int
	servers       int
	lag           time.Duration
	pollEvery     time.Duration
	exchangeEvery time.Duration
	rate          float64 // requests a second
	burst         float64 // the rate's factor in every second simBurstEvery
	prefixes      int     // different conversations' beginnings; 0 for none alike
	noHome        bool    // the choice is not told the prefix
	confined      bool    // all contents are new
	cacheSize     int
	policy        Policy
	slow          int  // servers at half the pace
	mixed         bool // answers of all lengths
	length        time.Duration
}

func simDefaults() simOptions {
	return simOptions{
		hosts:         7,
		servers:       12,
		lag:           300 * time.Millisecond,
		pollEvery:     500 * time.Millisecond,
		exchangeEvery: time.Second,
		rate:          300,
		burst:         1,
		cacheSize:     64,
		policy:        LeastCost{},
		length:        20 * time.Second,
	}
}

// simResult is what a run measures.
type simResult struct {
	p50, p95, p99 time.Duration // time to the first token
	queueError    float64       // mean of |believed - true queue| at the choice
	hits          float64       // share of requests that found their prefix
	busiest       float64       // the busiest server's requests over the mean
}

func (r simResult) String() string {
	return fmt.Sprintf("p50 %v p95 %v p99 %v queue error %.2f hits %.2f busiest %.2f",
		r.p50, r.p95, r.p99, r.queueError, r.hits, r.busiest)
}

type simRequest struct {
	arrived time.Time
	replica *Replica
	prefix  uint64
	first   time.Time
	end     time.Time
	queued  bool
}

type simServer struct {
	name    ident.ServerName
	running []*simRequest
	waiting []*simRequest
	depths  []int // running and waiting, one a step
	cache   []uint64
	served  int
	slow    bool
}

type sim struct {
	simOptions
	worlds   []*world
	targets  []*Target
	servers  []*simServer
	dice     *rand.Rand
	start    time.Time
	now      time.Time
	firsts   []time.Duration
	errors   float64
	choices  int
	hitCount int
}

func simulate(options simOptions) simResult {
	s := &sim{
		simOptions: options,
		dice:       rand.New(rand.NewPCG(1, 2)),
	}
	for range options.hosts {
		s.worlds = append(s.worlds, newWorld(options.servers, 1, options.servers, 0))
	}
	s.start = s.worlds[0].now
	for i := range options.servers {
		s.servers = append(s.servers, &simServer{
			name: engineName(i),
			slow: i < options.slow,
		})
	}
	s.targets = make([]*Target, options.hosts)
	for s.now = s.start; s.now.Before(s.start.Add(options.length)); s.now = s.now.Add(simStep) {
		s.step()
	}
	return s.result()
}

func (s *sim) step() {
	for _, server := range s.servers {
		s.serve(server)
	}
	for h := range s.worlds {
		s.hear(h)
	}
	rate := s.rate
	if s.now.Sub(s.start)/simBurstEvery%2 == 1 {
		rate *= s.burst
	}
	for s.dice.Float64() < rate*simStep.Seconds() {
		s.arrive(s.dice.IntN(s.hosts))
		rate -= 1 / simStep.Seconds()
	}
}

// serve ends and begins what is due at a server.
func (s *sim) serve(server *simServer) {
	server.running = slices.DeleteFunc(server.running, func(r *simRequest) bool {
		if r.end.After(s.now) {
			return false
		}
		r.replica.Gauge.Answered(s.now, Timing{
			FirstToken: r.first.Sub(r.arrived),
			Whole:      r.end.Sub(r.arrived),
			Queued:     r.queued,
		})
		return true
	})
	for len(server.running) < simSlots && len(server.waiting) > 0 {
		s.begin(server, server.waiting[0])
		server.waiting = server.waiting[1:]
	}
	server.depths = append(server.depths, len(server.running)+len(server.waiting))
}

func (s *sim) begin(server *simServer, r *simRequest) {
	server.running = append(server.running, r)
	first := simFirstToken
	if server.lookUp(r.prefix, s.cacheSize) {
		first = time.Duration(float64(first) * (1 - simCacheSaves))
		s.hitCount++
	}
	share := float64(len(server.running)) / simSlots
	pace := 1.0
	if server.slow {
		pace = 2
	}
	tokens := float64(simTokens)
	if s.mixed {
		tokens *= s.dice.ExpFloat64()
	}
	r.first = s.now.Add(time.Duration(pace * float64(first)))
	r.end = r.first.Add(time.Duration(pace * tokens * float64(simPerToken) * (1 + share)))
	s.firsts = append(s.firsts, r.first.Sub(r.arrived))
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

// due tells whether host h does at this step what it does every so often; hosts
// have different phases.
func (s *sim) due(h int, every time.Duration) bool {
	phase := every / time.Duration(s.hosts) * time.Duration(h)
	return (s.now.Sub(s.start)+phase)%every < simStep
}

// hear gives a host the reports and the peers' words that come now.
func (s *sim) hear(h int) {
	w := s.worlds[h]
	w.now = s.now
	if s.due(h, s.pollEvery) || s.targets[h] == nil {
		for _, server := range s.servers {
			s.report(w, server)
		}
	}
	if s.due(h, s.exchangeEvery) {
		for p := range s.worlds {
			if p != h {
				w.machine.Step(s.now, PeerLoads{
					Host:  ident.HostID(fmt.Sprint(p)),
					Loads: s.worlds[p].machine.Loads(),
				})
			}
		}
	}
	s.targets[h] = w.target()
}

func (s *sim) report(w *world, server *simServer) {
	at := max(0, len(server.depths)-1-int(s.lag/simStep))
	report := *w.reports[server.name]
	report.Running = server.depths[at]
	report.At = s.start.Add(time.Duration(at) * simStep)
	w.machine.Step(s.now, Reported{
		Report: report,
	})
}

func (s *sim) arrive(h int) {
	r := &simRequest{
		arrived: s.now,
		prefix:  s.dice.Uint64(),
	}
	if s.prefixes > 0 {
		// A few beginnings are common and most are rare.
		r.prefix = splitmix.Mix(uint64(float64(s.prefixes) * s.dice.Float64() * s.dice.Float64()))
	}
	told := r.prefix
	if s.noHome {
		told = s.dice.Uint64()
	}
	choice, err := s.policy.Choose(s.targets[h], &Request{
		Now:    s.now,
		Dice:   s.dice.Uint64(),
		Prefix: told,

		Fingerprint: s.dice.Uint64(),
		Confined:    s.confined,
	})
	if err != nil {
		panic(err)
	}
	r.replica = choice.Replica
	server := s.servers[slices.IndexFunc(s.servers, func(v *simServer) bool { return v.name == choice.Replica.Server })]
	depth := float64(len(server.running) + len(server.waiting))
	believed := r.replica.Gauge.Queue(s.now)
	s.errors += max(believed-depth, depth-believed)
	s.choices++
	r.queued = r.replica.Gauge.Begin(s.now)
	server.waiting = append(server.waiting, r)
	server.served++
}

func (s *sim) result() simResult {
	slices.Sort(s.firsts)
	at := func(share float64) time.Duration { return s.firsts[int(share*float64(len(s.firsts)-1))] }
	busiest := 0
	for _, server := range s.servers {
		busiest = max(busiest, server.served)
	}
	return simResult{
		p50:        at(0.5),
		p95:        at(0.95),
		p99:        at(0.99),
		queueError: s.errors / float64(s.choices),
		hits:       float64(s.hitCount) / float64(len(s.firsts)),
		busiest:    float64(busiest*len(s.servers)) / float64(s.choices),
	}
}
