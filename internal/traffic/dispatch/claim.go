package dispatch

import (
	"context"
	"time"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/domain/ident"
)

// Claims ensures that requests that may not be repeated run at most once.
type Claims interface {
	// Claim waits until the claim is decided. Only claims.Granted permits
	// sending the request.
	Claim(ctx context.Context, claim claims.Claim) claims.Answer
	// Finish and Release report how a granted claim ended. One of them is
	// called if that is known.
	Finish(finish claims.Finish)
	Release(release claims.Release)
}

// needsClaim reports whether the request needs a claim.
func (h *requestHandler) needsClaim() bool {
	return !h.mayRepeat && h.request.IdempotencyKey != ""
}

// claim acquires the claim that permits sending the request. It returns a
// stored answer if the request has run before, or the failure that ends the
// request.
func (h *requestHandler) claim(ctx context.Context) (*Answer, *Failure) {
	if !h.needsClaim() {
		return nil, nil
	}
	h.claimAttempt = ident.NewAttemptID()
	answer := h.Claims.Claim(ctx, claims.Claim{
		Team:        h.target.Team,
		Key:         h.request.IdempotencyKey,
		Attempt:     h.claimAttempt,
		Fingerprint: h.fingerprint,
		Deadline:    h.request.Deadline,
	})
	switch answer.Verdict {
	case claims.Granted:
		return nil, nil
	case claims.Finished:
		return h.storedAnswer(answer)
	case claims.Refused:
		return nil, h.failClaimRefused(answer)
	case claims.KeyReused:
		return nil, h.fail(CodeKeyReused, "this idempotency key belongs to a request with another content; this request was not run", time.Time{})
	case claims.ClaimedByOther:
		h.history.RecordClaimFound()
		return nil, h.fail(CodeClaimedByOther, "another attempt at this request holds its claim and may have run it", answer.RetryAt)
	default:
		h.history.RecordClaimFound()
		return nil, h.fail(CodeClaimUnknown, "this attempt was not run; whether an earlier one was could not be learnt: "+answer.Reason, answer.RetryAt)
	}
}

// failClaimRefused ends a request whose claim was refused, so that this attempt
// is not run. An earlier attempt with the same key may have run through another
// host, unless the refusal proves that the key was free.
func (h *requestHandler) failClaimRefused(answer claims.Answer) *Failure {
	if answer.Proof != claims.ProofKeyFree {
		h.history.RecordClaimFound()
		return h.fail(CodeClaimRefused, "this attempt was not run, an earlier one may have been: "+answer.Reason, answer.RetryAt)
	}
	return h.fail(CodeClaimRefused, answer.Reason, answer.RetryAt)
}

func (h *requestHandler) storedAnswer(answer claims.Answer) (*Answer, *Failure) {
	h.history.RecordFinishFound()
	if !answer.BodyKept {
		return nil, h.fail(CodeAlreadyRun, "this request has run to its end before; its answer was too large to keep", time.Time{})
	}
	return &Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		Replayed:    true,
	}, nil
}

// settleClaim reports the outcome of the request to its claim. If the outcome
// is unknown, the claim stays as it is and reads "may have run" for as long as
// keys are kept.
func (h *requestHandler) settleClaim(answer Answer) {
	if !h.needsClaim() {
		return
	}
	result := h.history.Outcome()
	switch {
	case result.IsRan():
		h.Claims.Finish(claims.Finish{
			Team:        h.target.Team,
			Key:         h.request.IdempotencyKey,
			Attempt:     h.claimAttempt,
			Status:      answer.Status,
			Body:        answer.Body,
			ContentType: answer.ContentType,
		})
	case result.IsNotRun():
		h.Claims.Release(claims.Release{
			Team:    h.target.Team,
			Key:     h.request.IdempotencyKey,
			Attempt: h.claimAttempt,
			Outcome: result,
		})
	}
}
