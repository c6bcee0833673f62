// Package documents keeps the team documents that are in force on one host and
// carries out operators' edits. An accepted edit is in force on every host within
// seconds and is never reverted.
//
// The platform's key-value service stores the documents, one key for each team.
// A Machine reads them from a listing, a watch and messages of other hosts, and
// writes operators' edits to the service. It is a deterministic state machine: it
// starts no goroutine, reads no clock, makes no call and has no lock. One goroutine
// owns it, passes events to Step and carries out the commands that Step returns. A
// Snapshot never changes, so any goroutine may read it.
//
// # Usage
//
//	machine := documents.New(documents.Config{
//		Seed:         seed,
//		CallTimeout:  loaded.Control.CallTimeout,
//		WatchSilence: loaded.Control.WatchSilence,
//	})
//	commands := machine.Step(now, documents.Started{ShouldWatch: true})
//	for _, command := range commands {
//		switch command := command.(type) {
//		case documents.List: // kv.List, then Step a ListingRead or a ListFailed
//		case documents.Watch: // end the previous watch, kv.Watch, Step each batch
//		case documents.StopWatch: // end the watch
//		case documents.Read: // kv.Get, then Step a ReadAnswered
//		case documents.Swap: // kv.Swap, then Step NewSwapAnswered(call, result, err)
//		case documents.AnswerEdit: // send the result to the operator
//		case documents.PublishSnapshot: // publish the snapshot to the traffic goroutines
//		case documents.ReportUnreadable: // log
//		}
//	}
//
// Step a Tick several times a second. In each exchange with a peer, send
// machine.MessageSince(revision that the peer reported last) and step the peer's
// message as PeerMessageReceived.
//
// # Keys
//
//   - /cicadaloom/documents/<team>: the accepted text with its edit id
//   - /cicadaloom/history/<team>/<revision>: a superseded version, the last few
//   - /cicadaloom/summary: written by every accepted edit of any team
//
// # An edit is applied once or not at all
//
// An edit is one compare-and-swap. It compares the team's key with the revision
// that the operator read, so one of two racing operators gets a conflict. It also
// compares the summary, which every edit writes, with the revision that belongs to
// the documents that were checked together: of two edits that are each sound but
// overcommit together, only one can pass. A lost answer is resolved by the edit id,
// which the stored value keeps for its last few versions, so a later edit by
// another operator does not hide it. If the key is unchanged, the same swap is sent
// again: its compares let only one of the two take effect.
//
// # Results
//
// Accepted, Conflict, Refused and Unavailable are final; the last three say that
// the edit is not in force and will not be. Unknown says that it may be: submit it
// again under the same id with IsResubmitted set.
//
// # No revert
//
// A document is replaced only by one of a greater revision, from whatever source.
// A deleted document leaves a tombstone with a revision of its own, so a lagging
// peer or replica can't restore the older document. A key that was removed by hand
// does not count as a deletion.
//
// # The complete revision
//
// A machine knows the revision up to which it has every accepted edit. A listing
// contains them all. Each stored value names the previous accepted edit, of any
// team, so the next change shows that a watch left one out. Documents from a peer
// count only if the peer left out nothing that this host lacks: having the document
// of revision 10 doesn't mean having seen the one of revision 7. The revision that
// a host reports as in force is the complete one, not the greatest one it has.
//
// # Source
//
// Revisions, compares and watches are those of the published etcd v3 API.
package documents
