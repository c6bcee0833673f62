package placement

import (
	"fmt"
	"testing"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

type fleetSize struct{ models, servers int }

var fleetSizes = []fleetSize{
	{
		models:  15,
		servers: 12,
	},
	{
		models:  150,
		servers: 120,
	},
	{
		models:  1400,
		servers: 850,
	},
}

// benchFleet declares models of 20 to 140 bytes with at least two replicas and
// five adapters each, on servers with 640 bytes.
func benchFleet(size fleetSize) *fleet {
	f := newFleet(size.servers, 640)
	for i := range size.models {
		declared := newModel(fmt.Sprintf("model-%04d", i), "1", unit.Bytes(20+i%7*20), 2, 12)
		for j := range 5 {
			declared.Adapters = append(declared.Adapters, document.Adapter{
				Name:    ident.AdapterName(fmt.Sprintf("adapter-%04d-%d", i, j)),
				Version: "1",
				Memory:  1,
			})
		}
		f.models = append(f.models, declared)
		for _, region := range []ident.Region{"a", "b"} {
			f.rates = append(f.rates, Rate{
				Model:             declared.Name,
				Region:            region,
				RequestsPerSecond: float64(i % 10),
			})
		}
	}
	return f
}

func benchPlan(b *testing.B, f *fleet, budget Budget) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		input := f.newInput(Settings{}, budget)
		b.StartTimer()
		Plan(input)
	}
}

// BenchmarkPlanStable plans a fleet in which everything is already placed.
func BenchmarkPlanStable(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			f := benchFleet(size)
			f.planUntilStable(b, Settings{})
			benchPlan(b, f, unlimited)
		})
	}
}

// BenchmarkPlanFirstLoads plans the first loads of an empty fleet, within the
// load rate limit of the weight store.
func BenchmarkPlanFirstLoads(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			benchPlan(b, benchFleet(size), Budget{
				Models:   3,
				Adapters: 80,
			})
		})
	}
}

// BenchmarkPlanWholeFleet plans all loads of an empty fleet in one call.
func BenchmarkPlanWholeFleet(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			benchPlan(b, benchFleet(size), unlimited)
		})
	}
}

// BenchmarkPlanBurst plans for a tenfold demand for a tenth of the models while
// memory is full, so that each scale-up searches for a replica to evict.
func BenchmarkPlanBurst(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			f := benchFleet(size)
			f.planUntilStable(b, Settings{})
			for i := range f.servers {
				f.servers[i].Memory = f.servers[i].Reserved + 5
			}
			for i := range f.rates {
				if i%20 < 2 {
					f.rates[i].RequestsPerSecond = 100
				}
			}
			benchPlan(b, f, Budget{
				Models:   3,
				Adapters: 80,
			})
		})
	}
}
