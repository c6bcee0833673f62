package routing

import (
	"fmt"
	"testing"
)

// Fleet sizes: a small fleet, ten times that, and the target size.
var benchSizes = []struct {
	servers int
	models  int
}{
	{servers: 12, models: 15},
	{servers: 120, models: 150},
	{servers: 850, models: 1400},
}

const (
	benchReplicasPerModel = 2
	benchAdaptersPerModel = 5
)

func BenchmarkChoose(b *testing.B) {
	for _, size := range benchSizes {
		f := newTestFleet(size.servers, 1, size.servers, 0)
		target := f.firstTarget()
		b.Run(fmt.Sprintf("replicas=%d", size.servers), func(b *testing.B) {
			b.ReportAllocs()
			request := Request{
				Now: f.now,
			}
			for i := 0; b.Loop(); i++ {
				request.Random = uint64(i)
				request.PrefixHash = uint64(i)
				request.Fingerprint = uint64(i)
				request.PairOnly = i%2 == 0
				if _, err := (LeastCost{}).Choose(target, &request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// One report arrives and the next table is requested: what the control goroutine
// does for each burst of reports.
func BenchmarkTable(b *testing.B) {
	for _, size := range benchSizes {
		f := newTestFleet(size.servers, size.models, benchReplicasPerModel, benchAdaptersPerModel)
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.sendReport(engineName(i % size.servers))
				f.machine.Table()
			}
		})
	}
}

// Weights become ready, or stop being so, on one server: their targets are rebuilt.
func BenchmarkTableChanged(b *testing.B) {
	for _, size := range benchSizes {
		f := newTestFleet(size.servers, size.models, benchReplicasPerModel, benchAdaptersPerModel)
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				resident := &f.reports[engineName(0)].Residents[0]
				resident.Ready = !resident.Ready
				f.sendReport(engineName(0))
				f.machine.Table()
			}
		})
	}
}

// A document changes: every target is rebuilt.
func BenchmarkTableDocuments(b *testing.B) {
	for _, size := range benchSizes {
		f := newTestFleet(size.servers, size.models, benchReplicasPerModel, benchAdaptersPerModel)
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.sendDocuments()
				f.machine.Table()
			}
		})
	}
}
