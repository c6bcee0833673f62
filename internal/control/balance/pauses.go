package balance

import (
	"cmp"
	"time"
)

// Bounds and steps of the prefill cooldown, the time for which an engine gets no further
// prompt after each one. How many prompts an engine can prefill in a row before a stream
// pauses for longer than its route allows depends on values that no engine reports: how
// long a step takes, how many steps make an event and how much of a prompt one step
// processes. Their effect can be observed, so the cooldown shrinks with each stream without
// too long a pause and grows with each stream that had one. It settles where one stream of
// forty has too long a pause; in return more prompts start in time.
//
// The longest cooldown is in proportion to the tokens of an event: the more steps a pause
// spans, the more of them may contain a prompt.
const (
	cooldownPerToken      = 12500 * time.Microsecond
	defaultTokensPerEvent = 2
	minPrefillCooldown    = time.Millisecond
	cooldownIncrease      = 4 * time.Millisecond
	cooldownDecrease      = 100 * time.Microsecond
)

// RecordStream adjusts the cooldown to a stream that has ended; paused reports that it
// paused for longer than its route allows.
func (p *Pool) RecordStream(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused {
		p.clear = min(p.clear+cooldownIncrease, p.maxPrefillCooldown())
		return
	}
	p.clear = max(p.clear-cooldownDecrease, minPrefillCooldown)
}

// SetTokensPerEvent sets how many tokens an event of a stream has, 0 if that isn't known.
func (p *Pool) SetTokensPerEvent(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokensPerEvent = tokens
	p.clear = min(p.clear, p.maxPrefillCooldown())
}

func (p *Pool) maxPrefillCooldown() time.Duration {
	return cooldownPerToken * time.Duration(cmp.Or(p.tokensPerEvent, defaultTokensPerEvent))
}

// PrefillCooldown is how long an engine must get no further prompt after each one.
func (p *Pool) PrefillCooldown() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clear
}
