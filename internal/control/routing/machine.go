package routing

import (
	"sort"
	"time"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Assumed network round trips.
const (
	roundTripInDataCentre  = 300 * time.Microsecond
	roundTripInRegion      = 3 * time.Millisecond
	roundTripToOtherRegion = 60 * time.Millisecond
)

// slowStartDuration is how long a new replica gets less than its share of requests:
// its caches are cold, and until its first reports all hosts at once estimate its
// queue as empty.
const slowStartDuration = 3 * time.Second

// reportValidity is how long a report is used to estimate the load of its server.
const reportValidity = 20 * time.Second

// Location is where this host runs.
type Location struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// Machine keeps the state that the tables are built from. It belongs to the control
// goroutine.
type Machine struct {
	Location Location
	// Pressures keeps the signals of servers' answers; nil keeps none.
	Pressures    *backpressure.Table
	revision     ident.Revision
	declarations map[targetKey]declaration
	servers      map[ident.ServerName]*serverState
	// serversByTarget has the servers where a target is ready, sorted by name,
	// whether or not they are available.
	serversByTarget map[targetKey][]ident.ServerName
	// staleTargets are the targets to rebuild in the next table.
	staleTargets map[targetKey]struct{}
	// hostsInRegion is the number of live entry hosts in this host's region.
	hostsInRegion int
	// table is the newest table; nil if all of it has to be rebuilt.
	table *Table
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Documents has the documents in force.
type Documents struct {
	Documents map[ident.TeamName]*document.Document
	Revision  ident.Revision
}

// ServerList has the platform's server list.
type ServerList struct {
	Servers []backend.Server
}

// ReportReceived has a load report that a backend server has made.
type ReportReceived struct {
	Report backend.Report
}

// PeerInFlight has the requests that another entry host has in flight at each
// server.
type PeerInFlight struct {
	Host     ident.HostID
	Requests map[ident.ServerName]int64
}

// PeerGone says that another entry host has left, so that its requests count no
// more.
type PeerGone struct {
	Host ident.HostID
}

// ServerLeaving says that one incarnation of a server is leaving, as known from
// another source than the server list.
type ServerLeaving struct {
	Server      ident.ServerName
	Incarnation ident.Incarnation
}

// HostCount has the number of live entry hosts in this host's region, including
// this one.
type HostCount struct {
	InRegion int
}

func (HostCount) isEvent()      {}
func (Documents) isEvent()      {}
func (ServerList) isEvent()     {}
func (ReportReceived) isEvent() {}
func (PeerInFlight) isEvent()   {}
func (PeerGone) isEvent()       {}
func (ServerLeaving) isEvent()  {}

// Step applies one event. The next call of Table returns the resulting table.
func (m *Machine) Step(now time.Time, event Event) {
	switch e := event.(type) {
	case Documents:
		m.applyDocuments(e)
	case ServerList:
		m.applyServerList(e.Servers)
	case ReportReceived:
		m.applyReport(now, e.Report)
	case PeerInFlight:
		m.applyPeerInFlight(e)
	case PeerGone:
		m.applyPeerInFlight(PeerInFlight{
			Host: e.Host,
		})
	case HostCount:
		m.hostsInRegion = e.InRegion
	case ServerLeaving:
		m.markLeaving(e)
	}
}

// InFlight returns the number of requests that this host has in flight at each
// server, for its peers.
func (m *Machine) InFlight() map[ident.ServerName]int64 {
	requests := make(map[ident.ServerName]int64)
	for name, server := range m.servers {
		if n := server.loadTracker.InFlight(); n > 0 {
			requests[name] = n
		}
	}
	return requests
}

// Pressure returns what a server's answers have asked for, nil if the server is not listed.
func (m *Machine) Pressure(name ident.ServerName) *backpressure.Server {
	state, known := m.servers[name]
	if !known {
		return nil
	}
	return m.Pressures.ServerOf(state.listed.Service, name, state.report.Incarnation)
}

// HasIncarnation reports whether a server is listed, and its last report is of an incarnation.
func (m *Machine) HasIncarnation(name ident.ServerName, incarnation ident.Incarnation) bool {
	state, known := m.servers[name]
	return known && state.report.Incarnation == incarnation
}

// LeavingServers returns the servers that have reported that they are leaving, or
// for which a ServerLeaving event came.
func (m *Machine) LeavingServers() []ServerLeaving {
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
