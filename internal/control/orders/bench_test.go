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

// restingWorld has every model in place on two servers, with five adapters, by
// engines' reports, and a leader whose plan holds an entry for each server.
func restingWorld(size benchSize) *world {
	doc := &document.Document{}
	var engines []*fakeEngine
	for i := range size.servers {
		engines = append(engines, newEngine(i, 640*unit.Gibibyte, true))
	}
	for i := range size.models {
		model := declare(ident.ModelName(fmt.Sprintf("briefing-%04d", i)), "2026-03-01", unit.Bytes(20+i%7*20)*unit.Gibibyte, 2)
		for j := range 5 {
			model.Adapters = append(model.Adapters, document.Adapter{
				Name:    ident.AdapterName(fmt.Sprintf("briefing-%04d-skipper-%d", i, j)),
				Version: "2026-03-01",
				Memory:  200 * unit.Mebibyte,
			})
		}
		doc.Models = append(doc.Models, model)
		for j := range 2 {
			engines[(2*i+j)%size.servers].seed(&model)
		}
	}
	w := newWorld(1, doc, engines...)
	w.calm(10)
	return w
}

func (e *fakeEngine) seed(model *document.Model) {
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

// BenchmarkStepTick is one planning second of a leader with all in place.
func BenchmarkStepTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			w := restingWorld(size)
			machine := w.leader().machine
			// Reports stay fresh for a benchmark's seconds.
			machine.settings.FreshFor = 1000 * time.Hour
			machine.settings.DeadAfter = 1000 * time.Hour
			machine.leaseUntil = w.now.Add(1000 * time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				w.now = w.now.Add(time.Second)
				machine.Step(w.now, Tick{})
			}
			require.True(b, machine.Leading())
			require.Empty(b, machine.blocked)
			require.Empty(b, machine.pending)
		})
	}
}

// BenchmarkStepReport is one report of one engine.
func BenchmarkStepReport(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%dmodels/%dservers", size.models, size.servers), func(b *testing.B) {
			w := restingWorld(size)
			machine := w.leader().machine
			machine.Step(w.now, Tick{})
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				b.StopTimer()
				number++
				report := w.engines[number%len(w.engines)].report()
				b.StartTimer()
				machine.Step(w.now, Report{
					Report:     report,
					ReceivedAt: w.now,
				})
			}
		})
	}
}

// The plan's pages, as many as by default, must stay below the service's megabyte, and a second's write
// must be small. Every server has the most orders that the pace allows: 10 model
// and 80 adapter loads over the fleet.
func TestPlanBytes(t *testing.T) {
	for _, size := range benchSizes {
		w := restingWorld(size)
		machine := w.leader().machine
		machine.settings.Pages = DefaultPages
		for _, known := range machine.servers {
			known.page = ""
		}
		pages := make(map[string][]*entry)
		models := 0
		for i, name := range machine.names {
			known := machine.servers[name]
			revised := known.revise()
			revised.Incarnation = ident.NewIncarnation()
			for range formerKept {
				revised.Former = append(revised.Former, ident.NewIncarnation())
			}
			models += len(revised.Models)
			for j := range 90 {
				if j%size.servers == i {
					revised.Orders = append(revised.Orders, benchOrder(j, revised.Incarnation))
				}
			}
			number := machine.pageOf(known)
			pages[number] = append(pages[number], &revised)
		}
		total, greatest, rest := 0, 0, 0
		for _, entries := range pages {
			value := encodePage(entries)
			total += len(value)
			greatest = max(greatest, len(value))
			for _, e := range entries {
				e.Orders = nil
			}
			rest += len(encodePage(entries))
		}
		require.Less(t, greatest, pageLimit)
		t.Logf("%d models, %d servers: %d replicas, at rest %d bytes (%.0f a replica, %.0f a server), with 90 orders %d, %d pages, greatest %d",
			size.models, size.servers, models, rest, float64(rest)/float64(models), float64(rest)/float64(size.servers),
			total, len(pages), greatest)
	}
}

func benchOrder(number int, incarnation ident.Incarnation) order {
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

func TestPageCodecKeepsEverything(t *testing.T) {
	written := &entry{
		Server:      "gpu-1",
		Incarnation: "inc-2",
		Former:      []ident.Incarnation{"inc-0", "inc-1"},
		AsOf:        epoch.Add(time.Nanosecond),
		Models: []placement.Weights{{
			Model:   "briefing",
			Version: "1",
		}},
		Orders: []order{benchOrder(1, "inc-2")},
	}
	read, err := decodePage(encodePage([]*entry{written}))
	require.NoError(t, err)
	require.Equal(t, []entry{*written}, read)
	_, err = decodePage([]byte("{"))
	require.Error(t, err)
}
