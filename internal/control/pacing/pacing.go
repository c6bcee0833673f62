// Package pacing spreads the prompts that entry hosts send to one engine, so that
// no burst of them holds up the answers under way there.
//
// An engine reads prompts between the steps of its running answers: whatever has
// come since the last step is read in the next one, up to a bound, and each stream
// there pauses for as long. The pause between two events is two steps. So prompts
// that come together, by chance and from many hosts, make all streams of the engine
// late, while the same prompts one after the other make none late.
//
// For each engine one host, its pacer, keeps the instant up to which the engine has
// prompts to read. Who wants to send there asks the pacer first, tells how long the
// engine will read, and gets the instant to send at. Nothing is given back and
// nothing is kept but the instant: a pacer that is lost costs some pauses, and no
// promise rests on it.
//
// # Usage
//
//	var clocks pacing.Clocks
//	at := clocks.Reserve(now, "i-7f3a91c2", 60*time.Millisecond)
//	// send at that instant
//
// # Which host is the pacer
//
// Pacer gives it by rendezvous hashing over the hosts of the engine's region, so
// that all hosts find the same one without a word. Where they don't agree for a
// while, an engine has two pacers.
package pacing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

// forgetAfter is how long a clock that stands in the past is kept.
const forgetAfter = 10 * time.Second

// Clocks has a clock for each engine. The zero value works; it is safe for use by
// many goroutines.
type Clocks struct {
	mu    sync.Mutex
	busy  map[ident.ServerName]time.Time
	sweep time.Time
}

// Reserve books an engine for the reading of a prompt, and gives the instant at
// which to send it.
func (c *Clocks) Reserve(now time.Time, server ident.ServerName, reading time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	busyUntil := c.busy[server]
	if busyUntil.Before(now) {
		busyUntil = now
	}
	if limit := now.Add(mostWait); busyUntil.After(limit) {
		busyUntil = limit
	}
	c.busy[server] = busyUntil.Add(reading + clearStep)
	return busyUntil
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

// Host is a host that may be a pacer.
type Host struct {
	Name    ident.HostID
	Address string
	Region  ident.Region
}

// Pacer gives the host that paces an engine of a region, among the hosts there or,
// where there is none, among all. The zero Host where there are none at all.
func Pacer(hosts []Host, server ident.ServerName, region ident.Region) Host {
	var best, anywhere Host
	var highest, highestAnywhere uint64
	for _, host := range hosts {
		weight := xxhash.Sum64String(string(host.Name) + "/" + string(server))
		if host.Region == region && weight >= highest {
			best, highest = host, weight
		}
		if weight >= highestAnywhere {
			anywhere, highestAnywhere = host, weight
		}
	}
	if best.Name == "" {
		return anywhere
	}
	return best
}
