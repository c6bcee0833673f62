package admission

import (
	"sync/atomic"
	"time"
)

// Load is what is believed of a server's queue and pace.
type Load struct {
	// Queue counts the requests there, Slots those that can run at once.
	Queue float64
	Slots float64
	// Empty is the time to the first token with a free slot, Whole that of a whole
	// answer once it runs.
	Empty time.Duration
	Whole time.Duration
}

// Place is where a request would come in a server's queue.
type Place struct {
	team     *Team
	priority int
}

// Wait gives the expected time to the first token. Of the requests that wait,
// those that go first count; and of the engine's answers, only those that were
// left over for requests that don't go first: for as long as this one waits,
// others will come and overtake it. The host knows both for its own requests and
// takes the others' to be alike, as the balancer gives all hosts the same kind.
func (p Place) Wait(load Load) time.Duration {
	waiting := load.Queue - load.Slots + 1
	if waiting <= 0 {
		return load.Empty
	}
	server := p.team.server
	ahead := waiting * part(&server.underWay, 0, p.priority)
	pace := load.Slots * max(part(&server.answers, p.priority, numPriorities-1), p.leastLeft())
	return load.Empty + time.Duration(ahead/pace*float64(load.Whole))
}

// leastLeft stands in for a part too small to divide by.
const leastLeft = 0.01

// leastLeft gives the part of the answers that a request gets whatever was left
// over lately. A team that has credit has not used its part, so that it is there.
func (p Place) leastLeft() float64 {
	if p.priority >= overTeam || p.team.alone() {
		return leastLeft
	}
	return 1 / float64(len(*p.team.server.teams.Load()))
}

// part gives the part of all counts that lies within some priorities, all of it
// where nothing has been counted.
func part(counts *[numPriorities]atomic.Int64, from, to int) float64 {
	var within, all int64
	for priority := range counts {
		count := counts[priority].Load()
		all += count
		if priority >= from && priority <= to {
			within += count
		}
	}
	if all <= 0 {
		return 1
	}
	return float64(within) / float64(all)
}

// overTeamPart is the part of its promised time that a team over its part of a
// contended server may fill with waiting requests. The rest stays room for the
// others: the queue of an engine is bounded, and a full one refuses all alike.
const overTeamPart = 0.5

// Refuse tells whether a request should be refused at once, since it would not
// be answered by the limit, and by how much it would be late. Held back, it would
// only take the place of one that still can be. Where no queue stands before it,
// nothing is refused: a promise that can't be kept by an idle server is no reason
// to answer nobody.
func (p Place) Refuse(load Load, now, limit time.Time) (time.Duration, bool) {
	if load.Queue < load.Slots {
		return 0, false
	}
	room := limit.Sub(now)
	if p.priority >= overTeam && p.team.contended() {
		room = time.Duration(float64(room) * overTeamPart)
	}
	late := p.Wait(load) - room
	return late, late > 0
}
