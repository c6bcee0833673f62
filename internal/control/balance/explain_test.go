package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

// The cheapest server that takes the request comes first, each cost is the sum of its parts, and
// servers that take none say why.
func TestExplainShowsCostsAndObstacles(t *testing.T) {
	leaving := engine("c", "n1", "north")
	leaving.Leaving = true
	pool := newPool(engine("far", "s1", "south"), engine("near", "n1", "north"), leaving)
	choice := pool.Explain(start, newCriteria(1), 8)
	options := choice.Options
	require.Equal(t, Found, choice.Verdict)
	require.Equal(t, 3, choice.Servers)
	names := make([]ident.ServerName, 0, len(options))
	for _, option := range options {
		names = append(names, option.Server)
		require.Equal(t, option.Cost, option.FirstByte+option.Network+option.Errors)
		require.Positive(t, option.Prefill)
	}
	require.Equal(t, []ident.ServerName{"near", "far", "c"}, names)
	require.Equal(t, otherRegionCost, options[1].Network)
	require.Equal(t, Leaving, options[2].Obstacle)
	taken, _ := pool.Take(start, newCriteria(1))
	require.Equal(t, options[0].Server, taken.Server)
}

// Guards against an operator's question that counts as a request, and changes where the next one
// goes.
func TestExplainChangesNothing(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"), engine("b", "n1", "north"))
	for range 100 {
		choice := pool.Explain(start, newCriteria(1), 1)
		require.Len(t, choice.Options, 1)
		require.Zero(t, choice.Options[0].InFlight)
	}
	choice := pool.Explain(start, Criteria{
		Weights: request.Weights{
			Model: "other",
		},
		Prompt: unit.Tokens(10),
	}, 1)
	require.Equal(t, NoneHolds, choice.Verdict)
	require.Empty(t, pool.TakeDemand())
}

// A server that failed is shown with that obstacle until it is tried again.
func TestExplainShowsFailedServer(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"))
	ticket, _ := pool.Take(start, newCriteria(1))
	ticket.Done(start, Broken)
	choice := pool.Explain(start, newCriteria(1), 1)
	require.Equal(t, NoneTakes, choice.Verdict)
	require.Equal(t, FailedLately, choice.Options[0].Obstacle)
	choice = pool.Explain(start.Add(time.Minute), newCriteria(1), 1)
	require.Equal(t, Found, choice.Verdict)
	require.Empty(t, choice.Options[0].Obstacle)
}
