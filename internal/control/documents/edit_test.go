package documents

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

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

// A peer offers one team's edit, and the one before it, another team's, is not
// here yet. A swap that compares the summary of the later one would pass, although
// the check never saw the earlier one.
func TestAnEditIsNotCheckedAgainstHalfOfTheDocuments(t *testing.T) {
	kv := newModelStore()
	first, second := started(t, kv), started(t, kv)
	first.accept(editOf("e1", "a", 0, textOf("a", "a-big", 60, 2)))
	first.accept(editOf("e2", "c", 0, textOf("c", "c-small", 1, 1)))
	second.feed(PeerSpoke{
		Word: first.machine.Since(1),
	})
	second.later(listGap)
	list := one[List](second, editOf("e3", "b", 0, textOf("b", "b-big", 60, 2)))
	answer := one[AnswerEdit](second, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	require.IsType(t, Refused{}, answer.Result)
}

// A team's document is deleted and created again, and the answer to the creation
// is lost. The operator asks again at a host that missed both, is told "conflict",
// and goes home; the creation is in force. Cause: to that host the old document
// looks like somebody else's on top of "no document".
func TestAResubmittedCreationIsReadBeforeItIsAConflict(t *testing.T) {
	kv := newModelStore()
	first := started(t, kv)
	base := first.accept(editOf("e1", "a", 0, textOf("a", "m", 10, 1)))
	behind := started(t, kv)
	first.accept(editOf("e2", "a", base, nil))
	creation := editOf("e3", "a", 0, textOf("a", "m", 20, 1))
	accepted := first.accept(creation)

	creation.Again = true
	read := one[Read](behind, creation)
	answer := one[AnswerEdit](behind, ReadAnswered{
		Call:  read.Call,
		Entry: kv.entries[read.Key],
	})
	require.Equal(t, Accepted{
		Revision: accepted,
	}, answer.Result)
}

// An operator's client sends its request twice while the first is being worked
// on. One edit, one swap, one answer.
func TestAnEditThatWaitsIsNotBegunTwice(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	edit := editOf("e1", "a", 0, textOf("a", "m", 10, 1))
	swap := one[Swap](b, edit)
	require.Empty(t, b.feed(edit))
	commands := b.feed(NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	pickOne[AnswerEdit](t, commands)
	require.Equal(t, Accepted{
		Revision: 1,
	}, one[AnswerEdit](b, edit).Result, "asked for again after the answer")
}

// The answer to a swap comes after the operator was told that its outcome is
// unknown. The host must not wait for its next refresh to serve the document.
func TestASwapAnsweredLateIsLookedFor(t *testing.T) {
	kv := newModelStore()
	b := started(t, kv)
	edit := editOf("e1", "a", 0, textOf("a", "m", 10, 1))
	edit.Deadline = b.now.Add(time.Second)
	swap := one[Swap](b, edit)
	unknown := pickOne[AnswerEdit](t, b.later(time.Second))
	require.IsType(t, Unknown{}, unknown.Result)
	list := one[List](b, NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	inForce := one[InForce](b, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	require.Contains(t, inForce.Snapshot.Documents, ident.TeamName("a"))
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
	read := one[Read](b, again)
	answer := one[AnswerEdit](b, ReadAnswered{
		Call:  read.Call,
		Entry: kv.entries[read.Key],
	})
	require.IsType(t, Unknown{}, answer.Result)
}
