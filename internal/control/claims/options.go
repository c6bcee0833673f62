package claims

import (
	"cmp"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Defaults of Options; sizes are in bytes. DefaultMaxSealedSize,
// DefaultMaxFullHeadSize and maxBatchSize keep a partition's pages under 4 MiB in
// all, the largest message that a gRPC client accepts by default, since a host that
// becomes owner of a partition lists them in one call. DefaultSegmentSize is small
// because each swap writes the active entries again.
const (
	DefaultPartitions         = 16
	DefaultSwapInterval       = 100 * time.Millisecond
	DefaultSwapBurst          = 2
	DefaultFinishDelay        = 500 * time.Millisecond
	DefaultSegmentSize        = 1 << 10
	DefaultMaxFullHeadSize    = 384 << 10
	DefaultMaxSealedSize      = 3 << 20
	DefaultMaxQueue           = 4096
	DefaultBackoff            = time.Second
	DefaultClockMargin        = 5 * time.Second
	DefaultTombstoneTTL       = 2 * time.Minute
	DefaultForwardTimeout     = 2 * time.Second
	DefaultFinishPollInterval = 500 * time.Millisecond
	DefaultOwnerBackoff       = 5 * time.Second
)

// Bounds of an entry and of a swap; sizes are in bytes. Together with MaxFullHeadSize
// they bound the size of a page.
const (
	// MaxBodySize is the size of the largest body that is recorded for repeats.
	MaxBodySize = 2 << 10
	// maxNameSize is that of keys, team names and attempt ids.
	maxNameSize        = 256
	maxContentTypeSize = 128
	// maxBatchSize bounds the entries that one swap adds.
	maxBatchSize = 128 << 10
	// maxSegmentReads bounds the segments that are read one by one.
	maxSegmentReads = 8
	// maxLostSwaps bounds how often lost swaps double the cost of a swap.
	maxLostSwaps = 4
	// maxSwapDeletes bounds the segments that one swap deletes.
	maxSwapDeletes = 32
)

// Divisors of the time left until a claim's deadline.
const (
	// forwardTimeoutDivisor sets the share in which the owner has to answer; the
	// rest is for a swap by this host.
	forwardTimeoutDivisor = 3
	// finishWaitDivisor sets the share in which a claim waits for another attempt's
	// finish.
	finishWaitDivisor = 2
)

// Options are the machine's settings. A zero field takes its default.
type Options struct {
	// Host is the name of this host, as in LiveHosts.
	Host ident.HostID
	// Partitions must be the same on all hosts and must never change: it decides
	// which partition a key belongs to.
	Partitions int
	// SwapInterval is the average time between two swaps of a partition by this host.
	SwapInterval time.Duration
	// SwapBurst is the number of swaps that an idle partition may make without delay.
	SwapBurst int
	// FinishDelay is how long finishes and releases wait for a claim whose swap they
	// can join. A host that crashes loses the ones that wait, and their keys stay
	// claimed.
	FinishDelay time.Duration
	// SegmentSize is the size in bytes at which the head's entries are sealed into a
	// segment.
	SegmentSize int
	// MaxFullHeadSize is the size in bytes up to which finishes and releases may fill
	// the head while the log is full and no segment can be sealed.
	MaxFullHeadSize int
	// MaxSealedSize is the total size in bytes of a partition's sealed segments at
	// which claims are refused.
	MaxSealedSize int
	// MaxQueue bounds the claims and updates that wait at this host for one
	// partition.
	MaxQueue int
	// Backoff is how long a partition makes no call after the service was down or a
	// page could not be decoded. It is also the retry time given with some refusals.
	Backoff time.Duration
	// ClockMargin is the largest difference between the clocks of two hosts.
	ClockMargin time.Duration
	// TombstoneTTL is how long a release stays in the log: longer than its claim may
	// be in flight to the partition owner.
	TombstoneTTL time.Duration
	// ForwardTimeout is the longest time that the partition owner has to answer.
	ForwardTimeout time.Duration
	// FinishPollInterval is the interval at which the log is read for a claim that
	// waits for another attempt's finish.
	FinishPollInterval time.Duration
	// OwnerBackoff is how long no task is forwarded to an owner that did not answer.
	OwnerBackoff time.Duration
}

func (o Options) withDefaults() Options {
	o.Partitions = cmp.Or(o.Partitions, DefaultPartitions)
	o.SwapInterval = cmp.Or(o.SwapInterval, DefaultSwapInterval)
	o.SwapBurst = cmp.Or(o.SwapBurst, DefaultSwapBurst)
	o.FinishDelay = cmp.Or(o.FinishDelay, DefaultFinishDelay)
	o.SegmentSize = cmp.Or(o.SegmentSize, DefaultSegmentSize)
	o.MaxFullHeadSize = cmp.Or(o.MaxFullHeadSize, DefaultMaxFullHeadSize)
	o.MaxSealedSize = cmp.Or(o.MaxSealedSize, DefaultMaxSealedSize)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.Backoff = cmp.Or(o.Backoff, DefaultBackoff)
	o.ClockMargin = cmp.Or(o.ClockMargin, DefaultClockMargin)
	o.TombstoneTTL = cmp.Or(o.TombstoneTTL, DefaultTombstoneTTL)
	o.ForwardTimeout = cmp.Or(o.ForwardTimeout, DefaultForwardTimeout)
	o.FinishPollInterval = cmp.Or(o.FinishPollInterval, DefaultFinishPollInterval)
	o.OwnerBackoff = cmp.Or(o.OwnerBackoff, DefaultOwnerBackoff)
	return o
}
