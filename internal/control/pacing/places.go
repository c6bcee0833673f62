package pacing

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Ticket names one prompt on its way, among all that a pacer has sent to engines.
type Ticket uint64

const (
	// placesPerSpare is for how many places of an engine one prompt more is sent to it:
	// so few wait there for the next place while the word that one is free is on its way
	// to the pacer and the next prompt from its host to the engine. One of 32 places comes
	// free every 50 ms; the two that wait there lose 0.1 s at most.
	placesPerSpare = 16
	// loadLag is how old an engine's word on its load is at most when it comes: some
	// hundred milliseconds at the engine, a round of reports, which takes a second at some
	// hundred engines, and a round each of a reader and of the hosts. A word that is older
	// would free places of prompts that have been sent since.
	loadLag = 3 * time.Second
	// loadTrust is how long such a word is held against what the pacer counts itself.
	loadTrust = 3 * time.Second
	// forgetTicket is when a prompt counts as ended of which no host has said so: its host
	// may be gone, and hardly any answer takes longer.
	forgetTicket = 20 * time.Second
)

// places counts what runs at one engine: what this pacer has sent there, held against
// what the engine says. The count is exact at once, but knows nothing of what others have
// sent, and not that a host is gone; the engine's word knows all, a second late.
type places struct {
	running map[Ticket]time.Time
	// ended has the instants at which prompts ended there, while they are newer than
	// loadLag.
	ended   []time.Time
	load    int
	heardAt time.Time
	// waiters are those in the queue who may have the engine.
	waiters []*Waiter
	// counted is what taken gave at countedAt, if nothing has changed since: a look at all
	// who wait asks for it once for each of them.
	counted   int
	countedAt time.Time
}

func (p *places) send(now time.Time, ticket Ticket) {
	if p.running == nil {
		p.running = make(map[Ticket]time.Time)
	}
	p.running[ticket] = now
	p.countedAt = time.Time{}
}

// end gives when the prompt was sent, if it was running.
func (p *places) end(now time.Time, ticket Ticket) (time.Time, bool) {
	p.ended = append(p.ended, now)
	sent, was := p.running[ticket]
	delete(p.running, ticket)
	p.countedAt = time.Time{}
	return sent, was
}

func (p *places) hear(now time.Time, load int) {
	p.load = load
	p.heardAt = now
	p.countedAt = time.Time{}
}

// taken is how many prompts run at the engine, or wait there.
func (p *places) taken(now time.Time) int {
	if p.countedAt.IsZero() || !p.countedAt.Equal(now) {
		p.counted = p.count(now)
		p.countedAt = now
	}
	return p.counted
}

func (p *places) count(now time.Time) int {
	count, fresh := 0, 0
	for ticket, sent := range p.running {
		age := now.Sub(sent)
		if age > forgetTicket {
			delete(p.running, ticket)
			continue
		}
		count++
		if age <= loadLag {
			fresh++
		}
	}
	for len(p.ended) > 0 && now.Sub(p.ended[0]) > loadLag {
		p.ended = p.ended[1:]
	}
	if p.heardAt.IsZero() || now.Sub(p.heardAt) > loadTrust {
		return count
	}
	return min(max(count, p.load-len(p.ended)), p.load+fresh)
}

// forgettable tells that nothing is known of an engine that would be missed.
func (p *places) forgettable(now time.Time) bool {
	return len(p.running) == 0 && len(p.waiters) == 0 && now.Sub(p.heardAt) > loadTrust
}

// Load is an engine's word on how many prompts run there or wait.
type Load struct {
	Server ident.ServerName
	Load   int
}
