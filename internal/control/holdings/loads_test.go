package holdings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
)

// A leader starts loads and is lost. The next leader has to count them against the weight
// store's load rate limit, but neither what engines held before nor what an earlier report
// included.
func TestLoadsOfFormerLeaderAreKnown(t *testing.T) {
	now := start
	var leader, host Table
	require.Zero(t, host.LoadHistory().CompleteSince)
	report := func(fencingNumber ident.FencingNumber, inventories ...loading.Inventory) {
		now = now.Add(time.Second)
		replace(&leader, now, fencingNumber, inventories)
		update := leader.Since(host.Cursor())
		host.Apply(now, &update)
	}
	report(1, newInventory(1, 0, "a"), newInventory(2, 0, "b"))
	knownSince := now
	require.Empty(t, host.LoadHistory().StartTimes, "held already")
	report(1, newInventory(1, 0, "a", "c"), newInventory(2, 5, "b"))
	appearedAt := now
	report(2, newInventory(1, 0, "a", "c"), newInventory(2, 5, "b"))
	past := host.LoadHistory()
	require.Equal(t, knownSince, past.CompleteSince)
	require.Equal(t, []time.Time{appearedAt}, past.StartTimes, "a later leader's first report has nothing new")
	require.ElementsMatch(t, []ident.ModelName{"a", "c"}, past.Models["e1"].Models)
	report(2, newInventory(1, 0, "a", "c"), newInventory(2, 5, "b"), newInventory(3, 0, "a", "b"))
	require.Len(t, host.LoadHistory().StartTimes, 4, "an engine that is new may have loaded all of it just now, and more before")
	require.Equal(t, leader.LoadHistory(), host.LoadHistory(), "the leader itself may be the next one")
	now = now.Add(loadRetention)
	report(2, newInventory(1, 0, "a", "c"))
	require.Empty(t, host.LoadHistory().StartTimes)
}
