package pacing

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Ticket identifies one prompt in flight among all that a scheduler has sent to engines.
type Ticket uint64

const (
	// slotsPerExtraPrompt is the number of an engine's slots per prompt that is sent beyond
	// them. The extra prompts wait at the engine for the next slot, while the message about a
	// free slot travels to the scheduler and the next prompt from its host to the engine. One
	// of 32 slots becomes free every 50 ms; the two prompts that wait there lose 0.1 s at most.
	slotsPerExtraPrompt = 16
	// maxReportAge is the greatest age at which a load report of an engine is used. The age on
	// arrival is the sum of some hundred milliseconds at the engine, a round of reports, which
	// takes a second at some hundred engines, and a round each of a watcher and of the hosts.
	// An older report would free the slots of prompts that have been sent since.
	maxReportAge = 3 * time.Second
	// reportValidity is for how long a load report corrects the scheduler's own count.
	reportValidity = 3 * time.Second
	// ticketTTL is the time after which a prompt counts as ended without a message from its
	// host: the host may be gone, and hardly any answer takes longer.
	ticketTTL = 20 * time.Second
)

// slotUsage counts the prompts at one engine: those that this scheduler has sent there,
// corrected by the load that the engine reports. The own count is immediate, but knows neither
// the prompts of other schedulers nor that a host is gone; the report includes everything, a
// second late.
type slotUsage struct {
	// sentAt has the instant of sending for each prompt that runs at the engine.
	sentAt map[Ticket]time.Time
	// endedAt has the instants at which prompts ended, for the last maxReportAge.
	endedAt      []time.Time
	reportedLoad int
	reportedAt   time.Time
	// shortUntil is until when prompts are taken to compete for the engine's room: one that has an
	// account was lately refused, or nearly late, for want of it.
	shortUntil time.Time
	// waiters are the queued prompts for which this engine is a candidate.
	waiters []*Waiter
	// cachedCount is the result of inUse at cachedAt, valid until something changes: a pass
	// over all waiters asks for it once per waiter.
	cachedCount int
	cachedAt    time.Time
}

func (u *slotUsage) start(now time.Time, ticket Ticket) {
	if u.sentAt == nil {
		u.sentAt = make(map[Ticket]time.Time)
	}
	u.sentAt[ticket] = now
	u.cachedAt = time.Time{}
}

// end removes a prompt, and returns when it was sent if it was running.
func (u *slotUsage) end(now time.Time, ticket Ticket) (time.Time, bool) {
	u.endedAt = append(u.endedAt, now)
	sentAt, wasRunning := u.sentAt[ticket]
	delete(u.sentAt, ticket)
	u.cachedAt = time.Time{}
	return sentAt, wasRunning
}

func (u *slotUsage) setReported(now time.Time, load int) {
	u.reportedLoad = load
	u.reportedAt = now
	u.cachedAt = time.Time{}
}

// inUse returns the number of prompts that run or wait at the engine.
func (u *slotUsage) inUse(now time.Time) int {
	if u.cachedAt.IsZero() || !u.cachedAt.Equal(now) {
		u.cachedCount = u.count(now)
		u.cachedAt = now
	}
	return u.cachedCount
}

func (u *slotUsage) count(now time.Time) int {
	count, recent := 0, 0
	for ticket, sentAt := range u.sentAt {
		age := now.Sub(sentAt)
		if age > ticketTTL {
			delete(u.sentAt, ticket)
			continue
		}
		count++
		if age <= maxReportAge {
			recent++
		}
	}
	for len(u.endedAt) > 0 && now.Sub(u.endedAt[0]) > maxReportAge {
		u.endedAt = u.endedAt[1:]
	}
	if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > reportValidity {
		return count
	}
	return min(max(count, u.reportedLoad-len(u.endedAt)), u.reportedLoad+recent)
}

// isIdle returns whether nothing worth keeping is known of the engine.
func (u *slotUsage) isIdle(now time.Time) bool {
	return len(u.sentAt) == 0 && len(u.waiters) == 0 && !now.Before(u.shortUntil) && now.Sub(u.reportedAt) > reportValidity
}

// ServerLoad is the number of prompts that run or wait at an engine, as the engine reports it.
type ServerLoad struct {
	Server  ident.ServerName
	Prompts int
}
