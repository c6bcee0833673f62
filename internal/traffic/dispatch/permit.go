package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/traffic/limiter"
)

// takeReplica chooses a server that accepts the request by its own word, and waits until the
// request may be sent there.
func (h *requestHandler) takeReplica(ctx context.Context) (routing.Choice, *Failure) {
	h.routing.OpenBy = time.Time{}
	for {
		choice, failure := h.chooseReplica(ctx)
		if failure != nil {
			if !h.routing.OpenBy.IsZero() || !h.opensBy(h.firstTokenLimit()) {
				return choice, failure
			}
			h.routing.OpenBy = h.firstTokenLimit()
			continue
		}
		state := choice.Replica.Pressure.State()
		if !h.waitUntil(ctx, state.RestUntil) {
			return choice, h.failAbandoned(ctx)
		}
		target := targetOf(choice)
		permit, answer := target.Acquire(ctx, h.Limits, h.Now(), h.routing.OpenBy)
		if answer.Outcome != permits.Granted {
			if !answer.SendAt.After(h.routing.OpenBy) {
				return choice, h.failClosed(answer.SendAt)
			}
			continue
		}
		if !h.waitUntil(ctx, permit.SendAt) {
			target.Settle(h.Limits, permit, limiter.NotSent())
			return choice, h.failAbandoned(ctx)
		}
		if target.Allows(permit, permit.SendAt, h.Now()) {
			h.permit = permit
			return choice, nil
		}
		target.Settle(h.Limits, permit, limiter.NotSent())
	}
}

// opensBy reports whether all servers accept no request now by their own word, and one of them
// will in time.
func (h *requestHandler) opensBy(limit time.Time) bool {
	opensAt, isClosed := h.target.OpensAt(&h.routing)
	return isClosed && !opensAt.After(limit)
}

// failClosed refuses a request that all servers have asked to come later.
func (h *requestHandler) failClosed(opensAt time.Time) *Failure {
	return h.fail(CodeTooBusy, "the backend servers accept no requests for now", opensAt)
}

func targetOf(choice routing.Choice) limiter.Target {
	return limiter.Target{
		Server:      choice.Replica.Server,
		Incarnation: choice.Replica.Incarnation,
		Region:      choice.Replica.Region,
		Pressure:    choice.Replica.Pressure,
	}
}

// waitUntil returns false if the context ends first.
func (h *requestHandler) waitUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(h.Now())
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordSignals records what a server's answer says about the requests that it accepts.
func (h *requestHandler) recordSignals(choice routing.Choice, signals backend.Signals) {
	target := targetOf(choice)
	request := zap.String("RequestID", string(h.request.ID))
	if change := target.Record(h.Log, request, h.sentAt, h.Now(), signals); change.LimitEnded {
		h.Limits.ReportLimitEnded(target.LimitEnded(h.sentAt))
	}
	target.Settle(h.Limits, h.permit, limiter.Answered(h.Now(), signals.IsFull))
	h.permit = limiter.Permit{}
}
