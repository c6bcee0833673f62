package admission

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// flow is the requests of one class of one team at a rate per second.
type flow struct {
	team  ident.TeamName
	class int
	rate  int

	served  int
	refused int
	waits   []time.Duration
}

// p95 returns the 95th percentile of the time in the queue.
func (f *flow) p95() time.Duration {
	slices.Sort(f.waits)
	return f.waits[len(f.waits)*95/100]
}

// An engine with a priority queue: 8 slots, 200 ms an answer, 40 answers a second.
const (
	testSlots            = 8
	testAnswerTime       = 200 * time.Millisecond
	testDeadline         = 1600 * time.Millisecond
	testDurationSeconds  = 30
	testAnswersPerSecond = 40
)

type queuedRequest struct {
	flow      *flow
	ticket    Ticket
	arrivedAt time.Duration
	endsAt    time.Duration
}

// simulateFlows sends the flows to the engine through one host, and returns the
// number of requests served.
func simulateFlows(shares map[ident.TeamName][]int, flows ...*flow) int {
	var server Server
	teams := make(map[ident.TeamName]*Team)
	for _, name := range []ident.TeamName{"kerlouan", "nour"} {
		if shares[name] != nil {
			teams[name] = server.Team(name, shares[name])
		}
	}
	var running, waiting []*queuedRequest
	total := 0
	for now := time.Duration(0); now < testDurationSeconds*time.Second; now += time.Millisecond {
		running = slices.DeleteFunc(running, func(q *queuedRequest) bool {
			if q.endsAt > now {
				return false
			}
			q.ticket.Release(true)
			q.flow.served++
			total++
			return true
		})
		for _, f := range flows {
			if int(now/time.Millisecond)*f.rate/1000 == int((now+time.Millisecond)/time.Millisecond)*f.rate/1000 {
				continue
			}
			if q, admitted := admit(teams[f.team], f, now, len(running)+len(waiting)); admitted {
				waiting = append(waiting, q)
			}
		}
		slices.SortStableFunc(waiting, func(a, b *queuedRequest) int { return a.ticket.Priority() - b.ticket.Priority() })
		for len(running) < testSlots && len(waiting) > 0 {
			next := waiting[0]
			waiting = waiting[1:]
			next.endsAt = now + testAnswerTime
			next.flow.waits = append(next.flow.waits, now-next.arrivedAt)
			running = append(running, next)
		}
	}
	return total
}

func admit(team *Team, f *flow, now time.Duration, queue int) (*queuedRequest, bool) {
	instant := time.Unix(0, int64(now))
	_, refused := team.Peek(f.class).ShouldRefuse(ServerLoad{
		Queue:       float64(queue),
		Slots:       testSlots,
		WholeAnswer: testAnswerTime,
	}, instant, instant.Add(testDeadline))
	if refused {
		f.refused++
		return nil, false
	}
	return &queuedRequest{
		flow:      f,
		ticket:    team.Acquire(f.class),
		arrivedAt: now,
	}, true
}

var oneTeam = map[ident.TeamName][]int{"kerlouan": {50, 30}}

// The second class requests five times what the engine can serve; the first class
// must not wait behind it.
func TestFirstClassIsServedFirst(t *testing.T) {
	first := &flow{team: "kerlouan", class: 0, rate: testAnswersPerSecond / 2}
	second := &flow{team: "kerlouan", class: 1, rate: 5 * testAnswersPerSecond}
	total := simulateFlows(oneTeam, first, second)
	t.Logf("first: served %d refused %d p95 %v; second: served %d refused %d p95 %v",
		first.served, first.refused, first.p95(), second.served, second.refused, second.p95())
	require.Zero(t, first.refused)
	require.Less(t, first.p95(), testAnswerTime)
	require.Greater(t, total, testDurationSeconds*testAnswersPerSecond*95/100, "what the first leaves goes to the second")
}

// A flood of the first class would leave the second one without any answer. The
// second keeps its share, and no more than that.
func TestLowerClassIsNotStarved(t *testing.T) {
	first := &flow{team: "kerlouan", class: 0, rate: 5 * testAnswersPerSecond}
	second := &flow{team: "kerlouan", class: 1, rate: testAnswersPerSecond}
	total := simulateFlows(oneTeam, first, second)
	t.Logf("first: served %d; second: served %d refused %d p95 %v", first.served, second.served, second.refused, second.p95())
	require.InDelta(t, 0.30, float64(second.served)/float64(total), 0.05)
	require.Greater(t, total, testDurationSeconds*testAnswersPerSecond*95/100)
	require.LessOrEqual(t, first.p95(), testDeadline)
	require.LessOrEqual(t, second.p95(), testDeadline)
}

var twoTeams = map[ident.TeamName][]int{"kerlouan": {50, 30}, "nour": {50, 30}}

// One team floods a server that has models of two teams. The other team's requests
// must not be late: half of the server is theirs.
func TestFloodOfOneTeamLeavesOtherTeamsShare(t *testing.T) {
	flood := &flow{team: "kerlouan", class: 0, rate: 10 * testAnswersPerSecond}
	quiet := &flow{team: "nour", class: 1, rate: testAnswersPerSecond * 4 / 10}
	total := simulateFlows(twoTeams, flood, quiet)
	t.Logf("flood: served %d p95 %v; quiet: served %d refused %d p95 %v", flood.served, flood.p95(), quiet.served, quiet.refused, quiet.p95())
	require.Zero(t, quiet.refused)
	require.Less(t, quiet.p95(), 2*testAnswerTime)
	require.Greater(t, total, testDurationSeconds*testAnswersPerSecond*95/100)
}

// A server must not stand half idle because a share is kept for a team that sends
// nothing.
func TestUnusedShareGoesToOtherTeam(t *testing.T) {
	flood := &flow{team: "kerlouan", class: 0, rate: 3 * testAnswersPerSecond}
	total := simulateFlows(twoTeams, flood)
	require.Greater(t, total, testDurationSeconds*testAnswersPerSecond*95/100)
	require.LessOrEqual(t, flood.p95(), testDeadline)
}

func TestRefusesOnlyBehindAQueue(t *testing.T) {
	var server Server
	now := time.Unix(1, 0)
	position := server.Team("kerlouan", []int{100}).Peek(0)
	load := ServerLoad{
		Queue:       7,
		Slots:       8,
		FirstToken:  3 * time.Second,
		WholeAnswer: time.Second,
	}
	_, refused := position.ShouldRefuse(load, now, now.Add(time.Second))
	require.False(t, refused)
	load.Queue = 15
	lateness, refused := position.ShouldRefuse(load, now, now.Add(time.Second))
	require.True(t, refused)
	require.Equal(t, 3*time.Second, lateness, "empty 3 s, 8 of 8 ahead 1 s, promised 1 s")
}

// An engine refuses all teams if its queue is full of one team's flood, although
// each of these requests would have been in time. A team over its share may fill
// only half of its promised time while another team uses the server too.
func TestTeamOverItsShareLeavesTimeForOthers(t *testing.T) {
	var server Server
	flood, quiet := server.Team("kerlouan", []int{100}), server.Team("nour", []int{100})
	now := time.Unix(1, 0)
	load := ServerLoad{
		Queue:       15,
		Slots:       8,
		WholeAnswer: time.Second,
	}
	for range 2 * maxTeamCredit / creditUnit {
		flood.Acquire(0)
	}
	isRefused := func(timeLeft time.Duration) bool {
		_, refused := flood.Peek(0).ShouldRefuse(load, now, now.Add(timeLeft))
		return refused
	}
	require.False(t, isRefused(1200*time.Millisecond), "8 of 8 ahead: 1 s")
	quiet.Acquire(0)
	require.True(t, isRefused(1200*time.Millisecond))
	require.False(t, isRefused(2200*time.Millisecond))
}

func TestConcurrentUseKeepsInFlightCounts(t *testing.T) {
	var server Server
	team := server.Team("kerlouan", []int{50, 30})
	server.Team("nour", nil)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for i := range 1000 {
				ticket := team.Acquire(i % 3)
				team.Peek(0).ExpectedTTFT(ServerLoad{
					Queue: 9,
					Slots: 8,
				})
				ticket.Release(i%2 == 0)
				ticket.Release(true)
			}
		})
	}
	wait.Wait()
	for priority := range server.inFlight {
		require.Zero(t, server.inFlight[priority].Load())
	}
	server.KeepTeams(func(name ident.TeamName) bool { return name == "kerlouan" })
	require.True(t, team.isOnlyTeam())
	require.Same(t, team, server.Team("kerlouan", []int{50, 30}))
}

func BenchmarkEnterLeave(b *testing.B) {
	var server Server
	team := server.Team("kerlouan", []int{50, 30})
	server.Team("nour", []int{100})
	b.ReportAllocs()
	for b.Loop() {
		team.Peek(1).ExpectedTTFT(ServerLoad{
			Queue: 9,
			Slots: 8,
		})
		ticket := team.Acquire(1)
		ticket.Release(true)
	}
}
