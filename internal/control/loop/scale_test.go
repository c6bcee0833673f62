package loop

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// The target's size.
const (
	targetHosts       = 370
	targetServers     = 850
	targetModels      = 1400
	targetDataCentres = 7
)

var targetStart = time.Unix(1_700_000_000, 0)

// placeOf spreads hosts and servers over data centres in two regions.
func placeOf(i int) (ident.DataCentre, ident.Region) {
	dataCentre := i % targetDataCentres
	return ident.DataCentre(fmt.Sprint("dc-", dataCentre)), ident.Region(fmt.Sprint("region-", dataCentre/4))
}

func targetList(hosts, servers int) []backend.Server {
	var list []backend.Server
	for i := range hosts + servers {
		server := backend.Server{
			Name:    ident.ServerName(fmt.Sprintf("dc-%d-gpu-%03d", i%targetDataCentres, i)),
			Kind:    backend.KindEngine,
			State:   backend.StateLive,
			Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		}
		if i < hosts {
			server.Name = ident.ServerName(fmt.Sprintf("dc-%d-entry-%03d", i%targetDataCentres, i))
			server.Kind = backend.KindEntry
		}
		server.DataCentre, server.Region = placeOf(i)
		list = append(list, server)
	}
	return list
}

func targetReport(name ident.ServerName, i int, at time.Time) backend.Report {
	report := backend.Report{
		Server:      name,
		Incarnation: "inc-00112233445566778899aabbccddeeff",
		At:          at,
		Memory:      640 * unit.Gibibyte,
		Running:     i % 40,
		Waiting:     i % 3,
		Slots:       64,
	}
	for k := range 4 {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   ident.ModelName(fmt.Sprintf("model-%04d", (i*4+k)%targetModels)),
			Version: "1",
			Memory:  80 * unit.Gibibyte,
			Ready:   true,
		})
	}
	return report
}

func targetDocuments() *documents.Snapshot {
	doc := &document.Document{
		Team: "kerlouan",
	}
	for i := range targetModels {
		doc.Models = append(doc.Models, document.Model{
			Name:     ident.ModelName(fmt.Sprintf("model-%04d", i)),
			Version:  "1",
			Memory:   80 * unit.Gibibyte,
			Replicas: 1,
		})
	}
	return &documents.Snapshot{
		Revision: 1,
		Documents: map[ident.TeamName]*document.Document{
			doc.Team: doc,
		},
	}
}

// newTarget is a control that knows a fleet, and starts no worker of its own.
func newTarget(hosts, servers int) (*control, []backend.Server) {
	loaded := settings.Default()
	loaded.Host = settings.Host{
		Name:       "dc-0-entry-000",
		DataCentre: "dc-0",
		Region:     "region-0",
	}
	l := New(Options{
		Settings: loaded,
		KeyValue: down{},
		Log:      zap.NewNop(),
		Metrics:  metrics.NewSet(),
	})
	l.tomb.Go(func() error { // a tomb whose last goroutine has ended takes no more
		<-l.tomb.Dying()
		return nil
	})
	c := l.newControl("10.1.0.0:7300")
	list := targetList(hosts, servers)
	listed{
		servers: list,
	}.apply(targetStart, c)
	c.serveDocuments(targetStart, targetDocuments())
	for i, server := range list[hosts:] {
		reported{
			server: server.Name,
			report: targetReport(server.Name, i, targetStart),
		}.apply(targetStart, c)
	}
	return c, list
}

func BenchmarkTable(b *testing.B) {
	for _, servers := range []int{85, 850} {
		c, _ := newTarget(targetHosts, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.routing.Table()
			}
		})
	}
}

func BenchmarkListing(b *testing.B) {
	for _, servers := range []int{85, 850} {
		c, list := newTarget(targetHosts, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for b.Loop() {
				listed{
					servers: list,
				}.apply(targetStart, c)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, servers := range []int{85, 850} {
		c, list := newTarget(targetHosts, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i++
				at := targetStart.Add(time.Duration(i))
				name := list[targetHosts+i%servers].Name
				reported{
					server: name,
					report: targetReport(name, i, at),
				}.apply(at, c)
			}
		})
	}
}

func BenchmarkShow(b *testing.B) {
	c, _ := newTarget(targetHosts, targetServers)
	for b.Loop() {
		c.show(targetStart)
	}
}

// TestMeasureMemory prints what a host's control holds at the target's size.
func TestMeasureMemory(t *testing.T) {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc) / (1 << 20)
	}
	for _, part := range []int{4, 2, 1} {
		before := heap()
		c, list := newTarget(targetHosts/part, targetServers/part)
		hearAll(c, targetStart, targetHosts/part)
		for i, server := range list[targetHosts/part:] {
			c.reports.Step(targetStart, reports.Polled{
				Report: targetReport(server.Name, i, targetStart),
			})
		}
		c.publish(targetStart.Add(time.Hour))
		t.Logf("%d hosts, %d servers, %d models: %.1f MB", targetHosts/part, targetServers/part, targetModels, heap()-before)
		runtime.KeepAlive(c)
	}
}
