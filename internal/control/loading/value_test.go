package loading

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: demand moves to a model whose load from the weight store outlasts the demand, while all
// engines are busy.
func TestSlowLoadTakesNoReplicaOfBusyModel(t *testing.T) {
	const gain, loss, noBonus = 3.0, 1.2, 1.0
	planner := NewPlanner(Options{})
	planner.isPaced = true
	require.Less(t, planner.valueOf(gain, loss, 11*time.Second, noBonus), minGain)
	require.Greater(t, planner.valueOf(gain, loss, time.Second, noBonus), minGain, "a load from the host's memory")
	require.Greater(t, planner.valueOf(gain, 0, 11*time.Second, noBonus), minGain, "free memory")
}

func TestMoveIsValuedAsBeforeWithoutPaces(t *testing.T) {
	gain, loss, bonus, load := 3.0, 1.2, 1.1, 11*time.Second
	planner := NewPlanner(Options{})
	require.Equal(t, (gain-loss)/(1+load.Seconds()/placementHorizon.Seconds())*bonus, planner.valueOf(gain, loss, load, bonus))
}
