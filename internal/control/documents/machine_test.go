package documents

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

// bench is one host whose calls the test answers itself.
type bench struct {
	t       *testing.T
	kv      *modelStore
	machine *Machine
	now     time.Time
}

func newBench(t *testing.T, kv *modelStore) *bench {
	b := &bench{
		t:       t,
		kv:      kv,
		machine: New(Config{}),
		now:     epoch,
	}
	b.feed(CapacityChanged{
		Servers: twoServers,
	})
	return b
}

// started is a host that has read the store.
func started(t *testing.T, kv *modelStore) *bench {
	b := newBench(t, kv)
	list := one[List](b, Started{
		Watch: true,
	})
	b.feed(ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	return b
}

func (b *bench) feed(event Event) []Command {
	b.now = b.now.Add(time.Millisecond)
	return b.machine.Step(b.now, event)
}

func (b *bench) later(d time.Duration) []Command {
	b.now = b.now.Add(d)
	return b.machine.Step(b.now, Tick{})
}

func pickOne[C Command](t *testing.T, commands []Command) C {
	t.Helper()
	var result []C
	for _, command := range commands {
		if c, is := command.(C); is {
			result = append(result, c)
		}
	}
	require.Len(t, result, 1, "%T in %v", result, commands)
	return result[0]
}

func one[C Command](b *bench, event Event) C {
	b.t.Helper()
	return pickOne[C](b.t, b.feed(event))
}

func editOf(id ident.EditID, team ident.TeamName, base ident.Revision, text []byte) EditSubmitted {
	return EditSubmitted{
		Edit:     id,
		Team:     team,
		Base:     base,
		Text:     text,
		Delete:   text == nil,
		Deadline: epoch.Add(time.Hour),
	}
}

// accept carries an edit through.
func (b *bench) accept(edit EditSubmitted) ident.Revision {
	b.t.Helper()
	swap := one[Swap](b, edit)
	result := b.kv.swap(swap.Swap)
	require.True(b.t, result.Swapped)
	answer := one[AnswerEdit](b, NewSwapAnswered(swap.Call, result, nil))
	require.Equal(b.t, Accepted{
		Revision: result.Revision,
	}, answer.Result)
	return result.Revision
}

// Two operators of one team read revision 1 and edit it at two hosts. Both are
// told "accepted", and the first one's change is gone a second later. Cause: the
// second swap did not compare what its operator had read.
func TestOfTwoRacingOperatorsOneGetsAConflict(t *testing.T) {
	kv := newModelStore()
	first := started(t, kv)
	base := first.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	second := started(t, kv)
	mine, theirs := textOf("a", "m", 30, 1), textOf("a", "m", 20, 1)

	swap := one[Swap](second, editOf("e3", "a", base, mine))
	revision := first.accept(editOf("e2", "a", base, theirs))
	answer := one[AnswerEdit](second, NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	require.Equal(t, Conflict{
		Yours:    mine,
		Theirs:   theirs,
		Revision: revision,
	}, answer.Result)
	require.Equal(t, revision, second.machine.Snapshot().Revision, "the loser's host serves the winner's document")
}

// An operator's edit takes effect, but its answer is lost; before anybody looks,
// a colleague edits on top of it. The operator is told "conflict" although the
// edit was accepted, and puts it in a second time. Cause: the key shows the
// colleague's edit id only.
func TestALostAnswerIsResolvedBehindALaterEdit(t *testing.T) {
	kv := newModelStore()
	first, second := started(t, kv), started(t, kv)
	swap := one[Swap](first, editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	accepted := kv.swap(swap.Swap)
	list := pickOne[List](t, second.later(defaultRefresh))
	second.feed(ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	second.accept(editOf("e2", "a", accepted.Revision, textOf("a", "m", 20, 1)))

	read := one[Read](first, NewSwapAnswered(swap.Call, store.SwapResult{}, store.ErrUnknownOutcome))
	answer := one[AnswerEdit](first, ReadAnswered{
		Call:  read.Call,
		Entry: kv.entries[read.Key],
	})
	require.Equal(t, Accepted{
		Revision: accepted.Revision,
	}, answer.Result)
}

// The answer is lost and a read shows the old document, so the host says "not
// accepted". Then the delayed write arrives and the change comes into force by
// itself. Cause: a read before the write's arrival proves nothing.
func TestAnUnchangedKeyDoesNotProveThatTheSwapIsDead(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	delayed := one[Swap](b, editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	read := pickOne[Read](t, b.later(defaultCallTimeout)) // no answer at all
	again := one[Swap](b, ReadAnswered{
		Call: read.Call,
	})
	require.Equal(t, delayed.Swap.Compares, again.Swap.Compares)
	require.True(t, kv.swap(again.Swap).Swapped)
	require.False(t, kv.swap(delayed.Swap).Swapped, "only one of the two takes effect")

	// With the service gone after the write, the deadline finds the edit in doubt.
	commands := b.later(time.Hour)
	require.IsType(t, Unknown{}, pickOne[AnswerEdit](t, commands).Result)
	commands = b.feed(EditSubmitted{
		Edit:     "e1",
		Team:     "a",
		Again:    true,
		Text:     textOf("a", "m", 10, 1),
		Deadline: b.now.Add(time.Minute),
	})
	for _, command := range commands {
		_, answered := command.(AnswerEdit)
		require.False(t, answered, "nothing is known yet")
	}
}

// Two teams each add a model that fits alone. Both are accepted, and one team's
// model never becomes resident. Cause: each host checked against documents that
// did not have the other's edit yet, and the two edits write different keys.
func TestTwoFineDocumentsThatOvercommitTogether(t *testing.T) {
	kv := newModelStore()
	first, second := started(t, kv), started(t, kv)
	swap := one[Swap](second, editOf("e2", "b", 0, textOf("b", "b-big", 60, 2)))
	first.accept(editOf("e1", "a", 0, textOf("a", "a-big", 60, 2)))

	second.feed(NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	list := pickOne[List](t, second.later(time.Second))
	answer := one[AnswerEdit](second, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	refused, is := answer.Result.(Refused)
	require.True(t, is, "%v", answer.Result)
	require.Contains(t, refused.Faults.Error(), "b.Models[0]: found 2 more replicas of 60B each")
}

// The same, with a watch that left the first edit out and went on. The second
// host's swap fails on the summary and tells the new one; comparing that, the
// next swap passes. Cause: the watch's position says that nothing is missing.
func TestANewSummaryIsNotComparedBeforeItsEditIsHeld(t *testing.T) {
	kv := newModelStore()
	first, second := started(t, kv), started(t, kv)
	revision := first.accept(editOf("e1", "a", 0, textOf("a", "a-big", 60, 2)))
	second.feed(WatchDelivered{
		Watch: second.machine.sync.watch,
		Batch: store.Batch{
			Revision: revision,
		},
	})
	swap := one[Swap](second, editOf("e2", "b", 0, textOf("b", "b-big", 60, 2)))
	second.feed(NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	list := pickOne[List](t, second.later(time.Second))
	answer := one[AnswerEdit](second, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	require.IsType(t, Refused{}, answer.Result)
}

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
	old.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	revision := old.accept(editOf("e2", "b", 0, textOf("b", "n", 10, 1)))

	fresh := newBench(t, kv)
	list := one[List](fresh, Started{
		Watch: true,
	})
	fresh.feed(ListFailed{
		Call: list.Call,
	})
	early := one[AnswerEdit](fresh, editOf("e3", "a", 0, textOf("a", "m", 10, 1)))
	require.IsType(t, Unavailable{}, early.Result)
	require.True(t, early.Result.(Unavailable).RetryAt.After(fresh.now))

	inForce := one[InForce](fresh, PeerSpoke{
		Word: old.machine.Since(fresh.machine.Revision()),
	})
	require.Len(t, inForce.Snapshot.Documents, 2)
	require.Equal(t, revision, fresh.machine.Revision())

	// An edit is not made to wait for the service, and is not lost silently.
	swap := one[Swap](fresh, editOf("e4", "a", 1, textOf("a", "m", 20, 1)))
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
}

func TestRefusals(t *testing.T) {
	b := started(t, newModelStore())
	cases := map[string]EditSubmitted{
		"file: found no document of a, allowed a document to delete":                editOf("e1", "a", 0, nil),
		"Team: found b, allowed a, the team whose document is edited":               editOf("e2", "a", 0, textOf("b", "m", 10, 1)),
		"a.Models[0]: found 1 more replicas of 101B each":                           editOf("e3", "a", 0, textOf("a", "m", 101, 1)),
		"line 1, column 1: found unexpected end of JSON input, allowed one JSON":    editOf("e4", "a", 0, []byte{}),
		"line 1, column 2: found invalid character 'a' looking for beginning of ob": editOf("e5", "a", 0, []byte("{a")),
	}
	for want, edit := range cases {
		refused, is := one[AnswerEdit](b, edit).Result.(Refused)
		require.True(t, is)
		require.Contains(t, refused.Faults.Error(), want)
	}
	// Half of the servers die: a team may still need less, and no more.
	first := b.accept(editOf("e6", "a", 0, textOf("a", "m", 90, 2)))
	b.feed(CapacityChanged{
		Servers: twoServers[:1],
	})
	second := b.accept(editOf("e7", "a", first, textOf("a", "m", 80, 2)))
	require.IsType(t, Refused{}, one[AnswerEdit](b, editOf("e8", "a", second, textOf("a", "m", 81, 2))).Result)
	// A host that has heard of no server yet can't say that nothing fits.
	b.feed(CapacityChanged{})
	require.IsType(t, Unavailable{}, one[AnswerEdit](b, editOf("e9", "a", second, textOf("a", "m", 81, 1))).Result)
}

func TestHistoryIsBounded(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	var base ident.Revision
	for i := range 3 * keepEarlier {
		base = b.accept(editOf(ident.EditID(fmt.Sprintf("e%d", i)), "a", base, textOf("a", "m", 10, 1)))
	}
	versions := 0
	for key, entry := range kv.entries {
		if len(key) > len(HistoryPrefix("a")) && key[:len(HistoryPrefix("a"))] == HistoryPrefix("a") {
			version, err := DecodeVersion(entry.Value)
			require.NoError(t, err)
			require.Equal(t, historyKey("a", version.Revision), key)
			require.NotEmpty(t, version.Text)
			versions++
		}
	}
	require.Equal(t, keepEarlier, versions)
	history := b.machine.History("a")
	require.Len(t, history, keepEarlier+1)
	require.NotEmpty(t, history[keepSeen].Text)
	require.Empty(t, history[keepSeen+1].Text, "known, but only in the store")

	// An edit so far back can't be told from one that never was.
	again := editOf("e1", "a", 1, textOf("a", "m", 10, 1))
	again.Again = true
	require.IsType(t, Unknown{}, one[AnswerEdit](b, again).Result)
}
