package documents

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

// A team deletes its document. A minute later the service is back, as a host that
// was cut off offers its peers the document of before. Cause: with the key gone,
// any revision looks newer than none.
func TestALaggingPeerDoesNotBringADeletedDocumentBack(t *testing.T) {
	kv := newModelStore()
	first, lagging := started(t, kv), started(t, kv)
	base := first.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	lagging.feed(PeerSpoke{
		Word: first.machine.Since(0),
	})
	tombstone := first.accept(editOf("e2", "a", base, nil))
	first.feed(PeerSpoke{
		Word: lagging.machine.Since(0),
	})
	require.Empty(t, first.machine.Snapshot().Documents)
	require.Equal(t, tombstone, first.machine.Snapshot().Versions["a"].Revision)

	// Who saw no document may begin anew.
	require.Greater(t, first.accept(editOf("e3", "a", 0, textOf("a", "m", 10, 1))), tombstone)
	require.Len(t, first.machine.History("a"), 3)
}

// All hosts are replaced while the key-value service is down, and one of them
// still holds the documents. The new ones answer "unknown model" until the outage
// ends. Cause: they wait for the service although a peer could tell them.
func TestAHostStartedInAnOutageLearnsFromPeers(t *testing.T) {
	kv := newModelStore()
	old := started(t, kv)
	base := old.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	old.accept(editOf("e2", "b", 0, textOf("b", "n", 10, 1)))
	revision := old.accept(editOf("e3", "a", base, textOf("a", "m", 20, 1)))

	fresh := newBench(t, kv)
	list := one[List](fresh, Started{
		Watch: true,
	})
	fresh.feed(ListFailed{
		Call: list.Call,
	})
	early := one[AnswerEdit](fresh, editOf("e4", "a", 0, textOf("a", "m", 10, 1)))
	require.IsType(t, Unavailable{}, early.Result)
	require.True(t, early.Result.(Unavailable).RetryAt.After(fresh.now))

	inForce := one[InForce](fresh, PeerSpoke{
		Word: old.machine.Since(fresh.machine.Revision()),
	})
	require.Len(t, inForce.Snapshot.Documents, 2)
	require.Equal(t, revision, fresh.machine.Revision())

	// An edit is not made to wait for the service, and is not lost silently.
	swap := one[Swap](fresh, editOf("e5", "a", revision, textOf("a", "m", 20, 1)))
	answer := one[AnswerEdit](fresh, NewSwapAnswered(swap.Call, store.SwapResult{}, store.ErrUnavailable))
	require.IsType(t, Unavailable{}, answer.Result)
}

// One host in seven serves last week's document. Its watch's connection died
// without a word, and a watch that is silent looks like one with no news.
func TestASilentWatchIsNoticed(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	b.feed(WatchDelivered{
		Watch: b.machine.sync.watch,
	})
	require.Empty(t, b.later(defaultWatchSilence-time.Millisecond))
	commands := b.later(time.Millisecond)
	pickOne[StopWatch](t, commands)
	list := pickOne[List](t, commands)
	watch := one[Watch](b, ListingRead{
		Call:    list.Call,
		Listing: kv.list(0),
	})
	require.Equal(t, b.machine.sync.watch, watch.Watch)
}

// The host has a new watch, and its connection is dead. Batches of the old one,
// still on their way, must not pass for its signs of life.
func TestAFormerWatchIsNoSignOfLife(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	former := b.machine.sync.watch
	b.feed(WatchBroke{
		Watch: former,
	})
	list := pickOne[List](t, b.later(firstPause))
	b.feed(ListingRead{
		Call:    list.Call,
		Listing: kv.list(0),
	})
	require.Empty(t, b.later(defaultWatchSilence-2*time.Millisecond))
	b.feed(WatchDelivered{
		Watch: former,
	})
	pickOne[StopWatch](t, b.later(time.Millisecond))
}

// A watch leaves one change out and goes on. The host says that everything is in
// force, but one team's edit is missing until its next one. Cause: the batches
// that came look whole.
func TestAGapInAWatchIsNoticed(t *testing.T) {
	kv := newModelStore()
	writer, b := started(t, kv), started(t, kv)
	writer.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	writer.accept(editOf("e2", "b", 0, textOf("b", "n", 10, 1)))
	commands := b.feed(WatchDelivered{
		Watch: b.machine.sync.watch,
		Batch: store.Batch{
			Events: []store.Event{{
				Entry: kv.entries[Key("b")],
			}},
			Revision: 2,
		},
	})
	pickOne[InForce](t, commands) // what did come is served at once
	require.Zero(t, b.machine.Revision(), "but it is not reported as in force")
	list := pickOne[List](t, b.later(time.Second))
	b.feed(ListingRead{
		Call:    list.Call,
		Listing: kv.list(2),
	})
	require.Equal(t, ident.Revision(2), b.machine.Revision())

	// Where only a sign of life follows the gap, a peer has what is missing.
	writer.accept(editOf("e3", "a", 1, textOf("a", "m", 20, 1)))
	b.feed(WatchDelivered{
		Watch: b.machine.sync.watch,
		Batch: store.Batch{
			Revision: 9,
		},
	})
	require.Equal(t, ident.Revision(2), b.machine.Revision())
	b.feed(PeerSpoke{
		Word: writer.machine.Since(b.machine.Revision()),
	})
	require.Equal(t, ident.Revision(3), b.machine.Revision())
}

// The operator sees "in force on 7 of 7", yet one host lacks an edit. Cause: it
// restarted, and took an answer meant for its former life as everything there is.
func TestAPartialWordIsNotTakenForAll(t *testing.T) {
	kv := newModelStore()
	writer := started(t, kv)
	writer.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	revision := writer.accept(editOf("e2", "b", 0, textOf("b", "n", 10, 1)))
	fresh := newBench(t, kv)
	fresh.feed(PeerSpoke{
		Word: writer.machine.Since(1),
	})
	require.Len(t, fresh.machine.Snapshot().Documents, 1)
	require.Zero(t, fresh.machine.Revision())

	writer.feed(PeerInForce{
		Host:     "fresh",
		Revision: fresh.machine.Revision(),
	})
	hosts, of := writer.machine.InForceOn(revision)
	require.Equal(t, "1 of 2", fmt.Sprintf("%d of %d", hosts, of))
	writer.feed(PeerGone{
		Host: "fresh",
	})
	hosts, of = writer.machine.InForceOn(revision)
	require.Equal(t, "1 of 1", fmt.Sprintf("%d of %d", hosts, of))
}

// During a roll-out a newer host stores a document that an older one can't read.
// The older one must keep serving what it has, say so, and not let an edit pass
// that it can't check against everything.
func TestAnUnreadableDocumentKeepsTheOldOneInForce(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	revision := b.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	damaged := PeerSpoke{
		Word: Word{
			Documents: []PeerDocument{{
				Team:     "a",
				Revision: 7,
				Value:    []byte(`{"Team": "a", "Text": "{}"}`),
			}},
		},
	}
	complain := one[Complain](b, damaged)
	require.Equal(t, ident.Revision(7), complain.Revision)
	require.Empty(t, b.feed(damaged), "said once")
	require.Equal(t, revision, b.machine.Snapshot().Versions["a"].Revision)
	require.Equal(t, revision, b.machine.Revision())
	require.IsType(t, Unavailable{}, one[AnswerEdit](b, editOf("e2", "a", revision, textOf("a", "m", 20, 1))).Result)

	// A listing has all there is, yet what can't be read is not in force, and
	// what can't be checked against it is not accepted.
	list := pickOne[List](t, b.later(defaultRefresh))
	b.feed(ListingRead{
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
	require.Equal(t, revision, b.machine.Snapshot().Versions["a"].Revision)
	require.Less(t, b.machine.Revision(), ident.Revision(8))
	require.IsType(t, Unavailable{}, one[AnswerEdit](b, editOf("e3", "b", 0, textOf("b", "n", 20, 1))).Result)
}

// Somebody clears the key-value service's prefix by hand, or its data is lost. The
// watch reports every key as gone, and no host must stop serving for that.
func TestARemovedKeyIsNotADeletion(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	revision := b.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	commands := b.feed(WatchDelivered{
		Watch: b.machine.sync.watch,
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
	require.Contains(t, b.machine.Snapshot().Documents, ident.TeamName("a"))
}

// The platform moves this host's share of the watches elsewhere, and the host
// goes on with what its peers tell it.
func TestAHostWithoutDutyDoesNotWatch(t *testing.T) {
	b := started(t, newModelStore())
	one[StopWatch](b, WatchDuty{})
	require.Empty(t, b.later(time.Minute))
	pickOne[List](t, b.later(defaultRefresh))
}
