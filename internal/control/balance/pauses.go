package balance

import "time"

// Bounds and steps of the prefill cooldown, the time for which an engine gets no further
// prompt after each one. How many prompts an engine can prefill in a row before a stream
// pauses for longer than its route allows depends on values that no engine reports: how
// long a step takes, how many steps make an event and how much of a prompt one step
// processes. Their effect can be observed, so the cooldown shrinks with each stream without
// too long a pause and grows with each stream that had one. It settles where one stream of
// forty has too long a pause; in return more prompts start in time.
const (
	maxPrefillCooldown = 25 * time.Millisecond
	minPrefillCooldown = time.Millisecond
	cooldownIncrease   = 4 * time.Millisecond
	cooldownDecrease   = 100 * time.Microsecond
)

// RecordStream adjusts the cooldown to a stream that has ended; paused reports that it
// paused for longer than its route allows.
func (p *Pool) RecordStream(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused {
		p.clear = min(p.clear+cooldownIncrease, maxPrefillCooldown)
		return
	}
	p.clear = max(p.clear-cooldownDecrease, minPrefillCooldown)
}

// PrefillCooldown is how long an engine must get no further prompt after each one.
func (p *Pool) PrefillCooldown() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clear
}
