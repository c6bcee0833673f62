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

// targetKey identifies a target: a model, an adapter of it, or a plain service.
type targetKey struct {
	model   ident.ModelName
	adapter ident.AdapterName
	service ident.ServiceName
}

// label is the name that callers use for a model or adapter.
func (k targetKey) label() ident.ModelName {
	if k.adapter != "" {
		return ident.ModelName(k.adapter)
	}
	return k.model
}

// declaration is what a document states about a target; one of model and service
// is set.
type declaration struct {
	document *document.Document
	model    *document.Model
	version  ident.Version
	service  *document.Service
	// shares are the shares of the document's classes, in percent.
	shares []int
}

// applyDocuments replaces the documents. All targets are rebuilt.
func (m *Machine) applyDocuments(e Documents) {
	m.revision = e.Revision
	m.declarations = make(map[targetKey]declaration)
	m.table = nil
	for _, doc := range e.Documents {
		shares := classShares(doc)
		for i := range doc.Models {
			m.declareModel(doc, &doc.Models[i], shares)
		}
		for i := range doc.Services {
			m.declarations[targetKey{service: doc.Services[i].Name}] = declaration{
				document: doc,
				service:  &doc.Services[i],
				shares:   shares,
			}
		}
	}
}

func (m *Machine) declareModel(doc *document.Document, model *document.Model, shares []int) {
	m.declarations[targetKey{model: model.Name}] = declaration{
		document: doc,
		model:    model,
		version:  model.Version,
		shares:   shares,
	}
	for i := range model.Adapters {
		adapter := &model.Adapters[i]
		m.declarations[targetKey{model: model.Name, adapter: adapter.Name}] = declaration{
			document: doc,
			model:    model,
			version:  adapter.Version,
			shares:   shares,
		}
	}
}

func classShares(doc *document.Document) []int {
	shares := make([]int, 0, len(doc.Classes))
	for i := range doc.Classes {
		shares = append(shares, doc.Classes[i].Share)
	}
	return shares
}

// Table returns the table of the machine's current state, which is the previous one
// if nothing has changed that tables contain. A table for the whole fleet is large,
// so only the targets whose servers have changed are rebuilt. Server loads are not
// in it: traffic goroutines read them from the LoadTrackers.
func (m *Machine) Table() *Table {
	switch {
	case m.table == nil:
		m.table = m.buildTable()
	case len(m.staleTargets) > 0 || m.table.hostsInRegion != m.hostsInRegion:
		m.table = m.updateTable()
	}
	clear(m.staleTargets)
	return m.table
}

func (m *Machine) buildTable() *Table {
	table := &Table{
		DocumentsRevision: m.revision,
		hostsInRegion:     m.hostsInRegion,
		models:            make(map[ident.ModelName]*Target, len(m.declarations)),
		services:          make(map[ident.ServiceName]*Target),
	}
	for _, server := range m.servers {
		m.pruneTeams(server)
	}
	for key := range m.declarations {
		m.addTarget(table, key)
	}
	table.names = slices.Sorted(maps.Keys(table.models))
	return table
}

func (m *Machine) updateTable() *Table {
	table := &Table{
		DocumentsRevision: m.revision,
		hostsInRegion:     m.hostsInRegion,
		models:            maps.Clone(m.table.models),
		services:          maps.Clone(m.table.services),
		names:             m.table.names,
	}
	for key := range m.staleTargets {
		m.addTarget(table, key)
	}
	return table
}

// addTarget adds a target to a table, if a document declares it.
func (m *Machine) addTarget(table *Table, key targetKey) {
	decl, found := m.declarations[key]
	switch {
	case !found:
	case decl.service != nil:
		table.services[key.service] = m.serviceTarget(key, decl)
	default:
		table.models[key.label()] = m.modelTarget(key, decl)
	}
}

func (m *Machine) serviceTarget(key targetKey, decl declaration) *Target {
	target := &Target{
		Team:     decl.document.Team,
		Service:  decl.service,
		Promise:  decl.service.Promise,
		Document: decl.document,
	}
	for _, server := range m.availableServers(key) {
		target.Replicas = append(target.Replicas, m.replica(server, decl, readyVersion{}))
	}
	m.orderByRegion(target)
	return target
}

func (m *Machine) modelTarget(key targetKey, decl declaration) *Target {
	target := &Target{
		Team:      decl.document.Team,
		Model:     key.model,
		Adapter:   key.adapter,
		Version:   decl.version,
		MayRepeat: decl.model.MayRepeat,
		Promise:   decl.model.Promise,
		Document:  decl.document,
	}
	var otherVersions []Replica
	for _, server := range m.availableServers(key) {
		for _, ready := range server.ready[key] {
			replica := m.replica(server, decl, ready)
			if ready.version == decl.version {
				target.Replicas = append(target.Replicas, replica)
			} else {
				otherVersions = append(otherVersions, replica)
			}
		}
	}
	// While a version change is in progress, the new version is ready on few
	// replicas or none. If all requests went to these, the model would be
	// unreachable or its first replica overloaded; so the replicas of the other
	// versions keep answering until the new one has its minimum number of replicas.
	if len(target.Replicas) < decl.model.Replicas {
		target.Replicas = append(target.Replicas, otherVersions...)
	}
	m.orderByRegion(target)
	return target
}

// pruneTeams removes the shares of teams that declare nothing that is ready on the
// server.
func (m *Machine) pruneTeams(server *serverState) {
	teams := make(map[ident.TeamName]bool)
	for key := range server.ready {
		if decl, found := m.declarations[key]; found {
			teams[decl.document.Team] = true
		}
	}
	server.loadTracker.admission.KeepTeams(func(team ident.TeamName) bool { return teams[team] })
}

// availableServers returns the servers that can take requests for a target, by
// name.
func (m *Machine) availableServers(key targetKey) []*serverState {
	var servers []*serverState
	for _, name := range m.serversByTarget[key] {
		if server := m.servers[name]; server.isAvailable() {
			servers = append(servers, server)
		}
	}
	return servers
}

func (m *Machine) replica(server *serverState, decl declaration, ready readyVersion) Replica {
	return Replica{
		Server:         server.listed.Name,
		Address:        server.listed.Address,
		Incarnation:    server.report.Incarnation,
		Version:        ready.version,
		Kind:           server.listed.Kind,
		DataCentre:     server.listed.DataCentre,
		Region:         server.listed.Region,
		LoadTracker:    server.loadTracker,
		Pressure:       m.Pressures.ServerOf(server.listed.Service, server.listed.Name, server.report.Incarnation),
		Team:           server.loadTracker.admission.Team(decl.document.Team, decl.shares),
		nameHash:       xxhash.Sum64String(string(server.listed.Name)),
		missingUntil:   &atomic.Int64{},
		slowStartUntil: ready.since.Add(slowStartDuration),
		inOtherRegion:  server.listed.Region != m.Location.Region,
		roundTrip:      m.roundTripTo(server.listed),
	}
}

func (m *Machine) roundTripTo(server backend.Server) time.Duration {
	switch {
	case server.DataCentre == m.Location.DataCentre:
		return roundTripInDataCentre
	case server.Region == m.Location.Region:
		return roundTripInRegion
	default:
		return roundTripToOtherRegion
	}
}

// orderByRegion puts the replicas of this host's region first.
func (m *Machine) orderByRegion(target *Target) {
	ordered := make([]Replica, 0, len(target.Replicas))
	for i := range target.Replicas {
		if target.Replicas[i].Region == m.Location.Region {
			ordered = append(ordered, target.Replicas[i])
		}
	}
	target.localCount = len(ordered)
	for i := range target.Replicas {
		if target.Replicas[i].Region != m.Location.Region {
			ordered = append(ordered, target.Replicas[i])
		}
	}
	target.Replicas = ordered
}
