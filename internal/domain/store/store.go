// Package store has the data types and errors of the platform's key-value service:
// entries, swaps (compare-and-swap transactions), leases and watches.
//
// The packages that use the service each declare a small interface over these types;
// its clients implement them.
//
// # Usage
//
//	result, err := kv.Swap(ctx, store.Swap{
//		Compares: []store.Compare{{
//			Key:      key,
//			Revision: read.Revision,
//		}},
//		Puts: []store.Put{{
//			Key:   key,
//			Value: page,
//		}},
//	})
//	switch {
//	case errors.Is(err, store.ErrUnknownOutcome): // it may be written: read the key
//	case err != nil: // nothing was written
//	case !result.Swapped: // another write came first: result.Current has the current entries
//	}
//
// # Source
//
// Revisions, compares, leases and watches have the semantics of the published etcd v3
// API.
package store

import (
	"cicadaloom/internal/domain/ident"

	"github.com/pkg/errors"
)

// ErrUnavailable means that a call had no effect: the service refused it, or it was
// never sent.
var ErrUnavailable = errors.New("key-value service unavailable")

// ErrUnknownOutcome means that a write was sent and its answer was lost: it may have
// taken effect, or may do so later.
var ErrUnknownOutcome = errors.New("key-value service: outcome of a write unknown")

// ErrWatchBroken means that a watch ended and changes may have been missed. The caller
// must list everything again, and then watch from the listing's revision.
var ErrWatchBroken = errors.New("key-value service: watch broken")

// ErrLeaseGone means that a lease has expired, was revoked or never existed.
var ErrLeaseGone = errors.New("key-value service: lease not found")

// ErrCompacted means that the service no longer keeps the changes that a watch requested.
var ErrCompacted = errors.New("key-value service: revision compacted")

// LeaseID names a lease; zero means none.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the entry's last write; zero if the key is absent.
	Revision ident.Revision
	Lease    LeaseID
}

// Compare requires that a key's last write has Revision. Zero requires that the key is
// absent.
type Compare struct {
	Key      string
	Revision ident.Revision
}

// Put writes a value. With a lease, the key is deleted when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Swap is a transaction: it applies all puts and deletes, or none if a compare fails.
type Swap struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// SwapResult is the result of a swap.
type SwapResult struct {
	Swapped bool
	// Revision is the service's revision after the swap, which the keys put have too.
	Revision ident.Revision
	// Current has the current entries of the compared keys if a compare failed. An
	// absent key has revision zero.
	Current []Entry
}

// Listing is all entries under a prefix at one revision.
type Listing struct {
	Entries  []Entry
	Revision ident.Revision
}

// Event is one change that a watch delivers.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Batch has the changes that a watch delivers together. A batch without events is a
// heartbeat: nothing more has changed up to Revision.
type Batch struct {
	Events   []Event
	Revision ident.Revision
}
