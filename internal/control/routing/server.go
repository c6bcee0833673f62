package routing

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// serverState is what the machine knows of one backend server.
type serverState struct {
	listed  backend.Server
	report  backend.Report
	hasWord bool
	// ready has the weights that can be asked for, by what they are for.
	ready   map[subject][]readyVersion
	gauge   *Gauge
	peers   map[ident.HostID]int64
	leaving bool
}

// readyVersion is one version of some weights, ready since an instant.
type readyVersion struct {
	version ident.Version
	since   time.Time
}

// takesWork tells whether a server may get new work at all.
func (s *serverState) takesWork() bool {
	return s.listed.State == backend.StateLive && !s.leaving && !s.report.Leaving
}

// list takes in the platform's list.
func (m *Machine) list(listed []backend.Server) {
	if m.servers == nil {
		m.servers = make(map[ident.ServerName]*serverState)
		m.holders = make(map[subject][]ident.ServerName)
		m.stale = make(map[subject]struct{})
	}
	seen := make(map[ident.ServerName]bool, len(listed))
	for _, server := range listed {
		if server.Kind == backend.KindEntry {
			continue
		}
		seen[server.Name] = true
		m.admit(server)
	}
	for name, server := range m.servers {
		if !seen[name] {
			m.remove(server)
		}
	}
}

func (m *Machine) admit(listed backend.Server) {
	state, known := m.servers[listed.Name]
	if known && state.listed == listed {
		return
	}
	if known && (state.listed.Address != listed.Address || state.listed.Service != listed.Service) {
		m.remove(state)
		known = false
	}
	if !known {
		state = &serverState{
			gauge: &Gauge{},
			ready: make(map[subject][]readyVersion),
			peers: make(map[ident.HostID]int64),
		}
		m.servers[listed.Name] = state
	}
	state.listed = listed
	if listed.Kind == backend.KindService {
		m.hold(state, subject{service: listed.Service}, readyVersion{})
	}
	m.touch(state)
}

// remove forgets a server that has gone from the list, or has become another.
func (m *Machine) remove(state *serverState) {
	for about := range state.ready {
		m.drop(state, about)
	}
	delete(m.servers, state.listed.Name)
}

// touch marks the targets of a server as stale.
func (m *Machine) touch(state *serverState) {
	for about := range state.ready {
		m.stale[about] = struct{}{}
	}
}

func (m *Machine) hold(state *serverState, about subject, versions ...readyVersion) {
	state.ready[about] = versions
	m.stale[about] = struct{}{}
	names := m.holders[about]
	if at, found := slices.BinarySearch(names, state.listed.Name); !found {
		m.holders[about] = slices.Insert(names, at, state.listed.Name)
	}
}

func (m *Machine) drop(state *serverState, about subject) {
	delete(state.ready, about)
	m.stale[about] = struct{}{}
	names := m.holders[about]
	at, found := slices.BinarySearch(names, state.listed.Name)
	if !found {
		return
	}
	if m.holders[about] = slices.Delete(names, at, at+1); len(m.holders[about]) == 0 {
		delete(m.holders, about)
	}
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
	reborn := state.report.Incarnation != report.Incarnation
	if reborn {
		state.leaving = false
	}
	if reborn || state.report.Leaving != report.Leaving {
		m.touch(state)
	}
	state.report = report
	state.hasWord = true
	state.gauge.trustUntil.Store(now.Add(reportTrust).UnixNano())
	state.gauge.slots.Store(int64(report.Slots))
	// The report is of an earlier instant: what this host had there at that
	// instant is in it, and what it has there now is counted apart.
	own := state.gauge.UnderWayAt(report.At, now)
	queue := int64(report.Running + report.Waiting)
	state.gauge.reported(report.At, queue, max(queue-own, 0))
	if state.listed.Kind == backend.KindEngine {
		m.residents(now, state, reborn)
	}
}

// residents takes in what a report says of the weights in memory.
func (m *Machine) residents(now time.Time, state *serverState, reborn bool) {
	ready := make(map[subject][]readyVersion, len(state.ready))
	for i := range state.report.Residents {
		resident := &state.report.Residents[i]
		if !resident.Ready {
			continue
		}
		about := subject{
			model:   resident.Model,
			adapter: resident.Adapter,
		}
		version := readyVersion{
			version: resident.Version,
			since:   now,
		}
		if since, was := state.readySince(about, resident.Version); was && !reborn {
			version.since = since
		}
		ready[about] = append(ready[about], version)
	}
	for about := range state.ready {
		if _, still := ready[about]; !still {
			m.drop(state, about)
		}
	}
	for about, versions := range ready {
		if !slices.Equal(state.ready[about], versions) {
			m.hold(state, about, versions...)
		}
	}
}

func (s *serverState) readySince(about subject, version ident.Version) (time.Time, bool) {
	for _, ready := range s.ready[about] {
		if ready.version == version {
			return ready.since, true
		}
	}
	return time.Time{}, false
}

func (m *Machine) peerLoads(e PeerLoads) {
	for name, server := range m.servers {
		load := e.Loads[name]
		if load == server.peers[e.Host] {
			continue
		}
		server.peers[e.Host] = load
		if load == 0 {
			delete(server.peers, e.Host)
		}
		var total int64
		for _, n := range server.peers {
			total += n
		}
		server.gauge.peers.Store(total)
	}
}

func (m *Machine) leave(e ServerLeaving) {
	state, known := m.servers[e.Server]
	if known && !state.leaving && (e.Incarnation == "" || e.Incarnation == state.report.Incarnation) {
		state.leaving = true
		m.touch(state)
	}
}
