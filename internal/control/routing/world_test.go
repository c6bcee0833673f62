package routing

import (
	"fmt"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// world has a machine with a number of engines and models, for tests and
// benchmarks: each model on perModel engines, each with adapters.
type world struct {
	machine Machine
	servers []backend.Server
	reports map[ident.ServerName]*backend.Report
	doc     *document.Document
	now     time.Time
}

const (
	testRegion = ident.Region("finistere")
	testCentre = ident.DataCentre("brest-a")
	testTeam   = ident.TeamName("kerlouan")
)

func newWorld(engines, models, perModel, adapters int) *world {
	w := &world{
		machine: Machine{
			Place: Place{
				DataCentre: testCentre,
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
		w.addEngine(engineName(i))
	}
	for i := range models {
		w.addModel(i, perModel, adapters)
	}
	w.tellDocuments()
	w.tellList()
	w.tellReports()
	return w
}

func engineName(i int) ident.ServerName {
	return ident.ServerName(fmt.Sprintf("gpu-%03d", i))
}

func modelName(i int) ident.ModelName {
	return ident.ModelName(fmt.Sprintf("model-%04d", i))
}

func (w *world) addEngine(name ident.ServerName) {
	w.servers = append(w.servers, backend.Server{
		Name:       name,
		Kind:       backend.KindEngine,
		State:      backend.StateLive,
		Address:    "10.0.0.1:" + string(name),
		DataCentre: testCentre,
		Region:     testRegion,
	})
	w.reports[name] = &backend.Report{
		Server:      name,
		Incarnation: ident.Incarnation("inc-" + name),
		Slots:       8,
	}
}

func (w *world) addModel(index, perModel, adapters int) {
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
	w.doc.Models = append(w.doc.Models, model)
	for i := range perModel {
		w.reside(engineName((index*perModel+i)%len(w.servers)), &model)
	}
}

func (w *world) reside(server ident.ServerName, model *document.Model) {
	report := w.reports[server]
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

func (w *world) tellDocuments() {
	w.machine.Step(w.now, Documents{
		Documents: map[ident.TeamName]*document.Document{testTeam: w.doc},
		Revision:  1,
	})
}

func (w *world) tellList() {
	w.machine.Step(w.now, Servers{
		Servers: w.servers,
	})
}

func (w *world) tellReports() {
	for _, server := range w.servers {
		w.tellReport(server.Name)
	}
}

// tellReport gives the machine a copy of an engine's report as it stands.
func (w *world) tellReport(name ident.ServerName) {
	report := *w.reports[name]
	report.Residents = append([]backend.Resident(nil), report.Residents...)
	report.At = w.now
	w.machine.Step(w.now, Reported{
		Report: report,
	})
}

// target gives the first model's target in a table of now.
func (w *world) target() *Target {
	target, _ := w.machine.Table().Target(modelName(0))
	return target
}

// names gives the servers of a target, in order.
func (t *Target) names() []ident.ServerName {
	var names []ident.ServerName
	for i := range t.Replicas {
		names = append(names, t.Replicas[i].Server)
	}
	return names
}
