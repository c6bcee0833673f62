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

// operation is the input of a porcupine operation on a key.
type operation struct {
	kind    entryKind
	key     ident.IdempotencyKey
	attempt ident.AttemptID
}

// keyState is the state of a key: free, claimed by an attempt, or finished by it.
type keyState struct {
	attempt  ident.AttemptID
	finished bool
}

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[ident.IdempotencyKey][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(operation).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		h, c := state.(keyState), input.(operation)
		claimed := keyState{
			attempt: c.attempt,
		}
		ended := keyState{
			attempt:  c.attempt,
			finished: true,
		}
		switch {
		case c.kind == kindFinish:
			return h == claimed || h == ended, ended
		case c.kind == kindRelease:
			return h == claimed, keyState{}
		case output.(Verdict) == Granted:
			return h == keyState{}, claimed
		case output.(Verdict) == ClaimedByOther:
			return h.attempt != "" && h.attempt != c.attempt && !h.finished, h
		case output.(Verdict) == Finished:
			return h.finished, h
		}
		return false, h
	},
}

// history submits random claims, finishes and releases to a fleet in which every host
// believes that it owns all partitions, so that all swaps contend.
type history struct {
	*fleet
	random     *rand.Rand
	operations []porcupine.Operation
	claimIndex map[ident.AttemptID]int
}

func (h *history) record(c operation) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations),
		Input:    c,
		Output:   Unknown,
		Call:     h.now.UnixNano(),
	})
	if c.kind == kindClaim {
		h.claimIndex[c.attempt] = len(h.operations) - 1
	}
}

func (h *history) onClaimed(host int) func(Answer) {
	return func(a Answer) {
		op := &h.operations[h.claimIndex[a.Attempt]]
		op.Output, op.Return = a.Verdict, h.now.UnixNano()
		if a.Verdict != Granted {
			return
		}
		h.schedule(time.Duration(h.random.IntN(400))*time.Millisecond, func() { h.endAttempt(host, a) })
	}
}

func (h *history) endAttempt(host int, a Answer) {
	kind := kindFinish
	if h.random.IntN(3) == 0 {
		kind = kindRelease
	}
	h.record(operation{
		kind:    kind,
		key:     a.Key,
		attempt: a.Attempt,
	})
	if kind == kindFinish {
		h.finish(host, a.Key, a.Attempt, "done")
		return
	}
	h.checker.released[a.Attempt] = true
	h.step(h.hosts[h.names[host]], Release{
		Team:    testTeam,
		Key:     a.Key,
		Attempt: a.Attempt,
		Outcome: (&outcome.AttemptHistory{}).Outcome(),
	})
}

func (h *history) drawSwapFault(m message) faultKind {
	switch n := h.random.IntN(100); {
	case !isSwap(m) || n >= 30:
		return noFault
	case n >= 10:
		return answerLost
	default:
		return appliedLate
	}
}

// Callers repeat requests through hosts that all believe to own the partitions, while
// about a third of the swaps lose their answer or take effect late. The answers must
// be those that one register for each key could have given, one operation after the
// other.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(60) {
		h := &history{
			fleet:      newFleet(t, 3, Options{}),
			random:     rand.New(rand.NewPCG(seed, 1)),
			claimIndex: make(map[ident.AttemptID]int),
		}
		hostOf := make(map[ident.AttemptID]int)
		h.runFor(time.Second)
		for _, name := range h.names {
			h.step(h.hosts[name], LiveHosts{
				Hosts: []ident.HostID{name},
			})
		}
		h.chooseFault = h.drawSwapFault
		h.onAnswer = func(a Answer) { h.onClaimed(hostOf[a.Attempt])(a) }
		for n := range 60 {
			h.runFor(time.Duration(h.random.IntN(150)) * time.Millisecond)
			attempt, host := newAttemptID(n), h.random.IntN(len(h.names))
			hostOf[attempt] = host
			c := operation{
				kind:    kindClaim,
				key:     ident.IdempotencyKey(fmt.Sprint(h.random.IntN(6))),
				attempt: attempt,
			}
			h.record(c)
			h.claim(host, c.key, attempt)
		}
		h.runFor(2 * time.Minute)
		h.setUpdateReturnTimes(t)
		require.True(t, porcupine.CheckOperations(keyModel, h.operations), "seed %d", seed)
	}
}

// setUpdateReturnTimes lets each finish and release return when it was recorded. This
// is the latest possible time, so the check only becomes more lenient about their
// order.
func (h *history) setUpdateReturnTimes(t *testing.T) {
	for i := range h.operations {
		op := &h.operations[i]
		c := op.Input.(operation)
		if c.kind == kindClaim {
			require.NotZero(t, op.Return, "claim %s has no answer", c.attempt)
			continue
		}
		require.True(t, h.recorded[c.attempt])
		op.Return = h.recordedAt[c.attempt].UnixNano()
	}
}
