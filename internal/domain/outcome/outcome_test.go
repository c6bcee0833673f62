package outcome

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

// Nobody has to think of an outcome for it to be a true one.
func TestZeroValues(t *testing.T) {
	var nothing Outcome
	require.Equal(t, "MayHaveRun", nothing.String())
	var untouched Trail
	require.True(t, untouched.Outcome().IsNotRun())
}

// A server's refusal comes for an attempt that was never sent, or twice, or
// after the answer: none of it may turn a request that ran into one that didn't.
func TestRefusalsProveOnlyTheirOwnAttempt(t *testing.T) {
	var trail Trail
	trail.Sending("a")
	trail.Refused("b")
	require.Equal(t, "MayHaveRun", trail.Outcome().String())
	trail.Refused("a")
	require.Equal(t, "NotRun", trail.Outcome().String())
	trail.Finished("a")
	require.Equal(t, "NotRun", trail.Outcome().String(), "an answer to an attempt that was refused")
	trail.Sending("c")
	trail.Finished("c")
	trail.Refused("c")
	require.Equal(t, "Ran", trail.Outcome().String())
}

// Whatever comes in whatever order: NotRun is said only where each attempt that
// was sent was refused, no other holds the claim, and nothing was finished.
func TestNotRunIsAlwaysTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trail Trail
		open := make(map[ident.AttemptID]bool)
		ran, claimed := false, false
		attempts := rapid.SampledFrom([]ident.AttemptID{"a", "b", "c"})
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			attempt := attempts.Draw(t, "attempt")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				trail.Sending(attempt)
				open[attempt] = true
			case 1:
				trail.Refused(attempt)
				delete(open, attempt)
			case 2:
				trail.Finished(attempt)
				ran = ran || open[attempt]
			case 3:
				trail.FoundClaimed()
				claimed = true
			case 4:
				trail.FoundFinished()
				ran = true
			}
			require.Equal(t, !ran && !claimed && len(open) == 0, trail.Outcome().IsNotRun())
			require.Equal(t, ran, trail.Outcome().IsRan())
		}
	})
}
