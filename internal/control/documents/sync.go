package documents

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// minListInterval is the least time between two listings: a lagging replica that
// answers at once would otherwise be called in a busy loop.
const minListInterval = 50 * time.Millisecond

// syncState is the state of the listing and the watch that follow the key-value
// service.
type syncState struct {
	started bool
	// shouldWatch is whether this host watches the service or relies on its peers.
	shouldWatch bool
	// listed is whether a listing has been read; listedRevision is the greatest
	// revision of one.
	listed         bool
	listedRevision ident.Revision
	// needsListing is set when changes may have been missed.
	needsListing bool
	// neededRevision is the greatest revision that a failed swap returned. Edits
	// wait until this host has reached it.
	neededRevision ident.Revision
	call           CallID
	callDeadline   time.Time
	failures       int
	// retryAt is the earliest time of the next listing, refreshAt the latest.
	retryAt   time.Time
	refreshAt time.Time
	// watchID is the current watch, zero for none. It counts as broken at
	// watchDeadline, which each batch extends.
	watchID       WatchID
	watchDeadline time.Time
}

func (m *Machine) handleStart(event Started) {
	m.sync.started = true
	m.sync.shouldWatch = event.ShouldWatch
	m.sync.needsListing = true
}

// startListingAndWatch starts a listing and a watch if they are due, at the end of
// each step.
func (m *Machine) startListingAndWatch(now time.Time) {
	s := &m.sync
	if !s.started {
		return
	}
	if s.call != 0 && !now.Before(s.callDeadline) {
		m.handleListFailure(now, s.call)
	}
	m.checkWatch(now)
	due := s.needsListing || m.editWaitsForListing(now) || (s.listed && !now.Before(s.refreshAt))
	if due && s.call == 0 && !now.Before(s.retryAt) {
		s.call = m.nextCall()
		s.callDeadline = now.Add(m.config.CallTimeout)
		m.emit(List{
			Call:   s.call,
			Prefix: Prefix,
		})
	}
	if s.shouldWatch && s.watchID == 0 && !s.needsListing {
		m.lastWatch++
		s.watchID = m.lastWatch
		s.watchDeadline = now.Add(m.config.WatchSilence)
		m.emit(Watch{
			Watch:  s.watchID,
			Prefix: Prefix,
			After:  m.watchPosition,
		})
	}
}

func (m *Machine) checkWatch(now time.Time) {
	s := &m.sync
	if s.watchID == 0 {
		return
	}
	// A watch whose connection broke silently looks like one without changes: this
	// host would serve old documents for good. The service sends a batch, if only
	// an empty one, more often than WatchSilence, so silence means that the watch
	// is broken, and a listing has what it missed.
	if !now.Before(s.watchDeadline) {
		s.needsListing = true
	}
	if s.needsListing || !s.shouldWatch {
		s.watchID = 0
		m.emit(StopWatch{})
	}
}

func (m *Machine) handleListing(now time.Time, event ListingRead) {
	var latest ident.Revision
	for _, entry := range event.Listing.Entries {
		m.applyEntry(entry)
		latest = max(latest, entry.Revision)
	}
	m.completeRevision = max(m.completeRevision, latest)
	m.advanceComplete()
	m.watchPosition = max(m.watchPosition, event.Listing.Revision)
	s := &m.sync
	s.listedRevision = max(s.listedRevision, event.Listing.Revision)
	if event.Call != s.call {
		return
	}
	s.call = 0
	s.listed = true
	s.needsListing = false
	s.failures = 0
	s.retryAt = now.Add(minListInterval)
	s.refreshAt = now.Add(m.config.RefreshInterval)
	m.delayEditAfterListing(now)
}

// delayEditAfterListing delays an edit that is still behind after the listing: a
// lagging replica answered, or the edit's base never existed.
func (m *Machine) delayEditAfterListing(now time.Time) {
	if !m.editWaitsForListing(now) {
		return
	}
	e := m.edits[0]
	e.attempts++
	e.retryAt = now.Add(m.retryDelay(e.attempts))
}

func (m *Machine) handleListFailure(now time.Time, call CallID) {
	s := &m.sync
	if call != s.call {
		return
	}
	s.call = 0
	s.failures++
	s.retryAt = now.Add(m.retryDelay(s.failures))
}

func (m *Machine) handleWatchBatch(now time.Time, event WatchBatchReceived) {
	reached := event.Batch.Revision
	gap := false
	for _, change := range event.Batch.Events {
		reached = max(reached, change.Entry.Revision)
		// A document is deleted by a tombstone. A key that was removed by hand, or
		// lost with the store's data, must not take the document out of force.
		if change.Deleted {
			continue
		}
		m.applyEntry(change.Entry)
		gap = gap || change.Entry.Revision > m.completeRevision
	}
	s := &m.sync
	if event.Watch != s.watchID {
		return
	}
	// If the edit before this one is unknown, the watch has left it out: its
	// document would be missing here until that team's next edit.
	if gap {
		s.needsListing = true
		return
	}
	s.watchDeadline = now.Add(m.config.WatchSilence)
	// A batch without events moves only the position: it doesn't prove that the
	// watch left nothing out before it. So completeRevision stays, and peers, which
	// receive it, send what is missing.
	m.watchPosition = max(m.watchPosition, reached)
}

func (m *Machine) handleWatchEnd(now time.Time, watch WatchID) {
	s := &m.sync
	if watch != s.watchID {
		return
	}
	s.watchID = 0
	s.needsListing = true
	s.retryAt = now.Add(m.retryDelay(1))
}
