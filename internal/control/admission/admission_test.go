package admission

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// flow is the requests of one class of one team, so many a second.
type flow struct {
	team  ident.TeamName
	class int
	rate  int

	served  int
	refused int
	waits   []time.Duration
}

// p95 of the time in the queue.
func (f *flow) p95() time.Duration {
	slices.Sort(f.waits)
	return f.waits[len(f.waits)*95/100]
}

// An engine with a priority queue: 8 slots, 200 ms an answer, 40 answers a second.
const (
	testSlots   = 8
	testAnswer  = 200 * time.Millisecond
	testPromise = 1600 * time.Millisecond
	testSeconds = 30
	capacity    = 40
)

type queued struct {
	flow   *flow
	ticket Ticket
	came   time.Duration
	end    time.Duration
}

// run lets the flows ask the engine through one host, and gives what was served.
func run(shares map[ident.TeamName][]int, flows ...*flow) int {
	var server Server
	teams := make(map[ident.TeamName]*Team)
	for _, name := range []ident.TeamName{"kerlouan", "nour"} {
		if shares[name] != nil {
			teams[name] = server.Team(name, shares[name])
		}
	}
	var running, waiting []*queued
	total := 0
	for now := time.Duration(0); now < testSeconds*time.Second; now += time.Millisecond {
		running = slices.DeleteFunc(running, func(q *queued) bool {
			if q.end > now {
				return false
			}
			q.ticket.Leave(true)
			q.flow.served++
			total++
			return true
		})
		for _, f := range flows {
			if int(now/time.Millisecond)*f.rate/1000 == int((now+time.Millisecond)/time.Millisecond)*f.rate/1000 {
				continue
			}
			if q, admitted := ask(teams[f.team], f, now, len(running)+len(waiting)); admitted {
				waiting = append(waiting, q)
			}
		}
		slices.SortStableFunc(waiting, func(a, b *queued) int { return a.ticket.Priority() - b.ticket.Priority() })
		for len(running) < testSlots && len(waiting) > 0 {
			next := waiting[0]
			waiting = waiting[1:]
			next.end = now + testAnswer
			next.flow.waits = append(next.flow.waits, now-next.came)
			running = append(running, next)
		}
	}
	return total
}

func ask(team *Team, f *flow, now time.Duration, queue int) (*queued, bool) {
	instant := time.Unix(0, int64(now))
	_, refused := team.Peek(f.class).Refuse(Load{
		Queue: float64(queue),
		Slots: testSlots,
		Whole: testAnswer,
	}, instant, instant.Add(testPromise))
	if refused {
		f.refused++
		return nil, false
	}
	return &queued{
		flow:   f,
		ticket: team.Enter(f.class),
		came:   now,
	}, true
}

var oneTeam = map[ident.TeamName][]int{"kerlouan": {50, 30}}

// The first class waits behind the second: the dispatchers' desk asks five times
// what the engine can do, and paying customers stand in its queue.
func TestFirstClassIsServedFirst(t *testing.T) {
	first := &flow{team: "kerlouan", class: 0, rate: capacity / 2}
	second := &flow{team: "kerlouan", class: 1, rate: 5 * capacity}
	total := run(oneTeam, first, second)
	t.Logf("first: served %d refused %d p95 %v; second: served %d refused %d p95 %v",
		first.served, first.refused, first.p95(), second.served, second.refused, second.p95())
	require.Zero(t, first.refused)
	require.Less(t, first.p95(), testAnswer)
	require.Greater(t, total, testSeconds*capacity*95/100, "what the first leaves goes to the second")
}

// The second class gets no answer for as long as the first one floods. It keeps
// its share, and no more than that.
func TestLowerClassIsNotStarved(t *testing.T) {
	first := &flow{team: "kerlouan", class: 0, rate: 5 * capacity}
	second := &flow{team: "kerlouan", class: 1, rate: capacity}
	total := run(oneTeam, first, second)
	t.Logf("first: served %d; second: served %d refused %d p95 %v", first.served, second.served, second.refused, second.p95())
	require.InDelta(t, 0.30, float64(second.served)/float64(total), 0.05)
	require.Greater(t, total, testSeconds*capacity*95/100)
	require.LessOrEqual(t, first.p95(), testPromise)
	require.LessOrEqual(t, second.p95(), testPromise)
}

var twoTeams = map[ident.TeamName][]int{"kerlouan": {50, 30}, "nour": {50, 30}}

// A team's drafts are late all day, since another team's load test floods the
// server that holds models of both. Half of it is theirs.
func TestOneTeamsFloodLeavesAnothersPart(t *testing.T) {
	flood := &flow{team: "kerlouan", class: 0, rate: 10 * capacity}
	quiet := &flow{team: "nour", class: 1, rate: capacity * 4 / 10}
	total := run(twoTeams, flood, quiet)
	t.Logf("flood: served %d p95 %v; quiet: served %d refused %d p95 %v", flood.served, flood.p95(), quiet.served, quiet.refused, quiet.p95())
	require.Zero(t, quiet.refused)
	require.Less(t, quiet.p95(), 2*testAnswer)
	require.Greater(t, total, testSeconds*capacity*95/100)
}

// Half of a server stands idle, since it is kept for a team that sends nothing.
func TestUnusedPartGoesToTheOther(t *testing.T) {
	flood := &flow{team: "kerlouan", class: 0, rate: 3 * capacity}
	total := run(twoTeams, flood)
	require.Greater(t, total, testSeconds*capacity*95/100)
	require.LessOrEqual(t, flood.p95(), testPromise)
}

func TestRefusalNeedsAQueue(t *testing.T) {
	var server Server
	now := time.Unix(1, 0)
	place := server.Team("kerlouan", []int{100}).Peek(0)
	load := Load{
		Queue: 7,
		Slots: 8,
		Empty: 3 * time.Second,
		Whole: time.Second,
	}
	_, refused := place.Refuse(load, now, now.Add(time.Second))
	require.False(t, refused)
	load.Queue = 15
	late, refused := place.Refuse(load, now, now.Add(time.Second))
	require.True(t, refused)
	require.Equal(t, 3*time.Second, late, "empty 3 s, 8 of 8 ahead 1 s, promised 1 s")
}

// An engine refuses everybody, since its queue is full of one team's flood: each
// of these requests would have been in time. A team over its part fills half of
// its time only, while another team uses the server too.
func TestTeamOverItsPartLeavesRoom(t *testing.T) {
	var server Server
	flood, quiet := server.Team("kerlouan", []int{100}), server.Team("nour", []int{100})
	now := time.Unix(1, 0)
	load := Load{
		Queue: 15,
		Slots: 8,
		Whole: time.Second,
	}
	for range 2 * mostTeam / unit {
		flood.Enter(0)
	}
	refuse := func(room time.Duration) bool {
		_, refused := flood.Peek(0).Refuse(load, now, now.Add(room))
		return refused
	}
	require.False(t, refuse(1200*time.Millisecond), "8 of 8 ahead: 1 s")
	quiet.Enter(0)
	require.True(t, refuse(1200*time.Millisecond))
	require.False(t, refuse(2200*time.Millisecond))
}

func TestConcurrentUseKeepsCounts(t *testing.T) {
	var server Server
	team := server.Team("kerlouan", []int{50, 30})
	server.Team("nour", nil)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for i := range 1000 {
				ticket := team.Enter(i % 3)
				team.Peek(0).Wait(Load{
					Queue: 9,
					Slots: 8,
				})
				ticket.Leave(i%2 == 0)
				ticket.Leave(true)
			}
		})
	}
	wait.Wait()
	for priority := range server.underWay {
		require.Zero(t, server.underWay[priority].Load())
	}
	server.Keep(func(name ident.TeamName) bool { return name == "kerlouan" })
	require.True(t, team.alone())
	require.Same(t, team, server.Team("kerlouan", []int{50, 30}))
}

func BenchmarkEnterLeave(b *testing.B) {
	var server Server
	team := server.Team("kerlouan", []int{50, 30})
	server.Team("nour", []int{100})
	b.ReportAllocs()
	for b.Loop() {
		team.Peek(1).Wait(Load{
			Queue: 9,
			Slots: 8,
		})
		ticket := team.Enter(1)
		ticket.Leave(true)
	}
}
