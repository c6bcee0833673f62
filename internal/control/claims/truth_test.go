package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/stretchr/testify/require"
)

// truth knows what callers were told and checks that none of it is false.
type truth struct {
	asked    map[ident.AttemptID]Claim
	grants   map[ident.IdempotencyKey][]Claim
	granted  map[ident.AttemptID]bool
	refused  map[ident.AttemptID]bool
	released map[ident.AttemptID]bool
	finishes map[ident.AttemptID]Finish
	answered map[ident.AttemptID]bool
	// askedTwice tells that the test gives an attempt to a machine twice.
	askedTwice bool
}

func newTruth() *truth {
	return &truth{
		asked:    make(map[ident.AttemptID]Claim),
		grants:   make(map[ident.IdempotencyKey][]Claim),
		granted:  make(map[ident.AttemptID]bool),
		refused:  make(map[ident.AttemptID]bool),
		released: make(map[ident.AttemptID]bool),
		finishes: make(map[ident.AttemptID]Finish),
		answered: make(map[ident.AttemptID]bool),
	}
}

// running gives the attempts that were granted, not released, and are kept.
func (c *truth) running(now time.Time, key ident.IdempotencyKey) []Claim {
	var found []Claim
	for _, g := range c.grants[key] {
		if !c.released[g.Attempt] && !now.After(g.KeepUntil) {
			found = append(found, g)
		}
	}
	return found
}

func (c *truth) check(t require.TestingT, now time.Time, a Answer) {
	require.True(t, c.askedTwice || !c.answered[a.Attempt], "attempt %s answered twice", a.Attempt)
	c.answered[a.Attempt] = true
	switch a.Verdict {
	case Granted:
		require.Empty(t, c.running(now, a.Key), "key %s granted twice, now to %s", a.Key, a.Attempt)
		require.False(t, c.granted[a.Attempt], "attempt %s granted twice", a.Attempt)
		require.False(t, c.refused[a.Attempt], "attempt %s granted after its refusal", a.Attempt)
		c.granted[a.Attempt] = true
		c.grants[a.Key] = append(c.grants[a.Key], c.asked[a.Attempt])
	case Refused, KeyReused:
		require.NotEqual(t, ProofNone, a.Proof, "refusal of %s without proof", a.Attempt)
		require.False(t, c.granted[a.Attempt], "refusal of %s, which may run", a.Attempt)
		c.refused[a.Attempt] = true
		if a.Proof == ProofKey {
			require.Empty(t, c.running(now, a.Key), "key %s said to be free", a.Key)
		}
	case Finished:
		require.True(t, c.isAnswer(a), "answer to %s is not that of its key", a.Attempt)
	case ClaimedByOther:
	default:
		require.Fail(t, "a caller was left without a verdict", "%s", a.Attempt)
	}
}

func (c *truth) isAnswer(a Answer) bool {
	for _, g := range c.grants[a.Key] {
		f, finished := c.finishes[g.Attempt]
		if finished && f.Status == a.Status && (!a.Whole || string(f.Body) == string(a.Body)) {
			return true
		}
	}
	return false
}
