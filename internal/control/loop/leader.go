package loop

import (
	"time"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// leaderDuty ranks the hosts that look at the leader key.
const leaderDuty = "leader"

// leaderWord is what this host's peers say about the leadership: each host tells
// with its own record whether it leads, so that the word is as old as the
// leader's beat and goes with it.
func leaderWord(members *membership.Machine, self ident.HostID, now time.Time) orders.LeaderWord {
	leader := members.Leader(now)
	place := members.Roster(now).Place(self, leaderDuty, leader.Host)
	return orders.LeaderWord{
		Host:    leader.Host,
		Fencing: leader.Leads,
		Rank:    place.Rank,
		Hosts:   place.Hosts,
	}
}
