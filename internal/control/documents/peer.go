package documents

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Word is what one host tells another of documents.
type Word struct {
	// Since: the sender left out its documents up to this revision.
	Since ident.Revision
	// Complete: the sender has every accepted edit up to it.
	Complete  ident.Revision
	Documents []PeerDocument
}

// PeerDocument is a stored document as it stands in the key-value service.
type PeerDocument struct {
	Team     ident.TeamName
	Revision ident.Revision
	Value    []byte
}

// Since gives the word for a peer that reported a revision as in force. The
// peer needs all of it: no part of it would do.
func (m *Machine) Since(revision ident.Revision) Word {
	word := Word{
		Since:    revision,
		Complete: m.Revision(),
	}
	for team, h := range m.teams {
		if h.version.Revision > revision {
			word.Documents = append(word.Documents, PeerDocument{
				Team:     team,
				Revision: h.version.Revision,
				Value:    h.value,
			})
		}
	}
	slices.SortFunc(word.Documents, func(a, b PeerDocument) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return word
}

func (m *Machine) peerSpoke(word Word) {
	for _, d := range word.Documents {
		m.learn(store.Entry{
			Key:      Key(d.Team),
			Value:    d.Value,
			Revision: d.Revision,
		})
	}
	// The peer's completeness carries over only where it left out nothing that
	// is missing here. A word that was meant for a later revision of this host's
	// former life, or for somebody else, would make this host report edits as in
	// force that it never saw.
	if word.Since <= m.complete {
		m.complete = max(m.complete, word.Complete)
	}
}

// InForceOn tells on how many hosts, this one among them, every accepted edit
// up to a revision is in force, and of how many hosts there is word.
func (m *Machine) InForceOn(revision ident.Revision) (int, int) {
	hosts := 0
	if m.Revision() >= revision {
		hosts++
	}
	for _, reported := range m.peers {
		if reported >= revision {
			hosts++
		}
	}
	return hosts, len(m.peers) + 1
}
