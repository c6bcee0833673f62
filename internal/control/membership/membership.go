// Package membership tracks which entry hosts are alive, as one host sees it.
//
// At every exchange interval each host increases the heartbeat number in its own
// record and sends a few neighbours its record and the heartbeats that have
// increased since its last message to them. A host whose heartbeat has not increased
// for a while is taken for dead. The platform's host list, which lags, only adds
// hosts to exchange with: it never makes a host alive.
//
// Membership is a hint. It decides which host owns a partition of claims, which
// hosts poll a backend server, and with which peers a host exchanges. No guarantee
// depends on two hosts agreeing on it.
//
// Machine is a state machine without goroutines or locks: package loop steps it
// on its control goroutine, and package entryhost carries the messages.
//
// # Usage
//
//	machine := membership.Machine{Self: self}
//	machine.Step(now, membership.HostsListed{Hosts: hosts})
//	for _, peer := range machine.Targets(now, false) {
//		message := machine.MessageFor(now, peer.Host, cursor)
//		// exchange it with peer.Address
//	}
//	machine.Step(now, membership.PeerMessageReceived{
//		From:    peer.Host,
//		Message: theirs,
//	})
//	owners := machine.LiveHosts(now)
//
// # Cost
//
// Neighbours follow from hashes of the host names and stay the same while the live
// hosts do, so that a message can leave out what the neighbour has. With more than
// FastHeartbeatMaxPeers other hosts a heartbeat increases only every
// slowHeartbeatInterval, and is sent as a hash and a few bytes; the whole record is
// sent once, when it is new or has changed.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Limits of one message.
const (
	MaxPeers      = 40
	MaxHeartbeats = 512
)

// FastHeartbeatMaxPeers is the number of other hosts above which heartbeats are slowed down.
const FastHeartbeatMaxPeers = 40

const (
	slowHeartbeatInterval = 3 * time.Second
	// shortTimeoutMaxPeers is smaller than FastHeartbeatMaxPeers by more than the
	// difference of two hosts' lists: no host may slow its heartbeats down while
	// others still apply the short timeout.
	shortTimeoutMaxPeers = FastHeartbeatMaxPeers / 2
)

// DeadAfter is the heartbeat timeout in a small fleet. It covers a few lost
// exchanges and is well under the time in which a leader's lease lapses.
const DeadAfter = 4 * time.Second

// DeadAfterLong is the heartbeat timeout in a large fleet: the time between two
// heartbeats and three times what one takes to reach every host
// (TestHeartbeatsReachEveryHost).
const DeadAfterLong = 15 * time.Second

// forgetAfter is how long a dead host's last heartbeat is kept. Until then an older
// one that some lagging peer still sends can't make the host alive again.
const forgetAfter = 10 * time.Minute

// Peer is the record of an entry host.
type Peer struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     ident.Region
	Address    string
	// Heartbeat is at least the host's clock in Unix milliseconds at its last heartbeat.
	// It increases with each heartbeat, over restarts too.
	Heartbeat uint64
	Stopping  bool
	// DocumentsRevision is the revision of the documents in force there.
	DocumentsRevision ident.Revision
	// LeaderFencing is the fencing number of the term in which the host believes that it
	// holds the plan's leader key, or zero.
	LeaderFencing ident.FencingNumber
}

// Heartbeat is the part of a peer's record that changes with each heartbeat.
type Heartbeat struct {
	// Host is the Hash of the host's name.
	Host              uint32
	Heartbeat         uint64
	DocumentsRevision ident.Revision
}

// Hash returns the number that stands for a host's name in messages.
func Hash(host ident.HostID) uint32 {
	return uint32(nameHash(host))
}

// Message is the part of a message between two hosts that is about hosts.
type Message struct {
	// Peers has the sender first, then records that are new to the receiver.
	Peers      []Peer
	Heartbeats []Heartbeat
	// ThroughVersion is the sender's version up to which the receiver now has every
	// change. HasMore reports whether later changes did not fit in.
	ThroughVersion uint64
	HasMore        bool
}

// peerState is a peer's record and what this host keeps about it.
type peerState struct {
	Peer
	// heartbeatAt is when the heartbeat last increased.
	heartbeatAt time.Time
	listed      bool
	// hash is the name's; bridgeRank orders the bridges that this host may choose.
	hash       uint64
	bridgeRank uint64
	// heartbeatFrom sent the newest heartbeat: it needn't be sent that one.
	heartbeatFrom ident.HostID
	// version and recordVersion are those of the last change of the heartbeat and
	// of the rest of the record.
	version       uint64
	recordVersion uint64
}

// Event is an input of the machine. The set of events is closed.
type Event interface{ isEvent() }

// HostsListed has the entry hosts on the platform's list.
type HostsListed struct {
	Hosts []Peer
}

// PeerMessageReceived is a peer's message.
type PeerMessageReceived struct {
	From    ident.HostID
	Message Message
}

// Tick is the start of an exchange interval, with the state of this host itself.
type Tick struct {
	DocumentsRevision ident.Revision
	Stopping          bool
	LeaderFencing     ident.FencingNumber
}

func (HostsListed) isEvent()         {}
func (PeerMessageReceived) isEvent() {}
func (Tick) isEvent()                {}

// Machine is one host's view of the fleet. Self must be set.
type Machine struct {
	Self Peer
	// Seed seeds the choice among silent hosts.
	Seed        uint64
	peers       map[ident.HostID]*peerState
	hostsByHash map[uint32]ident.HostID
	random      *rand.Rand
	heartbeatAt time.Time
	// version counts the changes that this host has received.
	version uint64
}

// Step applies one event.
func (m *Machine) Step(now time.Time, event Event) {
	if m.peers == nil {
		m.peers = make(map[ident.HostID]*peerState)
		m.hostsByHash = make(map[uint32]ident.HostID)
		m.random = rand.New(rand.NewPCG(m.Seed, nameHash(m.Self.Host)))
	}
	switch e := event.(type) {
	case HostsListed:
		m.applyList(e.Hosts)
	case PeerMessageReceived:
		m.receive(now, e)
	case Tick:
		m.updateHeartbeat(now, e)
	}
	m.deleteExpired(now)
}

// updateHeartbeat increases this host's heartbeat. It follows the clock, so that it
// increases over a restart: peers that remember the host's earlier incarnation accept
// its messages at once. A mere counter would run ahead of the clock with every
// exchange before its time, and a restarted host would stay dead for as long as it
// had been ahead.
func (m *Machine) updateHeartbeat(now time.Time, e Tick) {
	changed := m.Self.DocumentsRevision != e.DocumentsRevision || m.Self.Stopping != e.Stopping || m.Self.LeaderFencing != e.LeaderFencing
	if len(m.peers) > FastHeartbeatMaxPeers && !changed && now.Before(m.heartbeatAt.Add(slowHeartbeatInterval)) {
		return
	}
	m.heartbeatAt = now
	m.Self.Heartbeat = max(m.Self.Heartbeat+1, uint64(now.UnixMilli()))
	m.Self.DocumentsRevision = e.DocumentsRevision
	m.Self.Stopping = e.Stopping
	m.Self.LeaderFencing = e.LeaderFencing
}

// applyList applies the platform's list. New hosts become silent hosts to exchange
// with; hosts that leave the list before any heartbeat of theirs came are dropped.
func (m *Machine) applyList(hosts []Peer) {
	for _, known := range m.peers {
		known.listed = false
	}
	for i := range hosts {
		m.applyListed(hosts[i])
	}
	for host, known := range m.peers {
		if known.Heartbeat == 0 && !known.listed {
			delete(m.peers, host)
		}
	}
}

func (m *Machine) applyListed(host Peer) {
	if host.Host == m.Self.Host {
		return
	}
	known, found := m.peers[host.Host]
	if !found {
		known = m.addPeer(host.Host)
	}
	known.listed = true
	if known.Heartbeat == 0 {
		host.Heartbeat = 0
		known.Peer = host
	}
}

func (m *Machine) addPeer(host ident.HostID) *peerState {
	known := &peerState{
		Peer: Peer{
			Host: host,
		},
		hash:       nameHash(host),
		bridgeRank: rendezvousWeight(nameHash(m.Self.Host), nameHash(host)),
	}
	m.peers[host] = known
	// Two hosts with the same hash would keep each other alive: they are sent as
	// records only.
	hash := Hash(host)
	if other, taken := m.hostsByHash[hash]; taken && other != host {
		host = ""
	}
	m.hostsByHash[hash] = host
	return known
}

func (m *Machine) receive(now time.Time, e PeerMessageReceived) {
	for i := range e.Message.Peers {
		m.receiveRecord(now, e.From, e.Message.Peers[i])
	}
	ownHash := Hash(m.Self.Host)
	for _, heartbeat := range e.Message.Heartbeats {
		if heartbeat.Host == ownHash {
			m.raiseOwnHeartbeat(heartbeat.Heartbeat)
			continue
		}
		if known, found := m.peers[m.hostsByHash[heartbeat.Host]]; found && known.Address != "" {
			record := known.Peer
			record.Heartbeat = heartbeat.Heartbeat
			record.DocumentsRevision = heartbeat.DocumentsRevision
			m.receiveRecord(now, e.From, record)
		}
	}
}

// raiseOwnHeartbeat applies what peers remember of this host. After a restart with a
// clock that was set back its heartbeats would be older than those of its earlier
// incarnation, and every peer would take it for dead until the clock caught up.
func (m *Machine) raiseOwnHeartbeat(heartbeat uint64) {
	m.Self.Heartbeat = max(m.Self.Heartbeat, heartbeat)
}

func (m *Machine) receiveRecord(now time.Time, from ident.HostID, record Peer) {
	if record.Host == "" {
		return
	}
	if record.Host == m.Self.Host {
		m.raiseOwnHeartbeat(record.Heartbeat)
		return
	}
	known, found := m.peers[record.Host]
	if !found {
		known = m.addPeer(record.Host)
	}
	if record.Heartbeat <= known.Heartbeat {
		return
	}
	m.version++
	known.version = m.version
	// A host that comes back is sent as a record: some may have forgotten it.
	if !m.hasRecentHeartbeat(now, known) || !sameRecord(&known.Peer, &record) {
		known.recordVersion = m.version
	}
	known.Peer = record
	known.heartbeatAt = now
	known.heartbeatFrom = from
}

func sameRecord(a, b *Peer) bool {
	return a.DataCentre == b.DataCentre && a.Region == b.Region && a.Address == b.Address && a.Stopping == b.Stopping &&
		a.LeaderFencing == b.LeaderFencing
}

func (m *Machine) deleteExpired(now time.Time) {
	for host, peer := range m.peers {
		if peer.Heartbeat > 0 && now.Sub(peer.heartbeatAt) > forgetAfter {
			delete(m.peers, host)
		}
	}
}

// heartbeatTimeout returns how long a heartbeat may stay the same. It depends on the
// known hosts, alive or not: when many hosts die, the timeout for the rest must not
// get shorter.
func (m *Machine) heartbeatTimeout() time.Duration {
	if len(m.peers) > shortTimeoutMaxPeers {
		return DeadAfterLong
	}
	return DeadAfter
}

func (m *Machine) hasRecentHeartbeat(now time.Time, p *peerState) bool {
	return p.Heartbeat > 0 && now.Sub(p.heartbeatAt) < m.heartbeatTimeout()
}

func (m *Machine) isLive(now time.Time, p *peerState) bool {
	return !p.Stopping && m.hasRecentHeartbeat(now, p)
}

// LiveHosts returns the hosts that are alive, sorted by name. This host is one of them
// unless it is stopping.
func (m *Machine) LiveHosts(now time.Time) []ident.HostID {
	var live []ident.HostID
	if !m.Self.Stopping {
		live = append(live, m.Self.Host)
	}
	for host, peer := range m.peers {
		if m.isLive(now, peer) {
			live = append(live, host)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	return live
}

// LivePeers returns the live hosts' records, this host's first.
func (m *Machine) LivePeers(now time.Time) []Peer {
	peers := []Peer{m.Self}
	for _, host := range m.LiveHosts(now) {
		if peer, found := m.peers[host]; found {
			peers = append(peers, peer.Peer)
		}
	}
	return peers
}

// RespondingPeers returns the records of the hosts that can be asked, this host's
// first: those that are alive or stopping but still send heartbeats.
func (m *Machine) RespondingPeers(now time.Time) []Peer {
	responding := []Peer{m.Self}
	for _, peer := range m.sortedPeers() {
		if m.hasRecentHeartbeat(now, peer) {
			responding = append(responding, peer.Peer)
		}
	}
	return responding
}

// Address returns where a host listens for its peers.
func (m *Machine) Address(host ident.HostID) (string, bool) {
	peer, found := m.peers[host]
	if !found {
		return "", false
	}
	return peer.Address, true
}

// KnownPeers returns the records of all known hosts, this one's first.
func (m *Machine) KnownPeers() []Peer {
	all := []Peer{m.Self}
	for _, peer := range m.sortedPeers() {
		all = append(all, peer.Peer)
	}
	return all
}

func (m *Machine) sortedPeers() []*peerState {
	peers := make([]*peerState, 0, len(m.peers))
	for _, peer := range m.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Host < peers[j].Host })
	return peers
}

// IsLive reports whether a host is alive.
func (m *Machine) IsLive(now time.Time, host ident.HostID) bool {
	if host == m.Self.Host {
		return !m.Self.Stopping
	}
	peer, found := m.peers[host]
	return found && m.isLive(now, peer)
}

// Leader returns the live host that reports that it is the leader, of several the
// one with the greatest fencing number; the zero Peer if there is none.
func (m *Machine) Leader(now time.Time) Peer {
	var leader Peer
	if !m.Self.Stopping {
		leader = m.Self
	}
	for _, peer := range m.peers {
		if peer.LeaderFencing > leader.LeaderFencing && m.isLive(now, peer) {
			leader = peer.Peer
		}
	}
	if leader.LeaderFencing == 0 {
		return Peer{}
	}
	return leader
}
