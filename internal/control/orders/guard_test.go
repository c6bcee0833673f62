package orders

import (
	"testing"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"

	"github.com/stretchr/testify/require"
)

// An engine's clock may go back when it restarts, so a delayed report of an earlier
// incarnation can look newer. The plan's list of former incarnations identifies it.
func TestReportOfFormerIncarnationIsRejected(t *testing.T) {
	s := &server{
		entry: entry{
			Incarnation: "inc-2",
			Former:      []ident.Incarnation{"inc-1"},
		},
		report: &backend.Report{
			Incarnation: "inc-2",
			ReportedAt:  epoch,
		},
	}
	late := &backend.Report{
		Incarnation: "inc-1",
		ReportedAt:  epoch.Add(time.Minute),
	}
	require.False(t, s.acceptsReport(late))
	s.report = late
	require.False(t, s.hasCurrentReport())
}

// The placement follows both rules on its own. If it fails to, the order still must
// not be written.
func TestAllowsOrderRejectsLoadThatMayNotFitAndSecondOrder(t *testing.T) {
	sim := newSimulation(1, newDocument(newModel("drift", "1", 40, 1)), newEngine(0, 60, true))
	sim.isHeldBack = func(sentOrder) bool { return true }
	sim.runPasses(10)
	machine := sim.leader().machine
	srv := machine.servers["gpu-0"]
	require.Len(t, srv.entry.Orders, 1)
	move := &placement.Move{
		Kind:   backend.LoadModel,
		Memory: 21,
	}
	require.False(t, machine.allowsOrder(srv, &srv.entry, move))
	move.Memory = 20
	require.True(t, machine.allowsOrder(srv, &srv.entry, move))
	move.Weights = srv.entry.Orders[0].weights()
	require.False(t, machine.allowsOrder(srv, &srv.entry, move))
}
