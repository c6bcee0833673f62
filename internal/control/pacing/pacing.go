// Package pacing spreads the prompts that entry hosts send to one engine, so that
// no burst of them holds up the answers under way there.
//
// An engine reads prompts between the steps of its running answers: whatever has
// come since the last step is read in the next one, up to a bound, and each stream
// there pauses for as long. The pause between two events is two steps. So prompts
// that come together, by chance and from many hosts, make all streams of the engine
// late, while the same prompts one after the other make none late.
//
// For all engines of a region one host, their pacer, keeps the instant up to which each
// of them has prompts to read (Clocks), and counts the places that are taken there
// (places). Who wants to send a prompt tells the pacer which engines can answer it and how
// long each would read, and gets the engine and the instant to send at, or waits in its
// Queue until an engine is free. It says when the answer is complete. A pacer that is lost
// costs some pauses and waits at engines, and no promise rests on it: the next one goes by
// the engines' own words on their load.
//
// That the pacer chooses the engine is what evens them out. A host knows what it has
// sent itself, and from reports what the others had sent a second or two ago: many hosts
// then choose the same engine, whose streams pause for too long while others have time left.
//
// # Usage
//
//	var queue pacing.Queue
//	slot, waiter := queue.Ask(now, &pacing.Prompt{
//		Candidates: []pacing.Candidate{{
//			Server:  "i-7f3a91c2",
//			Reading: 60 * time.Millisecond,
//			Places:  32,
//		}},
//		Ticket:    ticket,
//		Objective: arrived.Add(route.Objective),
//		GiveUp:    arrived.Add(1300 * time.Millisecond),
//		Holds:     true,
//	})
//	if waiter != nil {
//		slot = <-waiter.Granted
//	}
//	// if slot.Booked: send to slot.Server at slot.At, and when the answer is complete:
//	queue.Ended(now, slot.Server, ticket)
//
// Clocks alone book an engine's reading ahead in the order of arrival; the queue is
// measured against that (TestUnderOverloadWhoIsServedIsInTime).
//
// # Which host is the pacer
//
// Pacers gives them by rendezvous hashing over the hosts of the engines' region, so
// that all hosts find the same ones without a word. Where they don't agree for a
// while, an engine has two pacers. In a large fleet models are dealt out to several
// pacers, which costs some evenness where two busy models share an engine.
package pacing

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"cicadaloom/internal/domain/ident"
)

// clearStep is what stays free after each prompt: one step of the running answers
// and the spread of the ways. With it no two prompts are read in steps that follow
// one another, and a pause between two events, which is two steps, holds one prompt
// at most. Without it a prompt of the largest size (0.21 s) and any other beside it
// make a pause of over 0.3 s for every stream of the engine.
const clearStep = 25 * time.Millisecond

// mostWait is how far ahead an engine is booked. Beyond it more is asked of the
// engine than it can do: holding prompts back any longer would only make them late
// as well, while the engine's own queue goes by priority.
const mostWait = 350 * time.Millisecond

// mostBooked is how far ahead the clock of an engine goes. Between mostWait and it
// prompts are sent on at once, and the clock tells which engine has less before it, and
// when an engine has too much. A clock that is wrong by its estimates must come back soon.
const mostBooked = 2 * time.Second

// forgetAfter is how long a clock that stands in the past is kept.
const forgetAfter = 10 * time.Second

// Clocks has a clock for each engine. The zero value works; it is safe for use by
// many goroutines.
type Clocks struct {
	mu    sync.Mutex
	busy  map[ident.ServerName]time.Time
	sweep time.Time
}

// Candidate is an engine that can answer a prompt.
type Candidate struct {
	Server ident.ServerName
	Region ident.Region
	// Reading is how long the engine reads the prompt, Beside what else it costs to
	// ask this one: the way there, the answers that run there, its errors.
	Reading time.Duration
	Beside  time.Duration
	// Places is how many answers run at the engine at once; 0 for any number.
	Places int
}

// Prompt is a prompt that is to be sent to one of some engines, of which there must be
// one. It is booked at a cost of at most Most, and where at most Limit is booked ahead of
// it; 0 stands for any.
type Prompt struct {
	Candidates []Candidate
	Most       time.Duration
	Limit      time.Duration
	// Clear is for how long the engine is kept clear after the prompt; 0 stands for
	// clearStep.
	Clear time.Duration
	// Ticket names the prompt.
	Ticket Ticket
	// Objective is when the first event is in time, GiveUp when nobody waits any more;
	// Priority ranks prompts, 0 first.
	Objective time.Time
	GiveUp    time.Time
	Priority  int
	// Holds tells that it may wait in the queue.
	Holds bool
}

// Slot is an engine and the instant at which to send a prompt there. Index is the
// engine's among the candidates.
type Slot struct {
	Server ident.ServerName
	Index  int
	At     time.Time
	// Cost is the expected time to the first byte from now on, Ahead the part of it for
	// which the engine is booked.
	Cost  time.Duration
	Ahead time.Duration
	// Booked tells that the engine is kept for the prompt, Full that no engine can begin
	// it before it gives up. Where it is neither, who asks may ask again.
	Booked bool
	Full   bool
}

// Reserve finds the candidate with the least cost, and books it for the reading of a
// prompt unless a bound of the prompt is passed.
func (c *Clocks) Reserve(now time.Time, prompt *Prompt) Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	best := c.cheapest(now, prompt.Candidates)
	if prompt.Most > 0 && best.Cost > prompt.Most || prompt.Limit > 0 && best.Ahead > prompt.Limit {
		return best
	}
	best.Booked = true
	c.book(now, prompt, &best)
	return best
}

// book adds the reading of a prompt to an engine's clock.
func (c *Clocks) book(now time.Time, prompt *Prompt, slot *Slot) {
	reading := prompt.Candidates[slot.Index].Reading
	if slot.Ahead <= mostWait {
		reading += cmp.Or(prompt.Clear, clearStep)
	}
	c.busy[slot.Server] = now.Add(min(slot.Ahead+reading, mostBooked))
}

// ahead is how long an engine has to read what it is booked for.
func (c *Clocks) ahead(now time.Time, server ident.ServerName) time.Duration {
	return max(c.busy[server].Sub(now), 0)
}

func (c *Clocks) cheapest(now time.Time, candidates []Candidate) Slot {
	var best Slot
	for i := range candidates {
		one := &candidates[i]
		ahead := c.ahead(now, one.Server)
		cost := ahead + one.Reading + one.Beside
		if i == 0 || cost < best.Cost {
			best = Slot{
				Server: one.Server,
				Index:  i,
				At:     now.Add(min(ahead, mostWait)),
				Cost:   cost,
				Ahead:  ahead,
			}
		}
	}
	return best
}

func (c *Clocks) forget(now time.Time) {
	if c.busy == nil {
		c.busy = make(map[ident.ServerName]time.Time)
	}
	if now.Sub(c.sweep) < forgetAfter {
		return
	}
	c.sweep = now
	for server, until := range c.busy {
		if now.Sub(until) > forgetAfter {
			delete(c.busy, server)
		}
	}
}

// Host is a host that may be a pacer. Power is how fast it can work, in cores.
type Host struct {
	Name       ident.HostID
	Address    string
	DataCentre ident.DataCentre
	Region     ident.Region
	Power      float64
}

// hostsPerPacer is how many hosts send to the pacers of one group of models. Pacers of one
// region each count the places of an engine for themselves, and together send more than it
// has: so there are several only where one would not have the processor time.
const hostsPerPacer = 400

// Ranks is how many hosts may stand in for the first pacer, one after the other.
const Ranks = 2

// Pacers gives the hosts that pace the engines of a region for a model, the first
// one first: among the hosts there or, where there is none, among all.
func Pacers(hosts []Host, model ident.ModelName, region ident.Region) []Host {
	there := InRegion(hosts, region)
	if len(there) == 0 {
		there = hosts
	}
	return pacersOf(there, region, int(xxhash.Sum64String(string(model))%uint64(groups(hosts))))
}

// groups is how many groups the models are dealt out to, each with its pacers.
func groups(hosts []Host) int {
	return 1 + len(hosts)/hostsPerPacer
}

func pacersOf(there []Host, region ident.Region, group int) []Host {
	return FirstStrong(there, string(region)+"/"+strconv.Itoa(group), Ranks)
}

// AllPacers gives the first pacer of each group of each region.
func AllPacers(hosts []Host) []Host {
	var all []Host
	for region, there := range ByRegion(hosts) {
		for group := range groups(hosts) {
			all = append(all, pacersOf(there, region, group)[0])
		}
	}
	return all
}

// strongPart is the part of the strongest host's power from which on a host counts as
// strong.
const strongPart = 0.5

// FirstStrong gives the first hosts for a key, as First does, the strong ones before all
// others: a host with a fifth of a core does its duties late while another has most of
// its core to spare.
func FirstStrong(hosts []Host, key string, most int) []Host {
	strongest := 0.0
	for i := range hosts {
		strongest = max(strongest, hosts[i].Power)
	}
	var strong, rest []Host
	for i := range hosts {
		if hosts[i].Power >= strongPart*strongest {
			strong = append(strong, hosts[i])
		} else {
			rest = append(rest, hosts[i])
		}
	}
	first := First(strong, key, most)
	return append(first, First(rest, key, most-len(first))...)
}

// ByRegion gives the hosts of each region.
func ByRegion(hosts []Host) map[ident.Region][]Host {
	regions := make(map[ident.Region][]Host)
	for i := range hosts {
		regions[hosts[i].Region] = append(regions[hosts[i].Region], hosts[i])
	}
	return regions
}

// InDataCentre gives the hosts of a data centre.
func InDataCentre(hosts []Host, dataCentre ident.DataCentre) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.DataCentre != dataCentre })
}

// InRegion gives the hosts of a region.
func InRegion(hosts []Host, region ident.Region) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Region != region })
}

// First gives the first hosts for a key by rendezvous hashing, at most so many: all who
// know the same hosts find the same ones, and where one is lost the others move up.
func First(hosts []Host, key string, most int) []Host {
	rest := slices.Clone(hosts)
	var first []Host
	for len(first) < most && len(rest) > 0 {
		names := make([]string, 0, len(rest))
		for i := range rest {
			names = append(names, string(rest[i].Name))
		}
		top := ident.HostID(rendezvous.New(names, xxhash.Sum64String).Lookup(key))
		at := slices.IndexFunc(rest, func(h Host) bool { return h.Name == top })
		first = append(first, rest[at])
		rest = slices.Delete(rest, at, at+1)
	}
	return first
}
