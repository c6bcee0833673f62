// Package balance chooses the backend server of a request, for one service on one
// entry host.
//
// A Pool knows the service's servers: what they hold, how far away they are, what
// this host has under way there, what the servers last said of their load, and how
// they have answered. Traffic goroutines take a Ticket from it for each send and
// tell it how the send went. It reads no clock and no random source: both come
// with the calls.
//
// # Usage
//
//	pool := balance.NewPool(balance.Place{
//		DataCentre: "brest-a",
//		Region:     "finistere",
//	})
//	pool.SetServers(servers)
//	ticket, verdict := pool.Take(now, balance.Ask{
//		Weights: r.Weights(),
//		Prompt:  r.Prompt,
//		Dice:    rand.Uint64(),
//	})
//	if verdict == balance.Found {
//		// send to ticket.Address
//		ticket.Started(now) // the first bytes of the answer are there
//		ticket.Done(now, balance.Answered)
//	}
//
// Prompts are sent when and where a pacer says (package pacing): the pool offers it the
// engines, and holds the one that it chooses.
//
//	offers, verdict := pool.Offers(now, ask)
//	...
//	ticket := pool.Hold(now, ask, slot)
//
// # What a choice weighs
//
// The cost of a server is the expected time to the answer's first byte: the way
// there and back, the prompt tokens that wait before this request, its own less
// what the server has cached, and the running requests that share the server's
// steps. What other hosts have there is known from reports that are some hundred
// milliseconds old, the same to all hosts: were each to take the cheapest server,
// all would take the same one. So Take blurs costs by random bits.
package balance

import (
	"slices"
	"sync"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// Place is where a host stands.
type Place struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// Ask is what a choice needs to know of a request.
type Ask struct {
	// Weights is what the server must hold; zero for services without models.
	Weights request.Weights
	Parts   []request.Part
	Prompt  unit.Tokens
	// Tried are servers that have had the request.
	Tried []ident.ServerName
	// Dice are random bits.
	Dice uint64
}

// Verdict is what a choice came to.
type Verdict string

// The verdicts.
const (
	Found Verdict = "Found"
	// NoneHolds: no server that takes work holds the weights.
	NoneHolds Verdict = "NoneHolds"
	// NoneTakes: servers hold the weights, and none takes work now.
	NoneTakes Verdict = "NoneTakes"
)

// Result is how a send went.
type Result string

// The results of a send.
const (
	// Answered: a whole answer came that was the request's own.
	Answered Result = "Answered"
	// Failed: the server answered that it failed.
	Failed Result = "Failed"
	// Refused: the server proved that it did not run the request.
	Refused Result = "Refused"
	// Misplaced: the address belongs to another server now.
	Misplaced Result = "Misplaced"
	// NotHeld: the server does not hold the weights.
	NotHeld Result = "NotHeld"
	// Unreached: no connection came about.
	Unreached Result = "Unreached"
	// Broken: the connection ended, or brought what is no answer.
	Broken Result = "Broken"
	// Silent: no answer came in the time it should have taken.
	Silent Result = "Silent"
	// Left: nobody waits any more; it says nothing of the server.
	Left Result = "Left"
)

// Pool has the servers of one service. It is safe for use by many goroutines.
type Pool struct {
	place Place

	mu      sync.Mutex
	servers map[ident.ServerName]*server
	// list has the servers in the order of their names.
	list []*server
	// perServer bounds what this host has under way at one server.
	perServer int
	// perToken is how long an engine takes to read one prompt token, in seconds, by
	// model: large models take up to ten times as long as small ones.
	perToken map[ident.ModelName]float64
	// answering is how long an answer takes from its first byte on, in seconds.
	answering map[ident.ModelName]float64
	// work is how long servers without models take.
	work   time.Duration
	prompt float64 // mean work of a prompt, in seconds
	// clear is for how long engines are kept clear after each prompt.
	clear   time.Duration
	changed chan struct{}
	demand  map[request.Weights]*Demand
}

// Demand is what was asked of one set of weights.
type Demand struct {
	// Requests counts what has arrived, Missed those of which no server held the
	// weights when they came.
	Requests int64
	Missed   int64
	// Waiting counts the requests that wait for the weights now.
	Waiting int64
	// Work is how much of one engine's time the requests take, in seconds: the reading
	// of their prompts, and their part of its places for as long as they are answered.
	Work float64
}

// Starting values, until the servers have answered.
const (
	startPerToken = 55e-6 // seconds
	startWork     = 20 * time.Millisecond
	startPrompt   = 0.05 // seconds
	// startAnswering is how long an answer of some 80 events takes.
	startAnswering = 2.0 // seconds
)

// NewPool gives a pool without servers.
func NewPool(place Place) *Pool {
	return &Pool{
		place:     place,
		servers:   make(map[ident.ServerName]*server),
		perServer: 1 << 20,
		perToken:  make(map[ident.ModelName]float64),
		answering: make(map[ident.ModelName]float64),
		work:      startWork,
		prompt:    startPrompt,
		clear:     mostClear,
		changed:   make(chan struct{}),
		demand:    make(map[request.Weights]*Demand),
	}
}

// Server is what the host knows of one backend server from others.
type Server struct {
	backend.Server
	Incarnation ident.Incarnation
	Slots       int
	// Leaving servers get no new work.
	Leaving bool
	// Holds has the weights that can be asked for; Retiring the models among them
	// that are about to go and are asked for in need only.
	Holds    []request.Weights
	Retiring []ident.ModelName
	// Running and Waiting count all requests there, at an instant some hundred
	// milliseconds ago; negative where nothing is known.
	Running int
	Waiting int
}

// SetServers replaces what is known of the servers. Those of another incarnation
// start anew.
func (p *Pool) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[ident.ServerName]bool, len(servers))
	for i := range servers {
		seen[servers[i].Name] = true
		p.set(&servers[i])
	}
	for name := range p.servers {
		if !seen[name] {
			delete(p.servers, name)
		}
	}
	p.list = p.list[:0]
	for _, s := range p.servers {
		p.list = append(p.list, s)
	}
	slices.SortFunc(p.list, func(a, b *server) int {
		if a.known.Name < b.known.Name {
			return -1
		}
		return 1
	})
	p.wake()
}

func (p *Pool) set(told *Server) {
	s, known := p.servers[told.Name]
	if !known || s.known.Incarnation != told.Incarnation || s.known.Address != told.Address {
		s = &server{
			parts: make(map[partKey]struct{}),
		}
		p.servers[told.Name] = s
	}
	s.take(told)
}

// wake lets the requests that wait look again.
func (p *Pool) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Changed gives a channel that closes when a choice may come out otherwise.
func (p *Pool) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// SetPerServer bounds what this host has under way at one server: its part of the
// connections that the server accepts.
func (p *Pool) SetPerServer(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perServer = max(limit, 1)
}

// Arrived counts a request for the demand.
func (p *Pool) Arrived(weights request.Weights, prompt unit.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.demandOf(weights)
	d.Requests++
	reading := p.reading(weights.Model, float64(prompt))
	d.Work += reading + p.placeTime(weights.Model)
	p.prompt += (reading - p.prompt) * slowWeight
}

// placeTime is a request's part of an engine's places, in seconds. A model that reads
// fast may still need many engines: its answers hold the places.
func (p *Pool) placeTime(model ident.ModelName) float64 {
	answering, measured := p.answering[model]
	if !measured {
		answering = startAnswering
	}
	for _, s := range p.list {
		if s.known.Kind == backend.KindEngine && s.known.Slots > 0 {
			return answering / float64(s.known.Slots)
		}
	}
	return 0
}

// Missed counts a request of which no server held the weights when it came.
func (p *Pool) Missed(weights request.Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demandOf(weights).Missed++
}

// Wait counts a request that waits for weights; the returned function ends that.
func (p *Pool) Wait(weights request.Weights) func() {
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

// TakeDemand gives the demand since the last call, and starts anew.
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
