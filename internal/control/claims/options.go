package claims

import (
	"cmp"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Defaults of Options. LogSize, ReserveSize and maxBatch keep a partition's
// pages under 4 MiB in all, the largest message that a gRPC client takes by
// default, since a host that takes a partition over lists them in one call.
// SegmentSize is small because each swap writes the active entries again.
const (
	DefaultPartitions      = 16
	DefaultPace            = 100 * time.Millisecond
	DefaultBurst           = 2
	DefaultFinishDelay     = 500 * time.Millisecond
	DefaultSegmentSize     = 1 << 10
	DefaultReserveSize     = 384 << 10
	DefaultLogSize         = 3 << 20
	DefaultMaxQueue        = 4096
	DefaultBackoff         = time.Second
	DefaultClockMargin     = 5 * time.Second
	DefaultTombstone       = 2 * time.Minute
	DefaultForwardPatience = 2 * time.Second
	DefaultWatchLook       = 500 * time.Millisecond
	DefaultHomeSilence     = 5 * time.Second
)

// Largest parts of an entry. They bound a page together with ReserveSize.
const (
	// MaxBody is the largest answer that is kept for repeats.
	MaxBody        = 2 << 10
	maxName        = 256
	maxContentType = 128
	// maxBatch bounds the entries that one swap adds.
	maxBatch = 128 << 10
	// maxMissing bounds the segments that are read one by one.
	maxMissing = 8
	// maxLosses bounds how often a partition's pace is doubled by lost swaps.
	maxLosses = 4
	// maxDeletes bounds the segments that one swap deletes.
	maxDeletes = 32
)

// Shares of the time left until a claim's deadline.
const (
	// forwardShare is for the home to answer, the rest for a swap of our own.
	forwardShare = 3
	// watchShare is for another attempt's finish to come.
	watchShare = 2
)

// Options are the machine's settings. A zero field has its default.
type Options struct {
	// Host is this host, as it stands in Homes.
	Host ident.HostID
	// Partitions must be the same on all hosts, ever.
	Partitions int
	// Pace is the time between two swaps of a partition by this host, on average.
	Pace time.Duration
	// Burst is how many swaps of a partition that was idle may go without pace.
	Burst int
	// FinishDelay is how long finishes and releases wait for a claim that takes
	// them along. What a host holds back when it dies is lost: the key stays
	// claimed.
	FinishDelay time.Duration
	// SegmentSize is how many bytes of entries the head holds before they are sealed.
	SegmentSize int
	// ReserveSize is how far finishes may fill the head when no segment is free.
	ReserveSize int
	// LogSize is how many bytes the sealed segments of a partition may have
	// before claims are refused.
	LogSize int
	// MaxQueue bounds what waits in this host for one partition.
	MaxQueue int
	// Backoff is how long the service is left alone after it was found down.
	Backoff time.Duration
	// ClockMargin is how much clocks of hosts may differ.
	ClockMargin time.Duration
	// Tombstone is how long a withdrawn attempt is remembered in the log: longer
	// than its claim may be on its way to a home.
	Tombstone time.Duration
	// ForwardPatience is how long a home may take to answer, at most.
	ForwardPatience time.Duration
	// WatchLook is how often the log is read for a claim that waits for another
	// attempt's finish.
	WatchLook time.Duration
	// HomeSilence is how long a home that didn't answer isn't asked again.
	HomeSilence time.Duration
}

func (o Options) withDefaults() Options {
	o.Partitions = cmp.Or(o.Partitions, DefaultPartitions)
	o.Pace = cmp.Or(o.Pace, DefaultPace)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	o.FinishDelay = cmp.Or(o.FinishDelay, DefaultFinishDelay)
	o.SegmentSize = cmp.Or(o.SegmentSize, DefaultSegmentSize)
	o.ReserveSize = cmp.Or(o.ReserveSize, DefaultReserveSize)
	o.LogSize = cmp.Or(o.LogSize, DefaultLogSize)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.Backoff = cmp.Or(o.Backoff, DefaultBackoff)
	o.ClockMargin = cmp.Or(o.ClockMargin, DefaultClockMargin)
	o.Tombstone = cmp.Or(o.Tombstone, DefaultTombstone)
	o.ForwardPatience = cmp.Or(o.ForwardPatience, DefaultForwardPatience)
	o.WatchLook = cmp.Or(o.WatchLook, DefaultWatchLook)
	o.HomeSilence = cmp.Or(o.HomeSilence, DefaultHomeSilence)
	return o
}
