package routing

import (
	"fmt"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// testFleet has a machine with a number of engines and models, for tests and
// benchmarks: each model on the same number of engines, and with adapters.
type testFleet struct {
	machine Machine
	servers []backend.Server
	reports map[ident.ServerName]*backend.Report
	doc     *document.Document
	now     time.Time
}

const (
	testRegion     = ident.Region("finistere")
	testDataCentre = ident.DataCentre("brest-a")
	testTeam       = ident.TeamName("kerlouan")
)

func newTestFleet(engines, models, replicasPerModel, adapters int) *testFleet {
	f := &testFleet{
		machine: Machine{
			Location: Location{
				DataCentre: testDataCentre,
				Region:     testRegion,
			},
		},
		reports: make(map[ident.ServerName]*backend.Report),
		doc: &document.Document{
			Team: testTeam,
		},
		now: time.Unix(1_000_000, 0),
	}
	for i := range engines {
		f.addEngine(engineName(i))
	}
	for i := range models {
		f.addModel(i, replicasPerModel, adapters)
	}
	f.sendDocuments()
	f.sendServerList()
	f.sendReports()
	return f
}

func engineName(i int) ident.ServerName {
	return ident.ServerName(fmt.Sprintf("gpu-%03d", i))
}

func modelName(i int) ident.ModelName {
	return ident.ModelName(fmt.Sprintf("model-%04d", i))
}

func (f *testFleet) addEngine(name ident.ServerName) {
	f.servers = append(f.servers, backend.Server{
		Name:       name,
		Kind:       backend.KindEngine,
		State:      backend.StateLive,
		Address:    "10.0.0.1:" + string(name),
		DataCentre: testDataCentre,
		Region:     testRegion,
	})
	f.reports[name] = &backend.Report{
		Server:      name,
		Incarnation: ident.Incarnation("inc-" + name),
		Slots:       8,
	}
}

func (f *testFleet) addModel(index, replicas, adapters int) {
	model := document.Model{
		Name:      modelName(index),
		Version:   "1",
		Replicas:  1,
		MayRepeat: true,
		Promise: document.Promise{
			FirstToken: time.Second,
		},
	}
	for a := range adapters {
		model.Adapters = append(model.Adapters, document.Adapter{
			Name:    ident.AdapterName(fmt.Sprintf("%s-adapter-%d", model.Name, a)),
			Version: "1",
		})
	}
	f.doc.Models = append(f.doc.Models, model)
	for i := range replicas {
		f.addResidents(engineName((index*replicas+i)%len(f.servers)), &model)
	}
}

func (f *testFleet) addResidents(server ident.ServerName, model *document.Model) {
	report := f.reports[server]
	report.Residents = append(report.Residents, backend.Resident{
		Model:   model.Name,
		Version: model.Version,
		Ready:   true,
	})
	for _, adapter := range model.Adapters {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   model.Name,
			Adapter: adapter.Name,
			Version: adapter.Version,
			Ready:   true,
		})
	}
}

func (f *testFleet) sendDocuments() {
	f.machine.Step(f.now, Documents{
		Documents: map[ident.TeamName]*document.Document{testTeam: f.doc},
		Revision:  1,
	})
}

func (f *testFleet) sendServerList() {
	f.machine.Step(f.now, ServerList{
		Servers: f.servers,
	})
}

func (f *testFleet) sendReports() {
	for _, server := range f.servers {
		f.sendReport(server.Name)
	}
}

// sendReport applies a copy of an engine's current report to the machine.
func (f *testFleet) sendReport(name ident.ServerName) {
	report := *f.reports[name]
	report.Residents = append([]backend.Resident(nil), report.Residents...)
	report.ReportedAt = f.now
	f.machine.Step(f.now, ReportReceived{
		Report: report,
	})
}

// firstTarget returns the first model's target in a current table.
func (f *testFleet) firstTarget() *Target {
	target, _ := f.machine.Table().Target(modelName(0))
	return target
}

// serverNames returns the names of a target's servers, in order.
func (t *Target) serverNames() []ident.ServerName {
	var names []ident.ServerName
	for i := range t.Replicas {
		names = append(names, t.Replicas[i].Server)
	}
	return names
}
