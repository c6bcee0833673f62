// Package documents decides which team documents are in force on one host. An
// accepted change is in force everywhere within seconds and never reverts.
//
// The documents are in the platform's key-value service, one key for each team.
// A Machine learns them from a listing, from a watch and from other hosts, and
// carries the edits of operators to the service. It is a deterministic state
// machine: no goroutine, no clock, no call. The owner feeds it events and
// carries out the commands it returns.
//
// # Usage
//
//	machine := documents.New(documents.Config{
//		Seed:         seed,
//		CallTimeout:  loaded.Control.CallTimeout,
//		WatchSilence: loaded.Control.WatchSilence,
//	})
//	commands := machine.Step(now, documents.Started{Watch: true})
//	for _, command := range commands {
//		switch command := command.(type) {
//		case documents.List: // kv.List, then Step a ListingRead or a ListFailed
//		case documents.Watch: // end the watch before it, kv.Watch, Step each batch
//		case documents.StopWatch: // end the watch
//		case documents.Read: // kv.Get, then Step a ReadAnswered
//		case documents.Swap: // kv.Swap, then Step NewSwapAnswered(call, result, err)
//		case documents.AnswerEdit: // tell the operator
//		case documents.InForce: // publish the snapshot to the traffic goroutines
//		case documents.Complain: // log
//		}
//	}
//
// Step a Tick several times a second. Each exchange with a peer sends
// machine.Since(revision that the peer last gave) and steps the peer's answer as
// PeerSpoke.
//
// # Keys
//
//   - /cicadaloom/documents/<team>: the accepted text with its edit id
//   - /cicadaloom/history/<team>/<revision>: a superseded version, the last few
//   - /cicadaloom/summary: written by every accepted edit of any team
//
// # Why an edit is never lost and never twice
//
// An edit is one swap. It compares the team's key with the revision that the
// operator read, so of two racing operators one gets a conflict. It also
// compares the summary, which every edit writes, with the one that belongs to
// the documents that were checked together: two edits that are each fine but
// overcommit together can't both pass. An answer that was lost is resolved by
// the edit id, which the stored value keeps for its last few versions, so a
// later edit of somebody else does not hide it. Where the key is unchanged the
// same swap is sent again: by its compares only one of the two can take effect.
//
// # Answers
//
// Accepted, Conflict, Refused and Unavailable are final and true; the last three
// say that the edit is not in force and will not be. Unknown says that it may be:
// submit it again under the same id with Again set.
//
// # Why nothing reverts
//
// A document is replaced only by one of a greater revision, whoever offers it.
// A deleted document leaves a tombstone with a revision of its own, so that a
// lagging peer or reader can't bring the older one back. A key that is removed
// by hand is not taken for a deletion.
//
// # Complete up to a revision
//
// A machine knows up to which accepted edit it has all of them. A listing has
// all. Each stored value names the edit before it, of any team, so a watch that
// left one out is noticed at the next. A peer's documents count only where the
// peer left out nothing that this host lacks: one document of revision 10
// doesn't mean that the one of revision 7 was seen. What a host reports as in
// force is this revision, not the greatest one it has.
//
// # Source
//
// Revisions, compares and watches are those of the published etcd v3 API.
package documents
