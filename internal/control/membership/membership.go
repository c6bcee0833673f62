// Package membership keeps which entry hosts are alive, as one host sees it.
//
// Each host moves its beat on and tells a few neighbours, at every interval, its
// own beat and those that it has heard move since its last word to them. A host
// whose beat has not moved for a while is taken for dead. The platform's lagging
// list only says whom to ask first: it never makes a host alive.
//
// Membership is a hint. It decides who is the home of a partition of claims,
// who polls which backend server, and whom to tell news; nothing that must
// hold depends on two hosts agreeing on it.
//
// # Usage
//
//	machine := membership.Machine{Self: self}
//	machine.Step(now, membership.Listed{Hosts: hosts})
//	for _, peer := range machine.Targets(now, false) {
//		word := machine.Word(now, peer.Host, have)
//		// exchange it with peer.Address
//	}
//	machine.Step(now, membership.Heard{
//		From: peer.Host,
//		Word: theirs,
//	})
//	homes := machine.Live(now)
//
// # Cost
//
// Neighbours follow from hashes of the names and stay while the live hosts do, so
// that a word can leave out what the neighbour has. In a fleet of
// more than SlowBeats hosts a beat moves only every slowBeat, and goes as a hash
// and a few bytes; the whole record goes once, when it is new or has changed.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Bounds of one word.
const (
	MaxPeers = 40
	MaxBeats = 512
)

// SlowBeats is the number of other hosts above which beats are slowed down.
const SlowBeats = 40

const (
	slowBeat = 3 * time.Second
	// longPatienceFrom is under SlowBeats by more than two hosts' lists differ:
	// a host must not be slow for others before they are patient with it.
	longPatienceFrom = SlowBeats / 2
)

// DeadAfter is how long a beat may stand still in a small fleet. It covers a few
// lost exchanges and is well under the time in which a leader's lease lapses.
const DeadAfter = 4 * time.Second

// DeadAfterLong is the same in a large fleet: the time between two beats and
// three times what a beat takes to reach every host (TestBeatsReachEveryHost).
const DeadAfterLong = 15 * time.Second

// forgetAfter is when a dead host's last beat is forgotten. Until then an older
// beat that some lagging peer still tells can't bring it back to life.
const forgetAfter = 10 * time.Minute

// Peer is an entry host.
type Peer struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	Region     ident.Region
	Address    string
	// Beat is the host's clock in Unix milliseconds when it last beat, or more: it
	// grows with each beat, over restarts too.
	Beat     uint64
	Stopping bool
	// Documents is the revision of the documents in force there.
	Documents ident.Revision
	// Leads is the fencing number of the term in which the host holds the plan's
	// leader key, as it believes, or zero.
	Leads ident.FencingNumber
}

// Beat is the part of a peer's record that moves.
type Beat struct {
	// Host is Hash of the host's name.
	Host      uint32
	Beat      uint64
	Documents ident.Revision
}

// Hash is a host's name on the wire.
func Hash(host ident.HostID) uint32 {
	return uint32(hashOf(host))
}

// Word is what one host tells another of hosts.
type Word struct {
	// Peers has the sender first, then records that are new to the receiver.
	Peers []Peer
	Beats []Beat
	// Through is the version up to which the sender has now told everything, More
	// that this is not all.
	Through uint64
	More    bool
}

type peerState struct {
	Peer
	movedAt time.Time
	listed  bool
	// hash is the name's, rank the place among those that this host may choose.
	hash uint64
	rank uint64
	// from told the newest beat: it needs no telling.
	from ident.HostID
	// version and recordVersion are when the beat and the record last changed.
	version       uint64
	recordVersion uint64
}

// Event is something that the machine hears.
type Event interface{ isEvent() }

// Listed gives the entry hosts on the platform's list.
type Listed struct {
	Hosts []Peer
}

// Heard gives a peer's word.
type Heard struct {
	From ident.HostID
	Word Word
}

// Beaten tells that an interval has passed for this host itself.
type Beaten struct {
	Documents ident.Revision
	Stopping  bool
	Leads     ident.FencingNumber
}

func (Listed) isEvent() {}
func (Heard) isEvent()  {}
func (Beaten) isEvent() {}

// Machine is one host's view. Self must be set.
type Machine struct {
	Self Peer
	// Seed feeds the choice among silent hosts.
	Seed   uint64
	peers  map[ident.HostID]*peerState
	hashes map[uint32]ident.HostID
	random *rand.Rand
	beatAt time.Time
	// version counts what this host has heard.
	version uint64
}

// Step takes one event.
func (m *Machine) Step(now time.Time, event Event) {
	if m.peers == nil {
		m.peers = make(map[ident.HostID]*peerState)
		m.hashes = make(map[uint32]ident.HostID)
		m.random = rand.New(rand.NewPCG(m.Seed, hashOf(m.Self.Host)))
	}
	switch e := event.(type) {
	case Listed:
		m.list(e.Hosts)
	case Heard:
		m.hear(now, e)
	case Beaten:
		m.beat(now, e)
	}
	m.forget(now)
}

// beat moves this host's beat on. It follows the clock, so that it grows over a
// restart: peers that remember the host's earlier life take its word at once. A
// mere count would run ahead of the clock with every exchange that comes early,
// and a restarted host would stay dead for as long as it had been ahead.
func (m *Machine) beat(now time.Time, e Beaten) {
	news := m.Self.Documents != e.Documents || m.Self.Stopping != e.Stopping || m.Self.Leads != e.Leads
	if len(m.peers) > SlowBeats && !news && now.Before(m.beatAt.Add(slowBeat)) {
		return
	}
	m.beatAt = now
	m.Self.Beat = max(m.Self.Beat+1, uint64(now.UnixMilli()))
	m.Self.Documents = e.Documents
	m.Self.Stopping = e.Stopping
	m.Self.Leads = e.Leads
}

// list takes in the platform's list: new hosts are asked some time, hosts that
// left it before anybody spoke of them are not.
func (m *Machine) list(hosts []Peer) {
	for _, known := range m.peers {
		known.listed = false
	}
	for i := range hosts {
		m.listOne(hosts[i])
	}
	for host, known := range m.peers {
		if known.Beat == 0 && !known.listed {
			delete(m.peers, host)
		}
	}
}

func (m *Machine) listOne(host Peer) {
	if host.Host == m.Self.Host {
		return
	}
	known, found := m.peers[host.Host]
	if !found {
		known = m.add(host.Host)
	}
	known.listed = true
	if known.Beat == 0 {
		host.Beat = 0
		known.Peer = host
	}
}

func (m *Machine) add(host ident.HostID) *peerState {
	known := &peerState{
		Peer: Peer{
			Host: host,
		},
		hash: hashOf(host),
		rank: weight(hashOf(m.Self.Host), hashOf(host)),
	}
	m.peers[host] = known
	// Two hosts of one hash would keep each other alive: they are told as
	// records only.
	hash := Hash(host)
	if other, taken := m.hashes[hash]; taken && other != host {
		host = ""
	}
	m.hashes[hash] = host
	return known
}

func (m *Machine) hear(now time.Time, e Heard) {
	for i := range e.Word.Peers {
		m.hearPeer(now, e.From, e.Word.Peers[i])
	}
	own := Hash(m.Self.Host)
	for _, beat := range e.Word.Beats {
		if beat.Host == own {
			m.hearSelf(beat.Beat)
			continue
		}
		if known, found := m.peers[m.hashes[beat.Host]]; found && known.Address != "" {
			told := known.Peer
			told.Beat = beat.Beat
			told.Documents = beat.Documents
			m.hearPeer(now, e.From, told)
		}
	}
}

// hearSelf takes in what peers remember of this host. After a restart with a
// clock that was set back its beats would be older than those of its earlier
// life, and every peer would take it for dead until the clock caught up.
func (m *Machine) hearSelf(beat uint64) {
	m.Self.Beat = max(m.Self.Beat, beat)
}

func (m *Machine) hearPeer(now time.Time, from ident.HostID, told Peer) {
	if told.Host == "" {
		return
	}
	if told.Host == m.Self.Host {
		m.hearSelf(told.Beat)
		return
	}
	known, found := m.peers[told.Host]
	if !found {
		known = m.add(told.Host)
	}
	if told.Beat <= known.Beat {
		return
	}
	m.version++
	known.version = m.version
	// A host that comes back is told as a record: some may have forgotten it.
	if !m.moves(now, known) || !sameRecord(&known.Peer, &told) {
		known.recordVersion = m.version
	}
	known.Peer = told
	known.movedAt = now
	known.from = from
}

func sameRecord(a, b *Peer) bool {
	return a.DataCentre == b.DataCentre && a.Region == b.Region && a.Address == b.Address && a.Stopping == b.Stopping &&
		a.Leads == b.Leads
}

func (m *Machine) forget(now time.Time) {
	for host, peer := range m.peers {
		if peer.Beat > 0 && now.Sub(peer.movedAt) > forgetAfter {
			delete(m.peers, host)
		}
	}
}

// patience is how long a beat may stand still. It goes by the hosts that are
// known, alive or not: a fleet that dies must not get less patient with the rest.
func (m *Machine) patience() time.Duration {
	if len(m.peers) > longPatienceFrom {
		return DeadAfterLong
	}
	return DeadAfter
}

func (m *Machine) moves(now time.Time, p *peerState) bool {
	return p.Beat > 0 && now.Sub(p.movedAt) < m.patience()
}

func (m *Machine) live(now time.Time, p *peerState) bool {
	return !p.Stopping && m.moves(now, p)
}

// Live gives the hosts that are alive, this one among them unless it stops,
// sorted by name.
func (m *Machine) Live(now time.Time) []ident.HostID {
	var live []ident.HostID
	if !m.Self.Stopping {
		live = append(live, m.Self.Host)
	}
	for host, peer := range m.peers {
		if m.live(now, peer) {
			live = append(live, host)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	return live
}

// Peers gives the live hosts' records, this host's first.
func (m *Machine) Peers(now time.Time) []Peer {
	peers := []Peer{m.Self}
	for _, host := range m.Live(now) {
		if peer, found := m.peers[host]; found {
			peers = append(peers, peer.Peer)
		}
	}
	return peers
}

// Answering gives the records of the hosts that can be asked, this host's first:
// the live ones and those that stop but still beat.
func (m *Machine) Answering(now time.Time) []Peer {
	answering := []Peer{m.Self}
	for _, peer := range m.sorted() {
		if m.moves(now, peer) {
			answering = append(answering, peer.Peer)
		}
	}
	return answering
}

// Address gives where a host listens for its peers.
func (m *Machine) Address(host ident.HostID) (string, bool) {
	peer, found := m.peers[host]
	if !found {
		return "", false
	}
	return peer.Address, true
}

// All gives every host that is remembered, this one first.
func (m *Machine) All() []Peer {
	all := []Peer{m.Self}
	for _, peer := range m.sorted() {
		all = append(all, peer.Peer)
	}
	return all
}

func (m *Machine) sorted() []*peerState {
	peers := make([]*peerState, 0, len(m.peers))
	for _, peer := range m.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Host < peers[j].Host })
	return peers
}

// IsLive tells whether a host is alive.
func (m *Machine) IsLive(now time.Time, host ident.HostID) bool {
	if host == m.Self.Host {
		return !m.Self.Stopping
	}
	peer, found := m.peers[host]
	return found && m.live(now, peer)
}

// Leader gives the live host that says that it leads, of several the one with
// the greatest fencing number; the zero Peer where none does.
func (m *Machine) Leader(now time.Time) Peer {
	var leader Peer
	if !m.Self.Stopping {
		leader = m.Self
	}
	for _, peer := range m.peers {
		if peer.Leads > leader.Leads && m.live(now, peer) {
			leader = peer.Peer
		}
	}
	if leader.Leads == 0 {
		return Peer{}
	}
	return leader
}
