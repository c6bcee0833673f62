package claims

import (
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/stretchr/testify/require"
)

// answerChecker has the answers that callers received and checks that none of them is
// false.
type answerChecker struct {
	claims      map[ident.AttemptID]Claim
	grantsByKey map[ident.IdempotencyKey][]Claim
	granted     map[ident.AttemptID]bool
	refused     map[ident.AttemptID]bool
	released    map[ident.AttemptID]bool
	finishes    map[ident.AttemptID]Finish
	answered    map[ident.AttemptID]bool
	// allowsRepeatedAttempts says that the test submits an attempt to a machine
	// twice.
	allowsRepeatedAttempts bool
}

func newAnswerChecker() *answerChecker {
	return &answerChecker{
		claims:      make(map[ident.AttemptID]Claim),
		grantsByKey: make(map[ident.IdempotencyKey][]Claim),
		granted:     make(map[ident.AttemptID]bool),
		refused:     make(map[ident.AttemptID]bool),
		released:    make(map[ident.AttemptID]bool),
		finishes:    make(map[ident.AttemptID]Finish),
		answered:    make(map[ident.AttemptID]bool),
	}
}

// runningClaims returns the claims of a key that were granted, not released, and are
// not past KeepUntil.
func (c *answerChecker) runningClaims(now time.Time, key ident.IdempotencyKey) []Claim {
	var found []Claim
	for _, g := range c.grantsByKey[key] {
		if !c.released[g.Attempt] && !now.After(g.KeepUntil) {
			found = append(found, g)
		}
	}
	return found
}

func (c *answerChecker) check(t require.TestingT, now time.Time, a Answer) {
	require.True(t, c.allowsRepeatedAttempts || !c.answered[a.Attempt], "attempt %s answered twice", a.Attempt)
	c.answered[a.Attempt] = true
	switch a.Verdict {
	case Granted:
		require.Empty(t, c.runningClaims(now, a.Key), "key %s granted twice, now to %s", a.Key, a.Attempt)
		require.False(t, c.granted[a.Attempt], "attempt %s granted twice", a.Attempt)
		require.False(t, c.refused[a.Attempt], "attempt %s granted after its refusal", a.Attempt)
		c.granted[a.Attempt] = true
		c.grantsByKey[a.Key] = append(c.grantsByKey[a.Key], c.claims[a.Attempt])
	case Refused, KeyReused:
		require.NotEqual(t, ProofNone, a.Proof, "refusal of %s without proof", a.Attempt)
		require.False(t, c.granted[a.Attempt], "refusal of %s, which may run", a.Attempt)
		c.refused[a.Attempt] = true
		if a.Proof == ProofKeyFree {
			require.Empty(t, c.runningClaims(now, a.Key), "key %s said to be free", a.Key)
		}
	case Finished:
		require.True(t, c.matchesFinish(a), "answer to %s is not that of its key", a.Attempt)
	case ClaimedByOther:
	default:
		require.Fail(t, "a caller was left without a verdict", "%s", a.Attempt)
	}
}

func (c *answerChecker) matchesFinish(a Answer) bool {
	for _, g := range c.grantsByKey[a.Key] {
		f, finished := c.finishes[g.Attempt]
		if finished && f.Status == a.Status && (!a.BodyKept || string(f.Body) == string(a.Body)) {
			return true
		}
	}
	return false
}
