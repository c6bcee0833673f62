package loop

import (
	"context"
	"time"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// waiter names a claim, finish or release that somebody waits for. The origin
// is empty for a caller of this host.
type waiter struct {
	attempt ident.AttemptID
	origin  ident.HostID
}

// tickClaims steps the claims at the time that they asked for.
func (c *control) tickClaims(now time.Time) {
	due := c.claims.NextTick()
	if !due.IsZero() && !now.Before(due) {
		c.runClaims(now, c.claims.Step(now, claims.Tick{}))
	}
}

// runClaims starts a worker for each command.
func (c *control) runClaims(now time.Time, commands []claims.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case claims.ReadPartition:
			c.readPartition(command)
		case claims.SwapPartition:
			c.swapPartition(command)
		case claims.ForwardClaim:
			c.forwardClaim(now, command)
		case claims.ForwardFinish:
			c.forwardNote(command.To, command.Finish.Attempt, func(ctx context.Context, address string) (bool, error) {
				return c.pool.Finish(ctx, address, command.Finish)
			})
		case claims.ForwardRelease:
			c.forwardNote(command.To, command.Release.Attempt, func(ctx context.Context, address string) (bool, error) {
				return c.pool.Release(ctx, address, command.Release)
			})
		case claims.Answer:
			c.answerClaim(command)
		case claims.Recorded:
			c.answerNote(command)
		}
	}
}

// claimsEvent is an event for the claims' machine.
type claimsEvent struct {
	event claims.Event
}

func (m claimsEvent) apply(now time.Time, c *control) {
	c.runClaims(now, c.claims.Step(now, m.event))
}

func (l *Loop) readPartition(command claims.ReadPartition) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		entries, err := l.readPages(ctx, command)
		l.send(claimsEvent{
			event: claims.PageRead{
				Partition: command.Partition,
				Number:    command.Number,
				Entries:   entries,
				Err:       err,
			},
		})
	})
}

func (l *Loop) readPages(ctx context.Context, command claims.ReadPartition) ([]store.Entry, error) {
	if len(command.Keys) == 0 {
		listing, err := l.options.KeyValue.List(ctx, command.Prefix)
		return listing.Entries, err
	}
	entries := make([]store.Entry, 0, len(command.Keys))
	for _, key := range command.Keys {
		entry, err := l.options.KeyValue.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func (l *Loop) swapPartition(command claims.SwapPartition) {
	l.work(l.callTimeout(), func(ctx context.Context) {
		result, err := l.options.KeyValue.Swap(ctx, command.Swap)
		l.send(claimsEvent{
			event: claims.SwapAnswered{
				Partition: command.Partition,
				Number:    command.Number,
				Result:    result,
				Err:       err,
			},
		})
	})
}

func (c *control) forwardClaim(now time.Time, command claims.ForwardClaim) {
	address, _ := c.membership.Address(command.To)
	timeout := min(max(command.Claim.Deadline.Sub(now), leastNap), c.callTimeout())
	c.work(timeout, func(ctx context.Context) {
		answer, err := c.pool.Claim(ctx, address, command.Claim)
		if err != nil {
			// The machine knows the answer by the attempt that it is for.
			answer.Team = command.Claim.Team
			answer.Key = command.Claim.Key
			answer.Attempt = command.Claim.Attempt
		}
		answer.Origin = ""
		c.send(claimsEvent{
			event: claims.ClaimForwarded{
				Answer: answer,
				Err:    err,
			},
		})
	})
}

func (c *control) forwardNote(to ident.HostID, attempt ident.AttemptID, call func(ctx context.Context, address string) (bool, error)) {
	address, _ := c.membership.Address(to)
	c.work(c.callTimeout(), func(ctx context.Context) {
		recorded, err := call(ctx, address)
		c.send(claimsEvent{
			event: claims.NoteForwarded{
				Attempt:  attempt,
				Recorded: recorded,
				Err:      err,
			},
		})
	})
}

func (c *control) answerClaim(answer claims.Answer) {
	key := waiter{
		attempt: answer.Attempt,
		origin:  answer.Origin,
	}
	if waiting, found := c.claimers[key]; found {
		delete(c.claimers, key)
		waiting <- answer
	}
}

func (c *control) answerNote(recorded claims.Recorded) {
	key := waiter{
		attempt: recorded.Attempt,
		origin:  recorded.Origin,
	}
	if waiting, found := c.noters[key]; found {
		delete(c.noters, key)
		waiting <- recorded.Recorded
	}
}

// claimAsked is a claim that somebody waits for.
type claimAsked struct {
	claim  claims.Claim
	answer chan claims.Answer
}

func (m claimAsked) apply(now time.Time, c *control) {
	c.claimers[waiter{
		attempt: m.claim.Attempt,
		origin:  m.claim.Origin,
	}] = m.answer
	c.runClaims(now, c.claims.Step(now, m.claim))
}

// Claim implements dispatch.Claims for this host's own callers.
func (l *Loop) Claim(ctx context.Context, claim claims.Claim) claims.Answer {
	claim.KeepUntil = time.Now().Add(l.options.Settings.Claims.Keep)
	answer, err := l.ClaimFor(ctx, claim)
	if err != nil {
		// Unknown, the zero verdict: this attempt won't be sent, but its claim may
		// be written.
		return claims.Answer{
			Attempt: claim.Attempt,
			Reason:  err.Error(),
		}
	}
	return answer
}

// ClaimFor implements entryhost.Handler.
func (l *Loop) ClaimFor(ctx context.Context, claim claims.Claim) (claims.Answer, error) {
	answer := make(chan claims.Answer, 1)
	if !l.send(claimAsked{
		claim:  claim,
		answer: answer,
	}) {
		return claims.Answer{}, errEnding
	}
	return await(ctx, l, answer)
}

// Finish implements dispatch.Claims: it records that a granted claim was run.
func (l *Loop) Finish(finish claims.Finish) {
	l.send(claimsEvent{
		event: finish,
	})
}

// Release implements dispatch.Claims: it frees the key of a claim that provably
// was not run.
func (l *Loop) Release(release claims.Release) {
	l.send(claimsEvent{
		event: release,
	})
}

// noteAsked is a finish or release that another host waits for.
type noteAsked struct {
	key    waiter
	event  claims.Event
	answer chan bool
}

func (m noteAsked) apply(now time.Time, c *control) {
	c.noters[m.key] = m.answer
	c.runClaims(now, c.claims.Step(now, m.event))
}

// FinishFor implements entryhost.Handler.
func (l *Loop) FinishFor(ctx context.Context, finish claims.Finish) (bool, error) {
	return l.note(ctx, waiter{
		attempt: finish.Attempt,
		origin:  finish.Origin,
	}, finish)
}

// ReleaseFor implements entryhost.Handler.
func (l *Loop) ReleaseFor(ctx context.Context, release claims.Release) (bool, error) {
	return l.note(ctx, waiter{
		attempt: release.Attempt,
		origin:  release.Origin,
	}, release)
}

func (l *Loop) note(ctx context.Context, key waiter, event claims.Event) (bool, error) {
	answer := make(chan bool, 1)
	if !l.send(noteAsked{
		key:    key,
		event:  event,
		answer: answer,
	}) {
		return false, errEnding
	}
	return await(ctx, l, answer)
}
