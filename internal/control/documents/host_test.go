package documents

import (
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/stretchr/testify/require"
)

// testHost is one host whose calls the test answers.
type testHost struct {
	t       *testing.T
	kv      *fakeStore
	machine *Machine
	now     time.Time
}

func newTestHost(t *testing.T, kv *fakeStore) *testHost {
	h := &testHost{
		t:       t,
		kv:      kv,
		machine: New(Config{}),
		now:     epoch,
	}
	h.step(CapacityChanged{
		Servers: twoServers,
	})
	return h
}

// newListedHost returns a host that has read a listing of the store.
func newListedHost(t *testing.T, kv *fakeStore) *testHost {
	h := newTestHost(t, kv)
	list := stepForOne[List](h, Started{
		ShouldWatch: true,
	})
	h.step(ListingRead{
		Call:    list.Call,
		Listing: kv.list(kv.revision),
	})
	return h
}

func (h *testHost) step(event Event) []Command {
	h.now = h.now.Add(time.Millisecond)
	return h.machine.Step(h.now, event)
}

func (h *testHost) advance(d time.Duration) []Command {
	h.now = h.now.Add(d)
	return h.machine.Step(h.now, Tick{})
}

func onlyCommand[C Command](t *testing.T, commands []Command) C {
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

func stepForOne[C Command](h *testHost, event Event) C {
	h.t.Helper()
	return onlyCommand[C](h.t, h.step(event))
}

func newEdit(id ident.EditID, team ident.TeamName, base ident.Revision, text []byte) EditSubmitted {
	return EditSubmitted{
		Edit:     id,
		Team:     team,
		Base:     base,
		Text:     text,
		Delete:   text == nil,
		Deadline: epoch.Add(time.Hour),
	}
}

// acceptEdit submits an edit, lets its swap succeed and returns its revision.
func (h *testHost) acceptEdit(edit EditSubmitted) ident.Revision {
	h.t.Helper()
	swap := stepForOne[Swap](h, edit)
	result := h.kv.swap(swap.Swap)
	require.True(h.t, result.Swapped)
	answer := stepForOne[AnswerEdit](h, NewSwapAnswered(swap.Call, result, nil))
	require.Equal(h.t, Accepted{
		Revision: result.Revision,
	}, answer.Result)
	return result.Revision
}
