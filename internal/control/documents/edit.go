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

// maxWaitingEdits is how many edits may wait on one host. They run one at a time,
// since each writes the summary.
const maxWaitingEdits = 64

// edit is an operator's edit that has not been answered yet.
type edit struct {
	EditSubmitted
	document *document.Document // nil if Delete is set

	// call is the read or swap in flight, zero for none.
	call         CallID
	callDeadline time.Time
	swapInFlight bool
	putValue     []byte // the document's value in the swap in flight
	// inDoubt is set if an earlier swap of this host may have taken effect, or still may.
	inDoubt bool
	// inDoubtElsewhere is set if a swap of another host may have taken effect, or still may.
	inDoubtElsewhere bool
	// comparedSummary is the summary's revision that the last swap compared.
	comparedSummary ident.Revision
	mustRead        bool
	attempts        int
	retryAt         time.Time
}

// mayBeAccepted reports whether the edit may have been accepted, or still may be.
func (e *edit) mayBeAccepted() bool {
	return e.inDoubt || e.inDoubtElsewhere || e.swapInFlight
}

func (m *Machine) submitEdit(now time.Time, event EditSubmitted) {
	queued := slices.ContainsFunc(m.edits, func(e *edit) bool {
		return e.Edit == event.Edit
	})
	if queued {
		return
	}
	e := &edit{
		EditSubmitted:    event,
		inDoubtElsewhere: event.IsResubmitted,
		mustRead:         event.IsResubmitted,
	}
	if result := m.resultFromState(now, e); result != nil {
		m.answerEdit(e, result)
		return
	}
	if faults := e.parse(); len(faults) > 0 {
		m.answerEdit(e, Refused{
			Faults: faults,
		})
		return
	}
	if len(m.edits) == maxWaitingEdits {
		m.answerEdit(e, m.unlessInDoubt(now, e, Unavailable{
			RetryAt: now.Add(m.retryDelay(1)),
			Reason:  "too many edits are waiting",
		}))
		return
	}
	m.edits = append(m.edits, e)
}

// parse reads the edit's document and checks it on its own.
func (e *edit) parse() jsonfile.Faults {
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

func (m *Machine) answerEdit(e *edit, result EditResult) {
	m.emit(AnswerEdit{
		Edit:   e.Edit,
		Team:   e.Team,
		Result: result,
	})
}

// unlessInDoubt returns the result, which says that the edit will not be in force,
// or Unknown if the edit may have been accepted.
func (m *Machine) unlessInDoubt(now time.Time, e *edit, result EditResult) EditResult {
	if !e.mayBeAccepted() {
		return result
	}
	return Unknown{
		RetryAt: now.Add(m.retryDelay(1)),
	}
}

// processEdits answers expired edits, then advances the first edit, and the next
// ones as long as the first gets its answer.
func (m *Machine) processEdits(now time.Time) {
	m.expireEdits(now)
	for len(m.edits) > 0 {
		e := m.edits[0]
		if e.call != 0 && now.Before(e.callDeadline) {
			return
		}
		if e.call != 0 {
			m.abandonCall(e)
		}
		result := m.advanceEdit(now, e)
		if result == nil {
			return
		}
		m.answerEdit(e, result)
		m.edits = m.edits[1:]
	}
}

func (m *Machine) expireEdits(now time.Time) {
	m.edits = slices.DeleteFunc(m.edits, func(e *edit) bool {
		if now.Before(e.Deadline) {
			return false
		}
		m.answerEdit(e, m.unlessInDoubt(now, e, Unavailable{
			RetryAt: now.Add(m.retryDelay(1)),
			Reason:  "the edit's deadline passed",
		}))
		return true
	})
}

// advanceEdit sends the edit's next call, or returns the result if there is one.
func (m *Machine) advanceEdit(now time.Time, e *edit) EditResult {
	if result := m.resultFromState(now, e); result != nil {
		return result
	}
	if now.Before(e.retryAt) {
		return nil
	}
	if e.mustRead {
		m.sendRead(now, e)
		return nil
	}
	if !m.isUpToDate(e) {
		return m.resultWhileBehind(now, e)
	}
	base := m.baseRevision(e)
	if state := m.teams[e.Team]; m.revisionOf(e.Team) != base {
		return m.conflictResult(e, state)
	}
	// An earlier swap compared the summary as it was then. Once the summary has
	// changed, that swap can no longer take effect; and it has not taken effect, or
	// resultFromState would have returned Accepted.
	if e.inDoubt && e.comparedSummary != m.summaryRevision {
		e.inDoubt = false
	}
	if !e.inDoubt {
		if result := m.checkEdit(now, e); result != nil {
			return m.unlessInDoubt(now, e, result)
		}
	}
	m.sendSwap(now, e, base)
	return nil
}

// resultFromState returns the result that follows from the known documents, if any.
func (m *Machine) resultFromState(now time.Time, e *edit) EditResult {
	state, found := m.teams[e.Team]
	if !found {
		return nil
	}
	if revision, accepted := state.findEdit(e.Edit); accepted {
		return Accepted{
			Revision: revision,
		}
	}
	if state.version.Revision <= e.Base {
		return nil
	}
	// Another host's swap of an edit with base zero may have compared a tombstone
	// that this host has not received, and may be accepted by now, although the
	// document known here looks like another operator's. A read returns a state
	// later than that swap's compares.
	if e.inDoubtElsewhere && e.mustRead {
		return nil
	}
	// So many edits followed the base that this one could be among those that the
	// stored value no longer names. Conflict could be wrong then.
	if e.mayBeAccepted() && !state.namesAllSince(e.Base) {
		return Unknown{
			RetryAt: now.Add(m.retryDelay(1)),
		}
	}
	if m.baseRevision(e) == state.version.Revision {
		return nil
	}
	return m.conflictResult(e, state)
}

func (m *Machine) conflictResult(e *edit, state *teamState) EditResult {
	result := Conflict{
		Yours: e.Text,
	}
	if state != nil {
		result.Theirs = state.version.Text
		result.Revision = state.version.Revision
	}
	return result
}

// baseRevision returns the revision that the swap compares. An operator who read
// that there is no document may replace a tombstone.
func (m *Machine) baseRevision(e *edit) ident.Revision {
	if state, found := m.teams[e.Team]; found && e.Base == 0 && state.version.Deleted {
		return state.version.Revision
	}
	return e.Base
}

func (m *Machine) revisionOf(team ident.TeamName) ident.Revision {
	if state, found := m.teams[team]; found {
		return state.version.Revision
	}
	return 0
}

// isUpToDate reports whether this host has every document that it knows to exist,
// so that they can be checked together. An edit that it doesn't know of makes the
// swap fail, by the compare of the summary.
//
// A summary revision that a failed swap returned counts only once a listing or
// the edits themselves have reached it. The watch's position is not enough: a
// watch that left an edit out goes on as if it had not. The swap would then
// compare the new summary and pass, although the check never saw the edit that
// wrote it: two documents would overcommit together.
func (m *Machine) isUpToDate(e *edit) bool {
	known := m.sync.listed || m.completeRevision > 0
	reached := max(m.sync.listedRevision, m.completeRevision)
	return known && m.completeRevision >= m.newestRevision && reached >= max(m.sync.neededRevision, e.Base) && len(m.unreadableRevisions) == 0
}

func (m *Machine) editWaitsForListing(now time.Time) bool {
	if len(m.edits) == 0 {
		return false
	}
	e := m.edits[0]
	return e.call == 0 && !e.mustRead && !now.Before(e.retryAt) && !m.isUpToDate(e)
}

func (m *Machine) resultWhileBehind(now time.Time, e *edit) EditResult {
	s := &m.sync
	switch {
	case e.mayBeAccepted():
		return nil // Unknown at the deadline, unless a result is found before
	case len(m.unreadableRevisions) > 0:
		return Unavailable{
			RetryAt: now.Add(maxRetryDelay),
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

// checkEdit checks all documents together, with this edit applied.
func (m *Machine) checkEdit(now time.Time, e *edit) EditResult {
	var before *document.Document
	if state, found := m.teams[e.Team]; found {
		before = state.document
	}
	if e.Delete && before == nil {
		var faults jsonfile.Faults
		faults.Add("", "no document of "+string(e.Team), "a document to delete")
		return Refused{
			Faults: faults,
		}
	}
	docs := m.documentsWith(e)
	if !teamdoc.NeedsMoreMemory(before, e.document) {
		// Crashed servers must not keep a team from reducing what it needs.
		return refusedOrNil(teamdoc.CheckUniqueNames(docs))
	}
	if faults := teamdoc.CheckUniqueNames(docs); len(faults) > 0 {
		return refusedOrNil(faults)
	}
	faults := teamdoc.CheckAll(docs, m.capacity)
	if len(faults) > 0 && (m.serversNotReported > 0 || len(m.capacity) == 0) {
		// The capacity is not known yet: right after the start of this host or of a
		// server, a sound document would otherwise be refused for good.
		return Unavailable{
			RetryAt: now.Add(m.retryDelay(1)),
			Reason:  fmt.Sprintf("the documents don't fit the %d backend servers that have reported their memory, and %d are still to", len(m.capacity), m.serversNotReported),
		}
	}
	return refusedOrNil(faults)
}

func refusedOrNil(faults jsonfile.Faults) EditResult {
	if len(faults) == 0 {
		return nil
	}
	return Refused{
		Faults: faults,
	}
}

// documentsWith returns all documents as they would be with the edit applied.
func (m *Machine) documentsWith(e *edit) map[ident.TeamName]*document.Document {
	docs := make(map[ident.TeamName]*document.Document)
	for team, state := range m.teams {
		if state.document != nil {
			docs[team] = state.document
		}
	}
	delete(docs, e.Team)
	if e.document != nil {
		docs[e.Team] = e.document
	}
	return docs
}
