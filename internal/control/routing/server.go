package routing

import (
	"slices"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// serverState is the machine's state of one backend server.
type serverState struct {
	listed    backend.Server
	report    backend.Report
	hasReport bool
	// ready has the versions that can answer now, by target.
	ready         map[targetKey][]readyVersion
	loadTracker   *LoadTracker
	peersInFlight map[ident.HostID]int64
	leaving       bool
}

// readyVersion is one version of some weights, and since when it is ready.
type readyVersion struct {
	version ident.Version
	since   time.Time
}

// isAvailable reports whether a server may get new requests.
func (s *serverState) isAvailable() bool {
	return s.listed.State == backend.StateLive && !s.leaving && !s.report.Leaving
}

// applyServerList replaces the platform's server list.
func (m *Machine) applyServerList(listed []backend.Server) {
	if m.servers == nil {
		m.servers = make(map[ident.ServerName]*serverState)
		m.serversByTarget = make(map[targetKey][]ident.ServerName)
		m.staleTargets = make(map[targetKey]struct{})
	}
	seen := make(map[ident.ServerName]bool, len(listed))
	for _, server := range listed {
		if server.Kind == backend.KindEntry {
			continue
		}
		seen[server.Name] = true
		m.addOrUpdateServer(server)
	}
	for name, server := range m.servers {
		if !seen[name] {
			m.removeServer(server)
		}
	}
}

func (m *Machine) addOrUpdateServer(listed backend.Server) {
	state, known := m.servers[listed.Name]
	if known && state.listed == listed {
		return
	}
	if known && (state.listed.Address != listed.Address || state.listed.Service != listed.Service) {
		m.removeServer(state)
		known = false
	}
	if !known {
		state = &serverState{
			loadTracker:   &LoadTracker{},
			ready:         make(map[targetKey][]readyVersion),
			peersInFlight: make(map[ident.HostID]int64),
		}
		m.servers[listed.Name] = state
	}
	state.listed = listed
	if listed.Kind == backend.KindService {
		m.setReady(state, targetKey{service: listed.Service}, readyVersion{})
	}
	m.markTargetsStale(state)
}

// removeServer deletes a server that is no longer on the list, or whose name now
// belongs to another address or service.
func (m *Machine) removeServer(state *serverState) {
	for key := range state.ready {
		m.removeReady(state, key)
	}
	delete(m.servers, state.listed.Name)
}

// markTargetsStale marks all targets of a server for a rebuild.
func (m *Machine) markTargetsStale(state *serverState) {
	for key := range state.ready {
		m.staleTargets[key] = struct{}{}
	}
}

func (m *Machine) setReady(state *serverState, key targetKey, versions ...readyVersion) {
	state.ready[key] = versions
	m.staleTargets[key] = struct{}{}
	names := m.serversByTarget[key]
	if at, found := slices.BinarySearch(names, state.listed.Name); !found {
		m.serversByTarget[key] = slices.Insert(names, at, state.listed.Name)
	}
}

func (m *Machine) removeReady(state *serverState, key targetKey) {
	delete(state.ready, key)
	m.staleTargets[key] = struct{}{}
	names := m.serversByTarget[key]
	at, found := slices.BinarySearch(names, state.listed.Name)
	if !found {
		return
	}
	if m.serversByTarget[key] = slices.Delete(names, at, at+1); len(m.serversByTarget[key]) == 0 {
		delete(m.serversByTarget, key)
	}
}

func (m *Machine) applyReport(now time.Time, report backend.Report) {
	state, known := m.servers[report.Server]
	if !known {
		return
	}
	// A report made before the current one arrived late: it would bring back
	// residents that have been unloaded since, or an earlier incarnation of the
	// server.
	if state.hasReport && report.ReportedAt.Before(state.report.ReportedAt) {
		return
	}
	restarted := state.report.Incarnation != report.Incarnation
	if restarted {
		state.leaving = false
	}
	if restarted || state.report.Leaving != report.Leaving {
		m.markTargetsStale(state)
	}
	state.report = report
	state.hasReport = true
	state.loadTracker.reportValidUntil.Store(now.Add(reportValidity).UnixNano())
	state.loadTracker.slots.Store(int64(report.Slots))
	// The report is of an earlier instant: what this host had in flight there at
	// that instant is included in it, and what it has there now is counted
	// separately.
	ownInFlight := state.loadTracker.InFlightAt(report.ReportedAt, now)
	queue := int64(report.Running + report.Waiting)
	state.loadTracker.applyReport(report.ReportedAt, queue, max(queue-ownInFlight, 0))
	if state.listed.Kind == backend.KindEngine {
		m.applyResidents(now, state, restarted)
	}
}

// applyResidents replaces the weights that a report says are ready in memory.
func (m *Machine) applyResidents(now time.Time, state *serverState, restarted bool) {
	ready := make(map[targetKey][]readyVersion, len(state.ready))
	for i := range state.report.Residents {
		resident := &state.report.Residents[i]
		if !resident.Ready {
			continue
		}
		key := targetKey{
			model:   resident.Model,
			adapter: resident.Adapter,
		}
		version := readyVersion{
			version: resident.Version,
			since:   now,
		}
		if since, wasReady := state.readySince(key, resident.Version); wasReady && !restarted {
			version.since = since
		}
		ready[key] = append(ready[key], version)
	}
	for key := range state.ready {
		if _, stillReady := ready[key]; !stillReady {
			m.removeReady(state, key)
		}
	}
	for key, versions := range ready {
		if !slices.Equal(state.ready[key], versions) {
			m.setReady(state, key, versions...)
		}
	}
}

func (s *serverState) readySince(key targetKey, version ident.Version) (time.Time, bool) {
	for _, ready := range s.ready[key] {
		if ready.version == version {
			return ready.since, true
		}
	}
	return time.Time{}, false
}

func (m *Machine) applyPeerInFlight(e PeerInFlight) {
	for name, server := range m.servers {
		requests := e.Requests[name]
		if requests == server.peersInFlight[e.Host] {
			continue
		}
		server.peersInFlight[e.Host] = requests
		if requests == 0 {
			delete(server.peersInFlight, e.Host)
		}
		var total int64
		for _, n := range server.peersInFlight {
			total += n
		}
		server.loadTracker.peersInFlight.Store(total)
	}
}

func (m *Machine) markLeaving(e ServerLeaving) {
	state, known := m.servers[e.Server]
	if known && !state.leaving && (e.Incarnation == "" || e.Incarnation == state.report.Incarnation) {
		state.leaving = true
		m.markTargetsStale(state)
	}
}
