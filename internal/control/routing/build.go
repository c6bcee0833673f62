package routing

import (
	"sort"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// unknownSlots is taken for servers that have not said how much they can run at once.
const unknownSlots = 8

// Table makes the table of what the machine knows now.
func (m *Machine) Table(now time.Time) *Table {
	table := &Table{
		Documents: m.revision,
		models:    make(map[ident.ModelName]*Target),
		services:  make(map[ident.ServiceName]*Target),
	}
	residents, services := m.index(now)
	for _, doc := range m.documents {
		for i := range doc.Models {
			m.addModel(table, doc, &doc.Models[i], residents)
		}
		for i := range doc.Services {
			m.addService(table, doc, &doc.Services[i], services)
		}
	}
	for name := range table.models {
		table.names = append(table.names, name)
	}
	sort.Slice(table.names, func(i, j int) bool { return table.names[i] < table.names[j] })
	return table
}

// index turns the servers inside out, so that a table costs one pass over them.
func (m *Machine) index(now time.Time) (map[residentKey][]Replica, map[ident.ServiceName][]Replica) {
	residents := make(map[residentKey][]Replica)
	services := make(map[ident.ServiceName][]Replica)
	for _, name := range m.sortedServers() {
		server := m.servers[name]
		if !server.takesWork() {
			continue
		}
		replica := m.replica(now, server)
		if server.listed.Kind == backend.KindService {
			services[server.listed.Service] = append(services[server.listed.Service], replica)
			continue
		}
		for key, since := range server.readyAt {
			ready := replica
			ready.Version = key.version
			ready.load.warmFrom = since.Add(slowStart)
			residents[key] = append(residents[key], ready)
		}
	}
	return residents, services
}

func (m *Machine) sortedServers() []ident.ServerName {
	names := make([]ident.ServerName, 0, len(m.servers))
	for name := range m.servers {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func (m *Machine) replica(now time.Time, server *serverState) Replica {
	return Replica{
		Server:      server.listed.Name,
		Address:     server.listed.Address,
		Incarnation: server.report.Incarnation,
		Kind:        server.listed.Kind,
		DataCentre:  server.listed.DataCentre,
		Region:      server.listed.Region,
		Gauge:       server.gauge,
		load:        server.load(now),
		wayBack:     m.wayTo(server.listed),
	}
}

// load gives the part of the queue that is not this host's own: the report's
// queue less what this host had there when it came, or what peers say they have
// there now, whichever is more.
func (s *serverState) load(now time.Time) load {
	result := load{
		slots: unknownSlots,
	}
	if s.hasWord && now.Sub(s.heardAt) < reportTrust {
		result.known = true
		result.others = float64(int64(s.report.Running+s.report.Waiting) - s.ownAt)
		if s.report.Slots > 0 {
			result.slots = float64(s.report.Slots)
		}
	}
	var peers int64
	for _, n := range s.peers {
		peers += n
	}
	result.others = max(result.others, float64(peers), 0)
	return result
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

func (m *Machine) addModel(table *Table, doc *document.Document, model *document.Model, residents map[residentKey][]Replica) {
	base := m.target(doc, model, residents, residentKey{
		model:   model.Name,
		version: model.Version,
	})
	table.models[model.Name] = base
	for i := range model.Adapters {
		adapter := &model.Adapters[i]
		target := m.target(doc, model, residents, residentKey{
			model:   model.Name,
			adapter: adapter.Name,
			version: adapter.Version,
		})
		table.models[ident.ModelName(adapter.Name)] = target
	}
}

func (m *Machine) target(doc *document.Document, model *document.Model, residents map[residentKey][]Replica, key residentKey) *Target {
	target := &Target{
		Team:      doc.Team,
		Model:     model.Name,
		Adapter:   key.adapter,
		Version:   key.version,
		MayRepeat: model.MayRepeat,
		Promise:   model.Promise,
		Document:  doc,
	}
	target.Replicas = append(target.Replicas, residents[key]...)
	// While a version change is under way the new version is ready at none or a
	// few of the replicas. Sent there alone, the model's whole demand would
	// find it unreachable or drown the first one; so the replicas of the version
	// before go on answering until the new one has its least number.
	if len(target.Replicas) < model.Replicas {
		target.Replicas = append(target.Replicas, otherVersions(key, residents)...)
	}
	m.arrange(target)
	return target
}

func otherVersions(wanted residentKey, residents map[residentKey][]Replica) []Replica {
	var replicas []Replica
	for key, ready := range residents {
		if key.model == wanted.model && key.adapter == wanted.adapter && key.version != wanted.version {
			replicas = append(replicas, ready...)
		}
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].Server < replicas[j].Server })
	return replicas
}

func (m *Machine) addService(table *Table, doc *document.Document, service *document.Service, services map[ident.ServiceName][]Replica) {
	target := &Target{
		Team:     doc.Team,
		Service:  service,
		Promise:  service.Promise,
		Document: doc,
		Replicas: services[service.Name],
	}
	m.arrange(target)
	table.services[service.Name] = target
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
