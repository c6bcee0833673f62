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

// A model is sent to a server that has dropped it, or is not sent to one that
// has it: a change was missed when only a part of the table was made anew. After
// any order of changes the table is the same as one made from nothing.
func TestTableOfChangesIsTheWholeTable(t *testing.T) {
	dice := rand.New(rand.NewPCG(3, 4))
	w := newWorld(8, 6, 3, 2)
	w.addService()
	for range 2000 {
		w.now = w.now.Add(time.Second)
		w.change(dice)
		if dice.IntN(3) == 0 {
			continue // a burst of changes costs one table
		}
		parts := w.machine.Table()
		require.Equal(t, w.machine.wholeTable(), parts)
	}
}

func (w *world) addService() {
	w.doc.Services = append(w.doc.Services, document.Service{
		Name: "boats",
	})
	w.servers = append(w.servers, backend.Server{
		Name:    "boats-1",
		Kind:    backend.KindService,
		State:   backend.StateLive,
		Service: "boats",
	})
	w.reports["boats-1"] = &backend.Report{
		Server:      "boats-1",
		Incarnation: "inc-boats",
	}
	w.tellDocuments()
	w.tellList()
}

// change makes one random change and tells the machine.
func (w *world) change(dice *rand.Rand) {
	at := dice.IntN(len(w.servers))
	server := &w.servers[at]
	report := w.reports[server.Name]
	switch dice.IntN(8) {
	case 0:
		server.State = []backend.State{backend.StateLive, backend.StateLeaving}[dice.IntN(2)]
		w.tellList()
	case 1:
		server.Region = []ident.Region{testRegion, "armor"}[dice.IntN(2)]
		w.tellList()
	case 2: // the server is missing from the list for a moment
		w.machine.Step(w.now, Servers{
			Servers: append(append([]backend.Server(nil), w.servers[:at]...), w.servers[at+1:]...),
		})
	case 3:
		report.Incarnation += "'"
		report.Leaving = false
		w.tellReport(server.Name)
	case 4:
		report.Leaving = dice.IntN(2) == 0
		w.tellReport(server.Name)
	case 5:
		w.machine.Step(w.now, ServerLeaving{
			Server: server.Name,
		})
	case 6:
		for i := range report.Residents {
			report.Residents[i].Ready = dice.IntN(2) == 0
			report.Residents[i].Version = []ident.Version{"1", "2"}[dice.IntN(2)]
		}
		w.tellReport(server.Name)
	case 7:
		model := &w.doc.Models[dice.IntN(len(w.doc.Models))]
		model.Version = []ident.Version{"1", "2"}[dice.IntN(2)]
		w.tellDocuments()
	}
}
