package sizes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/load/demand"
)

func TestUnscaledSizesMatchRequirements(t *testing.T) {
	for user, number := range map[string]int{Kerlouan: 15, Nour: 20} {
		size, found := ForUser(user, 1)
		require.True(t, found)
		adapters := 0
		for i := range size.Models {
			adapters += len(size.Models[i].Adapters)
		}
		require.Len(t, size.Models, number)
		require.InDelta(t, 75, adapters, 5)
		require.Equal(t, 12, size.Models[0].Replicas)
		require.Equal(t, 3, size.Service.Replicas)
		require.Equal(t, 7, size.Hosts)
	}
	_, found := ForUser("nobody", 1)
	require.False(t, found)
}

func TestDocumentAndPlanAreValidAtAnyScale(t *testing.T) {
	for _, user := range []string{Kerlouan, Nour} {
		for _, scale := range []float64{0.01, 0.25, 0.5, 1, 1.5} {
			size, _ := ForUser(user, scale)
			_, err := teamdoc.Write(size.Document())
			require.NoError(t, err)
			plan, err := demand.Read(demand.Write(size.Plan()))
			require.NoError(t, err)
			require.Equal(t, size.Plan(), plan)

			var needed unit.Bytes
			for i := range size.Models {
				model := &size.Models[i]
				require.LessOrEqual(t, model.Replicas, size.Engines)
				needed += (model.Memory + adapterMemory*unit.Bytes(len(model.Adapters))) * unit.Bytes(model.Replicas)
			}
			require.Less(t, needed, size.Memory*unit.Bytes(size.Engines)*9/10)
		}
	}
}
