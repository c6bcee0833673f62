package orders

import (
	"testing"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"

	"github.com/stretchr/testify/require"
)

// An engine's clock goes back as it restarts. A report of its former life that
// comes late is newer by its clock; the plan's list of lives tells it apart.
func TestReportOfFormerLifeIsRefused(t *testing.T) {
	s := &server{
		entry: entry{
			Incarnation: "inc-2",
			Former:      []ident.Incarnation{"inc-1"},
		},
		report: &backend.Report{
			Incarnation: "inc-2",
			At:          epoch,
		},
	}
	late := &backend.Report{
		Incarnation: "inc-1",
		At:          epoch.Add(time.Minute),
	}
	require.False(t, s.accepts(late))
	s.report = late
	require.False(t, s.current())
}

// The placement keeps both rules by itself. Should it fail to, the order still
// must not be written.
func TestAdmitsNoLoadThatMayNotFitAndNoSecondOrder(t *testing.T) {
	w := newWorld(1, oneDocument(declare("drift", "1", 40, 1)), newEngine(0, 60, true))
	w.hold = func(flight) bool { return true }
	w.calm(10)
	machine := w.leader().machine
	known := machine.servers["gpu-0"]
	require.Len(t, known.entry.Orders, 1)
	move := &placement.Move{
		Kind:   backend.LoadModel,
		Memory: 21,
	}
	require.False(t, machine.admits(known, &known.entry, move))
	move.Memory = 20
	require.True(t, machine.admits(known, &known.entry, move))
	move.Weights = known.entry.Orders[0].weights()
	require.False(t, machine.admits(known, &known.entry, move))
}
