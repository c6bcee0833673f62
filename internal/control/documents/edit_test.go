package documents

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

// Two operators of one team read revision 1 and edit it at two hosts. If the second
// swap doesn't compare the revision that its operator read, both edits are accepted
// and the first one is lost.
func TestRacingEditOfSameDocumentGetsConflict(t *testing.T) {
	kv := newFakeStore()
	first := newListedHost(t, kv)
	base := first.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	second := newListedHost(t, kv)
	secondText, firstText := documentText("a", "m", 30, 1), documentText("a", "m", 20, 1)

	swap := stepForOne[Swap](second, newEdit("e3", "a", base, secondText))
	revision := first.acceptEdit(newEdit("e2", "a", base, firstText))
	answer := stepForOne[AnswerEdit](second, NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	require.Equal(t, Conflict{
		Yours:    secondText,
		Theirs:   firstText,
		Revision: revision,
	}, answer.Result)
	require.Equal(t, revision, second.machine.Snapshot().Revision, "the refused edit's host serves the accepted document")
}

// An edit takes effect, its answer is lost, and another operator's edit follows on
// top of it. If the key shows only the id of the later edit, the first operator gets
// a conflict although the edit was accepted, and submits it a second time.
func TestLostSwapAnswerIsResolvedAfterLaterEdit(t *testing.T) {
	kv := newFakeStore()
	first, second := newListedHost(t, kv), newListedHost(t, kv)
	swap := stepForOne[Swap](first, newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	accepted := kv.swap(swap.Swap)
	list := onlyCommand[List](t, second.advance(defaultRefreshInterval))
	second.step(ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	second.acceptEdit(newEdit("e2", "a", accepted.Revision, documentText("a", "m", 20, 1)))

	read := stepForOne[Read](first, NewSwapAnswered(swap.Call, store.SwapResult{}, store.ErrUnknownOutcome))
	answer := stepForOne[AnswerEdit](first, ReadAnswered{
		Call:  read.Call,
		Entry: kv.entries[read.Key],
	})
	require.Equal(t, Accepted{
		Revision: accepted.Revision,
	}, answer.Result)
}

// The answer to a swap is lost and a read shows the old document. That does not prove
// that the swap failed: it may be delayed, and take effect after the operator was
// told that the edit was not accepted.
func TestUnchangedKeyDoesNotProveSwapFailed(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	delayed := stepForOne[Swap](host, newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	read := onlyCommand[Read](t, host.advance(defaultCallTimeout)) // no answer at all
	again := stepForOne[Swap](host, ReadAnswered{
		Call: read.Call,
	})
	require.Equal(t, delayed.Swap.Compares, again.Swap.Compares)
	require.True(t, kv.swap(again.Swap).Swapped)
	require.False(t, kv.swap(delayed.Swap).Swapped, "only one of the two takes effect")

	// The service is gone after the write, so the edit is still in doubt at its deadline.
	commands := host.advance(time.Hour)
	require.IsType(t, Unknown{}, onlyCommand[AnswerEdit](t, commands).Result)
	commands = host.step(EditSubmitted{
		Edit:          "e1",
		Team:          "a",
		IsResubmitted: true,
		Text:          documentText("a", "m", 10, 1),
		Deadline:      host.now.Add(time.Minute),
	})
	for _, command := range commands {
		_, answered := command.(AnswerEdit)
		require.False(t, answered, "nothing is known yet")
	}
}

// Two teams each add a model that fits alone. Each host checks its edit against
// documents without the other edit, and the two write different keys. If both were
// accepted, one team's model would never become resident.
func TestConcurrentEditsThatOvercommitTogetherAreRefused(t *testing.T) {
	kv := newFakeStore()
	first, second := newListedHost(t, kv), newListedHost(t, kv)
	swap := stepForOne[Swap](second, newEdit("e2", "b", 0, documentText("b", "b-big", 60, 2)))
	first.acceptEdit(newEdit("e1", "a", 0, documentText("a", "a-big", 60, 2)))

	second.step(NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	list := onlyCommand[List](t, second.advance(time.Second))
	answer := stepForOne[AnswerEdit](second, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	refused, is := answer.Result.(Refused)
	require.True(t, is, "%v", answer.Result)
	require.Contains(t, refused.Faults.Error(), "b.Models[0]: found 2 more replicas of 60B each")
}

// As above, but the second host's watch leaves the first edit out and goes on, so its
// position says that nothing is missing. The second host's swap fails on the summary
// and returns the new one; a swap that compares that one, without the edit behind it
// checked, would pass.
func TestSwapWaitsForEditBehindNewSummary(t *testing.T) {
	kv := newFakeStore()
	first, second := newListedHost(t, kv), newListedHost(t, kv)
	revision := first.acceptEdit(newEdit("e1", "a", 0, documentText("a", "a-big", 60, 2)))
	second.step(WatchBatchReceived{
		Watch: second.machine.sync.watchID,
		Batch: store.Batch{
			Revision: revision,
		},
	})
	swap := stepForOne[Swap](second, newEdit("e2", "b", 0, documentText("b", "b-big", 60, 2)))
	second.step(NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	list := onlyCommand[List](t, second.advance(time.Second))
	answer := stepForOne[AnswerEdit](second, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	require.IsType(t, Refused{}, answer.Result)
}

// A host receives one team's edit from a peer but lacks the edit before it, of another
// team. A swap that compares the summary of the later edit would pass, although the
// check never saw the earlier one.
func TestEditIsNotCheckedAgainstIncompleteDocuments(t *testing.T) {
	kv := newFakeStore()
	first, second := newListedHost(t, kv), newListedHost(t, kv)
	first.acceptEdit(newEdit("e1", "a", 0, documentText("a", "a-big", 60, 2)))
	first.acceptEdit(newEdit("e2", "c", 0, documentText("c", "c-small", 1, 1)))
	second.step(PeerMessageReceived{
		Message: first.machine.MessageSince(1),
	})
	second.advance(minListInterval)
	list := stepForOne[List](second, newEdit("e3", "b", 0, documentText("b", "b-big", 60, 2)))
	answer := stepForOne[AnswerEdit](second, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	require.IsType(t, Refused{}, answer.Result)
}

// A team's document is deleted and created again, and the answer to the creation is
// lost. The operator submits it again at a host that missed both edits. That host has
// only the old document, which looks like another operator's edit on top of no
// document; without a read it would answer with a conflict although the creation is
// in force.
func TestResubmittedCreationReadsKeyBeforeConflict(t *testing.T) {
	kv := newFakeStore()
	first := newListedHost(t, kv)
	base := first.acceptEdit(newEdit("e1", "a", 0, documentText("a", "m", 10, 1)))
	behind := newListedHost(t, kv)
	first.acceptEdit(newEdit("e2", "a", base, nil))
	creation := newEdit("e3", "a", 0, documentText("a", "m", 20, 1))
	accepted := first.acceptEdit(creation)

	creation.IsResubmitted = true
	read := stepForOne[Read](behind, creation)
	answer := stepForOne[AnswerEdit](behind, ReadAnswered{
		Call:  read.Call,
		Entry: kv.entries[read.Key],
	})
	require.Equal(t, Accepted{
		Revision: accepted,
	}, answer.Result)
}

// An operator's client sends its request a second time while the first is in
// progress. It is one edit, with one swap and one answer.
func TestWaitingEditSubmittedTwiceRunsOnce(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	edit := newEdit("e1", "a", 0, documentText("a", "m", 10, 1))
	swap := stepForOne[Swap](host, edit)
	require.Empty(t, host.step(edit))
	commands := host.step(NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	onlyCommand[AnswerEdit](t, commands)
	require.Equal(t, Accepted{
		Revision: 1,
	}, stepForOne[AnswerEdit](host, edit).Result, "submitted again after the answer")
}

// The answer to a swap comes after the operator got Unknown. The host must not wait
// for its next refresh to serve the document.
func TestLateSwapAnswerTriggersListing(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	edit := newEdit("e1", "a", 0, documentText("a", "m", 10, 1))
	edit.Deadline = host.now.Add(time.Second)
	swap := stepForOne[Swap](host, edit)
	unknown := onlyCommand[AnswerEdit](t, host.advance(time.Second))
	require.IsType(t, Unknown{}, unknown.Result)
	list := stepForOne[List](host, NewSwapAnswered(swap.Call, kv.swap(swap.Swap), nil))
	published := stepForOne[PublishSnapshot](host, ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	require.Contains(t, published.Snapshot.Documents, ident.TeamName("a"))
}

func TestUnsoundEditsAreRefused(t *testing.T) {
	host := newListedHost(t, newFakeStore())
	cases := map[string]EditSubmitted{
		"file: found no document of a, allowed a document to delete":                newEdit("e1", "a", 0, nil),
		"Team: found b, allowed a, the team whose document is edited":               newEdit("e2", "a", 0, documentText("b", "m", 10, 1)),
		"a.Models[0]: found 1 more replicas of 101B each":                           newEdit("e3", "a", 0, documentText("a", "m", 101, 1)),
		"line 1, column 1: found unexpected end of JSON input, allowed one JSON":    newEdit("e4", "a", 0, []byte{}),
		"line 1, column 2: found invalid character 'a' looking for beginning of ob": newEdit("e5", "a", 0, []byte("{a")),
	}
	for want, edit := range cases {
		refused, is := stepForOne[AnswerEdit](host, edit).Result.(Refused)
		require.True(t, is)
		require.Contains(t, refused.Faults.Error(), want)
	}
	// Half of the servers crash: a team may still reduce what it needs, but not add to it.
	first := host.acceptEdit(newEdit("e6", "a", 0, documentText("a", "m", 90, 2)))
	host.step(CapacityChanged{
		Servers: twoServers[:1],
	})
	second := host.acceptEdit(newEdit("e7", "a", first, documentText("a", "m", 80, 2)))
	require.IsType(t, Refused{}, stepForOne[AnswerEdit](host, newEdit("e8", "a", second, documentText("a", "m", 81, 2))).Result)
	// A host that has received no server's report yet can't say that nothing fits.
	host.step(CapacityChanged{})
	require.IsType(t, Unavailable{}, stepForOne[AnswerEdit](host, newEdit("e9", "a", second, documentText("a", "m", 81, 1))).Result)
}

func TestHistoryIsBounded(t *testing.T) {
	kv := newFakeStore()
	host := newListedHost(t, kv)
	var base ident.Revision
	for i := range 3 * maxEarlierVersions {
		base = host.acceptEdit(newEdit(ident.EditID(fmt.Sprintf("e%d", i)), "a", base, documentText("a", "m", 10, 1)))
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
	require.Equal(t, maxEarlierVersions, versions)
	history := host.machine.History("a")
	require.Len(t, history, maxEarlierVersions+1)
	require.NotEmpty(t, history[maxRecentVersions].Text)
	require.Empty(t, history[maxRecentVersions+1].Text, "known, but only in the store")

	// An edit that far back can't be told from one that was never accepted.
	again := newEdit("e1", "a", 1, documentText("a", "m", 10, 1))
	again.IsResubmitted = true
	read := stepForOne[Read](host, again)
	answer := stepForOne[AnswerEdit](host, ReadAnswered{
		Call:  read.Call,
		Entry: kv.entries[read.Key],
	})
	require.IsType(t, Unknown{}, answer.Result)
}
