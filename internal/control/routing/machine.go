package routing

import (
	"sort"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Times of the way there and back, as the users' networks have them.
const (
	wayInDataCentre = 300 * time.Microsecond
	wayInRegion     = 3 * time.Millisecond
	wayToRegion     = 60 * time.Millisecond
)

// slowStart is how long a new replica gets less than its part: its caches are
// cold, and until its first reports its queue looks empty to every host at once.
const slowStart = 3 * time.Second

// reportTrust is how long a report stands for the load of its server.
const reportTrust = 20 * time.Second

// Place is where this host is.
type Place struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// Machine keeps what the tables are made from. It belongs to the control
// goroutine.
type Machine struct {
	Place     Place
	documents map[ident.TeamName]*document.Document
	revision  ident.Revision
	servers   map[ident.ServerName]*serverState
}

type serverState struct {
	listed   backend.Server
	report   backend.Report
	heardAt  time.Time
	hasWord  bool
	readyAt  map[residentKey]time.Time
	gauge    *Gauge
	ownAt    int64 // this host's requests under way when the report came
	peers    map[ident.HostID]int64
	leaving  bool
	lastSeen time.Time
}

type residentKey struct {
	model   ident.ModelName
	adapter ident.AdapterName
	version ident.Version
}

// Event is something that the machine hears.
type Event interface{ isEvent() }

// Documents gives the documents in force.
type Documents struct {
	Documents map[ident.TeamName]*document.Document
	Revision  ident.Revision
}

// Servers gives the platform's list.
type Servers struct {
	Servers []backend.Server
}

// Reported gives a server's own word.
type Reported struct {
	Report backend.Report
}

// PeerLoads gives what another entry host has under way at each server.
type PeerLoads struct {
	Host  ident.HostID
	Loads map[ident.ServerName]int64
}

// PeerGone tells that another entry host has left, and its loads with it.
type PeerGone struct {
	Host ident.HostID
}

// ServerLeaving tells that somebody other than the list knows a server to leave.
type ServerLeaving struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
}

func (Documents) isEvent()     {}
func (Servers) isEvent()       {}
func (Reported) isEvent()      {}
func (PeerLoads) isEvent()     {}
func (PeerGone) isEvent()      {}
func (ServerLeaving) isEvent() {}

// Step takes one event. The tables change with the next call of Table.
func (m *Machine) Step(now time.Time, event Event) {
	switch e := event.(type) {
	case Documents:
		m.documents = e.Documents
		m.revision = e.Revision
	case Servers:
		m.list(now, e.Servers)
	case Reported:
		m.report(now, e.Report)
	case PeerLoads:
		m.peerLoads(e)
	case PeerGone:
		for _, server := range m.servers {
			delete(server.peers, e.Host)
		}
	case ServerLeaving:
		m.leave(e)
	}
}

func (m *Machine) list(now time.Time, listed []backend.Server) {
	if m.servers == nil {
		m.servers = make(map[ident.ServerName]*serverState)
	}
	seen := make(map[ident.ServerName]bool, len(listed))
	for _, server := range listed {
		if server.Kind == backend.KindEntry {
			continue
		}
		seen[server.Name] = true
		m.admit(now, server)
	}
	for name := range m.servers {
		if !seen[name] {
			delete(m.servers, name)
		}
	}
}

func (m *Machine) admit(now time.Time, listed backend.Server) {
	state, known := m.servers[listed.Name]
	if !known || state.listed.Address != listed.Address {
		state = &serverState{
			gauge:   &Gauge{},
			readyAt: make(map[residentKey]time.Time),
			peers:   make(map[ident.HostID]int64),
		}
		m.servers[listed.Name] = state
	}
	state.listed = listed
	state.lastSeen = now
}

func (m *Machine) report(now time.Time, report backend.Report) {
	state, known := m.servers[report.Server]
	if !known {
		return
	}
	// A report that was taken before the one at hand comes late: it would bring
	// back residents that are gone since, or an earlier life of the server.
	if state.hasWord && report.At.Before(state.report.At) {
		return
	}
	if state.report.Incarnation != report.Incarnation {
		state.leaving = false
		state.readyAt = make(map[residentKey]time.Time)
	}
	state.report = report
	state.heardAt = now
	state.hasWord = true
	state.ownAt = state.gauge.UnderWay()
	ready := make(map[residentKey]time.Time, len(report.Residents))
	for _, resident := range report.Residents {
		if !resident.Ready {
			continue
		}
		key := keyOf(resident)
		ready[key] = now
		if since, was := state.readyAt[key]; was {
			ready[key] = since
		}
	}
	state.readyAt = ready
}

func keyOf(resident backend.Resident) residentKey {
	return residentKey{
		model:   resident.Model,
		adapter: resident.Adapter,
		version: resident.Version,
	}
}

func (m *Machine) peerLoads(e PeerLoads) {
	for name, server := range m.servers {
		if load := e.Loads[name]; load > 0 {
			server.peers[e.Host] = load
		} else {
			delete(server.peers, e.Host)
		}
	}
}

func (m *Machine) leave(e ServerLeaving) {
	state, known := m.servers[e.Server]
	if known && (e.Incarnation == "" || e.Incarnation == state.report.Incarnation) {
		state.leaving = true
	}
}

// Loads gives what this host has under way at each server, for its peers.
func (m *Machine) Loads() map[ident.ServerName]int64 {
	loads := make(map[ident.ServerName]int64)
	for name, server := range m.servers {
		if n := server.gauge.UnderWay(); n > 0 {
			loads[name] = n
		}
	}
	return loads
}

// Leaving gives the servers that say themselves, or were said, to leave.
func (m *Machine) Leaving() []ServerLeaving {
	var leaving []ServerLeaving
	for name, server := range m.servers {
		if server.leaving || server.report.Leaving {
			leaving = append(leaving, ServerLeaving{
				Server:      name,
				Incarnation: server.report.Incarnation,
			})
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].Server < leaving[j].Server })
	return leaving
}

// takesWork tells whether a server may get new work at all.
func (s *serverState) takesWork() bool {
	return s.listed.State == backend.StateLive && !s.leaving && !s.report.Leaving
}
