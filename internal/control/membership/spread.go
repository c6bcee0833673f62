package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
)

// rings is in how many rings the hosts of a region stand, each in an order of its
// own. A host's neighbours are those after it, so that it has as many as every
// other, and news is everywhere in a few steps.
const rings = 2

// gatesInDataCentre is how many hosts of a data centre have a neighbour in
// another region as well.
const gatesInDataCentre = 2

// Word gives what a peer is to be told that has taken in everything up to the
// version have: this host's record, what changed since, the oldest first, and
// the beat that is remembered of the peer itself (see hearSelf).
func (m *Machine) Word(now time.Time, to ident.HostID, have uint64) Word {
	word := Word{
		Peers:   []Peer{m.Self},
		Through: m.version,
	}
	if known, found := m.peers[to]; found && known.Beat > 0 {
		word.Beats = append(word.Beats, known.beat())
	}
	for _, news := range m.news(now, to, have) {
		asRecord := news.recordVersion > have || m.hashes[Hash(news.Host)] == ""
		if asRecord && len(word.Peers) == MaxPeers || len(word.Beats) == MaxBeats {
			word.Through = news.due(have) - 1
			word.More = true
			return word
		}
		if asRecord {
			word.Peers = append(word.Peers, news.Peer)
		} else {
			word.Beats = append(word.Beats, news.beat())
		}
	}
	return word
}

func (p *peerState) beat() Beat {
	return Beat{
		Host:      Hash(p.Host),
		Beat:      p.Beat,
		Documents: p.Documents,
	}
}

// due is the version up to which a word has to go to tell this peer's news: that
// of the record where the record is news, for the beat moves on meanwhile and a
// word that was cut short would leave the record out for good.
func (p *peerState) due(have uint64) uint64 {
	if p.recordVersion > have {
		return p.recordVersion
	}
	return p.version
}

func (m *Machine) news(now time.Time, to ident.HostID, have uint64) []*peerState {
	var news []*peerState
	for _, peer := range m.peers {
		if peer.version > have && peer.from != to && peer.Host != to && m.moves(now, peer) {
			news = append(news, peer)
		}
	}
	slices.SortFunc(news, func(a, b *peerState) int {
		return cmp.Compare(a.due(have), b.due(have))
	})
	return news
}

// Targets gives the peers to exchange with in this interval: the neighbours, one
// of them in another region where this host is a gate or asks for it, and one of
// the hosts that were only listed or seem dead, so that a healed cut and a host
// that the list showed before it started are found again.
func (m *Machine) Targets(now time.Time, far bool) []Peer {
	var near, live, silent []*peerState
	for _, peer := range m.sorted() {
		switch {
		case peer.Stopping:
			continue
		case !m.live(now, peer):
			silent = append(silent, peer)
			continue
		case peer.Region == m.Self.Region:
			near = append(near, peer)
		}
		live = append(live, peer)
	}
	var targets []Peer
	for ring := range uint64(rings) {
		targets = m.after(targets, near, ring)
	}
	targets = append(targets, m.gate(now, live, far)...)
	if len(silent) > 0 {
		targets = append(targets, silent[m.random.IntN(len(silent))].Peer)
	}
	return targets
}

// after adds the host that stands after this one in a ring, or the next one
// where that is a target already.
func (m *Machine) after(targets []Peer, near []*peerState, ring uint64) []Peer {
	self := weight(ring, hashOf(m.Self.Host))
	var next *peerState
	var least uint64
	for _, peer := range near {
		taken := slices.ContainsFunc(targets, func(target Peer) bool {
			return target.Host == peer.Host
		})
		// The difference wraps around, as the ring does.
		if distance := weight(ring, peer.hash) - self; !taken && (next == nil || distance < least) {
			next, least = peer, distance
		}
	}
	if next == nil {
		return targets
	}
	return append(targets, next.Peer)
}

// gate gives the neighbour in another region: one of the gates there.
func (m *Machine) gate(now time.Time, live []*peerState, asked bool) []Peer {
	roster := m.Roster(now)
	isGate := func(peer *Peer) bool {
		return roster.Has(peer.Host, string(peer.DataCentre), peer.DataCentre, peer.Region, gatesInDataCentre)
	}
	if !asked && !isGate(&m.Self) {
		return nil
	}
	var first *peerState
	for _, peer := range live {
		if peer.Region != m.Self.Region && (first == nil || peer.rank < first.rank) && isGate(&peer.Peer) {
			first = peer
		}
	}
	if first == nil {
		return nil
	}
	return []Peer{first.Peer}
}

// hashOf is a name's place in rendezvous hashing.
func hashOf[S ~string](name S) uint64 {
	return xxhash.Sum64String(string(name))
}

// weight mixes two hashes (the finalizer of SplitMix64).
func weight(duty, host uint64) uint64 {
	mixed := duty ^ host
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
