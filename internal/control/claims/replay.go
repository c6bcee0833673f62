package claims

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

// pages tells what was read apart: the head as it came, the segments decoded.
func (p *partition) pages(entries []store.Entry) (store.Entry, map[uint64]page, error) {
	var head store.Entry
	segments := make(map[uint64]page)
	for _, e := range entries {
		if e.Revision == 0 {
			continue
		}
		if e.Key == p.headKey() {
			head = e
			continue
		}
		text, found := strings.CutPrefix(e.Key, p.segmentPrefix())
		number, err := strconv.ParseUint(text, 10, 64)
		if !found || err != nil {
			return head, nil, errors.Wrapf(errPage, "key %q", e.Key)
		}
		segments[number], err = decodePage(e.Value)
		if err != nil {
			return head, nil, errors.Wrap(err, e.Key)
		}
	}
	if head.Revision < p.revision || head.Revision == 0 && len(segments) > 0 {
		return head, nil, errors.Wrap(errPage, "the head is older than one seen before")
	}
	return head, segments, nil
}

// load replays a whole log. A log with a part missing is an error, never a
// shorter log: what is missing may hold claims.
func (p *partition) load(head store.Entry, segments map[uint64]page) error {
	newest, err := decodePage(head.Value)
	if err != nil {
		return errors.Wrap(err, p.headKey())
	}
	p.records = make(map[keyID]*record)
	p.sealed = nil
	p.first, p.active = newest.first, newest.first
	p.raw, p.expiry = nil, time.Time{}
	if missing := missingFrom(newest.first, newest, segments); len(missing) > 0 {
		return errors.Wrapf(errPage, "segment %d is missing", missing[0])
	}
	if err := p.follow(newest, segments); err != nil {
		return err
	}
	p.revision = head.Revision
	p.loaded = true
	return nil
}

// absorb takes in a newer head. It gives the segments that it needs to see for
// this, those that were sealed since the last reading.
func (p *partition) absorb(head store.Entry, segments map[uint64]page) ([]uint64, error) {
	if head.Revision == p.revision {
		return nil, nil
	}
	newer, err := decodePage(head.Value)
	if err != nil {
		return nil, errors.Wrap(err, p.headKey())
	}
	if missing := missingFrom(p.active, newer, segments); len(missing) > 0 {
		// Those that are here are asked for once more: none is kept until all
		// can be replayed in order.
		return missingFrom(p.active, newer, nil), nil
	}
	if err := p.follow(newer, segments); err != nil {
		return nil, err
	}
	p.revision = head.Revision
	return nil, nil
}

// missingFrom gives the sealed segments that aren't there. Those before the
// head's first were deleted, since all in them had lapsed.
func missingFrom(number uint64, head page, segments map[uint64]page) []uint64 {
	var missing []uint64
	for n := max(number, head.first); n < head.active; n++ {
		if _, found := segments[n]; !found {
			missing = append(missing, n)
		}
	}
	return missing
}

// follow replays the segments from the active one on, then the head.
func (p *partition) follow(head page, segments map[uint64]page) error {
	for p.active < head.active {
		if p.active >= head.first {
			if err := p.extend(segments[p.active]); err != nil {
				return err
			}
		}
		p.seal()
	}
	p.first = head.first
	p.dropBefore(head.first)
	return p.extend(head)
}

// extend replays what a page has more than the active entries that we know.
// A page only ever grows, until it is sealed.
func (p *partition) extend(newer page) error {
	if !bytes.HasPrefix(newer.raw, p.raw) {
		return errors.Wrap(errPage, "entries changed in place")
	}
	added, err := decodePage(newer.raw[len(p.raw):])
	if err != nil {
		return errors.Wrap(err, p.headKey())
	}
	p.raw = newer.raw
	p.expiry = latest(p.expiry, added.entries)
	p.apply(added.entries)
	return nil
}

// seal ends the active segment.
func (p *partition) seal() {
	p.sealed = append(p.sealed, segment{
		number: p.active,
		size:   len(p.raw),
		expiry: p.expiry,
	})
	p.active++
	p.raw, p.expiry = nil, time.Time{}
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
