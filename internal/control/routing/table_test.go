package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// A change that is missed when only some targets are rebuilt sends requests to a
// server that has unloaded the model, or none to one that has it. After any order
// of changes the updated table equals one that is rebuilt whole.
func TestUpdatedTableEqualsRebuiltTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	f := newTestFleet(8, 6, 3, 2)
	f.addService()
	for range 2000 {
		f.now = f.now.Add(time.Second)
		f.applyRandomChange(rng)
		if rng.IntN(3) == 0 {
			continue // several changes before the next table
		}
		updated := f.machine.Table()
		require.Equal(t, f.machine.buildTable(), updated)
	}
}

func (f *testFleet) addService() {
	f.doc.Services = append(f.doc.Services, document.Service{
		Name: "boats",
	})
	f.servers = append(f.servers, backend.Server{
		Name:    "boats-1",
		Kind:    backend.KindService,
		State:   backend.StateLive,
		Service: "boats",
	})
	f.reports["boats-1"] = &backend.Report{
		Server:      "boats-1",
		Incarnation: "inc-boats",
	}
	f.sendDocuments()
	f.sendServerList()
}

// applyRandomChange makes one random change and applies it to the machine.
func (f *testFleet) applyRandomChange(rng *rand.Rand) {
	at := rng.IntN(len(f.servers))
	server := &f.servers[at]
	report := f.reports[server.Name]
	switch rng.IntN(8) {
	case 0:
		server.State = []backend.State{backend.StateLive, backend.StateLeaving}[rng.IntN(2)]
		f.sendServerList()
	case 1:
		server.Region = []ident.Region{testRegion, "armor"}[rng.IntN(2)]
		f.sendServerList()
	case 2: // the server is missing from the list for a moment
		f.machine.Step(f.now, ServerList{
			Servers: append(append([]backend.Server(nil), f.servers[:at]...), f.servers[at+1:]...),
		})
	case 3:
		report.Incarnation += "'"
		report.Leaving = false
		f.sendReport(server.Name)
	case 4:
		report.Leaving = rng.IntN(2) == 0
		f.sendReport(server.Name)
	case 5:
		f.machine.Step(f.now, ServerLeaving{
			Server: server.Name,
		})
	case 6:
		for i := range report.Residents {
			report.Residents[i].Ready = rng.IntN(2) == 0
			report.Residents[i].Version = []ident.Version{"1", "2"}[rng.IntN(2)]
		}
		f.sendReport(server.Name)
	case 7:
		model := &f.doc.Models[rng.IntN(len(f.doc.Models))]
		model.Version = []ident.Version{"1", "2"}[rng.IntN(2)]
		f.sendDocuments()
	}
}
