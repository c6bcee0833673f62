package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Command is an action that the machine's caller has to carry out.
type Command interface {
	claimsCommand()
}

// ReadPartition requests pages of a partition. PageRead answers it.
type ReadPartition struct {
	Partition int
	// CallID identifies the call; PageRead repeats it.
	CallID uint64
	// Keys are to be read one by one, in this order. Where there are none, all keys
	// under Prefix are to be listed at one revision.
	Keys   []string
	Prefix string
}

// SwapPartition requests a compare-and-swap of a partition's pages. SwapAnswered
// answers it.
type SwapPartition struct {
	Partition int
	// CallID identifies the call; SwapAnswered repeats it.
	CallID uint64
	Swap   store.Swap
}

// ForwardClaim requests that the owner of the claim's partition processes the claim.
type ForwardClaim struct {
	To    ident.HostID
	Claim Claim
}

// ForwardFinish requests that the partition owner records a finish.
type ForwardFinish struct {
	To     ident.HostID
	Finish Finish
}

// ForwardRelease requests that the partition owner records a release.
type ForwardRelease struct {
	To      ident.HostID
	Release Release
}

// Verdict is the result of a claim.
type Verdict uint8

const (
	// Unknown says that the claim may or may not be written. Only the origin of a
	// forwarded claim receives it; a machine never answers a caller of its own host
	// with it.
	Unknown Verdict = iota
	// Granted says that the request may be sent once.
	Granted
	// ClaimedByOther says that another attempt holds the key and may have run.
	ClaimedByOther
	// Finished says that another attempt at the request has run to its end.
	Finished
	// Refused says that this attempt was not run and never will be.
	Refused
	// KeyReused says that the key belongs to a request with other content. This
	// request was not run and never will be; the other one may have run.
	KeyReused
)

// Proof says what a Refused or KeyReused verdict proves.
type Proof uint8

const (
	// ProofNone is the proof of all other verdicts.
	ProofNone Proof = iota
	// ProofAttemptNotRun proves that this attempt was not run and never will be.
	// Earlier attempts at the same key may have run.
	ProofAttemptNotRun
	// ProofKeyFree proves in addition that the key was free after the claim arrived.
	ProofKeyFree
)

// Answer is the answer to a Claim.
type Answer struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// Origin is the origin of the claim.
	Origin  ident.HostID
	Verdict Verdict
	Proof   Proof
	// Status, ContentType, Body and Digest are those of the recorded answer. They are
	// set where the verdict is Finished.
	Status      int
	ContentType string
	// BodyKept says that Body is the recorded answer. It is false where the answer was
	// too large to be recorded and only its Digest is known.
	BodyKept bool
	Body     []byte
	// Digest is the xxhash of the recorded answer's body.
	Digest uint64
	// RetryAt is when a retry is worthwhile; zero where none is.
	RetryAt time.Time
	// Reason is a text for people.
	Reason string
}

// UpdateResult answers a Finish or Release.
type UpdateResult struct {
	Attempt ident.AttemptID
	Origin  ident.HostID
	// Recorded says that the finish or release is in the log, or that a release is
	// not needed since another attempt holds the key. It is false where the attempt
	// does not hold the key, the queue or the log is full, or the event is invalid.
	Recorded bool
}

func (ReadPartition) claimsCommand()  {}
func (SwapPartition) claimsCommand()  {}
func (ForwardClaim) claimsCommand()   {}
func (ForwardFinish) claimsCommand()  {}
func (ForwardRelease) claimsCommand() {}
func (Answer) claimsCommand()         {}
func (UpdateResult) claimsCommand()   {}
