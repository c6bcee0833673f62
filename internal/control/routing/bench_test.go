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
				w.machine.Table(w.now)
			}
		})
	}
}
