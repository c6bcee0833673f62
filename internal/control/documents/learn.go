package documents

import (
	"slices"
	"strings"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// maxRecentVersions is how many versions before the one in force stay in memory.
	maxRecentVersions = 8
	// maxEarlierVersions is how many earlier versions a stored value names and the
	// store keeps. The outcome of a swap whose answer was lost can be found until
	// this many more edits of the team have been accepted.
	maxEarlierVersions = 16
)

// applyEntry applies a document's entry, whether from the store or from a peer.
func (m *Machine) applyEntry(entry store.Entry) {
	team := ident.TeamName(strings.TrimPrefix(entry.Key, Prefix))
	before := m.teams[team]
	// A lagging peer or replica, or a batch delivered twice, offers an older
	// document; applying it would revert an accepted edit. Revisions of one key
	// only grow, and each has one value, so the greater one is the later edit.
	if before != nil && entry.Revision <= before.version.Revision {
		return
	}
	if entry.Revision == 0 || entry.Revision < m.unreadableRevisions[team] {
		return
	}
	m.newestRevision = max(m.newestRevision, entry.Revision)
	m.applySummary(entry.Revision, entry.Revision)
	decoded, doc, err := decodeStoredDocument(entry.Key, entry.Revision, entry.Value)
	if err != nil {
		m.reportUnreadable(team, entry.Revision, err)
		return
	}
	delete(m.unreadableRevisions, team)
	after := &teamState{
		storedDocument: *decoded,
		storedValue:    entry.Value,
		document:       doc,
	}
	if before != nil {
		after.recentVersions = append([]Version{before.version}, before.recentVersions...)
		after.recentVersions = after.recentVersions[:min(len(after.recentVersions), maxRecentVersions)]
	}
	m.teams[team] = after
	m.changed = true
	m.advanceComplete()
}

// advanceComplete raises completeRevision over the known documents. Each names
// the previous accepted edit, of any team, so no edit between the two is missing.
func (m *Machine) advanceComplete() {
	for advanced := true; advanced; {
		advanced = false
		for _, state := range m.teams {
			if state.previousEdit <= m.completeRevision && state.version.Revision > m.completeRevision {
				m.completeRevision = state.version.Revision
				advanced = true
			}
		}
	}
}

// reportUnreadable reports an unreadable value once. A peer may have sent a damaged
// copy of a value that is whole in the store, so the same revision is still
// accepted from another source later.
func (m *Machine) reportUnreadable(team ident.TeamName, revision ident.Revision, cause error) {
	if m.unreadableRevisions[team] == revision {
		return
	}
	m.unreadableRevisions[team] = revision
	m.emit(ReportUnreadable{
		Team:     team,
		Revision: revision,
		Cause:    cause,
	})
}

// applySummary applies the revision that the summary key had at a revision of the
// whole store. An accepted edit writes its document and the summary at one revision.
func (m *Machine) applySummary(summary, at ident.Revision) {
	if at > m.summaryReadAt {
		m.summaryRevision = summary
		m.summaryReadAt = at
	}
}

// Revision returns the greatest revision up to which every accepted edit is
// certainly in force here.
func (m *Machine) Revision() ident.Revision {
	result := m.completeRevision
	for _, revision := range m.unreadableRevisions {
		result = min(result, revision-1)
	}
	return result
}

// findEdit returns the revision at which an edit was accepted.
func (s *teamState) findEdit(edit ident.EditID) (ident.Revision, bool) {
	if s.version.Edit == edit {
		return s.version.Revision, true
	}
	for _, r := range s.earlierVersions {
		if r.edit == edit {
			return r.revision, true
		}
	}
	return 0, false
}

// namesAllSince reports whether the stored document names every version after a
// base revision. If it does, an edit on that base that it doesn't name was not
// accepted.
func (s *teamState) namesAllSince(base ident.Revision) bool {
	if len(s.earlierVersions) < maxEarlierVersions {
		return true
	}
	return s.earlierVersions[len(s.earlierVersions)-1].revision <= base
}

// History returns the versions of a team's document, the newest first. A version
// that this host no longer has in memory, or never had, has no Text here: the
// store has it under HistoryPrefix.
func (m *Machine) History(team ident.TeamName) []Version {
	state, found := m.teams[team]
	if !found {
		return nil
	}
	result := []Version{state.version}
	for _, r := range state.earlierVersions {
		at := slices.IndexFunc(state.recentVersions, func(v Version) bool {
			return v.Revision == r.revision
		})
		if at >= 0 {
			result = append(result, state.recentVersions[at])
			continue
		}
		result = append(result, Version{
			Team:     team,
			Revision: r.revision,
			Edit:     r.edit,
		})
	}
	return result
}
