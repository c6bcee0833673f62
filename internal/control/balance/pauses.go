package balance

import "time"

// Bounds on what engines are kept clear of prompts for after each one, and how it follows
// from the streams' pauses. How many prompts may be read one after the other before a
// stream pauses for longer than its route allows depends on the engines: how long a step
// takes, how many make an event and how much of a prompt is read in one. None of them is
// told, but their effect is seen. So the time shrinks with each stream that paused for no
// longer than it may, and grows with each that did: it comes to rest where one stream of
// forty is late by a pause. That many prompts more begin in time instead.
const (
	mostClear   = 25 * time.Millisecond
	leastClear  = time.Millisecond
	clearGrows  = 4 * time.Millisecond
	clearShrink = 100 * time.Microsecond
)

// Streamed takes in whether a stream paused for longer than it may.
func (p *Pool) Streamed(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused {
		p.clear = min(p.clear+clearGrows, mostClear)
		return
	}
	p.clear = max(p.clear-clearShrink, leastClear)
}

// Clear is for how long an engine is to be kept clear of prompts after each one.
func (p *Pool) Clear() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clear
}
