package documents

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

// A team deletes its document, and a host that was cut off sends its peers the former
// one. Without a tombstone any revision looks newer than none, and the document would
// be in force again.
func TestLaggingPeerDoesNotRestoreDeletedDocument(t *testing.T) {
	kv := newFakeStore()
	first, lagging := newListedHost(t, kv), newListedHost(t, kv)
	base := first.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	lagging.step(PeerMessageReceived{
		Message: first.machine.MessageSince(0),
	})
	tombstone := first.acceptEdit(newEdit("e2", "a", base, nil))
	first.step(PeerMessageReceived{
		Message: lagging.machine.MessageSince(0),
	})
	require.Empty(t, first.machine.Snapshot().Documents)
	require.Equal(t, tombstone, first.machine.Snapshot().Versions["a"].Revision)

	// An operator who saw no document may create one again.
	require.Greater(t, first.acceptEdit(newEdit("e3", "a", 0, documentText("a", "m", 10, 1))), tombstone)
	require.Len(t, first.machine.History("a"), 3)
}

// Hosts are restarted while the key-value service is down, and one host still has the
// documents. If the new ones wait for the service instead of taking the documents
// from that peer, they answer "unknown model" until the outage ends.
func TestHostStartedDuringOutageLearnsFromPeers(t *testing.T) {
	kv := newFakeStore()
	old := newListedHost(t, kv)
	base := old.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	old.acceptEdit(newEdit("e2", "b", 0, documentText("b", "n", 10, 1)))
	revision := old.acceptEdit(newEdit("e3", "a", base, documentText("a", "m", 20, 1)))

	fresh := newTestHost(t, kv)
	list := stepForOne[List](fresh, Started{
		ShouldWatch: true,
	})
	fresh.step(ListFailed{
		Call: list.Call,
	})
	early := stepForOne[AnswerEdit](fresh, newEdit("e4", "a", 0, documentText("a", "m", 10, 1)))
	require.IsType(t, Unavailable{}, early.Result)
	require.True(t, early.Result.(Unavailable).RetryAt.After(fresh.now))

	published := stepForOne[PublishSnapshot](fresh, PeerMessageReceived{
		Message: old.machine.MessageSince(fresh.machine.Revision()),
	})
	require.Len(t, published.Snapshot.Documents, 2)
	require.Equal(t, revision, fresh.machine.Revision())

	// An edit does not wait for the service and is not lost silently.
	swap := stepForOne[Swap](fresh, newEdit("e5", "a", revision, documentText("a", "m", 20, 1)))
	answer := stepForOne[AnswerEdit](fresh, NewSwapAnswered(swap.Call, store.SwapResult{}, store.ErrUnavailable))
	require.IsType(t, Unavailable{}, answer.Result)
}

// A watch's connection breaks silently, which looks like a watch without changes. The
// host would serve an outdated document for days.
func TestSilentWatchIsReplaced(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	host.step(WatchBatchReceived{
		Watch: host.machine.sync.watchID,
	})
	require.Empty(t, host.advance(defaultWatchSilence-time.Millisecond))
	commands := host.advance(time.Millisecond)
	onlyCommand[StopWatch](t, commands)
	list := onlyCommand[List](t, commands)
	watch := stepForOne[Watch](host, ListingRead{
		Call:    list.Call,
		Listing: kv.list(0),
	})
	require.Equal(t, host.machine.sync.watchID, watch.Watch)
}

// The connection of a host's new watch is broken. Late batches of the former watch must
// not extend the new watch's deadline.
func TestBatchOfFormerWatchDoesNotExtendDeadline(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	former := host.machine.sync.watchID
	host.step(WatchEnded{
		Watch: former,
	})
	list := onlyCommand[List](t, host.advance(firstRetryDelay))
	host.step(ListingRead{
		Call:    list.Call,
		Listing: kv.list(0),
	})
	require.Empty(t, host.advance(defaultWatchSilence-2*time.Millisecond))
	host.step(WatchBatchReceived{
		Watch: former,
	})
	onlyCommand[StopWatch](t, host.advance(time.Millisecond))
}

// A watch leaves one change out and goes on, and the batches that come look complete.
// The host must not report everything as in force while one team's edit is missing,
// which would otherwise last until that team's next edit.
func TestWatchGapTriggersListing(t *testing.T) {
	kv := newFakeStore()
	writer, host := newListedHost(t, kv), newListedHost(t, kv)
	writer.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	writer.acceptEdit(newEdit("e2", "b", 0, documentText("b", "n", 10, 1)))
	commands := host.step(WatchBatchReceived{
		Watch: host.machine.sync.watchID,
		Batch: store.Batch{
			Events: []store.Event{{
				Entry: kv.entries[Key("b")],
			}},
			Revision: 2,
		},
	})
	onlyCommand[PublishSnapshot](t, commands) // the change that arrived is in force at once
	require.Zero(t, host.machine.Revision(), "but it is not reported as in force")
	list := onlyCommand[List](t, host.advance(time.Second))
	host.step(ListingRead{
		Call:    list.Call,
		Listing: kv.list(2),
	})
	require.Equal(t, ident.Revision(2), host.machine.Revision())

	// If only an empty batch follows the gap, a peer sends what is missing.
	writer.acceptEdit(newEdit("e3", "a", 1, documentText("a", "m", 20, 1)))
	host.step(WatchBatchReceived{
		Watch: host.machine.sync.watchID,
		Batch: store.Batch{
			Revision: 9,
		},
	})
	require.Equal(t, ident.Revision(2), host.machine.Revision())
	host.step(PeerMessageReceived{
		Message: writer.machine.MessageSince(host.machine.Revision()),
	})
	require.Equal(t, ident.Revision(3), host.machine.Revision())
}

// A host restarts and receives a message made for its previous incarnation, without the
// older documents. If it took that for everything, operators would see "in force on
// 7 of 7" although this host lacks an edit.
func TestPartialPeerMessageDoesNotRaiseRevision(t *testing.T) {
	kv := newFakeStore()
	writer := newListedHost(t, kv)
	writer.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	revision := writer.acceptEdit(newEdit("e2", "b", 0, documentText("b", "n", 10, 1)))
	fresh := newTestHost(t, kv)
	fresh.step(PeerMessageReceived{
		Message: writer.machine.MessageSince(1),
	})
	require.Len(t, fresh.machine.Snapshot().Documents, 1)
	require.Zero(t, fresh.machine.Revision())

	writer.step(PeerRevisionReported{
		Host:     "fresh",
		Revision: fresh.machine.Revision(),
	})
	hosts, of := writer.machine.CountHostsInForce(revision)
	require.Equal(t, "1 of 2", fmt.Sprintf("%d of %d", hosts, of))
	writer.step(PeerRemoved{
		Host: "fresh",
	})
	hosts, of = writer.machine.CountHostsInForce(revision)
	require.Equal(t, "1 of 1", fmt.Sprintf("%d of %d", hosts, of))
}

// During a roll-out a newer host stores a document that an older host can't read. The
// older one must keep serving what it has, report the document, and accept no edit,
// since it can't check it against all documents.
func TestUnreadableDocumentKeepsPreviousInForce(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	revision := host.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	damaged := PeerMessageReceived{
		Message: Message{
			Documents: []PeerDocument{{
				Team:     "a",
				Revision: 7,
				Value:    []byte(`{"Team": "a", "Text": "{}"}`),
			}},
		},
	}
	report := stepForOne[ReportUnreadable](host, damaged)
	require.Equal(t, ident.Revision(7), report.Revision)
	require.Empty(t, host.step(damaged), "reported once")
	require.Equal(t, revision, host.machine.Snapshot().Versions["a"].Revision)
	require.Equal(t, revision, host.machine.Revision())
	require.IsType(t, Unavailable{}, stepForOne[AnswerEdit](host, newEdit("e2", "a", revision, documentText("a", "m", 20, 1))).Result)

	// A listing is complete, yet a document that can't be read is not in force, and
	// an edit that can't be checked against it is not accepted.
	list := onlyCommand[List](t, host.advance(defaultRefreshInterval))
	host.step(ListingRead{
		Call: list.Call,
		Listing: store.Listing{
			Entries: []store.Entry{{
				Key:      Key("a"),
				Value:    []byte(`{"Team": "b", "Deleted": true}`),
				Revision: 8,
			}},
			Revision: 8,
		},
	})
	require.Equal(t, revision, host.machine.Snapshot().Versions["a"].Revision)
	require.Less(t, host.machine.Revision(), ident.Revision(8))
	require.IsType(t, Unavailable{}, stepForOne[AnswerEdit](host, newEdit("e3", "b", 0, documentText("b", "n", 20, 1))).Result)
}

// The keys are removed by hand, or the key-value service's data is lost. The watch
// reports every key as deleted, but the hosts must go on serving the documents.
func TestRemovedKeyDoesNotDeleteDocument(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	revision := host.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	commands := host.step(WatchBatchReceived{
		Watch: host.machine.sync.watchID,
		Batch: store.Batch{
			Events: []store.Event{{
				Entry: store.Entry{
					Key:      Key("a"),
					Revision: revision + 1,
				},
				Deleted: true,
			}},
			Revision: revision + 1,
		},
	})
	require.Empty(t, commands)
	require.Contains(t, host.machine.Snapshot().Documents, ident.TeamName("a"))
}

// The platform assigns this host's watches to other hosts, and the host goes on with
// what its peers send.
func TestHostWithoutWatchDutyDoesNotWatch(t *testing.T) {
	host := newListedHost(t, newFakeStore())
	stepForOne[StopWatch](host, WatchAssignmentChanged{})
	require.Empty(t, host.advance(time.Minute))
	onlyCommand[List](t, host.advance(defaultRefreshInterval))
}
