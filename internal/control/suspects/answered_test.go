package suspects

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is never suspected because an earlier version of a server
// answered it.
func TestAnswerCountsForALimitedTime(t *testing.T) {
	var answered Answered
	require.False(t, answered.Has(start, 7))
	answered.AddRequest(start, 7)
	require.True(t, answered.Has(start.Add(requestAnswerValidity-time.Millisecond), 7))
	require.False(t, answered.Has(start, 7+answeredCells), "another request of the same cell")
	require.False(t, answered.Has(start.Add(requestAnswerValidity), 7))
}
