package membership

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Roster is the live hosts at one instant, among which duties are assigned by
// rendezvous hashing: hosts that see the same live hosts agree without a message.
type Roster struct {
	all          []candidate
	byRegion     map[ident.Region][]candidate
	byDataCentre map[ident.DataCentre][]candidate
}

type candidate struct {
	host ident.HostID
	hash uint64
}

// Roster returns the live hosts. A host that is stopping has no duties.
func (m *Machine) Roster(now time.Time) *Roster {
	roster := &Roster{
		byRegion:     make(map[ident.Region][]candidate),
		byDataCentre: make(map[ident.DataCentre][]candidate),
	}
	for _, peer := range m.LivePeers(now) {
		if peer.Stopping {
			continue
		}
		entry := candidate{
			host: peer.Host,
			hash: nameHash(peer.Host),
		}
		roster.all = append(roster.all, entry)
		roster.byRegion[peer.Region] = append(roster.byRegion[peer.Region], entry)
		roster.byDataCentre[peer.DataCentre] = append(roster.byDataCentre[peer.DataCentre], entry)
	}
	return roster
}

// Size returns the number of live hosts.
func (r *Roster) Size() int {
	return len(r.all)
}

// Choose returns the hosts for a duty, at most limit: from the data centre, from the
// region if the data centre has no live host, and otherwise from anywhere.
func (r *Roster) Choose(duty string, dataCentre ident.DataCentre, region ident.Region, limit int) []ident.HostID {
	candidates := r.byDataCentre[dataCentre]
	if len(candidates) == 0 {
		candidates = r.byRegion[region]
	}
	if len(candidates) == 0 {
		candidates = r.all
	}
	hash := nameHash(duty)
	chosen := make([]ident.HostID, 0, limit)
	var last uint64
	for range min(limit, len(candidates)) {
		best := -1
		for i := range candidates {
			rank := rendezvousWeight(hash, candidates[i].hash)
			if rank > last && (best < 0 || rank < rendezvousWeight(hash, candidates[best].hash)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		last = rendezvousWeight(hash, candidates[best].hash)
		chosen = append(chosen, candidates[best].host)
	}
	return chosen
}

// IsChosen reports whether a host is among those chosen for a duty.
func (r *Roster) IsChosen(host ident.HostID, duty string, dataCentre ident.DataCentre, region ident.Region, limit int) bool {
	for _, chosen := range r.Choose(duty, dataCentre, region, limit) {
		if chosen == host {
			return true
		}
	}
	return false
}

// Ranking is a host's rank for a duty, from zero, and the number of hosts ranked.
type Ranking struct {
	Rank  int
	Hosts int
}

// RankOf returns a host's rank among all live hosts except one. A host that is not
// alive comes last.
func (r *Roster) RankOf(host ident.HostID, duty string, except ident.HostID) Ranking {
	hash := nameHash(duty)
	ownWeight := rendezvousWeight(hash, nameHash(host))
	ranking := Ranking{
		Hosts: 1,
	}
	live := false
	for i := range r.all {
		other := &r.all[i]
		if other.host == host {
			live = true
			continue
		}
		if other.host == except {
			continue
		}
		ranking.Hosts++
		if rendezvousWeight(hash, other.hash) < ownWeight {
			ranking.Rank++
		}
	}
	if !live {
		ranking.Rank = ranking.Hosts - 1
	}
	return ranking
}
