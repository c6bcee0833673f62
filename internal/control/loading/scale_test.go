package loading

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/polling"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// Guards against a leader of a large fleet that takes engines for lost, and loads their models
// again elsewhere, because it has not asked them for some seconds or, right after a change of
// leader, never.
func TestEnginesRemainAvailableInLargeFleet(t *testing.T) {
	const models = 60
	for _, engines := range []int{100, 1700, 3900} {
		declared := &route.Engine{
			Memory:         200 * unit.Gibibyte,
			LoadsPerSecond: 100,
		}
		for i := range models {
			declared.Models = append(declared.Models, route.Model{
				Name:   ident.ModelName("m" + strconv.Itoa(i)),
				Memory: 66 * unit.Gibibyte,
			})
		}
		var names []ident.ServerName
		var servers []Server
		for i := range engines {
			name := ident.ServerName("e" + strconv.Itoa(i))
			names = append(names, name)
			servers = append(servers, Server{
				Server: backend.Server{
					Name: name,
				},
				Incarnation: "1",
				Residents: []backend.Resident{{
					Model: declared.Models[i%models].Name,
				}},
			})
		}
		var schedule polling.Schedule
		schedule.SetEngines(names)
		planner := NewPlanner(Options{})
		planner.Configure(declared)
		planner.SetReportInterval(schedule.Interval())
		planner.SetServers(start, servers)
		const step = 100 * time.Millisecond
		for now := start; now.Before(start.Add(2*schedule.Interval() + 2*time.Second)); now = now.Add(step) {
			for _, name := range schedule.TakeDue(now, planner.HasPendingOrder) {
				number, err := strconv.Atoi(string(name[1:]))
				require.NoError(t, err)
				planner.ApplyReport(&backend.Report{
					Server:      name,
					Incarnation: "1",
					ReportedAt:  now,
					Residents:   servers[number].Residents,
				})
			}
			for _, order := range planner.Step(now) {
				t.Fatalf("%d engines: %s of %s at %s after %s", engines, order.Kind, order.Model, order.Server, now.Sub(start))
			}
			require.Zero(t, planner.missingModelCount)
			replicas := 0
			for _, m := range planner.models {
				replicas += m.replicas
			}
			require.Equal(t, engines, replicas, "%d engines after %s", engines, now.Sub(start))
		}
	}
}
