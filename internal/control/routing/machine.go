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
	Place    Place
	revision ident.Revision
	declared map[subject]declaration
	servers  map[ident.ServerName]*serverState
	// holders has the servers that hold a subject, sorted, whether or not they
	// take work.
	holders map[subject][]ident.ServerName
	// stale are the subjects whose targets have to be made anew.
	stale map[subject]struct{}
	// hosts counts the live entry hosts of this region.
	hosts int
	// table is the newest table; nil where all of it has to be made anew.
	table *Table
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

// Hosts gives the number of live entry hosts in this host's region, this one
// among them.
type Hosts struct {
	InRegion int
}

func (Hosts) isEvent()         {}
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
		m.declare(e)
	case Servers:
		m.list(e.Servers)
	case Reported:
		m.report(now, e.Report)
	case PeerLoads:
		m.peerLoads(e)
	case PeerGone:
		m.peerLoads(PeerLoads{
			Host: e.Host,
		})
	case Hosts:
		m.hosts = e.InRegion
	case ServerLeaving:
		m.leave(e)
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
