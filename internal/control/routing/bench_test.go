package routing

import (
	"fmt"
	"testing"
)

// Sizes of today, of ten times that, and of the target.
var benchSizes = []struct {
	servers int
	models  int
}{
	{servers: 12, models: 15},
	{servers: 120, models: 150},
	{servers: 850, models: 1400},
}

const (
	benchPerModel = 2
	benchAdapters = 5
)

func BenchmarkChoose(b *testing.B) {
	for _, size := range benchSizes {
		w := newWorld(size.servers, 1, size.servers, 0)
		target := w.target()
		b.Run(fmt.Sprintf("replicas=%d", size.servers), func(b *testing.B) {
			b.ReportAllocs()
			request := Request{
				Now: w.now,
			}
			for i := 0; b.Loop(); i++ {
				request.Dice = uint64(i)
				request.Prefix = uint64(i)
				request.Fingerprint = uint64(i)
				request.Confined = i%2 == 0
				if _, err := (LeastCost{}).Choose(target, &request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// One report comes and the table is made anew: what the control goroutine does
// for each burst of reports.
func BenchmarkTable(b *testing.B) {
	for _, size := range benchSizes {
		w := newWorld(size.servers, size.models, benchPerModel, benchAdapters)
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.tellReport(engineName(i % size.servers))
				w.machine.Table()
			}
		})
	}
}

// Weights come or go at one server, as with each load that the weight store
// paces: the targets of these weights are made anew.
func BenchmarkTableChanged(b *testing.B) {
	for _, size := range benchSizes {
		w := newWorld(size.servers, size.models, benchPerModel, benchAdapters)
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				resident := &w.reports[engineName(0)].Residents[0]
				resident.Ready = !resident.Ready
				w.tellReport(engineName(0))
				w.machine.Table()
			}
		})
	}
}

// A document changes: every target is made anew.
func BenchmarkTableDocuments(b *testing.B) {
	for _, size := range benchSizes {
		w := newWorld(size.servers, size.models, benchPerModel, benchAdapters)
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.tellDocuments()
				w.machine.Table()
			}
		})
	}
}
