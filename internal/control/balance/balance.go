// Package balance chooses the backend server for each request, for one service on one entry
// host.
//
// A Pool knows the service's servers: which weights they hold, how far away they are, how
// many requests this host has in flight there, the server load that they last reported, and
// how they have answered. Package relay takes a Ticket from it for each send and reports on
// the Ticket how the send went; package gateway keeps the list of servers up to date and
// reads the demand. A Pool may be used by many goroutines; one mutex guards it and its
// tickets. It starts no goroutines and reads no clock and no random source: both come with
// the calls.
//
// # Usage
//
//	pool := balance.NewPool(balance.Location{
//		DataCentre: "brest-a",
//		Region:     "finistere",
//	}, &backpressure.Table{})
//	pool.SetServers(servers)
//	ticket, verdict := pool.Take(now, balance.Criteria{
//		Weights: r.Weights(),
//		Prompt:  r.Prompt,
//		Random:  rand.Uint64(),
//	})
//	if verdict == balance.Found {
//		// send to ticket.Address
//		ticket.RecordFirstByte(now) // the first bytes of the answer have arrived
//		ticket.Done(now, balance.Answered)
//	}
//
// Prompts are sent when and where a prompt scheduler decides (package pacing): the pool
// lists the candidate engines, and gives a ticket for the engine that the scheduler
// reserved.
//
//	candidates, verdict := pool.Candidates(now, criteria)
//	...
//	ticket := pool.TakeReserved(now, criteria, reservation)
//
// # How servers compare
//
// The cost of a server is the expected time to the first byte of the answer: the network
// round trip, the prefill of the prompts that wait before this one, of this prompt less
// what the server has cached, and a share for the running requests that slow the server
// down. Servers that name how long work takes there (package pace) are compared by it; what is
// learnt from answers is kept as at a usual pace. The server load from other hosts is known from reports that are some hundred
// milliseconds old and the same on all hosts. If each host took the cheapest server, all
// would take the same one, so Take adds a random part to each cost.
package balance

import (
	"slices"
	"sync"
	"time"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// Location is the location of a host.
type Location struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// Criteria describes a request to the choice of a server.
type Criteria struct {
	// Weights is what the server must hold; zero for services without models.
	Weights request.Weights
	Parts   []request.PromptPart
	Prompt  unit.Tokens
	// Output is the expected length of the answer, 0 if that isn't known. Deadline is when the
	// answer must have ended, EventGap the longest pause between two events of a stream that is
	// in time; zero if there is none.
	Output   unit.Tokens
	Deadline time.Time
	EventGap time.Duration
	// Build is the only build of the software that may answer; empty if any may.
	Build ident.Build
	// Avoided lists the builds that may not answer.
	Avoided []ident.Build
	// Tried lists the servers that the request has been sent to before.
	Tried []ident.ServerName
	// AwaitsPermit is whether the request waits for a permit, if the server has a request limit.
	AwaitsPermit bool
	// Random holds random bits.
	Random uint64
}

// Verdict is the outcome of a choice.
type Verdict string

// The verdicts.
const (
	Found Verdict = "Found"
	// NoneHolds: no server that accepts requests holds the weights.
	NoneHolds Verdict = "NoneHolds"
	// NoneTakes: servers hold the weights, but none accepts a request now.
	NoneTakes Verdict = "NoneTakes"
	// NoneRuns: no server of the build that the request needs holds the weights and accepts
	// requests. Models are not loaded for the sake of one build, so waiting is no use.
	NoneRuns Verdict = "NoneRuns"
)

// Result is the outcome of a send.
type Result string

// The results of a send.
const (
	// Answered: a whole answer to this request arrived.
	Answered Result = "Answered"
	// Failed: the server answered with an error.
	Failed Result = "Failed"
	// Refused: the server proved that it did not run the request.
	Refused Result = "Refused"
	// Misplaced: another server has the address now.
	Misplaced Result = "Misplaced"
	// NotHeld: the server does not hold the weights.
	NotHeld Result = "NotHeld"
	// Unreached: no connection could be opened.
	Unreached Result = "Unreached"
	// Detoured: this host could not open a connection, and another host is to open one.
	Detoured Result = "Detoured"
	// Broken: the connection ended early, or what arrived is not a valid answer.
	Broken Result = "Broken"
	// Silent: no answer arrived within the expected time.
	Silent Result = "Silent"
	// Left: the client has left; the result says nothing about the server.
	Left Result = "Left"
)

// Pool holds the servers of one service. It is safe for use by many goroutines.
type Pool struct {
	location Location
	// pressures keeps the signals of servers' answers.
	pressures *backpressure.Table

	mu      sync.Mutex
	servers map[ident.ServerName]*server
	// builds counts the servers of each build, also of those that no server runs any more.
	builds map[ident.Build]*buildUse
	index  index
	// failing are the servers with an error share, corrected those whose weights or retiring
	// models were changed by answers since they were last reported.
	failing   map[*server]struct{}
	corrected map[*server]struct{}
	// engineSlots is the number of slots of the engine that was last reported, 0 if none was.
	engineSlots int
	// serverLimit bounds the requests in flight at one server.
	serverLimit ServerLimit
	// secondsPerToken is the prefill time of an engine for one prompt token, by model:
	// large models take up to ten times as long as small ones.
	secondsPerToken map[ident.ModelName]float64
	// answerSeconds is the time from an answer's first byte to its end, by model.
	answerSeconds map[ident.ModelName]float64
	// outputSeconds is that time for each token of the answer's expected length, by model. It is
	// known only where servers name their pace.
	outputSeconds map[ident.ModelName]float64
	// unsentReadings has the servers that have named their pace since the last TakeReadings.
	unsentReadings map[*server]struct{}
	// paced describes the candidates that are being listed.
	paced []pacedCandidate
	// isPaced is whether a server has named its pace.
	isPaced bool
	// responseTime is the mean time to the first byte of servers without models.
	responseTime       time.Duration
	meanPrefillSeconds float64 // moving average
	// clear is the prefill cooldown: how long an engine gets no further prompt after each
	// one.
	clear time.Duration
	// tokensPerEvent is how many tokens an event of a stream has, 0 if that isn't known.
	tokensPerEvent int
	changed        chan struct{}
	demand         map[request.Weights]*Demand
	// spill plans which requests leave the data centre.
	spill spill
}

// Demand is the demand for one set of weights.
type Demand struct {
	// Requests counts arrivals, Missed the arrivals at a time when no server held the
	// weights.
	Requests int64
	Missed   int64
	// Waiting counts the requests that wait for the weights now.
	Waiting int64
	// Work is how much of one engine's time the requests take, in seconds: the prefill of
	// their prompts, and their share of the engine's slots for the length of their answers.
	Work float64
}

// Initial estimates, used until servers have answered.
const (
	initialSecondsPerToken = 55e-6
	initialResponseTime    = 20 * time.Millisecond
	initialPrefillSeconds  = 0.05
	// initialAnswerSeconds is the length of an answer of some 80 events.
	initialAnswerSeconds = 2.0
)

// NewPool returns a pool without servers.
func NewPool(location Location, pressures *backpressure.Table) *Pool {
	return &Pool{
		location:       location,
		pressures:      pressures,
		servers:        make(map[ident.ServerName]*server),
		builds:         make(map[ident.Build]*buildUse),
		failing:        make(map[*server]struct{}),
		corrected:      make(map[*server]struct{}),
		unsentReadings: make(map[*server]struct{}),
		serverLimit: ServerLimit{
			Own: 1 << 20,
		},
		secondsPerToken:    make(map[ident.ModelName]float64),
		answerSeconds:      make(map[ident.ModelName]float64),
		outputSeconds:      make(map[ident.ModelName]float64),
		responseTime:       initialResponseTime,
		meanPrefillSeconds: initialPrefillSeconds,
		clear:              cooldownPerToken * defaultTokensPerEvent,
		changed:            make(chan struct{}),
		demand:             make(map[request.Weights]*Demand),
	}
}

// ServerInfo is what other hosts report about one backend server.
type ServerInfo struct {
	backend.Server
	Incarnation ident.Incarnation
	Slots       int
	// Leaving reports that the server gets no new requests.
	Leaving bool
	// Unrecorded reports that the server gets no requests yet, since its build isn't recorded.
	Unrecorded bool
	// Holds lists the weights that requests can use. Retiring lists the models among them
	// that are about to be unloaded and are used only if no other server has them.
	Holds    []request.Weights
	Retiring []ident.ModelName
	// Running and Waiting count the requests of all hosts at the server, at an instant some
	// hundred milliseconds ago; negative if unknown.
	Running int
	Waiting int
	// Pace is the lasting pace that all hosts together have found, 0 if that isn't known.
	Pace pace.Reading
}

// SetServers replaces all servers. What was learnt about a server is dropped when its
// incarnation, address or build changes.
func (p *Pool) SetServers(servers []ServerInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[ident.ServerName]bool, len(servers))
	for i := range servers {
		seen[servers[i].Name] = true
		p.setServer(&servers[i])
	}
	for name, s := range p.servers {
		if !seen[name] {
			p.removeServer(s)
		}
	}
	p.revertCorrections()
	p.notifyChanged()
}

// UpdateServers applies changes of single servers, as SetServers does for all. Names that are
// not known are ignored in removed.
func (p *Pool) UpdateServers(changed []ServerInfo, removed []ident.ServerName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range changed {
		p.setServer(&changed[i])
	}
	for _, name := range removed {
		if s, known := p.servers[name]; known {
			p.removeServer(s)
		}
	}
	p.revertCorrections()
	p.notifyChanged()
}

// RevertCorrections restores what was last reported of servers that answers have contradicted:
// the reports may have been right again since.
func (p *Pool) RevertCorrections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.corrected) > 0 {
		p.revertCorrections()
		p.notifyChanged()
	}
}

func (p *Pool) revertCorrections() {
	for s := range p.corrected {
		p.setWeights(s)
	}
	clear(p.corrected)
}

func (p *Pool) setServer(info *ServerInfo) {
	s, known := p.servers[info.Name]
	if known && (s.info.Incarnation != info.Incarnation || s.info.Address != info.Address || s.info.Build != info.Build) {
		p.removeServer(s)
		known = false
	}
	if !known {
		s = &server{}
		p.servers[info.Name] = s
		p.addBuild(info.Build)
	}
	if known && s.info.Kind != info.Kind {
		p.index.remove(s) // a configuration may give a service models, or take them away
	}
	s.pressure = p.pressures.ServerOf(info.Service, info.Name, info.Incarnation)
	s.update(info)
	if info.Pace.IsKnown() {
		s.pace.Share(info.Pace)
		p.isPaced = true
	}
	p.setWeights(s)
	if info.Kind == backend.KindEngine && info.Slots > 0 {
		p.engineSlots = info.Slots
	}
}

// setWeights sets a server's weights and retiring models to what was last reported.
func (p *Pool) setWeights(s *server) {
	s.retiring = s.info.Retiring
	if !s.isIndexed || !slices.Equal(s.holds, s.info.Holds) {
		p.index.remove(s)
		s.holds = s.info.Holds
		p.index.add(s)
	}
}

func (p *Pool) removeServer(s *server) {
	delete(p.servers, s.info.Name)
	p.removeBuild(s.info.Build)
	delete(p.failing, s)
	delete(p.corrected, s)
	delete(p.unsentReadings, s)
	p.index.remove(s)
}

// notifyChanged wakes the requests that wait for a server.
func (p *Pool) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Changed returns a channel that closes when a choice may have a different outcome.
func (p *Pool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// AddressOf returns the address of an incarnation of a server, if the pool has it and it accepts
// new requests.
func (p *Pool) AddressOf(name ident.ServerName, incarnation ident.Incarnation) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.servers[name]
	if !known || s.info.Incarnation != incarnation || s.isLeaving() {
		return "", false
	}
	return s.info.Address, true
}

// AnyServer returns a server other than one that accepts new requests, if there is one. random
// holds random bits.
func (p *Pool) AnyServer(random uint64, except ident.ServerName) (ServerInfo, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var accepting []*server
	for _, s := range p.servers {
		if !s.isLeaving() && s.info.Name != except {
			accepting = append(accepting, s)
		}
	}
	if len(accepting) == 0 {
		return ServerInfo{}, false
	}
	return accepting[random%uint64(len(accepting))].info, true
}

// ServerLimit bounds the requests in flight at one server, each of which takes a connection.
type ServerLimit struct {
	// Own is how many this host may have there whatever others have.
	Own int
	// Total is how many all hosts may have there for this one to have more than Own, if the server's
	// load is known. Clients may all come to one host, and leave the shares of others unused.
	Total int
}

// SetServerLimit bounds the requests in flight at one server. Own is at least 1.
func (p *Pool) SetServerLimit(limit ServerLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit.Own = max(limit.Own, 1)
	p.serverLimit = limit
}

// CountArrival adds a request to the demand.
func (p *Pool) CountArrival(weights request.Weights, prompt unit.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.demandOf(weights)
	d.Requests++
	prefillSeconds := p.prefillSeconds(weights.Model, float64(prompt))
	d.Work += prefillSeconds + p.slotSeconds(weights.Model)
	p.meanPrefillSeconds += (prefillSeconds - p.meanPrefillSeconds) * slowSmoothing
}

// slotSeconds is a request's share of an engine's slots, in seconds. A model with a short
// prefill may still need many engines, since its answers occupy the slots.
func (p *Pool) slotSeconds(model ident.ModelName) float64 {
	answerSeconds, measured := p.answerSeconds[model]
	if !measured {
		answerSeconds = initialAnswerSeconds
	}
	if p.engineSlots == 0 {
		return 0
	}
	return answerSeconds / float64(p.engineSlots)
}

// CountMissing counts a request that arrived when no server held its weights.
func (p *Pool) CountMissing(weights request.Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demandOf(weights).Missed++
}

// CountWaiting counts a request that waits for weights; the returned function ends that.
func (p *Pool) CountWaiting(weights request.Weights) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demandOf(weights).Waiting++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.demandOf(weights).Waiting--
	}
}

func (p *Pool) demandOf(weights request.Weights) *Demand {
	d, known := p.demand[weights]
	if !known {
		d = &Demand{}
		p.demand[weights] = d
	}
	return d
}

// TakeDemand returns the demand since the last call, and resets it.
func (p *Pool) TakeDemand() map[request.Weights]Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := make(map[request.Weights]Demand, len(p.demand))
	for weights, d := range p.demand {
		taken[weights] = *d
		if d.Waiting == 0 {
			delete(p.demand, weights)
			continue
		}
		*d = Demand{
			Waiting: d.Waiting,
		}
	}
	return taken
}
