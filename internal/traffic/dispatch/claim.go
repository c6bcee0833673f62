package dispatch

import (
	"context"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Verdict is what became of a claim.
type Verdict uint8

// The verdicts on a claim. The zero value forbids sending.
const (
	// ClaimUnknown: the claim may or may not be held; the request may not be sent.
	ClaimUnknown Verdict = iota
	// ClaimGranted: the claim is durable and this attempt's own.
	ClaimGranted
	// ClaimHeld: another attempt holds it; it may have run.
	ClaimHeld
	// ClaimFinished: the request has run to its end.
	ClaimFinished
	// ClaimRefused: no claim was made, and this attempt will never hold one.
	ClaimRefused
	// ClaimReused: the key belongs to a request with another content.
	ClaimReused
)

// ClaimRequest asks for the right to send a request that may not be repeated.
type ClaimRequest struct {
	Team        ident.TeamName
	Key         ident.IdempotencyKey
	Attempt     ident.AttemptID
	Fingerprint ident.Fingerprint
	Deadline    time.Time
}

// ClaimAnswer is the verdict with what goes with it.
type ClaimAnswer struct {
	Verdict Verdict
	// Stored is the answer of a finished request, where it was small enough.
	Stored  *Whole
	Reason  string
	RetryAt time.Time
}

// ClaimEnd tells how a granted claim ended.
type ClaimEnd struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// NotRun frees the key: the attempt provably was not run.
	NotRun bool
	Answer Whole
}

// Claims makes requests that may not be repeated run at most once.
type Claims interface {
	Claim(ctx context.Context, request ClaimRequest) ClaimAnswer
	// End must be told once for each granted claim whose end is known.
	End(ctx context.Context, end ClaimEnd)
}

// claim gets the right to send the request. It gives a stored answer where the
// request has run before, or the failure that ends it.
func (j *journey) claim(ctx context.Context) (*Whole, *Failure) {
	if !j.claims() {
		return nil, nil
	}
	j.claimed = ident.NewAttemptID()
	answer := j.Claims.Claim(ctx, ClaimRequest{
		Team:        j.target.Team,
		Key:         j.request.Key,
		Attempt:     j.claimed,
		Fingerprint: j.fingerprint,
		Deadline:    j.request.Deadline,
	})
	switch answer.Verdict {
	case ClaimGranted:
		return nil, nil
	case ClaimFinished:
		return j.finished(answer)
	case ClaimRefused:
		return nil, j.fail(CodeClaimRefused, answer.Reason, answer.RetryAt)
	case ClaimReused:
		return nil, j.fail(CodeKeyReused, "this idempotency key belongs to a request with another content; this request was not run", time.Time{})
	case ClaimHeld:
		j.trail.FoundClaimed()
		return nil, j.fail(CodeClaimedByOther, "another attempt at this request holds its claim and may have run it", answer.RetryAt)
	default:
		// Nothing was sent by this attempt and nothing will be, but the key may
		// have been claimed before by another one that this host couldn't see.
		j.trail.FoundClaimed()
		return nil, j.fail(CodeClaimUnknown, "whether this request was claimed before could not be learnt: "+answer.Reason, answer.RetryAt)
	}
}

func (j *journey) finished(answer ClaimAnswer) (*Whole, *Failure) {
	j.trail.FoundFinished()
	if answer.Stored == nil {
		return nil, j.fail(CodeAlreadyRun, "this request has run to its end before; its answer was too large to keep", time.Time{})
	}
	answer.Stored.Replayed = true
	return answer.Stored, nil
}

// claims tells whether the request needs a claim.
func (j *journey) claims() bool {
	return !j.mayRepeat && j.request.Key != ""
}

// endClaim tells the claim how the request ended. Where that isn't known, the
// claim stays as it is: it may have run, for as long as keys are kept.
func (j *journey) endClaim(ctx context.Context, failure *Failure, answer Whole) {
	if !j.claims() {
		return
	}
	result := j.trail.Outcome()
	if failure != nil && !result.IsNotRun() {
		return
	}
	// The caller may be gone by now; the claim's end must be told all the same.
	j.Claims.End(context.WithoutCancel(ctx), ClaimEnd{
		Team:    j.target.Team,
		Key:     j.request.Key,
		Attempt: j.claimed,
		NotRun:  failure != nil,
		Answer:  answer,
	})
}
