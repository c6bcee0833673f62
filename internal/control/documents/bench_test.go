package documents

import (
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"

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
