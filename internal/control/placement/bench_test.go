package placement

import (
	"fmt"
	"testing"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

type benchSize struct{ models, servers int }

var benchSizes = []benchSize{
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

// benchFleet declares models of 20 to 140 units with two replicas at least and
// five adapters each, on servers of 640.
func benchFleet(size benchSize) *fleet {
	f := newFleet(size.servers, 640)
	for i := range size.models {
		declared := model(fmt.Sprintf("model-%04d", i), "1", unit.Bytes(20+i%7*20), 2, 12)
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
				Model:     declared.Name,
				Region:    region,
				PerSecond: float64(i % 10),
			})
		}
	}
	return f
}

func benchPlan(b *testing.B, f *fleet, budget Budget) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		input := f.input(Settings{}, budget)
		b.StartTimer()
		Plan(input)
	}
}

// BenchmarkPlanAtRest plans where all is in place.
func BenchmarkPlanAtRest(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			f := benchFleet(size)
			f.rest(b, Settings{})
			benchPlan(b, f, plenty)
		})
	}
}

// BenchmarkPlanEmpty plans the first loads of an empty fleet, as many as the
// weight store's pace lets start.
func BenchmarkPlanEmpty(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			benchPlan(b, benchFleet(size), Budget{
				Models:   3,
				Adapters: 80,
			})
		})
	}
}

// BenchmarkPlanAll plans the whole of an empty fleet in one round.
func BenchmarkPlanAll(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			benchPlan(b, benchFleet(size), plenty)
		})
	}
}

// BenchmarkPlanBurst plans where a tenth of the models want ten times as much
// and memory is full, so that each wish looks for a replica to give way.
func BenchmarkPlanBurst(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			f := benchFleet(size)
			f.rest(b, Settings{})
			for i := range f.servers {
				f.servers[i].Memory = f.servers[i].Reserved + 5
			}
			for i := range f.rates {
				if i%20 < 2 {
					f.rates[i].PerSecond = 100
				}
			}
			benchPlan(b, f, Budget{
				Models:   3,
				Adapters: 80,
			})
		})
	}
}
