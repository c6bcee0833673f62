// Package reports distributes backend servers' reports between entry hosts, so that
// not every host has to poll every server.
//
// Only a few hosts poll each server. Their reports reach the others by the exchange
// of messages between hosts, as changes: each host numbers the changes of its
// reports by a version, knows up to which version each peer has received them, and
// sends those after it, the oldest first. Most of a message is server loads, some
// twelve bytes each; a server's inventory (what it has in memory) is sent only when
// it has changed.
//
// A Machine is a state machine without clock, goroutine or lock: the goroutine that
// owns it passes events to Step and gets the messages for peers from MessageFor.
//
// # Usage
//
//	var machine reports.Machine
//	machine.Step(now, reports.ServersListed{Servers: servers})
//	machine.Step(now, reports.ReportPolled{Report: report})
//	message := machine.MessageFor(reports.Recipient{Host: peer.Host, Region: peer.Region}, ackedVersion)
//	result := machine.Step(now, reports.PeerMessageReceived{From: peer.Host, Message: received})
//
// # Order of reports
//
// Reports of a server are ordered by the time at which the server made them. An
// older one never replaces a newer one, whichever host sends it. If a server's clock
// goes back at a restart, its reports are ignored until the clock has caught up.
//
// # Intervals
//
// Hosts of the server's region get one report in each sameRegionInterval, the others
// one in each otherRegionsInterval: they send work there only if their own region
// can't do it. The leader of the placement gets all regions' reports at the shorter
// interval.
package reports

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// The most entries of each kind in one message.
const (
	MaxLoadsPerMessage       = 256
	MaxInventoriesPerMessage = 64
)

const (
	// sameRegionInterval is the interval of a server's reports within its region,
	// however many hosts poll it.
	sameRegionInterval = 4 * time.Second
	// otherRegionsInterval is the interval of a server's reports to other regions.
	otherRegionsInterval = 10 * time.Second
	// reportTTL is how long the last report of a server without newer ones is kept.
	// The list of servers doesn't decide that: it lags, and differs between hosts.
	reportTTL = 10 * time.Minute
)

// ServerLoad is the part of a report that changes all the time. It belongs to the
// inventory of the same digest.
type ServerLoad struct {
	Server  uint32
	Digest  uint32
	At      time.Time
	Running int
	Waiting int
}

// InventoryReport is a whole report except for the fields that only the placement needs.
type InventoryReport struct {
	Report backend.Report
	Digest uint32
}

// Message is a message from one host to another with reports of servers.
type Message struct {
	ServerLoads []ServerLoad
	Inventories []InventoryReport
	// ThroughVersion is the version up to which the sender has now sent all changes.
	// HasMore is set if there are changes after it.
	ThroughVersion uint64
	HasMore        bool
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// ServersListed has the platform's list of servers.
type ServersListed struct {
	Servers []backend.Server
}

// ReportPolled has a report that this host got by polling the server.
type ReportPolled struct {
	Report backend.Report
}

// PeerMessageReceived has a peer's message.
type PeerMessageReceived struct {
	From    ident.HostID
	Message Message
}

func (ServersListed) isEvent()       {}
func (ReportPolled) isEvent()        {}
func (PeerMessageReceived) isEvent() {}

// Machine keeps the newest report of each server. The zero value works.
type Machine struct {
	servers       map[ident.ServerName]*serverState
	serversByHash map[uint32]ident.ServerName
	version       uint64
}

type serverState struct {
	region       ident.Region
	receivedAt   time.Time
	sameRegion   reportEntry
	otherRegions reportEntry
}

// reportEntry is a report with the version of its last change.
type reportEntry struct {
	report backend.Report
	digest uint32
	sender ident.HostID
	// version and inventoryVersion are the machine's versions at the last change of
	// the report and of the inventory.
	version          uint64
	inventoryVersion uint64
}

// StepResult is what a step changed.
type StepResult struct {
	Reports []backend.Report
	// MissingInventory is set if a server load arrived whose inventory this host does not
	// have: the peer must send everything again.
	MissingInventory bool
}

// Step applies an event and returns the reports that are new.
func (m *Machine) Step(now time.Time, event Event) StepResult {
	if m.servers == nil {
		m.servers = make(map[ident.ServerName]*serverState)
		m.serversByHash = make(map[uint32]ident.ServerName)
	}
	var result StepResult
	switch e := event.(type) {
	case ServersListed:
		for i := range e.Servers {
			m.ensureServer(e.Servers[i].Name).region = e.Servers[i].Region
		}
		m.removeExpired(now)
	case ReportPolled:
		result.addReport(m.applyReport(now, "", e.Report, ComputeDigest(&e.Report)))
	case PeerMessageReceived:
		for i := range e.Message.Inventories {
			result.addReport(m.applyReport(now, e.From, e.Message.Inventories[i].Report, e.Message.Inventories[i].Digest))
		}
		for _, load := range e.Message.ServerLoads {
			m.applyServerLoad(now, e.From, load, &result)
		}
	}
	return result
}

func (n *StepResult) addReport(report backend.Report, isNew bool) {
	if isNew {
		n.Reports = append(n.Reports, report)
	}
}

// NewestReport returns the newest report of a server and its digest.
func (m *Machine) NewestReport(server ident.ServerName) (backend.Report, uint32, bool) {
	state, found := m.servers[server]
	if !found || state.sameRegion.version == 0 {
		return backend.Report{}, 0, false
	}
	return state.sameRegion.report, state.sameRegion.digest, true
}

func (m *Machine) ensureServer(server ident.ServerName) *serverState {
	state, found := m.servers[server]
	if found {
		return state
	}
	state = &serverState{}
	m.servers[server] = state
	// The loads of two servers with the same hash could be confused: the empty name
	// marks the hash, and both servers are sent by name with their inventory.
	hash := HashServerName(server)
	if other, taken := m.serversByHash[hash]; taken && other != server {
		server = ""
	}
	m.serversByHash[hash] = server
	return state
}

// HashServerName returns the hash that stands for a server's name in a server load.
func HashServerName(server ident.ServerName) uint32 {
	return uint32(xxhash.Sum64String(string(server)))
}

func (m *Machine) applyServerLoad(now time.Time, sender ident.HostID, load ServerLoad, result *StepResult) {
	name, found := m.serversByHash[load.Server]
	if found && name == "" {
		return
	}
	state, found := m.servers[name]
	if !found || state.sameRegion.version == 0 {
		result.MissingInventory = true
		return
	}
	if !load.At.After(state.sameRegion.report.ReportedAt) {
		return
	}
	if state.sameRegion.digest != load.Digest {
		result.MissingInventory = true
		return
	}
	report := state.sameRegion.report
	report.ReportedAt = load.At
	report.Running = load.Running
	report.Waiting = load.Waiting
	result.addReport(m.applyReport(now, sender, report, load.Digest))
}

// applyReport stores a report unless this host has one that is as new.
func (m *Machine) applyReport(now time.Time, sender ident.HostID, report backend.Report, digest uint32) (backend.Report, bool) {
	report.ReportedAt = report.ReportedAt.Truncate(time.Millisecond)
	state := m.ensureServer(report.Server)
	if state.sameRegion.version != 0 && !report.ReportedAt.After(state.sameRegion.report.ReportedAt) {
		return report, false
	}
	state.receivedAt = now
	m.replaceEntry(&state.sameRegion, sender, report, digest, sameRegionInterval)
	m.replaceEntry(&state.otherRegions, sender, report, digest, otherRegionsInterval)
	return report, true
}

// replaceEntry replaces an entry's report: once in each interval, or at once if the
// inventory has changed. Until then peers get the older report.
func (m *Machine) replaceEntry(entry *reportEntry, sender ident.HostID, report backend.Report, digest uint32, interval time.Duration) {
	if entry.version != 0 && entry.digest == digest && !inLaterInterval(entry.report.ReportedAt, report.ReportedAt, interval) {
		return
	}
	m.version++
	if entry.inventoryVersion == 0 || entry.digest != digest {
		entry.inventoryVersion = m.version
	}
	entry.report = report
	entry.digest = digest
	entry.sender = sender
	entry.version = m.version
}

// inLaterInterval reports whether a time is in a later interval than another. All
// hosts have the same interval boundaries, so that they pass on the same reports.
func inLaterInterval(before, after time.Time, interval time.Duration) bool {
	return after.Truncate(interval).After(before.Truncate(interval))
}

func (m *Machine) removeExpired(now time.Time) {
	for name, state := range m.servers {
		if state.sameRegion.version != 0 && now.Sub(state.receivedAt) > reportTTL {
			delete(m.servers, name)
		}
	}
}

// ComputeDigest returns a digest of all fields of a report except its load and time.
func ComputeDigest(report *backend.Report) uint32 {
	digest := xxhash.New()
	writeStrings := func(texts ...string) {
		for _, value := range texts {
			_, _ = digest.WriteString(value)
			_, _ = digest.Write([]byte{0})
		}
	}
	writeNumbers := func(numbers ...int64) {
		for _, value := range numbers {
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(value)))
		}
	}
	writeStrings(string(report.Server), string(report.Incarnation))
	writeNumbers(int64(report.Memory), int64(report.Slots), int64(report.Fencing), boolToInt(report.Leaving), boolToInt(report.ChecksFencing))
	for i := range report.Residents {
		resident := &report.Residents[i]
		writeStrings(string(resident.Model), string(resident.Adapter), string(resident.Version))
		writeNumbers(int64(resident.Memory), boolToInt(resident.Ready))
	}
	for _, settled := range report.Settled {
		writeStrings(string(settled.ID), string(settled.Result))
	}
	return uint32(digest.Sum64())
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
