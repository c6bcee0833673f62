package documents

import (
	"slices"
	"strings"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	// keepSeen is how many versions before the one in force stay in memory.
	keepSeen = 8
	// keepEarlier is how many earlier versions a stored value names, and the
	// store keeps. A lost answer can be resolved until so many more edits of
	// the team were accepted.
	keepEarlier = 16
)

// learn takes a document from whoever offers it.
func (m *Machine) learn(entry store.Entry) {
	team := ident.TeamName(strings.TrimPrefix(entry.Key, Prefix))
	before := m.teams[team]
	// A lagging peer, reader or a batch delivered twice offers an older document;
	// taking it would revert an accepted edit. Revisions of one key only grow,
	// and each stands for one value, so the greater one is the later edit.
	if before != nil && entry.Revision <= before.version.Revision {
		return
	}
	if entry.Revision == 0 || entry.Revision < m.unreadable[team] {
		return
	}
	m.newest = max(m.newest, entry.Revision)
	m.learnSummary(entry.Revision, entry.Revision)
	decoded, doc, err := decodeStored(entry.Key, entry.Revision, entry.Value)
	if err != nil {
		m.complain(team, entry.Revision, err)
		return
	}
	delete(m.unreadable, team)
	after := &held{
		stored:   *decoded,
		value:    entry.Value,
		document: doc,
	}
	if before != nil {
		after.seen = append([]Version{before.version}, before.seen...)
		after.seen = after.seen[:min(len(after.seen), keepSeen)]
	}
	m.teams[team] = after
	m.changed = true
	m.attach()
}

// attach moves complete on over the documents held. Each names the accepted edit
// before it, of any team, so between the two there is none that is missing.
func (m *Machine) attach() {
	for moved := true; moved; {
		moved = false
		for _, h := range m.teams {
			if h.after <= m.complete && h.version.Revision > m.complete {
				m.complete = h.version.Revision
				moved = true
			}
		}
	}
}

// complain names an unreadable value once. The value may be whole in the store
// and damaged only as one peer passed it on, so the same revision is taken from
// elsewhere later.
func (m *Machine) complain(team ident.TeamName, revision ident.Revision, cause error) {
	if m.unreadable[team] == revision {
		return
	}
	m.unreadable[team] = revision
	m.do(Complain{
		Team:     team,
		Revision: revision,
		Cause:    cause,
	})
}

// learnSummary takes the revision of the summary key as it was at a revision of
// the whole service. An accepted edit writes both keys at once.
func (m *Machine) learnSummary(summary, at ident.Revision) {
	if at > m.summaryAt {
		m.summary = summary
		m.summaryAt = at
	}
}

// Revision is the revision of the latest accepted edit of which it is certain
// that it, and every one before it, is in force here.
func (m *Machine) Revision() ident.Revision {
	result := m.complete
	for _, revision := range m.unreadable {
		result = min(result, revision-1)
	}
	return result
}

// find gives the revision as which an edit was accepted.
func (h *held) find(edit ident.EditID) (ident.Revision, bool) {
	if h.version.Edit == edit {
		return h.version.Revision, true
	}
	for _, r := range h.earlier {
		if r.edit == edit {
			return r.revision, true
		}
	}
	return 0, false
}

// covers tells whether the version names every version after a base, so that an
// edit on that base which it does not name was not accepted.
func (h *held) covers(base ident.Revision) bool {
	if len(h.earlier) < keepEarlier {
		return true
	}
	return h.earlier[len(h.earlier)-1].revision <= base
}

// History gives the versions of a team's document, the newest first. Those that
// did not pass through this host have no Text: it is in the store, under
// HistoryPrefix.
func (m *Machine) History(team ident.TeamName) []Version {
	h, found := m.teams[team]
	if !found {
		return nil
	}
	result := []Version{h.version}
	for _, r := range h.earlier {
		at := slices.IndexFunc(h.seen, func(v Version) bool {
			return v.Revision == r.revision
		})
		if at >= 0 {
			result = append(result, h.seen[at])
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
