package dispatch

import (
	"context"
	"time"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/domain/ident"
)

// Claims makes requests that may not be repeated run at most once.
type Claims interface {
	// Claim waits until the claim is decided. Only claims.Granted allows sending.
	Claim(ctx context.Context, claim claims.Claim) claims.Answer
	// Finish and Release tell how a granted claim ended; one of them is told
	// where that is known.
	Finish(finish claims.Finish)
	Release(release claims.Release)
}

// claims tells whether the request needs a claim.
func (j *journey) claims() bool {
	return !j.mayRepeat && j.request.Key != ""
}

// claim gets the right to send the request. It gives a stored answer where the
// request has run before, or the failure that ends it.
func (j *journey) claim(ctx context.Context) (*Whole, *Failure) {
	if !j.claims() {
		return nil, nil
	}
	j.claimed = ident.NewAttemptID()
	answer := j.Claims.Claim(ctx, claims.Claim{
		Team:        j.target.Team,
		Key:         j.request.Key,
		Attempt:     j.claimed,
		Fingerprint: j.fingerprint,
		Deadline:    j.request.Deadline,
	})
	switch answer.Verdict {
	case claims.Granted:
		return nil, nil
	case claims.Finished:
		return j.ranBefore(answer)
	case claims.Refused:
		return nil, j.claimRefused(answer)
	case claims.KeyReused:
		return nil, j.fail(CodeKeyReused, "this idempotency key belongs to a request with another content; this request was not run", time.Time{})
	case claims.ClaimedByOther:
		j.trail.FoundClaimed()
		return nil, j.fail(CodeClaimedByOther, "another attempt at this request holds its claim and may have run it", answer.RetryAt)
	default:
		j.trail.FoundClaimed()
		return nil, j.fail(CodeClaimUnknown, "this attempt was not run; whether an earlier one was could not be learnt: "+answer.Reason, answer.RetryAt)
	}
}

// claimRefused ends an attempt that was not run and won't be. Whether the
// request was run is another matter: an earlier attempt at its key may have
// been, through another host, and only a proof that the key was free excludes it.
func (j *journey) claimRefused(answer claims.Answer) *Failure {
	if answer.Proof != claims.ProofKey {
		j.trail.FoundClaimed()
		return j.fail(CodeClaimRefused, "this attempt was not run, an earlier one may have been: "+answer.Reason, answer.RetryAt)
	}
	return j.fail(CodeClaimRefused, answer.Reason, answer.RetryAt)
}

func (j *journey) ranBefore(answer claims.Answer) (*Whole, *Failure) {
	j.trail.FoundFinished()
	if !answer.Whole {
		return nil, j.fail(CodeAlreadyRun, "this request has run to its end before; its answer was too large to keep", time.Time{})
	}
	return &Whole{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		Replayed:    true,
	}, nil
}

// endClaim tells the claim how the request ended. Where that isn't known, the
// claim stays as it is: it may have run, for as long as keys are kept.
func (j *journey) endClaim(answer Whole) {
	if !j.claims() {
		return
	}
	result := j.trail.Outcome()
	switch {
	case result.IsRan():
		j.Claims.Finish(claims.Finish{
			Team:        j.target.Team,
			Key:         j.request.Key,
			Attempt:     j.claimed,
			Status:      answer.Status,
			Body:        answer.Body,
			ContentType: answer.ContentType,
		})
	case result.IsNotRun():
		j.Claims.Release(claims.Release{
			Team:    j.target.Team,
			Key:     j.request.Key,
			Attempt: j.claimed,
			Outcome: result,
		})
	}
}
