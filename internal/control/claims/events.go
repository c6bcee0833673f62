package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/domain/store"
)

// Event is what the machine is told.
type Event interface {
	claimsEvent()
}

// Claim asks leave to send a request that may not be repeated.
type Claim struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// Fingerprint tells a repeat of a request from another one under its key.
	Fingerprint ident.Fingerprint
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// KeepUntil is until when the key must not be forgotten.
	KeepUntil time.Time
	// Origin is the host that forwarded the claim; empty for a caller of this host.
	Origin ident.HostID
}

// Finish tells that a granted attempt was run to its end.
type Finish struct {
	Team        ident.TeamName
	Key         ident.IdempotencyKey
	Attempt     ident.AttemptID
	Status      int
	Body        []byte
	ContentType string
	// Cut tells that the body is too long to be kept and was left out, so that
	// Digest, its xxhash, stands for it. The machine sets both where it forwards.
	Cut    bool
	Digest uint64
	Origin ident.HostID
}

// Release tells that an attempt provably was not run, so that its key is free
// again. Only the attempt's origin may say so.
type Release struct {
	Team    ident.TeamName
	Key     ident.IdempotencyKey
	Attempt ident.AttemptID
	// Outcome is the proof. The machine takes no release without it, but for a
	// forwarded one, whose origin has checked it.
	Outcome outcome.Outcome
	Origin  ident.HostID
}

// Homes gives the live entry hosts among which homes are chosen.
type Homes struct {
	Hosts []ident.HostID
}

// PageRead answers ReadPartition.
type PageRead struct {
	Partition int
	Number    uint64
	// Entries is what was found; a key that is absent is left out or has
	// revision zero.
	Entries []store.Entry
	Err     error
}

// SwapAnswered answers SwapPartition.
type SwapAnswered struct {
	Partition int
	Number    uint64
	Result    store.SwapResult
	// Err is nil, store.ErrUnavailable or store.ErrUnknownOutcome. Any other
	// error is taken as the latter.
	Err error
}

// ClaimForwarded answers ForwardClaim.
type ClaimForwarded struct {
	Answer Answer
	// Err says that no answer came: the claim may be carried out all the same.
	Err error
}

// NoteForwarded answers ForwardFinish and ForwardRelease.
type NoteForwarded struct {
	Attempt  ident.AttemptID
	Recorded bool
	Err      error
}

// Stopping tells that this host is about to stop: finishes are written without
// delay from now on.
type Stopping struct{}

// Resumed takes Stopping back.
type Resumed struct{}

// Tick tells only the time.
type Tick struct{}

func (Claim) claimsEvent()          {}
func (Finish) claimsEvent()         {}
func (Release) claimsEvent()        {}
func (Homes) claimsEvent()          {}
func (PageRead) claimsEvent()       {}
func (SwapAnswered) claimsEvent()   {}
func (ClaimForwarded) claimsEvent() {}
func (NoteForwarded) claimsEvent()  {}
func (Stopping) claimsEvent()       {}
func (Resumed) claimsEvent()        {}
func (Tick) claimsEvent()           {}
