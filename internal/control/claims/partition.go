package claims

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
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
	// headOnly tells what the reading asked for.
	headOnly bool
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
	lastSwap  time.Time
	lastRead  time.Time
	wakeAt    time.Time

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
	fresh.lastSwap = p.lastSwap
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

func (p *partition) segmentKey(number uint64) string {
	return pathPrefix + strconv.Itoa(p.index) + segmentPath + strconv.FormatUint(number, 10)
}

// load replays a whole log. A log with a part missing is an error, never a
// shorter log: what is missing may hold claims.
func (p *partition) load(entries []store.Entry) error {
	var head store.Entry
	segments := make(map[uint64]page)
	for _, e := range entries {
		if e.Key == p.headKey() {
			head = e
			continue
		}
		text, found := strings.CutPrefix(e.Key, p.prefix()+segmentPath[1:])
		number, err := strconv.ParseUint(text, 10, 64)
		if !found || err != nil {
			return errors.Wrapf(errPage, "key %q", e.Key)
		}
		decoded, err := decodePage(e.Value)
		if err != nil {
			return errors.Wrap(err, e.Key)
		}
		segments[number] = decoded
	}
	if head.Revision < p.revision || head.Revision == 0 && len(segments) > 0 {
		return errors.Wrap(errPage, "the head is older than one seen before")
	}
	return p.replay(head, segments)
}

func (p *partition) replay(head store.Entry, segments map[uint64]page) error {
	newest, err := decodePage(head.Value)
	if err != nil {
		return errors.Wrap(err, p.headKey())
	}
	p.records = make(map[keyID]*record)
	p.sealed = nil
	for number := newest.first; number < newest.active; number++ {
		old, found := segments[number]
		if !found {
			return errors.Wrapf(errPage, "segment %d is missing", number)
		}
		p.sealed = append(p.sealed, segment{
			number: number,
			expiry: latest(time.Time{}, old.entries),
		})
		p.apply(old.entries)
	}
	p.first, p.active = newest.first, newest.active
	p.raw, p.expiry = newest.raw, latest(time.Time{}, newest.entries)
	p.apply(newest.entries)
	p.revision = head.Revision
	p.loaded = true
	return nil
}

// absorb takes in a newer head. It tells false where segments were sealed that
// we haven't seen, so that the whole log must be read.
func (p *partition) absorb(head store.Entry) (bool, error) {
	if head.Revision == p.revision {
		return true, nil
	}
	if head.Revision < p.revision {
		return false, errors.Wrap(errPage, "the head is older than one seen before")
	}
	newer, err := decodePage(head.Value)
	if err != nil {
		return false, errors.Wrap(err, p.headKey())
	}
	if newer.active != p.active {
		return false, nil
	}
	if !bytes.HasPrefix(newer.raw, p.raw) {
		return false, errors.Wrap(errPage, "entries changed in place")
	}
	added, err := decodePage(newer.raw[len(p.raw):])
	if err != nil {
		return false, errors.Wrap(err, p.headKey())
	}
	p.first = newer.first
	p.dropBefore(newer.first)
	p.raw = newer.raw
	p.expiry = latest(p.expiry, added.entries)
	p.revision = head.Revision
	p.apply(added.entries)
	return true, nil
}

// dropBefore forgets segments that were deleted.
func (p *partition) dropBefore(first uint64) {
	for len(p.sealed) > 0 && p.sealed[0].number < first {
		p.sealed = p.sealed[1:]
	}
}

// apply replays entries. Whoever wrote them has judged them, so that all hosts
// come to the same state whatever their clocks say.
func (p *partition) apply(entries []entry) {
	for i := range entries {
		e := entries[i]
		before := p.records[e.key]
		switch {
		case e.kind == kindClaim || before == nil:
			p.records[e.key] = &record{
				entry:  e,
				holder: e.fingerprint,
			}
		case before.attempt == e.attempt:
			p.records[e.key] = &record{
				entry:  e,
				holder: before.holder,
			}
		}
		p.wakeWatchers(e.key)
	}
}

func (p *partition) wakeWatchers(key keyID) {
	for _, t := range p.watchers[key] {
		if t.phase == phaseWatching {
			t.phase = phaseQueued
			p.queue = append(p.queue, t)
		}
	}
	delete(p.watchers, key)
}

// sweep forgets records that lapsed. Segments that hold them may still stand.
func (p *partition) sweep(before time.Time) {
	for key, r := range p.records {
		if r.keepUntil.Before(before) {
			delete(p.records, key)
		}
	}
}

func latest(t time.Time, entries []entry) time.Time {
	for i := range entries {
		if entries[i].keepUntil.After(t) {
			t = entries[i].keepUntil
		}
	}
	return t
}
