package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
)

// Neighbours of a host: each host chooses so many, and is chosen by about as
// many. Two choices of each host join any number of hosts, almost surely.
const (
	neighboursInRegion  = 2
	neighboursElsewhere = 1
)

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

// Targets gives the peers to exchange with in this interval: the neighbours, and
// one of the hosts that were only listed or seem dead, so that a healed cut and a
// host that the list showed before it started are found again.
func (m *Machine) Targets(now time.Time) []Peer {
	var near, far, silent []*peerState
	for _, peer := range m.sorted() {
		switch {
		case peer.Stopping:
		case !m.live(now, peer):
			silent = append(silent, peer)
		case peer.Region == m.Self.Region:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	chosen := first(near, neighboursInRegion)
	chosen = append(chosen, first(far, neighboursElsewhere)...)
	if len(far) == 0 {
		chosen = first(near, neighboursInRegion+neighboursElsewhere)
	}
	if len(silent) > 0 {
		chosen = append(chosen, silent[m.random.IntN(len(silent))])
	}
	targets := make([]Peer, 0, len(chosen))
	for _, peer := range chosen {
		targets = append(targets, peer.Peer)
	}
	return targets
}

// first gives the peers that this host ranks first. Each host has its own
// ranking: were all to choose the same, these would drown.
func first(peers []*peerState, most int) []*peerState {
	slices.SortFunc(peers, func(a, b *peerState) int {
		return cmp.Compare(a.rank, b.rank)
	})
	return slices.Clone(peers[:min(most, len(peers))])
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
