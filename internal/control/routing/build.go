package routing

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// subject is what a target stands for: a model, an adapter of it, or a plain service.
type subject struct {
	model   ident.ModelName
	adapter ident.AdapterName
	service ident.ServiceName
}

// label is the name that callers use of a model or adapter.
func (s subject) label() ident.ModelName {
	if s.adapter != "" {
		return ident.ModelName(s.adapter)
	}
	return s.model
}

// declaration is a document's word on a subject; one of model and service is set.
type declaration struct {
	document *document.Document
	model    *document.Model
	version  ident.Version
	service  *document.Service
	// shares are the shares of the document's classes, in percent.
	shares []int
}

// declare takes in the documents. All targets are made anew.
func (m *Machine) declare(e Documents) {
	m.revision = e.Revision
	m.declared = make(map[subject]declaration)
	m.table = nil
	for _, doc := range e.Documents {
		shares := sharesOf(doc)
		for i := range doc.Models {
			m.declareModel(doc, &doc.Models[i], shares)
		}
		for i := range doc.Services {
			m.declared[subject{service: doc.Services[i].Name}] = declaration{
				document: doc,
				service:  &doc.Services[i],
				shares:   shares,
			}
		}
	}
}

func (m *Machine) declareModel(doc *document.Document, model *document.Model, shares []int) {
	m.declared[subject{model: model.Name}] = declaration{
		document: doc,
		model:    model,
		version:  model.Version,
		shares:   shares,
	}
	for i := range model.Adapters {
		adapter := &model.Adapters[i]
		m.declared[subject{model: model.Name, adapter: adapter.Name}] = declaration{
			document: doc,
			model:    model,
			version:  adapter.Version,
			shares:   shares,
		}
	}
}

func sharesOf(doc *document.Document) []int {
	shares := make([]int, 0, len(doc.Classes))
	for i := range doc.Classes {
		shares = append(shares, doc.Classes[i].Share)
	}
	return shares
}

// Table gives the table of what the machine knows now: the one before where
// nothing has changed that tables show. A table for the whole fleet is large, so
// only the targets whose servers changed are made anew. Loads are not in it:
// traffic reads them from the Gauges.
func (m *Machine) Table() *Table {
	switch {
	case m.table == nil:
		m.table = m.wholeTable()
	case len(m.stale) > 0 || m.table.hosts != m.hosts:
		m.table = m.changedTable()
	}
	clear(m.stale)
	return m.table
}

func (m *Machine) wholeTable() *Table {
	table := &Table{
		Documents: m.revision,
		hosts:     m.hosts,
		models:    make(map[ident.ModelName]*Target, len(m.declared)),
		services:  make(map[ident.ServiceName]*Target),
	}
	for _, server := range m.servers {
		m.keepTeams(server)
	}
	for about := range m.declared {
		m.place(table, about)
	}
	table.names = slices.Sorted(maps.Keys(table.models))
	return table
}

func (m *Machine) changedTable() *Table {
	table := &Table{
		Documents: m.revision,
		hosts:     m.hosts,
		models:    maps.Clone(m.table.models),
		services:  maps.Clone(m.table.services),
		names:     m.table.names,
	}
	for about := range m.stale {
		m.place(table, about)
	}
	return table
}

// place puts a subject's target into a table, if a document declares it.
func (m *Machine) place(table *Table, about subject) {
	declared, found := m.declared[about]
	switch {
	case !found:
	case declared.service != nil:
		table.services[about.service] = m.serviceTarget(about, declared)
	default:
		table.models[about.label()] = m.modelTarget(about, declared)
	}
}

func (m *Machine) serviceTarget(about subject, declared declaration) *Target {
	target := &Target{
		Team:     declared.document.Team,
		Service:  declared.service,
		Promise:  declared.service.Promise,
		Document: declared.document,
	}
	for _, server := range m.holdersOf(about) {
		target.Replicas = append(target.Replicas, m.replica(server, declared, readyVersion{}))
	}
	m.arrange(target)
	return target
}

func (m *Machine) modelTarget(about subject, declared declaration) *Target {
	target := &Target{
		Team:      declared.document.Team,
		Model:     about.model,
		Adapter:   about.adapter,
		Version:   declared.version,
		MayRepeat: declared.model.MayRepeat,
		Promise:   declared.model.Promise,
		Document:  declared.document,
	}
	var others []Replica
	for _, server := range m.holdersOf(about) {
		for _, ready := range server.ready[about] {
			replica := m.replica(server, declared, ready)
			if ready.version == declared.version {
				target.Replicas = append(target.Replicas, replica)
			} else {
				others = append(others, replica)
			}
		}
	}
	// While a version change is under way the new version is ready at none or a
	// few of the replicas. Sent there alone, the model's whole demand would
	// find it unreachable or drown the first one; so the replicas of the version
	// before go on answering until the new one has its least number.
	if len(target.Replicas) < declared.model.Replicas {
		target.Replicas = append(target.Replicas, others...)
	}
	m.arrange(target)
	return target
}

// keepTeams forgets the teams that declare nothing that the server holds.
func (m *Machine) keepTeams(server *serverState) {
	teams := make(map[ident.TeamName]bool)
	for about := range server.ready {
		if declared, found := m.declared[about]; found {
			teams[declared.document.Team] = true
		}
	}
	server.gauge.uses.Keep(func(team ident.TeamName) bool { return teams[team] })
}

// holdersOf gives the servers that take work on a subject, by name.
func (m *Machine) holdersOf(about subject) []*serverState {
	var servers []*serverState
	for _, name := range m.holders[about] {
		if server := m.servers[name]; server.takesWork() {
			servers = append(servers, server)
		}
	}
	return servers
}

func (m *Machine) replica(server *serverState, declared declaration, ready readyVersion) Replica {
	return Replica{
		Server:      server.listed.Name,
		Address:     server.listed.Address,
		Incarnation: server.report.Incarnation,
		Version:     ready.version,
		Kind:        server.listed.Kind,
		DataCentre:  server.listed.DataCentre,
		Region:      server.listed.Region,
		Gauge:       server.gauge,
		Team:        server.gauge.uses.Team(declared.document.Team, declared.shares),
		seed:        xxhash.Sum64String(string(server.listed.Name)),
		absentUntil: &atomic.Int64{},
		warmFrom:    ready.since.Add(slowStart),
		far:         server.listed.Region != m.Place.Region,
		wayBack:     m.wayTo(server.listed),
	}
}

func (m *Machine) wayTo(server backend.Server) time.Duration {
	switch {
	case server.DataCentre == m.Place.DataCentre:
		return wayInDataCentre
	case server.Region == m.Place.Region:
		return wayInRegion
	default:
		return wayToRegion
	}
}

// arrange puts the replicas of this host's region first.
func (m *Machine) arrange(target *Target) {
	arranged := make([]Replica, 0, len(target.Replicas))
	for i := range target.Replicas {
		if target.Replicas[i].Region == m.Place.Region {
			arranged = append(arranged, target.Replicas[i])
		}
	}
	target.nearby = len(arranged)
	for i := range target.Replicas {
		if target.Replicas[i].Region != m.Place.Region {
			arranged = append(arranged, target.Replicas[i])
		}
	}
	target.Replicas = arranged
}
