// Package overload decides how many new connections a host sheds while its processor is
// overloaded.
//
// Clients may all come to one host, which may have a small part of a core. If it accepted all of
// their requests, each would wait for the processor until its deadline passed. A connection that
// is closed before its request is read costs little, and its client can try another host at once,
// with a request of any kind.
//
// A Detector observes how long goroutines had to wait for the processor: all of them, as the runtime
// counts them, and one that asks for it at regular intervals. The first say little where most
// goroutines wait for a lock, whose owner waits for the processor. It raises the share of connections
// to shed step by step while many waited for long, and lowers it again more slowly.
// It never sheds all of them: a host that accepts no connection looks like one that is down. It
// reads no clock and no random source and is safe for concurrent use.
//
// # Usage
//
//	var detector overload.Detector
//	detector.Observe(overload.Sample{
//		At:      time.Now(),
//		Delayed: delayed,
//		Total:   total,
//		Wait:    wait,
//	})
//	if !detector.Admits(rand.Float64()) {
//		// close the new connection
//	}
package overload

import (
	"sync"
	"time"
)

const (
	// DelayThreshold is the wait for the processor from which on a goroutine counts as delayed.
	DelayThreshold = 50 * time.Millisecond
	// delayedShare is the share of delayed goroutines from which on the host is overloaded.
	delayedShare = 0.25
	// maxWait is the wait of the regular goroutine from which on the host is overloaded, maxSteps
	// the most steps that the share is raised at once for a longer one.
	maxWait  = 100 * time.Millisecond
	maxSteps = 4
	// maxShare bounds the share of connections that are shed.
	maxShare = 0.97
	// raise and lower are the steps of the share at each sample.
	raise = 0.1
	lower = 0.05
	// SampleInterval is the least time between two samples.
	SampleInterval = 100 * time.Millisecond
	// minTotal is how many goroutines a sample must have: fewer say little.
	minTotal = 10
)

// Sample counts the goroutines that have got the processor since the sample before.
type Sample struct {
	At time.Time
	// Delayed counts those that waited for DelayThreshold or longer, Total all.
	Delayed uint64
	Total   uint64
	// Wait is how long the goroutine that takes the samples has waited.
	Wait time.Duration
}

// steps returns by how many steps the sample raises the share, 0 if the host is not overloaded.
func (s *Sample) steps() float64 {
	switch {
	case s.Wait >= maxWait:
		return min(float64(s.Wait)/float64(maxWait), maxSteps)
	case s.Total >= minTotal && float64(s.Delayed) >= delayedShare*float64(s.Total):
		return 1
	}
	return 0
}

// Detector decides which new connections are shed. The zero value sheds none.
type Detector struct {
	mu        sync.Mutex
	share     float64
	wait      time.Duration
	sampledAt time.Time
}

// Observe takes a sample into account.
func (d *Detector) Observe(sample Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	intervals := float64(sample.At.Sub(d.sampledAt)) / float64(SampleInterval)
	d.sampledAt, d.wait = sample.At, sample.Wait
	if steps := sample.steps(); steps > 0 {
		d.share = min(d.share+steps*raise, maxShare)
		return
	}
	d.share = max(d.share-lower*intervals, 0)
}

// Share returns the share of new connections that are shed.
func (d *Detector) Share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.share
}

// Wait returns the wait for the processor at the last sample.
func (d *Detector) Wait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wait
}

// Admits reports whether to accept a connection. random is at least 0 and less than 1.
func (d *Detector) Admits(random float64) bool {
	return random >= d.Share()
}
