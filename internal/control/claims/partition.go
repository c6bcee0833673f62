package claims

import (
	"strconv"
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	pathPrefix  = "/cicadaloom/claims/"
	headPath    = "/head"
	segmentPath = "/segment/"
)

// record is the state of one key.
type record struct {
	entry
	// holder is the fingerprint of the claim, also when the entry is its finish.
	holder ident.Fingerprint
}

// segment is a sealed page as far as the machine has to know it.
type segment struct {
	number uint64
	size   int
	expiry time.Time
}

// partition is what this host knows of one partition's log, and what waits for it.
type partition struct {
	index int
	// loaded tells that all pages up to revision are in records.
	loaded   bool
	revision ident.Revision
	first    uint64
	active   uint64
	// raw and expiry are of the active entries.
	raw      []byte
	expiry   time.Time
	sealed   []segment
	records  map[keyID]*record
	watchers map[keyID][]*task

	queue    []*task
	inFlight *batch
	reading  bool
	// asked has the keys of a reading that isn't one of the whole log.
	asked []string
	// doubt tells that a swap's outcome is unknown: the head must be read before
	// anything is judged.
	doubt bool
	// advancing guards against advance being called by what it calls.
	advancing bool
	// number tells the answers to old calls from the one that is waited for.
	number uint64
	// askedStep is the step of the call under way, freshStep that of the last
	// call that showed the log as it was: the log was read in or after it.
	askedStep uint64
	freshStep uint64
	// paidUntil is until when the swaps made so far use up the pace.
	paidUntil time.Time
	// losses counts swaps lost to other hosts, less those that were won since.
	losses   int
	lastRead time.Time
	wakeAt   time.Time

	downUntil  time.Time
	downReason string
}

func newPartition(index int) *partition {
	return &partition{
		index:    index,
		records:  make(map[keyID]*record),
		watchers: make(map[keyID][]*task),
	}
}

// forgotten is the partition without what was read of its log. What paces and
// numbers its calls stays.
func (p *partition) forgotten() *partition {
	fresh := newPartition(p.index)
	fresh.number = p.number
	fresh.paidUntil = p.paidUntil
	fresh.losses = p.losses
	fresh.lastRead = p.lastRead
	fresh.wakeAt = p.wakeAt
	fresh.downUntil = p.downUntil
	fresh.downReason = p.downReason
	return fresh
}

func (p *partition) busy() bool {
	return p.reading || p.inFlight != nil
}

func (p *partition) prefix() string {
	return pathPrefix + strconv.Itoa(p.index) + "/"
}

func (p *partition) headKey() string {
	return pathPrefix + strconv.Itoa(p.index) + headPath
}

func (p *partition) segmentPrefix() string {
	return pathPrefix + strconv.Itoa(p.index) + segmentPath
}

func (p *partition) segmentKey(number uint64) string {
	return p.segmentPrefix() + strconv.FormatUint(number, 10)
}
