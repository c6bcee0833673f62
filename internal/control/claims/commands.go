package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Command is what the machine wants done.
type Command interface {
	claimsCommand()
}

// ReadPartition asks for a partition's pages.
type ReadPartition struct {
	Partition int
	Number    uint64
	// Keys are to be got one by one, in this order. Where there are none, all
	// under Prefix is to be listed at one revision.
	Keys   []string
	Prefix string
}

// SwapPartition asks for a swap of a partition's pages.
type SwapPartition struct {
	Partition int
	Number    uint64
	Swap      store.Swap
}

// ForwardClaim asks the home of the claim's partition to carry it out.
type ForwardClaim struct {
	To    ident.HostID
	Claim Claim
}

// ForwardFinish asks the home to record a finish.
type ForwardFinish struct {
	To     ident.HostID
	Finish Finish
}

// ForwardRelease asks the home to record a release.
type ForwardRelease struct {
	To      ident.HostID
	Release Release
}

// Verdict is the answer to a claim.
type Verdict uint8

const (
	// Unknown says that the claim may be written. Only the origin of a forwarded
	// claim sees it; it never reaches a caller.
	Unknown Verdict = iota
	// Granted says that the request may be sent, once.
	Granted
	// ClaimedByOther says that another attempt holds the key: it may have run.
	ClaimedByOther
	// Finished says that another attempt was run to its end.
	Finished
	// Refused says that this attempt was not run and won't be.
	Refused
	// KeyReused says that the key belongs to a request of other content. This
	// request was not run and won't be; that one may have been.
	KeyReused
)

// Proof says how much a refusal proves.
type Proof uint8

const (
	// ProofNone is that of an answer that isn't a refusal.
	ProofNone Proof = iota
	// ProofAttempt says that this attempt was not run and won't be. Earlier
	// attempts at the key may have been.
	ProofAttempt
	// ProofKey says in addition that the key was free after the claim came in.
	ProofKey
)

// Answer is the answer to a Claim.
type Answer struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// Origin is that of the claim.
	Origin  ident.HostID
	Verdict Verdict
	Proof   Proof
	// Status, Digest, Body and ContentType are those of the first answer, where
	// the verdict is Finished.
	Status      int
	ContentType string
	// Whole tells that Body is the whole first answer, not left out for its size.
	Whole bool
	Body  []byte
	// Digest is the xxhash of the first answer's body.
	Digest uint64
	// RetryAt is when it is worth to come back; zero where it never is.
	RetryAt time.Time
	// Reason is for people.
	Reason string
}

// Recorded answers a Finish or Release.
type Recorded struct {
	Attempt  ident.AttemptID
	Origin   ident.HostID
	Recorded bool
}

func (ReadPartition) claimsCommand()  {}
func (SwapPartition) claimsCommand()  {}
func (ForwardClaim) claimsCommand()   {}
func (ForwardFinish) claimsCommand()  {}
func (ForwardRelease) claimsCommand() {}
func (Answer) claimsCommand()         {}
func (Recorded) claimsCommand()       {}
