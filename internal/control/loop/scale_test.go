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

// The size of a large fleet.
const (
	largeFleetHosts       = 370
	largeFleetServers     = 850
	largeFleetModels      = 1400
	largeFleetDataCentres = 7
)

var testStart = time.Unix(1_700_000_000, 0)

// locationOf spreads hosts and servers over data centres in two regions.
func locationOf(i int) (ident.DataCentre, ident.Region) {
	dataCentre := i % largeFleetDataCentres
	return ident.DataCentre(fmt.Sprint("dc-", dataCentre)), ident.Region(fmt.Sprint("region-", dataCentre/4))
}

func fleetList(hosts, servers int) []backend.Server {
	var list []backend.Server
	for i := range hosts + servers {
		server := backend.Server{
			Name:    ident.ServerName(fmt.Sprintf("dc-%d-gpu-%03d", i%largeFleetDataCentres, i)),
			Kind:    backend.KindEngine,
			State:   backend.StateLive,
			Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		}
		if i < hosts {
			server.Name = ident.ServerName(fmt.Sprintf("dc-%d-entry-%03d", i%largeFleetDataCentres, i))
			server.Kind = backend.KindEntry
		}
		server.DataCentre, server.Region = locationOf(i)
		list = append(list, server)
	}
	return list
}

func engineReport(name ident.ServerName, i int, at time.Time) backend.Report {
	report := backend.Report{
		Server:      name,
		Incarnation: "inc-00112233445566778899aabbccddeeff",
		ReportedAt:  at,
		Memory:      640 * unit.Gibibyte,
		Running:     i % 40,
		Waiting:     i % 3,
		Slots:       64,
	}
	for k := range 4 {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   ident.ModelName(fmt.Sprintf("model-%04d", (i*4+k)%largeFleetModels)),
			Version: "1",
			Memory:  80 * unit.Gibibyte,
			Ready:   true,
		})
	}
	return report
}

func fleetDocuments() *documents.Snapshot {
	doc := &document.Document{
		Team: "kerlouan",
	}
	for i := range largeFleetModels {
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

// newFleetControl returns the control state of a host in a fleet. It starts no
// goroutine that steps it.
func newFleetControl(hosts, servers int) (*control, []backend.Server) {
	loaded := settings.Default()
	loaded.Host = settings.Host{
		Name:       "dc-0-entry-000",
		DataCentre: "dc-0",
		Region:     "region-0",
	}
	l := New(Options{
		Settings: loaded,
		KeyValue: unavailableKeyValue{},
		Log:      zap.NewNop(),
		Metrics:  metrics.NewSet(),
	})
	l.tomb.Go(func() error { // a tomb whose last goroutine has ended starts no more
		<-l.tomb.Dying()
		return nil
	})
	c := l.newControl("10.1.0.0:7300")
	list := fleetList(hosts, servers)
	listRead{
		servers: list,
	}.apply(testStart, c)
	c.putInForce(testStart, fleetDocuments())
	for i, server := range list[hosts:] {
		pollAnswered{
			server: server.Name,
			report: engineReport(server.Name, i, testStart),
		}.apply(testStart, c)
	}
	return c, list
}

func BenchmarkTable(b *testing.B) {
	for _, servers := range []int{85, 850} {
		c, _ := newFleetControl(largeFleetHosts, servers)
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
		c, list := newFleetControl(largeFleetHosts, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for b.Loop() {
				listRead{
					servers: list,
				}.apply(testStart, c)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, servers := range []int{85, 850} {
		c, list := newFleetControl(largeFleetHosts, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i++
				at := testStart.Add(time.Duration(i))
				name := list[largeFleetHosts+i%servers].Name
				pollAnswered{
					server: name,
					report: engineReport(name, i, at),
				}.apply(at, c)
			}
		})
	}
}

func BenchmarkUpdateGauges(b *testing.B) {
	c, _ := newFleetControl(largeFleetHosts, largeFleetServers)
	for b.Loop() {
		c.updateGauges(testStart)
	}
}

// TestMeasureMemory logs the memory of the control state in a large fleet.
func TestMeasureMemory(t *testing.T) {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc) / (1 << 20)
	}
	for _, part := range []int{4, 2, 1} {
		before := heap()
		c, list := newFleetControl(largeFleetHosts/part, largeFleetServers/part)
		receiveAllHosts(c, testStart, largeFleetHosts/part)
		for i, server := range list[largeFleetHosts/part:] {
			c.reports.Step(testStart, reports.ReportPolled{
				Report: engineReport(server.Name, i, testStart),
			})
		}
		c.publish(testStart.Add(time.Hour))
		t.Logf("%d hosts, %d servers, %d models: %.1f MB", largeFleetHosts/part, largeFleetServers/part, largeFleetModels, heap()-before)
		runtime.KeepAlive(c)
	}
}
