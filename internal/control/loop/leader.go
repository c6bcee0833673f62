package loop

import (
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// leaderDuty is the name by which hosts are ranked for polling the leader key.
const leaderDuty = "leader"

// leaderHint returns what this host's peers report about the leadership. Each host
// reports in its own record whether it leads, so that the hint is as old as the
// leader's heartbeat and arrives with it.
func leaderHint(leader membership.Peer, roster *membership.Roster, self ident.HostID) orders.LeaderHint {
	rank := roster.RankOf(self, leaderDuty, leader.Host)
	return orders.LeaderHint{
		Host:    leader.Host,
		Fencing: leader.LeaderFencing,
		Rank:    rank.Rank,
		Hosts:   rank.Hosts,
	}
}
