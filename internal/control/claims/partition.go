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

// record is the state of one key: the last entry applied to it.
type record struct {
	entry
	// claimFingerprint is that of the claim that holds the key, also where the entry
	// is its finish or release; 0 where no claim was seen.
	claimFingerprint ident.Fingerprint
}

// segment describes a sealed page.
type segment struct {
	number    uint64
	sizeBytes int
	expiry    time.Time
}

// partition is what this host knows of one partition's log, and the tasks that wait
// for it.
type partition struct {
	index int
	// isLoaded says that records has all entries up to revision.
	isLoaded bool
	revision ident.Revision
	// firstSegment is the oldest segment that is not deleted. activeSegment is the
	// number that the head's entries will be sealed under.
	firstSegment  uint64
	activeSegment uint64
	// rawEntries are the encoded entries of the head, expiry the latest KeepUntil
	// among them.
	rawEntries []byte
	expiry     time.Time
	sealed     []segment
	records    map[keyID]*record
	// finishWaiters has the claims that wait for the finish of the attempt that holds
	// their key.
	finishWaiters map[keyID][]*task

	queue     []*task
	inFlight  *batch
	isReading bool
	// requestedKeys has the keys of the read in flight; none where it reads the whole
	// log.
	requestedKeys []string
	// outcomeUnknown says that a swap may or may not have taken effect: the head must
	// be read before any task is decided.
	outcomeUnknown bool
	// isAdvancing keeps advance from being re-entered by the functions that it calls.
	isAdvancing bool
	// callID is that of the latest call. Answers to earlier calls are ignored.
	callID uint64
	// callStep is the step at which the latest call was made. freshStep is that of
	// the latest call that returned the current state: the state is at least as
	// recent as any task that arrived by then.
	callStep  uint64
	freshStep uint64
	// chargedUntil is the time until which the swaps made so far use up the rate
	// limit.
	chargedUntil time.Time
	// lostSwaps counts swaps that failed on another host's, less the successful ones
	// since.
	lostSwaps  int
	lastReadAt time.Time
	// wakeAt is the time of the partition's timer.
	wakeAt time.Time

	// closedUntil is the time until which claims are refused, with closedReason, and
	// no call is made.
	closedUntil  time.Time
	closedReason string
}

func newPartition(index int) *partition {
	return &partition{
		index:         index,
		records:       make(map[keyID]*record),
		finishWaiters: make(map[keyID][]*task),
	}
}

// unloadedCopy returns the partition without the state read from its log. The state
// of its rate limits and call ids stays.
func (p *partition) unloadedCopy() *partition {
	unloaded := newPartition(p.index)
	unloaded.callID = p.callID
	unloaded.chargedUntil = p.chargedUntil
	unloaded.lostSwaps = p.lostSwaps
	unloaded.lastReadAt = p.lastReadAt
	unloaded.wakeAt = p.wakeAt
	unloaded.closedUntil = p.closedUntil
	unloaded.closedReason = p.closedReason
	return unloaded
}

func (p *partition) hasCallInFlight() bool {
	return p.isReading || p.inFlight != nil
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
