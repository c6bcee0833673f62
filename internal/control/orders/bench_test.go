package orders

import (
	"fmt"
	"testing"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
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

// steadySimulation returns a simulation in which the engines report every model with
// five adapters on two servers, and the leader's plan has an entry for each server.
func steadySimulation(size benchSize) *simulation {
	doc := &document.Document{}
	var engines []*fakeEngine
	for i := range size.servers {
		engines = append(engines, newEngine(i, 640*unit.Gibibyte, true))
	}
	for i := range size.models {
		model := newModel(ident.ModelName(fmt.Sprintf("briefing-%04d", i)), "2026-03-01", unit.Bytes(20+i%7*20)*unit.Gibibyte, 2)
		for j := range 5 {
			model.Adapters = append(model.Adapters, document.Adapter{
				Name:    ident.AdapterName(fmt.Sprintf("briefing-%04d-skipper-%d", i, j)),
				Version: "2026-03-01",
				Memory:  200 * unit.Mebibyte,
			})
		}
		doc.Models = append(doc.Models, model)
		for j := range 2 {
			engines[(2*i+j)%size.servers].addReadyModel(&model)
		}
	}
	sim := newSimulation(1, doc, engines...)
	sim.runPasses(10)
	return sim
}

func (e *fakeEngine) addReadyModel(model *document.Model) {
	e.residents = append(e.residents, backend.Resident{
		Model:   model.Name,
		Version: model.Version,
		Memory:  model.Memory,
		Ready:   true,
	})
	for i := range model.Adapters {
		e.residents = append(e.residents, backend.Resident{
			Model:   model.Name,
			Adapter: model.Adapters[i].Name,
			Version: model.Adapters[i].Version,
			Memory:  model.Adapters[i].Memory,
			Ready:   true,
		})
	}
}

// BenchmarkStepTick measures one planning interval of a leader when all models are
// in place.
func BenchmarkStepTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			sim := steadySimulation(size)
			machine := sim.leader().machine
			// Reports stay fresh for the duration of the benchmark.
			machine.settings.MaxReportAge = 1000 * time.Hour
			machine.settings.ServerTimeout = 1000 * time.Hour
			machine.leaseUntil = sim.now.Add(1000 * time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				sim.now = sim.now.Add(time.Second)
				machine.Step(sim.now, Tick{})
			}
			require.True(b, machine.IsLeading())
			require.Empty(b, machine.blocked)
			require.Empty(b, machine.pendingDraft)
		})
	}
}

// BenchmarkStepReport measures the handling of one engine's report.
func BenchmarkStepReport(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			sim := steadySimulation(size)
			machine := sim.leader().machine
			machine.Step(sim.now, Tick{})
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				b.StopTimer()
				number++
				report := sim.engines[number%len(sim.engines)].report()
				b.StartTimer()
				machine.Step(sim.now, Report{
					Report:     report,
					ReceivedAt: sim.now,
				})
			}
		})
	}
}

// With the default number of pages, each plan page must stay below the service's
// limit of one megabyte, and what is written in one second must be small. The
// servers have as many orders as the limits for the fleet allow: 10 model loads and
// 80 adapter loads.
func TestPlanPagesStayBelowSizeLimit(t *testing.T) {
	for _, size := range benchSizes {
		sim := steadySimulation(size)
		machine := sim.leader().machine
		machine.settings.Pages = DefaultPages
		for _, srv := range machine.servers {
			srv.page = ""
		}
		pages := make(map[string][]*entry)
		models := 0
		for i, name := range machine.serverNames {
			srv := machine.servers[name]
			revised := srv.revisedEntry()
			revised.Incarnation = ident.NewIncarnation()
			for range maxFormerIncarnations {
				revised.Former = append(revised.Former, ident.NewIncarnation())
			}
			models += len(revised.Models)
			for j := range 90 {
				if j%size.servers == i {
					revised.Orders = append(revised.Orders, testOrder(j, revised.Incarnation))
				}
			}
			page := machine.pageOf(srv)
			pages[page] = append(pages[page], &revised)
		}
		total, largest, settledTotal := 0, 0, 0
		for _, entries := range pages {
			value := encodePage(entries)
			total += len(value)
			largest = max(largest, len(value))
			for _, e := range entries {
				e.Orders = nil
			}
			settledTotal += len(encodePage(entries))
		}
		require.Less(t, largest, maxPageBytes)
		t.Logf("%d models, %d servers: %d replicas, at rest %d bytes (%.0f a replica, %.0f a server), with 90 orders %d, %d pages, greatest %d",
			size.models, size.servers, models, settledTotal, float64(settledTotal)/float64(models), float64(settledTotal)/float64(size.servers),
			total, len(pages), largest)
	}
}

func testOrder(number int, incarnation ident.Incarnation) order {
	return order{
		Order: backend.Order{
			ID:          ident.OrderID(fmt.Sprintf("ord-1234-%d", 100000+number)),
			Fencing:     1234,
			Incarnation: incarnation,
			Kind:        backend.LoadAdapter,
			Model:       "briefing-0042",
			Adapter:     "briefing-0042-skipper-3",
			Version:     "2026-03-01",
			Memory:      200 * unit.Mebibyte,
		},
		WrittenAt: epoch.Add(1234567 * time.Microsecond),
	}
}

func TestPageCodecRoundTrip(t *testing.T) {
	written := &entry{
		Server:      "gpu-1",
		Incarnation: "inc-2",
		Former:      []ident.Incarnation{"inc-0", "inc-1"},
		AsOf:        epoch.Add(time.Nanosecond),
		Models: []placement.Weights{{
			Model:   "briefing",
			Version: "1",
		}},
		Orders: []order{testOrder(1, "inc-2")},
	}
	read, err := decodePage(encodePage([]*entry{written}))
	require.NoError(t, err)
	require.Equal(t, []entry{*written}, read)
	_, err = decodePage([]byte("{"))
	require.Error(t, err)
}
