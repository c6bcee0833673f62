package loading

import (
	"strconv"
	"testing"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// BenchmarkStep is one step at 90 engines, 107 models and 435 adapters, with demand for
// all of them and nothing to do. The holder takes ten a second, on a fifth of a core.
func BenchmarkStep(b *testing.B) {
	declared := &route.Engine{
		Memory:         200 * unit.Gibibyte,
		AdapterPlaces:  8,
		LoadsPerSecond: 13,
	}
	for i := range 107 {
		declared.Models = append(declared.Models, route.Model{
			Name:          ident.ModelName("m" + strconv.Itoa(i)),
			Memory:        66 * unit.Gibibyte,
			Adapters:      []ident.AdapterName{"a0", "a1", "a2", "a3"},
			AdapterMemory: unit.Mebibyte,
		})
	}
	planner := NewPlanner(Options{})
	planner.Declare(declared)
	var servers []Server
	for i := range 90 {
		servers = append(servers, Server{
			Server: backend.Server{
				Name:   ident.ServerName("e" + strconv.Itoa(i)),
				Region: ident.Region("r" + strconv.Itoa(i%2)),
			},
			Incarnation: "1",
		})
	}
	planner.SetServers(servers)
	now := start
	report := func() {
		for i := range 90 {
			r := backend.Report{
				Server:      servers[i].Name,
				Incarnation: "1",
				At:          now,
			}
			for j := range 3 {
				model := declared.Models[(2*i+j)%107].Name
				r.Residents = append(r.Residents, backend.Resident{
					Model: model,
				})
				r.Residents = append(r.Residents, backend.Resident{
					Model:   model,
					Adapter: "a1",
				})
			}
			planner.Report(&r)
		}
	}
	for i := range 107 {
		for j := range 4 {
			planner.Ask(now, ident.Region("r"+strconv.Itoa(i%2)), request.Weights{
				Model:   declared.Models[i].Name,
				Adapter: ident.AdapterName("a" + strconv.Itoa(j)),
			}, Demand{
				Requests: 1,
				Work:     0.05,
			})
		}
	}
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		now = now.Add(100 * time.Millisecond)
		report()
		for _, e := range planner.list {
			e.pending = nil
			clear(e.retiring)
		}
		planner.begun = nil
		b.StartTimer()
		planner.Step(now)
	}
}
