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
	require.Zero(t, host.Past().Known)
	report := func(fencingNumber ident.FencingNumber, inventories ...loading.Holding) {
		now = now.Add(time.Second)
		leader.Tell(now, fencingNumber, inventories)
		update := leader.Since(host.Mark())
		host.Apply(now, &update)
	}
	report(1, newInventory(1, 0, "a"), newInventory(2, 0, "b"))
	knownSince := now
	require.Empty(t, host.Past().Loads, "held already")
	report(1, newInventory(1, 0, "a", "c"), newInventory(2, 5, "b"))
	appearedAt := now
	report(2, newInventory(1, 0, "a", "c"), newInventory(2, 5, "b"))
	past := host.Past()
	require.Equal(t, knownSince, past.Known)
	require.Equal(t, []time.Time{appearedAt}, past.Loads, "a later holder's first report has nothing new")
	require.ElementsMatch(t, []ident.ModelName{"a", "c"}, past.Held["e1"].Models)
	report(2, newInventory(1, 0, "a", "c"), newInventory(2, 5, "b"), newInventory(3, 0, "a", "b"))
	require.Len(t, host.Past().Loads, 4, "an engine that is new may have loaded all of it just now, and more before")
	require.Equal(t, leader.Past(), host.Past(), "the holder itself may be the next one")
	now = now.Add(loadRetention)
	report(2, newInventory(1, 0, "a", "c"))
	require.Empty(t, host.Past().Loads)
}
