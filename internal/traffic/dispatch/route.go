package dispatch

import (
	"context"
	"math"
	"time"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Delays until a failed request may be repeated, where nothing better is known.
const (
	retryAfterNoReplica = 2 * time.Second
	retryAfterFailure   = time.Second
	retryAfterSuspect   = time.Second
)

// chooseReplica chooses the next backend server for the request, or returns the
// failure that ends it. A request that can't be answered in time any more is
// refused at once: waiting, it would take the slot of one that still can.
func (h *requestHandler) chooseReplica(ctx context.Context) (routing.Choice, *Failure) {
	now := h.Now()
	if !now.Before(h.request.Deadline) {
		return routing.Choice{}, h.fail(CodeDeadlinePassed, "the deadline has passed", time.Time{})
	}
	h.routing.OtherRegion = false
	choice, failure := h.chooseInRegion(ctx)
	// A request that may have crashed a server stays in this region, within the
	// two replicas that it is confined to.
	if failure == nil || !h.target.HasOtherRegionReplicas() || h.lostAttempts > 0 {
		return choice, failure
	}
	return h.chooseInOtherRegion(ctx, failure)
}

// chooseInRegion chooses a replica in this region, or in another one if
// routing.Elsewhere is set, and checks whether it can answer in time.
func (h *requestHandler) chooseInRegion(ctx context.Context) (routing.Choice, *Failure) {
	choice, err := h.pickReplica(ctx)
	now := h.Now()
	if err != nil {
		return routing.Choice{}, h.failNoReplica(now)
	}
	if h.routing.NumTried > 0 {
		return choice, nil
	}
	return choice, h.admit(choice.Replica, now)
}

// chooseInOtherRegion chooses a replica in another region for a request that
// this one can't answer, if the link has capacity and the answer would arrive
// in time: before the promised time if this region is busy, before the deadline
// if it has no replica.
func (h *requestHandler) chooseInOtherRegion(ctx context.Context, localFailure *Failure) (routing.Choice, *Failure) {
	now := h.Now()
	freeAt, isAllowed := h.LinkLimiter.AvailableAt(now)
	if !isAllowed {
		return routing.Choice{}, localFailure
	}
	if freeAt.After(now) {
		return routing.Choice{}, h.fail(CodeTooBusy, localFailure.Message+"; the link to the other region is full", freeAt)
	}
	h.routing.OtherRegion = true
	choice, failure := h.chooseInRegion(ctx)
	if failure != nil {
		return routing.Choice{}, localFailure
	}
	limit := h.request.Deadline
	if localFailure.Code == CodeTooBusy {
		limit = h.firstTokenLimit()
	}
	if now.Add(choice.ExpectedTTFT).After(limit) {
		return routing.Choice{}, localFailure
	}
	return choice, nil
}

// firstTokenLimit returns when the first token must arrive: at the promised
// time, which counts from the arrival of the request, or at the deadline if
// that is earlier.
func (h *requestHandler) firstTokenLimit() time.Time {
	if h.request.Deadline.Before(h.promisedAt) {
		return h.request.Deadline
	}
	return h.promisedAt
}

// admit refuses the request if a replica can't answer it in time. Nothing is
// refused if no recent report describes the replica's queue.
func (h *requestHandler) admit(replica *routing.Replica, now time.Time) *Failure {
	if !replica.LoadTracker.HasValidReport(now) {
		return nil
	}
	lateBy, refused := replica.Team.Peek(h.classPosition).ShouldRefuse(replica.ServerLoad(now), now, h.firstTokenLimit())
	if !refused {
		return nil
	}
	// The queue will be short enough after the time that the request would be
	// late. Random jitter keeps requests that were refused together from
	// returning together.
	retryAfter := lateBy + time.Duration(float64(lateBy)*maxRetryJitter*float64(h.routing.Random)/math.MaxUint64)
	return h.fail(CodeTooBusy, "the promised time can't be met now: "+lateBy.Round(time.Millisecond).String()+" too late", now.Add(retryAfter))
}

// maxRetryJitter is the largest share by which a retry delay is extended.
const maxRetryJitter = 0.5

// A request that needs an idle backend server waits for one for at most
// replicaWaitTimeout, and checks every replicaWaitInterval.
const (
	replicaWaitTimeout  = 2 * time.Second
	replicaWaitInterval = 10 * time.Millisecond
)

// pickReplica asks the policy for a replica. A suspect waits for a replica with
// nothing else in flight: most suspects are harmless, and the other requests on
// the replica end soon.
//
// A content that has never been answered may crash the servers that run it, and
// many copies of it may arrive at once through all hosts before the first crash
// is known. So it is confined to two replicas. Only if these are gone for
// another reason may other replicas run it: at once if no server has crashed
// recently, otherwise after the time within which a host learns of crashes.
func (h *requestHandler) pickReplica(ctx context.Context) (routing.Choice, error) {
	start := h.Now()
	for {
		h.routing.Now = h.Now()
		if h.verdict = h.ControlPlane.Suspects().Verdict(h.fingerprint); h.verdict == suspects.Refuse {
			return routing.Choice{}, routing.ErrNoReplica
		}
		h.routing.IdleOnly = h.lostAttempts > 0 || h.verdict == suspects.ServeAlone
		choice, err := h.Policy.Choose(h.target, &h.routing)
		waited := h.routing.Now.Sub(start)
		if err == nil || !h.shouldWait(waited) {
			return choice, err
		}
		if h.canLeaveFirstReplicas(waited) {
			h.routing.PairOnly = false
			continue
		}
		if !h.waitUntil(ctx, h.Now().Add(replicaWaitInterval)) {
			return choice, err
		}
	}
}

// shouldWait reports whether a replica may still become available.
func (h *requestHandler) shouldWait(waited time.Duration) bool {
	return (h.routing.IdleOnly || h.routing.PairOnly) && waited < replicaWaitTimeout
}

// canLeaveFirstReplicas reports whether a confined request may use other
// replicas.
func (h *requestHandler) canLeaveFirstReplicas(waited time.Duration) bool {
	return h.routing.PairOnly && h.lostAttempts == 0 && (waited >= maxConfinedWait || !h.crashNotice.isRecent(h.routing.Now))
}

func (h *requestHandler) failNoReplica(now time.Time) *Failure {
	opensAt, isClosed := h.target.OpensAt(&h.routing)
	switch {
	case h.verdict == suspects.Refuse:
		return h.failSuspect()
	case isClosed:
		return h.failClosed(opensAt)
	case h.routing.NumTried > 0:
		return h.fail(CodeBackendFailed, "no backend server is left to try", now.Add(retryAfterFailure))
	case h.verdict == suspects.ServeAlone && h.hasBusyReplica():
		return h.fail(CodeTooBusy, "a backend server died while this request was under way there; it needs one to itself and none is free", now.Add(retryAfterSuspect))
	default:
		return h.fail(CodeNoReplica, "no replica is ready", now.Add(retryAfterNoReplica))
	}
}

// hasBusyReplica reports whether a replica would serve the request if it needed none to itself.
func (h *requestHandler) hasBusyReplica() bool {
	request := h.routing
	request.IdleOnly = false
	_, err := h.Policy.Choose(h.target, &request)
	return err == nil
}

// startAttempt records an attempt before its first byte is sent.
func (h *requestHandler) startAttempt(choice routing.Choice) {
	h.attempt = ident.NewAttemptID()
	if h.routing.NumTried < routing.MaxTried {
		h.routing.Tried[h.routing.NumTried] = choice.Replica.Server
		h.routing.NumTried++
	}
	h.sentAt = h.Now()
	h.ticket = choice.Replica.Team.Acquire(h.classPosition)
	h.wasQueued = choice.Replica.LoadTracker.StartRequest(h.sentAt)
	if choice.Replica.InOtherRegion() {
		h.linkTransfer = h.LinkLimiter.StartTransfer(h.sentAt, unit.Bytes(len(h.request.Body)), h.ControlPlane.Table().HostsInRegion())
	}
	h.Metrics.countAttempt(h.target)
	h.history.RecordSend(h.attempt)
}

// endAttempt releases what an attempt holds, whatever its result.
func (h *requestHandler) endAttempt() {
	h.ticket.Release(false)
	h.linkTransfer.Finish(h.Now())
}

// canRetry reports whether the request may be sent to another backend server,
// regardless of the retry budget. provenNotRun says that the last attempt
// provably did not run it.
func (h *requestHandler) canRetry(provenNotRun bool) bool {
	if h.routing.NumTried >= routing.MaxTried || !h.Now().Before(h.request.Deadline) {
		return false
	}
	return provenNotRun || h.mayRepeat && h.verdict != suspects.ServeAlone
}

// recordLostAttempt records that a backend server stopped answering. A server
// that hangs did not crash; one whose connection was closed may have.
func (h *requestHandler) recordLostAttempt(choice routing.Choice, cause error, hasStalled bool) {
	choice.Replica.LoadTracker.RecordFailure(h.Now())
	h.Metrics.countLostAttempt(choice)
	if !hasStalled {
		// Until it is known whether this request crashed the server, it runs
		// alone: with others it could crash their server too, or be blamed for
		// their crash.
		h.lostAttempts++
		h.crashNotice.record(h.Now())
	}
	h.records().recordLostAttempt(h.Now(), h.requestInfo(), choice, cause)
	h.Reporter.ReportLostAttempt(suspects.LostAttempt{
		Fingerprint: h.fingerprint,
		Request:     h.request.ID,
		Attempt:     h.attempt,
		ServerIncarnation: suspects.ServerIncarnation{
			Server:      choice.Replica.Server,
			Incarnation: choice.Replica.Incarnation,
		},
		Address: choice.Replica.Address,
	})
}
