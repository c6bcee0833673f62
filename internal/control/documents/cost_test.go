package documents

import (
	"fmt"
	"testing"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
)

// newLoadedStore fills a store with teams of ten models, five adapters each.
func newLoadedStore(b *testing.B, teams int) (*fakeStore, *Machine) {
	var servers []teamdoc.Server
	for i := range 850 {
		servers = append(servers, teamdoc.Server{
			Name:   ident.ServerName(fmt.Sprintf("gpu-%d", i)),
			Memory: 640 * unit.Gibibyte,
		})
	}
	kv := newFakeStore()
	machine := New(Config{})
	machine.Step(epoch, CapacityChanged{
		Servers: servers,
	})
	commands := machine.Step(epoch, Started{})
	machine.Step(epoch, ListingRead{
		Call:    commands[0].(List).Call,
		Listing: kv.list(0),
	})
	for i := range teams {
		team := ident.TeamName(fmt.Sprintf("team-%d", i))
		acceptTeamEdit(b, kv, machine, team, 0, "1")
	}
	return kv, machine
}

func acceptTeamEdit(b *testing.B, kv *fakeStore, machine *Machine, team ident.TeamName, base ident.Revision, version ident.Version) ident.Revision {
	doc, err := teamdoc.Read(documentText(team, string(team)+"-m", 20*unit.Gibibyte, 3))
	if err != nil {
		b.Fatal(err)
	}
	first := doc.Models[0]
	first.Version = version
	doc.Models = nil
	for m := range 10 {
		model := first
		model.Name = ident.ModelName(fmt.Sprintf("%s-m%d", team, m))
		for a := range 5 {
			model.Adapters = append(model.Adapters[:a:a], document.Adapter{
				Name:    ident.AdapterName(fmt.Sprintf("%s-a%d", model.Name, a)),
				Version: version,
				Memory:  96 * unit.Mebibyte,
			})
		}
		doc.Models = append(doc.Models, model)
	}
	text, err := teamdoc.Write(doc)
	if err != nil {
		b.Fatal(err)
	}
	commands := machine.Step(epoch, newEdit(ident.EditID(fmt.Sprintf("%s-%d", team, base)), team, base, text))
	swap, sent := commands[0].(Swap)
	if !sent {
		b.Fatalf("%T %v", commands[0], commands[0])
	}
	result := kv.swap(swap.Swap)
	machine.Step(epoch, NewSwapAnswered(swap.Call, result, nil))
	return result.Revision
}

// The cost of one edit on the host that carries it out, with 140 teams, 1,400
// models and 7,000 adapters.
func BenchmarkEdit(b *testing.B) {
	kv, machine := newLoadedStore(b, 140)
	base := machine.revisionOf("team-7")
	for i := 0; b.Loop(); i++ {
		base = acceptTeamEdit(b, kv, machine, "team-7", base, ident.Version(fmt.Sprint(i)))
	}
}

// The cost of one accepted edit on a host that receives it by its watch, and the
// bytes of a message with one document and with all.
func BenchmarkLearn(b *testing.B) {
	kv, machine := newLoadedStore(b, 140)
	entry := kv.entries[Key("team-7")]
	all := 0
	for _, d := range machine.MessageSince(0).Documents {
		all += len(d.Value)
	}
	for b.Loop() {
		entry.Revision++
		machine.Step(epoch, WatchBatchReceived{
			Batch: store.Batch{
				Events: []store.Event{{
					Entry: entry,
				}},
			},
		})
	}
	b.ReportMetric(float64(len(entry.Value)), "bytes/document")
	b.ReportMetric(float64(all), "bytes/all")
}

// The cost of a Tick without anything due.
func BenchmarkTick(b *testing.B) {
	_, machine := newLoadedStore(b, 140)
	for b.Loop() {
		machine.Step(epoch, Tick{})
	}
}
