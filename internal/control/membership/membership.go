// Package membership keeps which entry hosts are alive, as one host sees it.
//
// Each host counts a beat up and tells a few others, at every interval, its own
// beat and the newest beats that it has heard of others. A host whose beat has
// not moved for DeadAfter is taken for dead. The platform's lagging list only
// says whom to ask first: it never makes a host alive.
//
// Membership is a hint. It decides who is the home of a partition of claims,
// who polls which backend server, and whom to tell news; nothing that must
// hold depends on two hosts agreeing on it.
//
// # Usage
//
//	machine := membership.Machine{Self: self}
//	machine.Step(now, membership.Listed{Hosts: hosts})
//	for _, peer := range machine.Targets(now, dice) {
//		// exchange knowledge with peer.Address
//	}
//	machine.Step(now, membership.Heard{Peers: theirs})
//	homes := machine.Live(now)
//
// # Cost
//
// An exchange carries at most MaxPeers peers and a host starts Fanout of them
// an interval, so that bytes do not grow with the fleet beyond MaxPeers hosts.
package membership

import (
	"sort"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Bounds of one interval's work.
const (
	Fanout   = 3
	MaxPeers = 40
)

// DeadAfter is how long a beat may stand still. It covers a few lost exchanges
// and is well under the time in which a leader's lease lapses.
const DeadAfter = 4 * time.Second

// forgetAfter is when a dead host's last beat is forgotten. Until then an older
// beat that some lagging peer still tells can't bring it back to life.
const forgetAfter = 10 * time.Minute

// Peer is an entry host.
type Peer struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     ident.Region
	Address    string
	// Beat grows with each interval of the host's life, over restarts too: it
	// starts at the host's start time.
	Beat     uint64
	Stopping bool
	// Documents is the revision of the documents in force there.
	Documents ident.Revision
}

type peerState struct {
	Peer
	movedAt time.Time
}

// Event is something that the machine hears.
type Event interface{ isEvent() }

// Listed gives the entry hosts on the platform's list.
type Listed struct {
	Hosts []Peer
}

// Heard gives beats that a peer told.
type Heard struct {
	Peers []Peer
}

// Beaten tells that an interval has passed for this host itself.
type Beaten struct {
	Documents ident.Revision
	Stopping  bool
}

func (Listed) isEvent() {}
func (Heard) isEvent()  {}
func (Beaten) isEvent() {}

// Machine is one host's view. Self must be set.
type Machine struct {
	Self  Peer
	peers map[ident.HostID]*peerState
}

// Step takes one event.
func (m *Machine) Step(now time.Time, event Event) {
	if m.peers == nil {
		m.peers = make(map[ident.HostID]*peerState)
	}
	switch e := event.(type) {
	case Listed:
		for i := range e.Hosts {
			m.list(e.Hosts[i])
		}
	case Heard:
		for i := range e.Peers {
			m.hear(now, e.Peers[i])
		}
	case Beaten:
		m.beat(now, e)
	}
	m.forget(now)
}

func (m *Machine) beat(now time.Time, e Beaten) {
	// Starting from the clock keeps the beat growing over a restart, so that
	// peers that remember the host's earlier life take its word at once.
	m.Self.Beat = max(m.Self.Beat+1, uint64(now.Unix()))
	m.Self.Documents = e.Documents
	m.Self.Stopping = e.Stopping
}

// list adds hosts of the platform's list that nobody has spoken of yet.
func (m *Machine) list(host Peer) {
	if host.Host == m.Self.Host {
		return
	}
	if known, found := m.peers[host.Host]; found {
		if known.Beat == 0 {
			known.Address = host.Address
		}
		return
	}
	host.Beat = 0
	m.peers[host.Host] = &peerState{
		Peer: host,
	}
}

func (m *Machine) hear(now time.Time, told Peer) {
	if told.Host == m.Self.Host || told.Host == "" {
		return
	}
	known, found := m.peers[told.Host]
	if !found {
		known = &peerState{}
		m.peers[told.Host] = known
	}
	if told.Beat <= known.Beat {
		return
	}
	known.Peer = told
	known.movedAt = now
}

func (m *Machine) forget(now time.Time) {
	for host, peer := range m.peers {
		if peer.Beat > 0 && now.Sub(peer.movedAt) > forgetAfter {
			delete(m.peers, host)
		}
	}
}

func (p *peerState) live(now time.Time) bool {
	return p.Beat > 0 && !p.Stopping && now.Sub(p.movedAt) < DeadAfter
}

// Live gives the hosts that are alive, this one among them unless it stops,
// sorted by name.
func (m *Machine) Live(now time.Time) []ident.HostID {
	var live []ident.HostID
	if !m.Self.Stopping {
		live = append(live, m.Self.Host)
	}
	for host, peer := range m.peers {
		if peer.live(now) {
			live = append(live, host)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	return live
}

// Peers gives what this host knows of all hosts, its own word first.
func (m *Machine) Peers(now time.Time) []Peer {
	peers := []Peer{m.Self}
	for _, host := range m.Live(now) {
		if peer, found := m.peers[host]; found {
			peers = append(peers, peer.Peer)
		}
	}
	return peers
}

// Address gives where a host listens for its peers.
func (m *Machine) Address(host ident.HostID) (string, bool) {
	peer, found := m.peers[host]
	if !found {
		return "", false
	}
	return peer.Address, true
}

// Word gives the peers to tell in one exchange: this host first, then a part
// of the live ones that the dice choose.
func (m *Machine) Word(now time.Time, dice uint64) []Peer {
	peers := m.Peers(now)
	if len(peers) <= MaxPeers {
		return peers
	}
	word := peers[:1:1]
	others := peers[1:]
	start := int(dice % uint64(len(others)))
	for i := range MaxPeers - 1 {
		word = append(word, others[(start+i)%len(others)])
	}
	return word
}

// Targets gives the peers to exchange with in this interval. Hosts that were
// only listed, or seem dead, are asked as well, one an interval: so a healed cut
// and a host that the list showed before it started are found again.
func (m *Machine) Targets(now time.Time, dice uint64) []Peer {
	var live, silent []Peer
	for _, peer := range m.sorted() {
		if peer.live(now) {
			live = append(live, peer.Peer)
		} else if !peer.Stopping {
			silent = append(silent, peer.Peer)
		}
	}
	targets := drawn(live, dice, Fanout)
	return append(targets, drawn(silent, dice, 1)...)
}

func (m *Machine) sorted() []*peerState {
	peers := make([]*peerState, 0, len(m.peers))
	for _, peer := range m.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Host < peers[j].Host })
	return peers
}

func drawn(peers []Peer, dice uint64, most int) []Peer {
	if len(peers) <= most {
		return peers
	}
	start := int(dice % uint64(len(peers)))
	var result []Peer
	for i := range most {
		result = append(result, peers[(start+i)%len(peers)])
	}
	return result
}

// All gives every host that is remembered, this one first.
func (m *Machine) All() []Peer {
	all := []Peer{m.Self}
	for _, peer := range m.sorted() {
		all = append(all, peer.Peer)
	}
	return all
}

// IsLive tells whether a host is alive.
func (m *Machine) IsLive(now time.Time, host ident.HostID) bool {
	if host == m.Self.Host {
		return !m.Self.Stopping
	}
	peer, found := m.peers[host]
	return found && peer.live(now)
}
