package outcome

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/ident"
)

// A zero Outcome or AttemptHistory must not claim more than is known.
func TestZeroValuesAreSafe(t *testing.T) {
	var outcome Outcome
	require.Equal(t, "MayHaveRun", outcome.String())
	var history AttemptHistory
	require.True(t, history.Outcome().IsNotRun())
}

// A refusal arrives for an attempt that was never sent, or after the answer, or an
// answer after the refusal. None of these may turn a request that ran into NotRun.
func TestRefusalsProveOnlyTheirOwnAttempt(t *testing.T) {
	var history AttemptHistory
	history.RecordSend("a")
	history.RecordRefusal("b")
	require.Equal(t, "MayHaveRun", history.Outcome().String())
	history.RecordRefusal("a")
	require.Equal(t, "NotRun", history.Outcome().String())
	history.RecordFinish("a")
	require.Equal(t, "NotRun", history.Outcome().String(), "an answer to an attempt that was refused")
	history.RecordSend("c")
	history.RecordFinish("c")
	history.RecordRefusal("c")
	require.Equal(t, "Ran", history.Outcome().String())
}

// In any order of events, the outcome is NotRun only if each attempt that was sent was
// refused, no other attempt holds the claim, and none was finished.
func TestNotRunIsNeverFalse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history AttemptHistory
		inDoubt := make(map[ident.AttemptID]bool)
		isFinished, isClaimed := false, false
		attempts := rapid.SampledFrom([]ident.AttemptID{"a", "b", "c"})
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			attempt := attempts.Draw(t, "attempt")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				history.RecordSend(attempt)
				inDoubt[attempt] = true
			case 1:
				history.RecordRefusal(attempt)
				delete(inDoubt, attempt)
			case 2:
				history.RecordFinish(attempt)
				isFinished = isFinished || inDoubt[attempt]
			case 3:
				history.RecordClaimFound()
				isClaimed = true
			case 4:
				history.RecordFinishFound()
				isFinished = true
			}
			require.Equal(t, !isFinished && !isClaimed && len(inDoubt) == 0, history.Outcome().IsNotRun())
			require.Equal(t, isFinished, history.Outcome().IsRan())
		}
	})
}
