package admission

import (
	"sync/atomic"
	"time"
)

// ServerLoad is the estimated queue and speed of a server.
type ServerLoad struct {
	// Queue is the number of requests there, Slots the number that can run at once.
	Queue float64
	Slots float64
	// FirstToken is the time to the first token with a free slot, WholeAnswer that
	// to the end of the answer.
	FirstToken  time.Duration
	WholeAnswer time.Duration
}

// QueuePosition is where a request would be placed in a server's queue.
type QueuePosition struct {
	team     *Team
	priority int
}

// ExpectedTTFT returns the expected time to the first token (TTFT). Of the waiting
// requests, only those with the same or an earlier priority are ahead; and of the
// engine's answers, only those that are not given to earlier priorities count,
// because requests with an earlier priority will keep arriving and overtake this
// one while it waits. The host knows the mix of priorities of its own requests and
// assumes the same of the others', because the load balancer sends all hosts the
// same kind of requests.
func (p QueuePosition) ExpectedTTFT(load ServerLoad) time.Duration {
	waiting := load.Queue - load.Slots + 1
	if waiting <= 0 {
		return load.FirstToken
	}
	server := p.team.server
	requestsAhead := waiting * shareWithin(&server.inFlight, 0, p.priority)
	effectiveSlots := load.Slots * max(shareWithin(&server.recentAnswers, p.priority, numPriorities-1), p.minAnswerShare())
	return load.FirstToken + time.Duration(requestsAhead/effectiveSlots*float64(load.WholeAnswer))
}

// minShare replaces a share that is too small to divide by.
const minShare = 0.01

// minAnswerShare returns the least share of the answers that a request is expected
// to get, whatever earlier priorities recently left over. A team that has credit
// has not used its share, so that share is available to it.
func (p QueuePosition) minAnswerShare() float64 {
	if p.priority >= overTeamOffset || p.team.isOnlyTeam() {
		return minShare
	}
	return 1 / float64(len(*p.team.server.teams.Load()))
}

// shareWithin returns the share of all counts that lies within a range of
// priorities, or 1 if nothing has been counted.
func shareWithin(counts *[numPriorities]atomic.Int64, from, to int) float64 {
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

// overTeamTimeShare is the part of its promised time that a team over its share of
// a contended server may fill with waiting requests. The rest is left to the other
// teams: an engine's queue is bounded, and a full one refuses all teams alike.
const overTeamTimeShare = 0.5

// ShouldRefuse reports whether a request should be refused at once, because it would
// not be answered by the limit, and by how much it would be late. Queued, it would
// only take the place of a request that can still be in time. If there is no queue
// before it, nothing is refused: a promised time that even an idle server can't meet
// is no reason to answer nobody.
func (p QueuePosition) ShouldRefuse(load ServerLoad, now, limit time.Time) (time.Duration, bool) {
	if load.Queue < load.Slots {
		return 0, false
	}
	timeLeft := limit.Sub(now)
	if p.priority >= overTeamOffset && p.team.isContended() {
		timeLeft = time.Duration(float64(timeLeft) * overTeamTimeShare)
	}
	lateness := p.ExpectedTTFT(load) - timeLeft
	return lateness, lateness > 0
}
