package membership

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// Roster is the live hosts at one instant, among which duties are shared out by
// rendezvous hash: hosts that see the same live hosts agree without a word.
type Roster struct {
	all  []candidate
	near map[ident.Region][]candidate
	here map[ident.DataCentre][]candidate
}

type candidate struct {
	host ident.HostID
	hash uint64
}

// Roster gives the live hosts. A host that stops has no duties.
func (m *Machine) Roster(now time.Time) *Roster {
	roster := &Roster{
		near: make(map[ident.Region][]candidate),
		here: make(map[ident.DataCentre][]candidate),
	}
	for _, peer := range m.Peers(now) {
		if peer.Stopping {
			continue
		}
		one := candidate{
			host: peer.Host,
			hash: hashOf(peer.Host),
		}
		roster.all = append(roster.all, one)
		roster.near[peer.Region] = append(roster.near[peer.Region], one)
		roster.here[peer.DataCentre] = append(roster.here[peer.DataCentre], one)
	}
	return roster
}

// Size is the number of live hosts.
func (r *Roster) Size() int {
	return len(r.all)
}

// Chosen gives the hosts for a duty, at most so many: from the data centre, where
// that has none from the region, and else from anywhere.
func (r *Roster) Chosen(duty string, dataCentre ident.DataCentre, region ident.Region, most int) []ident.HostID {
	candidates := r.here[dataCentre]
	if len(candidates) == 0 {
		candidates = r.near[region]
	}
	if len(candidates) == 0 {
		candidates = r.all
	}
	hash := hashOf(duty)
	chosen := make([]ident.HostID, 0, most)
	var last uint64
	for range min(most, len(candidates)) {
		best := -1
		for i := range candidates {
			rank := weight(hash, candidates[i].hash)
			if rank > last && (best < 0 || rank < weight(hash, candidates[best].hash)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		last = weight(hash, candidates[best].hash)
		chosen = append(chosen, candidates[best].host)
	}
	return chosen
}

// Has tells whether a host is among those chosen for a duty.
func (r *Roster) Has(host ident.HostID, duty string, dataCentre ident.DataCentre, region ident.Region, most int) bool {
	for _, chosen := range r.Chosen(duty, dataCentre, region, most) {
		if chosen == host {
			return true
		}
	}
	return false
}

// Place is a host's place in the order of a duty, from zero, among so many.
type Place struct {
	Rank  int
	Hosts int
}

// Place gives a host's place among all live hosts but the one that is excepted. A
// host that is not among them comes last.
func (r *Roster) Place(host ident.HostID, duty string, except ident.HostID) Place {
	hash := hashOf(duty)
	own := weight(hash, hashOf(host))
	place := Place{
		Hosts: 1,
	}
	live := false
	for i := range r.all {
		one := &r.all[i]
		if one.host == host {
			live = true
			continue
		}
		if one.host == except {
			continue
		}
		place.Hosts++
		if weight(hash, one.hash) < own {
			place.Rank++
		}
	}
	if !live {
		place.Rank = place.Hosts - 1
	}
	return place
}
