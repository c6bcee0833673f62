package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/domain/store"
)

// Event is an input of the machine.
type Event interface {
	claimsEvent()
}

// Claim requests permission to send a request that must run at most once.
type Claim struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// Fingerprint identifies the content of the request: it distinguishes a
	// repeat of the request from another request with the same key.
	Fingerprint ident.Fingerprint
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// KeepUntil is the time before which the key's record must not be dropped.
	KeepUntil time.Time
	// Origin is the host that forwarded the claim; empty for a caller of this host.
	Origin ident.HostID
}

// Finish reports that a granted attempt has run to its end.
type Finish struct {
	Team        ident.TeamName
	Key         ident.IdempotencyKey
	Attempt     ident.AttemptID
	Status      int
	Body        []byte
	ContentType string
	// BodyOmitted says that the body is too large to be recorded and was left out. Digest,
	// its xxhash, then stands for it. The machine sets both on a finish that it
	// forwards.
	BodyOmitted bool
	Digest      uint64
	// Origin is the host that forwarded the finish; empty for an attempt of this
	// host.
	Origin ident.HostID
}

// Release reports that an attempt provably was not run, so that its key is free
// again. Only the origin of the attempt may release it.
type Release struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// Outcome is the proof. A release without it is not recorded, except for a
	// forwarded one, whose origin has checked the proof.
	Outcome outcome.Outcome
	// Origin is the host that forwarded the release; empty for an attempt of this
	// host.
	Origin ident.HostID
}

// LiveHosts lists the live entry hosts, among which the partition owners are chosen.
type LiveHosts struct {
	Hosts []ident.HostID
}

// PageRead answers ReadPartition.
type PageRead struct {
	Partition int
	CallID    uint64
	// Entries are the pages that were found. A missing key is left out or has
	// revision zero.
	Entries []store.Entry
	Err     error
}

// SwapAnswered answers SwapPartition.
type SwapAnswered struct {
	Partition int
	CallID    uint64
	Result    store.SwapResult
	// Err is nil, store.ErrUnavailable or store.ErrUnknownOutcome. Any other error is
	// handled as store.ErrUnknownOutcome.
	Err error
}

// ClaimForwarded answers ForwardClaim.
type ClaimForwarded struct {
	Answer Answer
	// Err says that no answer arrived. The owner may have processed the claim
	// nevertheless.
	Err error
}

// UpdateForwarded answers ForwardFinish and ForwardRelease.
type UpdateForwarded struct {
	Attempt  ident.AttemptID
	Recorded bool
	// Err says that no answer arrived. The owner may have recorded the update
	// nevertheless.
	Err error
}

// Stopping says that this host is about to stop: from now on finishes and releases
// are written without FinishDelay.
type Stopping struct{}

// Resumed cancels Stopping.
type Resumed struct{}

// Tick only advances the machine's time.
type Tick struct{}

func (Claim) claimsEvent()           {}
func (Finish) claimsEvent()          {}
func (Release) claimsEvent()         {}
func (LiveHosts) claimsEvent()       {}
func (PageRead) claimsEvent()        {}
func (SwapAnswered) claimsEvent()    {}
func (ClaimForwarded) claimsEvent()  {}
func (UpdateForwarded) claimsEvent() {}
func (Stopping) claimsEvent()        {}
func (Resumed) claimsEvent()         {}
func (Tick) claimsEvent()            {}
