package documents

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Message has the documents that one host sends another.
type Message struct {
	// The sender left out its documents up to the revision Since.
	Since ident.Revision
	// CompleteRevision is the revision up to which the sender has every accepted edit.
	CompleteRevision ident.Revision
	Documents        []PeerDocument
}

// PeerDocument is a document's entry in the key-value service.
type PeerDocument struct {
	Team     ident.TeamName
	Revision ident.Revision
	Value    []byte
}

// MessageSince returns the message for a peer that reported a revision as in force. It
// must be sent whole: the receiver raises its complete revision by it.
func (m *Machine) MessageSince(revision ident.Revision) Message {
	message := Message{
		Since:            revision,
		CompleteRevision: m.Revision(),
	}
	for team, state := range m.teams {
		if state.version.Revision > revision {
			message.Documents = append(message.Documents, PeerDocument{
				Team:     team,
				Revision: state.version.Revision,
				Value:    state.storedValue,
			})
		}
	}
	slices.SortFunc(message.Documents, func(a, b PeerDocument) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return message
}

func (m *Machine) handlePeerMessage(message Message) {
	for _, d := range message.Documents {
		m.applyEntry(store.Entry{
			Key:      Key(d.Team),
			Value:    d.Value,
			Revision: d.Revision,
		})
	}
	// The peer's complete revision applies here only if the peer left out nothing
	// that this host lacks. A message made for this host's previous incarnation,
	// which had reached a later revision, or for another host would otherwise make
	// this host report edits as in force that it has never received.
	if message.Since <= m.completeRevision {
		m.completeRevision = max(m.completeRevision, message.CompleteRevision)
	}
}

// CountHostsInForce returns on how many hosts every accepted edit up to a revision
// is in force, and how many hosts have reported; both include this host.
func (m *Machine) CountHostsInForce(revision ident.Revision) (int, int) {
	hosts := 0
	if m.Revision() >= revision {
		hosts++
	}
	for _, reported := range m.peerRevisions {
		if reported >= revision {
			hosts++
		}
	}
	return hosts, len(m.peerRevisions) + 1
}
