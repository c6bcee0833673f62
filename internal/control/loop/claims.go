package loop

import (
	"context"
	"time"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// waiterKey identifies a claim, finish or release whose sender waits for the answer.
// The origin is empty for a caller of this host.
type waiterKey struct {
	attempt ident.AttemptID
	origin  ident.HostID
}

// tickClaims steps the claims machine when its next tick is due.
func (c *control) tickClaims(now time.Time) {
	due := c.claims.NextTick()
	if !due.IsZero() && !now.Before(due) {
		c.runClaimCommands(now, c.claims.Step(now, claims.Tick{}))
	}
}

// runClaimCommands starts a worker for each command that makes a call, and delivers answers.
func (c *control) runClaimCommands(now time.Time, commands []claims.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case claims.ReadPartition:
			c.readPartition(command)
		case claims.SwapPartition:
			c.swapPartition(command)
		case claims.ForwardClaim:
			c.forwardClaim(now, command)
		case claims.ForwardFinish:
			c.forwardUpdate(command.To, command.Finish.Attempt, func(ctx context.Context, address string) (bool, error) {
				return c.pool.Finish(ctx, address, command.Finish)
			})
		case claims.ForwardRelease:
			c.forwardUpdate(command.To, command.Release.Attempt, func(ctx context.Context, address string) (bool, error) {
				return c.pool.Release(ctx, address, command.Release)
			})
		case claims.Answer:
			c.answerClaim(command)
		case claims.UpdateResult:
			c.answerUpdate(command)
		}
	}
}

// claimsEvent is an event for the claims machine.
type claimsEvent struct {
	event claims.Event
}

func (m claimsEvent) apply(now time.Time, c *control) {
	c.runClaimCommands(now, c.claims.Step(now, m.event))
}

func (l *Loop) readPartition(command claims.ReadPartition) {
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		entries, err := l.readPages(ctx, command)
		l.send(claimsEvent{
			event: claims.PageRead{
				Partition: command.Partition,
				CallID:    command.CallID,
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
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		result, err := l.options.KeyValue.Swap(ctx, command.Swap)
		l.send(claimsEvent{
			event: claims.SwapAnswered{
				Partition: command.Partition,
				CallID:    command.CallID,
				Result:    result,
				Err:       err,
			},
		})
	})
}

func (c *control) forwardClaim(now time.Time, command claims.ForwardClaim) {
	address, _ := c.membership.Address(command.To)
	timeout := min(max(command.Claim.Deadline.Sub(now), minSleep), c.callTimeout())
	c.startWorker(timeout, func(ctx context.Context) {
		answer, err := c.pool.Claim(ctx, address, command.Claim)
		if err != nil {
			// The machine finds the waiting claim by these fields.
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

func (c *control) forwardUpdate(host ident.HostID, attempt ident.AttemptID, call func(ctx context.Context, address string) (bool, error)) {
	address, _ := c.membership.Address(host)
	c.startWorker(c.callTimeout(), func(ctx context.Context) {
		recorded, err := call(ctx, address)
		c.send(claimsEvent{
			event: claims.UpdateForwarded{
				Attempt:  attempt,
				Recorded: recorded,
				Err:      err,
			},
		})
	})
}

func (c *control) answerClaim(answer claims.Answer) {
	key := waiterKey{
		attempt: answer.Attempt,
		origin:  answer.Origin,
	}
	if waiter, found := c.claimWaiters[key]; found {
		delete(c.claimWaiters, key)
		waiter <- answer
	}
}

func (c *control) answerUpdate(result claims.UpdateResult) {
	key := waiterKey{
		attempt: result.Attempt,
		origin:  result.Origin,
	}
	if waiter, found := c.updateWaiters[key]; found {
		delete(c.updateWaiters, key)
		waiter <- result.Recorded
	}
}

// claimRequest is a claim whose sender waits for the answer.
type claimRequest struct {
	claim  claims.Claim
	answer chan claims.Answer
}

func (m claimRequest) apply(now time.Time, c *control) {
	c.claimWaiters[waiterKey{
		attempt: m.claim.Attempt,
		origin:  m.claim.Origin,
	}] = m.answer
	c.runClaimCommands(now, c.claims.Step(now, m.claim))
}

// Claim implements dispatch.Claims for this host's own callers.
func (l *Loop) Claim(ctx context.Context, claim claims.Claim) claims.Answer {
	claim.KeepUntil = time.Now().Add(l.options.Settings.Claims.Keep)
	answer, err := l.ClaimForPeer(ctx, claim)
	if err != nil {
		// The zero verdict is Unknown: this attempt won't be sent, but its claim may
		// be written.
		return claims.Answer{
			Attempt: claim.Attempt,
			Reason:  err.Error(),
		}
	}
	return answer
}

// ClaimForPeer implements entryhost.Handler: it carries out a claim for another host.
func (l *Loop) ClaimForPeer(ctx context.Context, claim claims.Claim) (claims.Answer, error) {
	answer := make(chan claims.Answer, 1)
	if !l.send(claimRequest{
		claim:  claim,
		answer: answer,
	}) {
		return claims.Answer{}, errStopping
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

// updateRequest is a finish or release; another host waits until it is recorded.
type updateRequest struct {
	key    waiterKey
	event  claims.Event
	answer chan bool
}

func (m updateRequest) apply(now time.Time, c *control) {
	c.updateWaiters[m.key] = m.answer
	c.runClaimCommands(now, c.claims.Step(now, m.event))
}

// FinishForPeer implements entryhost.Handler.
func (l *Loop) FinishForPeer(ctx context.Context, finish claims.Finish) (bool, error) {
	return l.submitUpdate(ctx, waiterKey{
		attempt: finish.Attempt,
		origin:  finish.Origin,
	}, finish)
}

// ReleaseForPeer implements entryhost.Handler.
func (l *Loop) ReleaseForPeer(ctx context.Context, release claims.Release) (bool, error) {
	return l.submitUpdate(ctx, waiterKey{
		attempt: release.Attempt,
		origin:  release.Origin,
	}, release)
}

func (l *Loop) submitUpdate(ctx context.Context, key waiterKey, event claims.Event) (bool, error) {
	answer := make(chan bool, 1)
	if !l.send(updateRequest{
		key:    key,
		event:  event,
		answer: answer,
	}) {
		return false, errStopping
	}
	return await(ctx, l, answer)
}
