package entryhost

import (
	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/entryhostpb"
)

// verdicts maps the verdicts on the wire to those of package claims. A verdict that a
// later version sends is missing here and decodes to claims.Unknown, which forbids
// sending the request.
var verdicts = map[entryhostpb.ClaimResponse_Verdict]claims.Verdict{
	entryhostpb.ClaimResponse_UNKNOWN:          claims.Unknown,
	entryhostpb.ClaimResponse_GRANTED:          claims.Granted,
	entryhostpb.ClaimResponse_CLAIMED_BY_OTHER: claims.ClaimedByOther,
	entryhostpb.ClaimResponse_FINISHED:         claims.Finished,
	entryhostpb.ClaimResponse_REFUSED:          claims.Refused,
	entryhostpb.ClaimResponse_KEY_REUSED:       claims.KeyReused,
}

// proofs maps the proofs on the wire to those of package claims; an unknown one decodes
// to claims.ProofNone.
var proofs = map[entryhostpb.ClaimResponse_Proof]claims.Proof{
	entryhostpb.ClaimResponse_NONE:    claims.ProofNone,
	entryhostpb.ClaimResponse_ATTEMPT: claims.ProofAttemptNotRun,
	entryhostpb.ClaimResponse_KEY:     claims.ProofKeyFree,
}

func encodeClaim(claim claims.Claim) *entryhostpb.ClaimRequest {
	return &entryhostpb.ClaimRequest{
		Team:              string(claim.Team),
		Key:               string(claim.Key),
		Attempt:           string(claim.Attempt),
		Fingerprint:       uint64(claim.Fingerprint),
		DeadlineUnixNano:  unixNano(claim.Deadline),
		KeepUntilUnixNano: unixNano(claim.KeepUntil),
		Origin:            string(claim.Origin),
	}
}

func decodeClaim(wire *entryhostpb.ClaimRequest) claims.Claim {
	return claims.Claim{
		Team:        ident.TeamName(wire.GetTeam()),
		Key:         ident.IdempotencyKey(wire.GetKey()),
		Attempt:     ident.AttemptID(wire.GetAttempt()),
		Fingerprint: ident.Fingerprint(wire.GetFingerprint()),
		Deadline:    timeFromUnixNano(wire.GetDeadlineUnixNano()),
		KeepUntil:   timeFromUnixNano(wire.GetKeepUntilUnixNano()),
		Origin:      ident.HostID(wire.GetOrigin()),
	}
}

func encodeAnswer(answer claims.Answer) *entryhostpb.ClaimResponse {
	wire := &entryhostpb.ClaimResponse{
		Status:          int32(answer.Status),
		ContentType:     answer.ContentType,
		Whole:           answer.BodyKept,
		Body:            answer.Body,
		Digest:          answer.Digest,
		RetryAtUnixNano: unixNano(answer.RetryAt),
		Reason:          answer.Reason,
	}
	for wireValue, value := range verdicts {
		if value == answer.Verdict {
			wire.Verdict = wireValue
		}
	}
	for wireValue, value := range proofs {
		if value == answer.Proof {
			wire.Proof = wireValue
		}
	}
	return wire
}

// decodeAnswer takes the claim as well, since the response does not repeat what it
// answers.
func decodeAnswer(claim claims.Claim, wire *entryhostpb.ClaimResponse) claims.Answer {
	return claims.Answer{
		Team:        claim.Team,
		Key:         claim.Key,
		Attempt:     claim.Attempt,
		Origin:      claim.Origin,
		Verdict:     verdicts[wire.GetVerdict()],
		Proof:       proofs[wire.GetProof()],
		Status:      int(wire.GetStatus()),
		ContentType: wire.GetContentType(),
		BodyKept:    wire.GetWhole(),
		Body:        wire.GetBody(),
		Digest:      wire.GetDigest(),
		RetryAt:     timeFromUnixNano(wire.GetRetryAtUnixNano()),
		Reason:      wire.GetReason(),
	}
}

func encodeFinish(finish claims.Finish) *entryhostpb.FinishRequest {
	return &entryhostpb.FinishRequest{
		Team:        string(finish.Team),
		Key:         string(finish.Key),
		Attempt:     string(finish.Attempt),
		Status:      int32(finish.Status),
		Body:        finish.Body,
		ContentType: finish.ContentType,
		Cut:         finish.BodyOmitted,
		Digest:      finish.Digest,
		Origin:      string(finish.Origin),
	}
}

func decodeFinish(wire *entryhostpb.FinishRequest) claims.Finish {
	return claims.Finish{
		Team:        ident.TeamName(wire.GetTeam()),
		Key:         ident.IdempotencyKey(wire.GetKey()),
		Attempt:     ident.AttemptID(wire.GetAttempt()),
		Status:      int(wire.GetStatus()),
		Body:        wire.GetBody(),
		ContentType: wire.GetContentType(),
		BodyOmitted: wire.GetCut(),
		Digest:      wire.GetDigest(),
		Origin:      ident.HostID(wire.GetOrigin()),
	}
}

func encodeRelease(release claims.Release) *entryhostpb.ReleaseRequest {
	return &entryhostpb.ReleaseRequest{
		Team:    string(release.Team),
		Key:     string(release.Key),
		Attempt: string(release.Attempt),
		Origin:  string(release.Origin),
	}
}

func decodeRelease(wire *entryhostpb.ReleaseRequest) claims.Release {
	return claims.Release{
		Team:    ident.TeamName(wire.GetTeam()),
		Key:     ident.IdempotencyKey(wire.GetKey()),
		Attempt: ident.AttemptID(wire.GetAttempt()),
		Origin:  ident.HostID(wire.GetOrigin()),
	}
}
