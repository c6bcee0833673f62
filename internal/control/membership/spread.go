package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
)

// ringCount is the number of rings of the hosts of a region, each in an order of its
// own. A host's neighbours are those after it, so that all hosts have the same number
// of neighbours, and a change reaches all in a few steps.
const ringCount = 2

// bridgesPerDataCentre is how many hosts of a data centre also have a neighbour in
// another region.
const bridgesPerDataCentre = 2

// MessageFor returns the message to a peer that has every change up to the version cursor:
// this host's record, the changes since, the oldest first, and the heartbeat that is
// remembered of the peer itself (see raiseOwnHeartbeat).
func (m *Machine) MessageFor(now time.Time, to ident.HostID, cursor uint64) Message {
	message := Message{
		Peers:          []Peer{m.Self},
		ThroughVersion: m.version,
	}
	if known, found := m.peers[to]; found && known.Heartbeat > 0 {
		message.Heartbeats = append(message.Heartbeats, known.heartbeat())
	}
	for _, change := range m.changesFor(now, to, cursor) {
		asRecord := change.recordVersion > cursor || m.hostsByHash[Hash(change.Host)] == ""
		if asRecord && len(message.Peers) == MaxPeers || len(message.Heartbeats) == MaxHeartbeats {
			message.ThroughVersion = change.requiredVersion(cursor) - 1
			message.HasMore = true
			return message
		}
		if asRecord {
			message.Peers = append(message.Peers, change.Peer)
		} else {
			message.Heartbeats = append(message.Heartbeats, change.heartbeat())
		}
	}
	return message
}

func (p *peerState) heartbeat() Heartbeat {
	return Heartbeat{
		Host:              Hash(p.Host),
		Heartbeat:         p.Heartbeat,
		DocumentsRevision: p.DocumentsRevision,
	}
}

// requiredVersion is the version that a message must reach to carry this peer's change.
// For a changed record it is that of the record: the heartbeat increases meanwhile,
// and a message that was cut short before it would leave the record out for good.
func (p *peerState) requiredVersion(cursor uint64) uint64 {
	if p.recordVersion > cursor {
		return p.recordVersion
	}
	return p.version
}

func (m *Machine) changesFor(now time.Time, to ident.HostID, cursor uint64) []*peerState {
	var changes []*peerState
	for _, peer := range m.peers {
		if peer.version > cursor && peer.heartbeatFrom != to && peer.Host != to && m.hasRecentHeartbeat(now, peer) {
			changes = append(changes, peer)
		}
	}
	slices.SortFunc(changes, func(a, b *peerState) int {
		return cmp.Compare(a.requiredVersion(cursor), b.requiredVersion(cursor))
	})
	return changes
}

// Targets returns the peers to exchange with in this interval: the neighbours, one of
// them in another region if this host is a bridge or forceBridge is set, and one
// of the silent hosts, which are only listed or seem dead. So hosts on both sides of
// a network cut, and a host that was listed before it started, are found again.
func (m *Machine) Targets(now time.Time, forceBridge bool) []Peer {
	var sameRegion, live, silent []*peerState
	for _, peer := range m.sortedPeers() {
		switch {
		case peer.Stopping:
			continue
		case !m.isLive(now, peer):
			silent = append(silent, peer)
			continue
		case peer.Region == m.Self.Region:
			sameRegion = append(sameRegion, peer)
		}
		live = append(live, peer)
	}
	var targets []Peer
	for ring := range uint64(ringCount) {
		targets = m.addRingNeighbour(targets, sameRegion, ring)
	}
	targets = append(targets, m.bridgeNeighbour(now, live, forceBridge)...)
	if len(silent) > 0 {
		targets = append(targets, silent[m.random.IntN(len(silent))].Peer)
	}
	return targets
}

// addRingNeighbour adds the host that comes after this one in a ring, or the next one
// if that is a target already.
func (m *Machine) addRingNeighbour(targets []Peer, sameRegion []*peerState, ring uint64) []Peer {
	self := rendezvousWeight(ring, nameHash(m.Self.Host))
	var next *peerState
	var leastDistance uint64
	for _, peer := range sameRegion {
		taken := slices.ContainsFunc(targets, func(target Peer) bool {
			return target.Host == peer.Host
		})
		// The difference wraps around, as the ring does.
		if distance := rendezvousWeight(ring, peer.hash) - self; !taken && (next == nil || distance < leastDistance) {
			next, leastDistance = peer, distance
		}
	}
	if next == nil {
		return targets
	}
	return append(targets, next.Peer)
}

// bridgeNeighbour returns the neighbour in another region: one of the bridges there.
func (m *Machine) bridgeNeighbour(now time.Time, live []*peerState, forced bool) []Peer {
	roster := m.Roster(now)
	isBridge := func(peer *Peer) bool {
		return roster.IsChosen(peer.Host, string(peer.DataCentre), peer.DataCentre, peer.Region, bridgesPerDataCentre)
	}
	if !forced && !isBridge(&m.Self) {
		return nil
	}
	var chosen *peerState
	for _, peer := range live {
		if peer.Region != m.Self.Region && (chosen == nil || peer.bridgeRank < chosen.bridgeRank) && isBridge(&peer.Peer) {
			chosen = peer
		}
	}
	if chosen == nil {
		return nil
	}
	return []Peer{chosen.Peer}
}

// nameHash hashes a name for rendezvous hashing.
func nameHash[S ~string](name S) uint64 {
	return xxhash.Sum64String(string(name))
}

// rendezvousWeight mixes two hashes (the finalizer of SplitMix64).
func rendezvousWeight(duty, host uint64) uint64 {
	mixed := duty ^ host
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
