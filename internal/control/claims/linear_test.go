package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// call is an operation on a key, as porcupine wants it.
type call struct {
	kind    entryKind
	key     ident.IdempotencyKey
	attempt ident.AttemptID
}

// holding is the state of a key: nobody's, an attempt's, or finished by it.
type holding struct {
	attempt  ident.AttemptID
	finished bool
}

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[ident.IdempotencyKey][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(call).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return holding{} },
	Step: func(state, input, output any) (bool, any) {
		h, c := state.(holding), input.(call)
		mine := holding{
			attempt: c.attempt,
		}
		done := holding{
			attempt:  c.attempt,
			finished: true,
		}
		switch {
		case c.kind == kindFinish:
			return h == mine || h == done, done
		case c.kind == kindRelease:
			return h == mine, holding{}
		case output.(Verdict) == Granted:
			return h == holding{}, mine
		case output.(Verdict) == ClaimedByOther:
			return h.attempt != "" && h.attempt != c.attempt && !h.finished, h
		case output.(Verdict) == Finished:
			return h.finished, h
		}
		return false, h
	},
}

// history drives random claims, finishes and releases through a fleet in which
// every host believes that it is home, so that all swaps contend.
type history struct {
	*fleet
	random *rand.Rand
	ops    []porcupine.Operation
	calls  map[ident.AttemptID]int
}

func (h *history) record(c call) {
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops),
		Input:    c,
		Output:   Unknown,
		Call:     h.now.UnixNano(),
	})
	if c.kind == kindClaim {
		h.calls[c.attempt] = len(h.ops) - 1
	}
}

func (h *history) onClaimed(host int) func(Answer) {
	return func(a Answer) {
		op := &h.ops[h.calls[a.Attempt]]
		op.Output, op.Return = a.Verdict, h.now.UnixNano()
		if a.Verdict != Granted {
			return
		}
		h.after(time.Duration(h.random.IntN(400))*time.Millisecond, func() { h.end(host, a) })
	}
}

func (h *history) end(host int, a Answer) {
	kind := kindFinish
	if h.random.IntN(3) == 0 {
		kind = kindRelease
	}
	h.record(call{
		kind:    kind,
		key:     a.Key,
		attempt: a.Attempt,
	})
	if kind == kindFinish {
		h.finish(host, a.Key, a.Attempt, "done")
		return
	}
	h.truth.released[a.Attempt] = true
	h.step(h.hosts[h.names[host]], Release{
		Team:    team,
		Key:     a.Key,
		Attempt: a.Attempt,
		Outcome: (&outcome.Trail{}).Outcome(),
	})
}

func (h *history) swapFault(m message) fault {
	switch n := h.random.IntN(100); {
	case !isSwap(m) || n >= 30:
		return noFault
	case n >= 10:
		return answerLost
	default:
		return late
	}
}

// Callers repeat dispatches through hosts that all believe to be home, while
// every third answer of a swap is lost or late. What they are told must be what
// one register for each key could have told them, one call after the other.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(60) {
		h := &history{
			fleet:  newFleet(t, 3, Options{}),
			random: rand.New(rand.NewPCG(seed, 1)),
			calls:  make(map[ident.AttemptID]int),
		}
		hostOf := make(map[ident.AttemptID]int)
		h.run(time.Second)
		for _, name := range h.names {
			h.step(h.hosts[name], Homes{
				Hosts: []ident.HostID{name},
			})
		}
		h.fault = h.swapFault
		h.onAnswer = func(a Answer) { h.onClaimed(hostOf[a.Attempt])(a) }
		for n := range 60 {
			h.run(time.Duration(h.random.IntN(150)) * time.Millisecond)
			attempt, host := attemptOf(n), h.random.IntN(len(h.names))
			hostOf[attempt] = host
			c := call{
				kind:    kindClaim,
				key:     ident.IdempotencyKey(fmt.Sprint(h.random.IntN(6))),
				attempt: attempt,
			}
			h.record(c)
			h.claim(host, c.key, attempt)
		}
		h.run(2 * time.Minute)
		h.returnNotes(t)
		require.True(t, porcupine.CheckOperations(keyModel, h.ops), "seed %d", seed)
	}
}

// returnNotes lets finishes and releases return when they were recorded, at the
// latest: that only makes the check more lenient about their order.
func (h *history) returnNotes(t *testing.T) {
	for i := range h.ops {
		op := &h.ops[i]
		c := op.Input.(call)
		if c.kind == kindClaim {
			require.NotZero(t, op.Return, "claim %s has no answer", c.attempt)
			continue
		}
		require.True(t, h.noted[c.attempt])
		op.Return = h.notedAt[c.attempt].UnixNano()
	}
}
