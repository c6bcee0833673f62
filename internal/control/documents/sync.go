package documents

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// listGap is the least time between two listings: a lagging reader that answers
// at once would otherwise be asked without pause.
const listGap = 50 * time.Millisecond

// syncState is how the machine keeps up with the key-value service.
type syncState struct {
	started bool
	// duty tells whether this host watches.
	duty bool
	// listed tells that a listing was read, listedAt the greatest revision of one.
	listed   bool
	listedAt ident.Revision
	// stale asks for a listing, since changes may have been missed.
	stale bool
	// need is a revision that is known to exist and not to be reached yet.
	need         ident.Revision
	call         CallID
	callDeadline time.Time
	failures     int
	// retryAt is when the next listing may be asked for, refreshAt when it has to.
	retryAt   time.Time
	refreshAt time.Time
	// watch is the current watch, zero for none; it is silent at silentAt unless
	// it gives a sign of life.
	watch    WatchID
	silentAt time.Time
}

func (m *Machine) start(event Started) {
	m.sync.started = true
	m.sync.duty = event.Watch
	m.sync.stale = true
}

// keepInSync begins what has to be begun, at the end of each step.
func (m *Machine) keepInSync(now time.Time) {
	s := &m.sync
	if !s.started {
		return
	}
	if s.call != 0 && !now.Before(s.callDeadline) {
		m.listFailed(now, s.call)
	}
	m.superviseWatch(now)
	due := s.stale || m.editWaitsForListing(now) || (s.listed && !now.Before(s.refreshAt))
	if due && s.call == 0 && !now.Before(s.retryAt) {
		s.call = m.nextCall()
		s.callDeadline = now.Add(m.config.CallTimeout)
		m.do(List{
			Call:   s.call,
			Prefix: Prefix,
		})
	}
	if s.duty && s.watch == 0 && !s.stale {
		m.lastWatch++
		s.watch = m.lastWatch
		s.silentAt = now.Add(m.config.WatchSilence)
		m.do(Watch{
			Watch:  s.watch,
			Prefix: Prefix,
			After:  m.position,
		})
	}
}

func (m *Machine) superviseWatch(now time.Time) {
	s := &m.sync
	if s.watch == 0 {
		return
	}
	// A watch whose connection died without a word looks like one on which
	// nothing happens: this host would serve old documents for good. The service
	// gives a sign of life more often than WatchSilence, so silence means that
	// the watch is dead, and the listing has what it missed.
	if !now.Before(s.silentAt) {
		s.stale = true
	}
	if s.stale || !s.duty {
		s.watch = 0
		m.do(StopWatch{})
	}
}

func (m *Machine) listingRead(now time.Time, event ListingRead) {
	var latest ident.Revision
	for _, entry := range event.Listing.Entries {
		m.learn(entry)
		latest = max(latest, entry.Revision)
	}
	m.complete = max(m.complete, latest)
	m.attach()
	m.position = max(m.position, event.Listing.Revision)
	s := &m.sync
	s.listedAt = max(s.listedAt, event.Listing.Revision)
	if event.Call != s.call {
		return
	}
	s.call = 0
	s.listed = true
	s.stale = false
	s.failures = 0
	s.retryAt = now.Add(listGap)
	s.refreshAt = now.Add(m.config.Refresh)
	m.listingWasNotEnough(now)
}

// listingWasNotEnough slows down an edit that the listing did not help: a
// lagging reader answered, or the edit's base never existed.
func (m *Machine) listingWasNotEnough(now time.Time) {
	if !m.editWaitsForListing(now) {
		return
	}
	e := m.edits[0]
	e.tries++
	e.retryAt = now.Add(m.pause(e.tries))
}

func (m *Machine) listFailed(now time.Time, call CallID) {
	s := &m.sync
	if call != s.call {
		return
	}
	s.call = 0
	s.failures++
	s.retryAt = now.Add(m.pause(s.failures))
}

func (m *Machine) watchDelivered(now time.Time, event WatchDelivered) {
	reached := event.Batch.Revision
	gap := false
	for _, change := range event.Batch.Events {
		reached = max(reached, change.Entry.Revision)
		// Documents go by tombstone. A key that was removed by hand, or with a
		// lost store, must not take the document out of force.
		if change.Deleted {
			continue
		}
		m.learn(change.Entry)
		gap = gap || change.Entry.Revision > m.complete
	}
	s := &m.sync
	if event.Watch != s.watch {
		return
	}
	// Where an edit doesn't attach to those before it, the watch has left one
	// out: its document would be missing here until the team's next edit.
	if gap {
		s.stale = true
		return
	}
	s.silentAt = now.Add(m.config.WatchSilence)
	// A batch without events moves only the position: it doesn't prove that the
	// watch left nothing out before it, so complete stays where it is and peers,
	// who are told complete, send what is missing.
	m.position = max(m.position, reached)
}

func (m *Machine) watchBroke(now time.Time, watch WatchID) {
	s := &m.sync
	if watch != s.watch {
		return
	}
	s.watch = 0
	s.stale = true
	s.retryAt = now.Add(m.pause(1))
}
