package claims

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

// splitPages separates the entries that were read into the head, still encoded, and
// the decoded segments.
func (p *partition) splitPages(entries []store.Entry) (store.Entry, map[uint64]page, error) {
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
		suffix, isSegment := strings.CutPrefix(e.Key, p.segmentPrefix())
		number, err := strconv.ParseUint(suffix, 10, 64)
		if !isSegment || err != nil {
			return head, nil, errors.Wrapf(errInvalidPage, "key %q", e.Key)
		}
		segments[number], err = decodePage(e.Value)
		if err != nil {
			return head, nil, errors.Wrap(err, e.Key)
		}
	}
	if head.Revision < p.revision || head.Revision == 0 && len(segments) > 0 {
		return head, nil, errors.Wrap(errInvalidPage, "the head is older than one seen before")
	}
	return head, segments, nil
}

// replayLog replays a whole log. A missing segment is an error, since it may hold
// claims.
func (p *partition) replayLog(head store.Entry, segments map[uint64]page) error {
	headPage, err := decodePage(head.Value)
	if err != nil {
		return errors.Wrap(err, p.headKey())
	}
	p.records = make(map[keyID]*record)
	p.sealed = nil
	p.firstSegment, p.activeSegment = headPage.firstSegment, headPage.firstSegment
	p.rawEntries, p.expiry = nil, time.Time{}
	if missing := missingSegments(headPage.firstSegment, headPage, segments); len(missing) > 0 {
		return errors.Wrapf(errInvalidPage, "segment %d is missing", missing[0])
	}
	if err := p.replaySegments(headPage, segments); err != nil {
		return err
	}
	p.revision = head.Revision
	p.isLoaded = true
	return nil
}

// applyHead replays a newer head. It returns the segments that were sealed since the
// last read and must be read first.
func (p *partition) applyHead(head store.Entry, segments map[uint64]page) ([]uint64, error) {
	if head.Revision == p.revision {
		return nil, nil
	}
	headPage, err := decodePage(head.Value)
	if err != nil {
		return nil, errors.Wrap(err, p.headKey())
	}
	if missing := missingSegments(p.activeSegment, headPage, segments); len(missing) > 0 {
		// The segments that were read are requested again too: none is kept until
		// all can be replayed in order.
		return missingSegments(p.activeSegment, headPage, nil), nil
	}
	if err := p.replaySegments(headPage, segments); err != nil {
		return nil, err
	}
	p.revision = head.Revision
	return nil, nil
}

// missingSegments returns the sealed segments that are not among the given ones.
// Those before the head's first one are not missing: they were deleted after all
// their entries expired.
func missingSegments(from uint64, head page, segments map[uint64]page) []uint64 {
	var missing []uint64
	for n := max(from, head.firstSegment); n < head.activeSegment; n++ {
		if _, found := segments[n]; !found {
			missing = append(missing, n)
		}
	}
	return missing
}

// replaySegments replays the segments from the active one on, then the head.
func (p *partition) replaySegments(head page, segments map[uint64]page) error {
	for p.activeSegment < head.activeSegment {
		if p.activeSegment >= head.firstSegment {
			if err := p.replayPage(segments[p.activeSegment]); err != nil {
				return err
			}
		}
		p.sealActive()
	}
	p.firstSegment = head.firstSegment
	p.dropSegmentsBefore(head.firstSegment)
	return p.replayPage(head)
}

// replayPage applies the entries of a page that follow the active entries known so
// far. Until it is sealed, a page changes only by appending.
func (p *partition) replayPage(current page) error {
	if !bytes.HasPrefix(current.rawEntries, p.rawEntries) {
		return errors.Wrap(errInvalidPage, "entries changed in place")
	}
	added, err := decodePage(current.rawEntries[len(p.rawEntries):])
	if err != nil {
		return errors.Wrap(err, p.headKey())
	}
	p.rawEntries = current.rawEntries
	p.expiry = latestKeepUntil(p.expiry, added.entries)
	p.applyEntries(added.entries)
	return nil
}

// sealActive moves the active entries to a new sealed segment.
func (p *partition) sealActive() {
	p.sealed = append(p.sealed, segment{
		number:    p.activeSegment,
		sizeBytes: len(p.rawEntries),
		expiry:    p.expiry,
	})
	p.activeSegment++
	p.rawEntries, p.expiry = nil, time.Time{}
}

// dropSegmentsBefore removes deleted segments from the list.
func (p *partition) dropSegmentsBefore(first uint64) {
	for len(p.sealed) > 0 && p.sealed[0].number < first {
		p.sealed = p.sealed[1:]
	}
}

// applyEntries applies entries to the records. Their writer has decided them, and
// they are not decided again here, so that all hosts reach the same state whatever
// their clocks say.
func (p *partition) applyEntries(entries []entry) {
	for i := range entries {
		e := entries[i]
		previous := p.records[e.key]
		switch {
		case e.kind == kindClaim || previous == nil:
			p.records[e.key] = &record{
				entry:            e,
				claimFingerprint: e.fingerprint,
			}
		case previous.attempt == e.attempt:
			p.records[e.key] = &record{
				entry:            e,
				claimFingerprint: previous.claimFingerprint,
			}
		}
		p.requeueFinishWaiters(e.key)
	}
}

func (p *partition) requeueFinishWaiters(key keyID) {
	for _, t := range p.finishWaiters[key] {
		if t.phase == phaseAwaitingFinish {
			t.phase = phaseQueued
			p.queue = append(p.queue, t)
		}
	}
	delete(p.finishWaiters, key)
}

// dropExpiredRecords removes records whose KeepUntil is before cutoff. Segments with
// their entries may still exist.
func (p *partition) dropExpiredRecords(cutoff time.Time) {
	for key, r := range p.records {
		if r.keepUntil.Before(cutoff) {
			delete(p.records, key)
		}
	}
}

func latestKeepUntil(latest time.Time, entries []entry) time.Time {
	for i := range entries {
		if entries[i].keepUntil.After(latest) {
			latest = entries[i].keepUntil
		}
	}
	return latest
}
