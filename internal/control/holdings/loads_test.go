package holdings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
)

// A holder begins loads and is lost. Whoever takes over has to count them in the weight
// store's pace, but not what engines held before, nor what an earlier word had told.
func TestLoadsOfTheFormerHolderAreKnown(t *testing.T) {
	now := start
	var holder, host Table
	require.Zero(t, host.Past().Known)
	tell := func(token ident.FencingNumber, all ...loading.Holding) {
		now = now.Add(time.Second)
		holder.Tell(now, token, all)
		update := holder.Since(host.Mark())
		host.Apply(now, &update)
	}
	tell(1, holding(1, 0, "a"), holding(2, 0, "b"))
	known := now
	require.Empty(t, host.Past().Loads, "held already")
	tell(1, holding(1, 0, "a", "c"), holding(2, 5, "b"))
	appeared := now
	tell(2, holding(1, 0, "a", "c"), holding(2, 5, "b"))
	past := host.Past()
	require.Equal(t, known, past.Known)
	require.Equal(t, []time.Time{appeared}, past.Loads, "a later holder's first words tell nothing new")
	require.ElementsMatch(t, []ident.ModelName{"a", "c"}, past.Held["e1"].Models)
	tell(2, holding(1, 0, "a", "c"), holding(2, 5, "b"), holding(3, 0, "a", "b"))
	require.Len(t, host.Past().Loads, 4, "an engine that is new may have loaded all of it just now, and more before")
	require.Equal(t, holder.Past(), host.Past(), "the holder itself may be the next one")
	now = now.Add(loadsKept)
	tell(2, holding(1, 0, "a", "c"))
	require.Empty(t, host.Past().Loads)
}
