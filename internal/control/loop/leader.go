package loop

import (
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// leaderDuty ranks the hosts that look at the leader key.
const leaderDuty = "leader"

// leaderWord is what this host's peers say about the leadership: each host tells
// with its own record whether it leads, so that the word is as old as the
// leader's beat and goes with it.
func leaderWord(leader membership.Peer, roster *membership.Roster, self ident.HostID) orders.LeaderWord {
	place := roster.Place(self, leaderDuty, leader.Host)
	return orders.LeaderWord{
		Host:    leader.Host,
		Fencing: leader.Leads,
		Rank:    place.Rank,
		Hosts:   place.Hosts,
	}
}
