package documents

import (
	"fmt"
	"slices"
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// maxEdits is how many edits wait on one host. They are carried out one after
// the other, since each writes the summary.
const maxEdits = 64

// edit is an operator's edit that is not answered yet.
type edit struct {
	EditSubmitted
	document *document.Document // nil with Delete

	// call is the read or swap in flight, zero for none.
	call         CallID
	callDeadline time.Time
	swapping     bool
	value        []byte // what the swap in flight puts
	// doubt: a swap sent before may have taken effect, or may yet.
	doubt bool
	// elsewhere: so may one that another host sent.
	elsewhere bool
	// sent is the revision of the summary that the last swap compared.
	sent     ident.Revision
	mustRead bool
	tries    int
	retryAt  time.Time
}

// doubtful tells whether the edit may have been accepted, or may be yet.
func (e *edit) doubtful() bool {
	return e.doubt || e.elsewhere || e.swapping
}

func (m *Machine) submit(now time.Time, event EditSubmitted) {
	queued := slices.ContainsFunc(m.edits, func(e *edit) bool {
		return e.Edit == event.Edit
	})
	if queued {
		return
	}
	e := &edit{
		EditSubmitted: event,
		elsewhere:     event.Again,
		mustRead:      event.Again,
	}
	if result := m.settled(now, e); result != nil {
		m.answer(e, result)
		return
	}
	if faults := e.read(); len(faults) > 0 {
		m.answer(e, Refused{
			Faults: faults,
		})
		return
	}
	if len(m.edits) == maxEdits {
		m.answer(e, m.unlessDoubtful(now, e, Unavailable{
			RetryAt: now.Add(m.pause(1)),
			Reason:  "too many edits are waiting",
		}))
		return
	}
	m.edits = append(m.edits, e)
}

// read checks the document by itself.
func (e *edit) read() jsonfile.Faults {
	var faults jsonfile.Faults
	if e.Delete {
		return nil
	}
	doc, err := teamdoc.Read(e.Text)
	if err != nil {
		return asFaults(err)
	}
	if doc.Team != e.Team {
		faults.Add("Team", string(doc.Team), string(e.Team)+", the team whose document is edited")
	}
	e.document = doc
	return faults
}

func (m *Machine) answer(e *edit, result EditResult) {
	m.do(AnswerEdit{
		Edit:   e.Edit,
		Team:   e.Team,
		Result: result,
	})
}

// unlessDoubtful gives the result, which says that the edit will not be in
// force, only where that is true.
func (m *Machine) unlessDoubtful(now time.Time, e *edit, result EditResult) EditResult {
	if !e.doubtful() {
		return result
	}
	return Unknown{
		RetryAt: now.Add(m.pause(1)),
	}
}

// pumpEdits carries on with the first edit, and answers all that are due.
func (m *Machine) pumpEdits(now time.Time) {
	m.expireEdits(now)
	for len(m.edits) > 0 {
		e := m.edits[0]
		if e.call != 0 && now.Before(e.callDeadline) {
			return
		}
		if e.call != 0 {
			m.callLost(e)
		}
		result := m.advance(now, e)
		if result == nil {
			return
		}
		m.answer(e, result)
		m.edits = m.edits[1:]
	}
}

func (m *Machine) expireEdits(now time.Time) {
	m.edits = slices.DeleteFunc(m.edits, func(e *edit) bool {
		if now.Before(e.Deadline) {
			return false
		}
		m.answer(e, m.unlessDoubtful(now, e, Unavailable{
			RetryAt: now.Add(m.pause(1)),
			Reason:  "the edit's deadline passed",
		}))
		return true
	})
}

// advance takes the edit one step on. It gives the answer where there is one.
func (m *Machine) advance(now time.Time, e *edit) EditResult {
	if result := m.settled(now, e); result != nil {
		return result
	}
	if now.Before(e.retryAt) {
		return nil
	}
	if e.mustRead {
		m.sendRead(now, e)
		return nil
	}
	if !m.upToDate(e) {
		return m.whileBehind(now, e)
	}
	base := m.base(e)
	if h := m.teams[e.Team]; m.revisionOf(e.Team) != base {
		return m.conflict(e, h)
	}
	// A swap sent before compared the summary as it was then. Once the summary
	// has moved on, that swap can't take effect any more; and it has not, or the
	// edit would be settled.
	if e.doubt && e.sent != m.summary {
		e.doubt = false
	}
	if !e.doubt {
		if result := m.check(now, e); result != nil {
			return m.unlessDoubtful(now, e, result)
		}
	}
	m.sendSwap(now, e, base)
	return nil
}

// settled gives the answer that follows from the documents held, if any.
func (m *Machine) settled(now time.Time, e *edit) EditResult {
	h, found := m.teams[e.Team]
	if !found {
		return nil
	}
	if revision, accepted := h.find(e.Edit); accepted {
		return Accepted{
			Revision: revision,
		}
	}
	if h.version.Revision <= e.Base {
		return nil
	}
	// Another host's swap of an edit that builds on no document may have compared
	// a tombstone that this host has not heard of, and be accepted by now, though
	// the document held here looks like somebody else's. What a read gives is
	// later than that swap's compares.
	if e.elsewhere && e.mustRead {
		return nil
	}
	// So many edits came after the base that ours could be among those that the
	// stored value no longer names. "Conflict" could be a lie then.
	if e.doubtful() && !h.covers(e.Base) {
		return Unknown{
			RetryAt: now.Add(m.pause(1)),
		}
	}
	if m.base(e) == h.version.Revision {
		return nil
	}
	return m.conflict(e, h)
}

func (m *Machine) conflict(e *edit, h *held) EditResult {
	result := Conflict{
		Yours: e.Text,
	}
	if h != nil {
		result.Theirs = h.version.Text
		result.Revision = h.version.Revision
	}
	return result
}

// base is the revision that the swap compares. Who read that there is no
// document may build on a tombstone.
func (m *Machine) base(e *edit) ident.Revision {
	if h, found := m.teams[e.Team]; found && e.Base == 0 && h.version.Deleted {
		return h.version.Revision
	}
	return e.Base
}

func (m *Machine) revisionOf(team ident.TeamName) ident.Revision {
	if h, found := m.teams[team]; found {
		return h.version.Revision
	}
	return 0
}

// upToDate tells whether all documents known to exist are held, so that they
// can be checked together. Those that are not known to exist are the summary's
// part.
//
// What a failed swap found of the summary counts only once a listing or the
// edits themselves have come that far. The watch's position does not do: a watch
// that left an edit out goes on as if it had not. The swap would then compare the
// new summary and pass, although the check never saw the edit behind it: two
// documents would overcommit together.
func (m *Machine) upToDate(e *edit) bool {
	known := m.sync.listed || m.complete > 0
	reached := max(m.sync.listedAt, m.complete)
	return known && m.complete >= m.newest && reached >= max(m.sync.need, e.Base) && len(m.unreadable) == 0
}

func (m *Machine) editWaitsForListing(now time.Time) bool {
	if len(m.edits) == 0 {
		return false
	}
	e := m.edits[0]
	return e.call == 0 && !e.mustRead && !now.Before(e.retryAt) && !m.upToDate(e)
}

func (m *Machine) whileBehind(now time.Time, e *edit) EditResult {
	s := &m.sync
	switch {
	case e.doubtful():
		return nil // Unknown at its deadline, unless it is settled before
	case len(m.unreadable) > 0:
		return Unavailable{
			RetryAt: now.Add(longestPause),
			Reason:  "this host can't read every team's stored document",
		}
	case s.failures > 0 && s.call == 0:
		return Unavailable{
			RetryAt: s.retryAt,
			Reason:  "the key-value service is unavailable",
		}
	}
	return nil
}

// check looks at all documents together, this edit among them.
func (m *Machine) check(now time.Time, e *edit) EditResult {
	var before *document.Document
	if h, found := m.teams[e.Team]; found {
		before = h.document
	}
	if e.Delete && before == nil {
		var faults jsonfile.Faults
		faults.Add("", "no document of "+string(e.Team), "a document to delete")
		return Refused{
			Faults: faults,
		}
	}
	docs := m.documentsWith(e)
	if !teamdoc.NeedsMore(before, e.document) {
		// Servers that died must not keep a team from needing less.
		return refusedFor(teamdoc.CheckNames(docs))
	}
	if faults := teamdoc.CheckNames(docs); len(faults) > 0 {
		return refusedFor(faults)
	}
	faults := teamdoc.CheckTogether(docs, m.capacity)
	if len(faults) > 0 && (m.unheard > 0 || len(m.capacity) == 0) {
		// A host that has just started, or a server that has, would otherwise make
		// a sound document fail for good: what fits is not known yet.
		return Unavailable{
			RetryAt: now.Add(m.pause(1)),
			Reason:  fmt.Sprintf("the documents don't fit the %d backend servers that have reported their memory, and %d are still to", len(m.capacity), m.unheard),
		}
	}
	return refusedFor(faults)
}

func refusedFor(faults jsonfile.Faults) EditResult {
	if len(faults) == 0 {
		return nil
	}
	return Refused{
		Faults: faults,
	}
}

// documentsWith gives all documents as they would be with the edit.
func (m *Machine) documentsWith(e *edit) map[ident.TeamName]*document.Document {
	docs := make(map[ident.TeamName]*document.Document)
	for team, h := range m.teams {
		if h.document != nil {
			docs[team] = h.document
		}
	}
	delete(docs, e.Team)
	if e.document != nil {
		docs[e.Team] = e.document
	}
	return docs
}
