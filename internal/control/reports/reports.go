// Package reports passes backend servers' reports on between entry hosts, so that
// not every host has to ask every server.
//
// Each server is asked by its few watchers only. What they hear goes round by the
// exchange between hosts, as news: each host counts what it takes in, knows how
// far each peer has taken it in, and tells what has come since, the oldest first.
// Most of it is loads, some twelve bytes each; what a server holds goes along
// only when it has changed.
//
// # Usage
//
//	var machine reports.Machine
//	machine.Step(now, reports.Listed{Servers: servers})
//	machine.Step(now, reports.Polled{Report: report})
//	word := machine.Word(reports.Reader{Host: peer.Host, Region: peer.Region}, have)
//	news := machine.Step(now, reports.Told{From: peer.Host, Word: theirs})
//
// # What orders news
//
// A report is ordered by the instant at which its server took it. An older one
// never replaces a newer one, whoever tells it; a server whose clock goes back at
// a restart is heard again when it has caught up.
//
// # Near and wide
//
// Hosts of the server's region get a report in each nearPace, the others one in
// each widePace: they send work there only when their own region can't do it. The
// host that leads the placement asks for all of them.
package reports

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// Bounds of one word.
const (
	MaxLoads    = 256
	MaxHoldings = 64
)

const (
	// nearPace is the pace of reports in the server's region, however many
	// watchers ask it.
	nearPace = 4 * time.Second
	// widePace is the pace of reports that leave the server's region.
	widePace = 10 * time.Second
	// forgetAfter is when a silent server's last report is forgotten. The list
	// doesn't decide that: it lags, and differs between hosts.
	forgetAfter = 10 * time.Minute
)

// Load is the part of a report that changes all the time. It goes with the
// holdings of the same digest.
type Load struct {
	Server  uint32
	Digest  uint32
	At      time.Time
	Running int
	Waiting int
}

// Holding is a whole report but for what only the placement needs.
type Holding struct {
	Report backend.Report
	Digest uint32
}

// Word is what one host tells another of servers.
type Word struct {
	Loads    []Load
	Holdings []Holding
	// Through is the version up to which the sender has now told everything, More
	// that this is not all.
	Through uint64
	More    bool
}

// Event is something that the machine hears.
type Event interface{ isEvent() }

// Listed gives the platform's list.
type Listed struct {
	Servers []backend.Server
}

// Polled gives a report that this host has asked for.
type Polled struct {
	Report backend.Report
}

// Told gives a peer's word.
type Told struct {
	From ident.HostID
	Word Word
}

func (Listed) isEvent() {}
func (Polled) isEvent() {}
func (Told) isEvent()   {}

// Machine keeps the newest report of each server. The zero value works.
type Machine struct {
	servers map[ident.ServerName]*state
	hashes  map[uint32]ident.ServerName
	version uint64
}

type state struct {
	region  ident.Region
	heardAt time.Time
	near    slot
	wide    slot
}

// slot is a report with its place in the news.
type slot struct {
	report backend.Report
	digest uint32
	from   ident.HostID
	// version and holdingVersion are when the report and the holdings changed last.
	version        uint64
	holdingVersion uint64
}

// News is what a step found out.
type News struct {
	Reports []backend.Report
	// Missing tells that a load came whose holdings this host does not have: the
	// peer must tell everything again.
	Missing bool
}

// Step takes one event and gives the reports that are new.
func (m *Machine) Step(now time.Time, event Event) News {
	if m.servers == nil {
		m.servers = make(map[ident.ServerName]*state)
		m.hashes = make(map[uint32]ident.ServerName)
	}
	var news News
	switch e := event.(type) {
	case Listed:
		for i := range e.Servers {
			m.state(e.Servers[i].Name).region = e.Servers[i].Region
		}
		m.forget(now)
	case Polled:
		news.add(m.take(now, "", e.Report, Digest(&e.Report)))
	case Told:
		for i := range e.Word.Holdings {
			news.add(m.take(now, e.From, e.Word.Holdings[i].Report, e.Word.Holdings[i].Digest))
		}
		for _, load := range e.Word.Loads {
			m.takeLoad(now, e.From, load, &news)
		}
	}
	return news
}

func (n *News) add(report backend.Report, isNew bool) {
	if isNew {
		n.Reports = append(n.Reports, report)
	}
}

// Newest gives the newest report of a server and its digest.
func (m *Machine) Newest(server ident.ServerName) (backend.Report, uint32, bool) {
	known, found := m.servers[server]
	if !found || known.near.version == 0 {
		return backend.Report{}, 0, false
	}
	return known.near.report, known.near.digest, true
}

func (m *Machine) state(server ident.ServerName) *state {
	known, found := m.servers[server]
	if found {
		return known
	}
	known = &state{}
	m.servers[server] = known
	// Loads of two servers of one hash could be taken for one another: both go
	// with their holdings, by name.
	hash := Hash(server)
	if other, taken := m.hashes[hash]; taken && other != server {
		server = ""
	}
	m.hashes[hash] = server
	return known
}

// Hash is a server's name on the wire.
func Hash(server ident.ServerName) uint32 {
	return uint32(xxhash.Sum64String(string(server)))
}

func (m *Machine) takeLoad(now time.Time, from ident.HostID, load Load, news *News) {
	name, found := m.hashes[load.Server]
	if found && name == "" {
		return
	}
	known, found := m.servers[name]
	if !found || known.near.version == 0 {
		news.Missing = true
		return
	}
	if !load.At.After(known.near.report.At) {
		return
	}
	if known.near.digest != load.Digest {
		news.Missing = true
		return
	}
	report := known.near.report
	report.At = load.At
	report.Running = load.Running
	report.Waiting = load.Waiting
	news.add(m.take(now, from, report, load.Digest))
}

// take takes a report in, unless this host has as new a one.
func (m *Machine) take(now time.Time, from ident.HostID, report backend.Report, digest uint32) (backend.Report, bool) {
	report.At = report.At.Truncate(time.Millisecond)
	known := m.state(report.Server)
	if known.near.version != 0 && !report.At.After(known.near.report.At) {
		return report, false
	}
	known.heardAt = now
	m.put(&known.near, from, report, digest, nearPace)
	m.put(&known.wide, from, report, digest, widePace)
	return report, true
}

// put replaces a report, once in each stretch of time unless the holdings have
// changed: the slot keeps the older one for its peers until then.
func (m *Machine) put(into *slot, from ident.HostID, report backend.Report, digest uint32, pace time.Duration) {
	if into.version != 0 && into.digest == digest && !later(into.report.At, report.At, pace) {
		return
	}
	m.version++
	if into.holdingVersion == 0 || into.digest != digest {
		into.holdingVersion = m.version
	}
	into.report = report
	into.digest = digest
	into.from = from
	into.version = m.version
}

// later tells whether an instant is in a later stretch of time than another. All
// hosts cut time alike, so that they pass the same reports on.
func later(before, after time.Time, pace time.Duration) bool {
	return after.Truncate(pace).After(before.Truncate(pace))
}

func (m *Machine) forget(now time.Time) {
	for name, known := range m.servers {
		if known.near.version != 0 && now.Sub(known.heardAt) > forgetAfter {
			delete(m.servers, name)
		}
	}
}

// Digest sums up all of a report but its load and instant.
func Digest(report *backend.Report) uint32 {
	digest := xxhash.New()
	text := func(texts ...string) {
		for _, one := range texts {
			_, _ = digest.WriteString(one)
			_, _ = digest.Write([]byte{0})
		}
	}
	number := func(numbers ...int64) {
		for _, one := range numbers {
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(one)))
		}
	}
	text(string(report.Server), string(report.Incarnation))
	number(int64(report.Memory), int64(report.Slots), int64(report.Fencing), bit(report.Leaving), bit(report.ChecksFencing))
	for i := range report.Residents {
		resident := &report.Residents[i]
		text(string(resident.Model), string(resident.Adapter), string(resident.Version))
		number(int64(resident.Memory), bit(resident.Ready))
	}
	for _, settled := range report.Settled {
		text(string(settled.ID), string(settled.Result))
	}
	return uint32(digest.Sum64())
}

func bit(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
