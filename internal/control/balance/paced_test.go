package balance

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// newMixedPool returns a pool of engines and of servers without models in two regions.
func newMixedPool() *Pool {
	var servers []ServerInfo
	for i := range 12 {
		info := engine(ident.ServerName(fmt.Sprint("e", i)), ident.DataCentre(fmt.Sprint("n", 1+i%3)), "north")
		if i%4 == 3 {
			info.DataCentre, info.Region = "s1", "south"
		}
		if i%5 == 4 {
			info.Kind = backend.KindService
			info.Holds = nil
		}
		servers = append(servers, info)
	}
	return newPool(servers...)
}

// decisionDigest plays random requests against a pool and returns a digest of all its decisions
// and estimates. load passes a server's load on to the pool.
func decisionDigest(pool *Pool, load func(ticket *Ticket, now time.Time, running, waiting int)) uint64 {
	random := rand.New(rand.NewPCG(56, 1))
	digest := fnv.New64a()
	now := start
	var open []*Ticket
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		criteria := newCriteria(random.Uint64())
		criteria.Prompt = 200
		criteria.Parts = []request.PromptPart{{
			ID:     uint64(random.IntN(4)),
			Tokens: 350,
		}, {
			ID:     random.Uint64(),
			Tokens: 1110,
		}}
		ticket, verdict := pool.Take(now, criteria)
		candidates, _ := pool.Candidates(now, criteria)
		_, _ = fmt.Fprint(digest, verdict)
		for i := range candidates {
			c := &candidates[i]
			_, _ = fmt.Fprint(digest, c.Server, c.Region, int64(c.PrefillTime), int64(c.OtherCost), c.Slots)
		}
		if len(candidates) > 0 && random.IntN(2) == 0 {
			reserved := pool.TakeReserved(now, criteria, pacing.Reservation{
				Server: candidates[random.IntN(len(candidates))].Server,
				SendAt: now.Add(time.Millisecond),
			})
			if reserved != nil {
				open = append(open, reserved)
			}
		}
		if ticket != nil {
			_, _ = fmt.Fprint(digest, ticket.Server, int64(ticket.ExpectedFirstByte), int64(ticket.PrefillTime))
			open = append(open, ticket)
		}
		if len(open) > 0 && random.IntN(10) < 9 {
			i := random.IntN(len(open))
			ended := open[i]
			open = append(open[:i], open[i+1:]...)
			load(ended, now, random.IntN(10), random.IntN(3))
			ended.RecordFirstByte(now.Add(time.Duration(random.IntN(200)) * time.Millisecond))
			results := []Result{Answered, Answered, Answered, Answered, Failed, Refused, Unreached, Broken, Left}
			ended.Done(now.Add(time.Duration(random.IntN(3000))*time.Millisecond), results[random.IntN(len(results))])
		}
		for _, d := range []Demand{pool.TakeDemand()[weights]} {
			_, _ = fmt.Fprint(digest, d.Work)
		}
		pool.CountArrival(weights, criteria.Prompt)
	}
	return digest.Sum64()
}

// unpacedDigest is the digest of the decisions where no server names a pace, as they were before
// servers could.
const unpacedDigest = 0x1e71a1a318ee7a4a

// Guards against a pace that changes decisions where no server names one.
func TestDecisionsWithoutPaceAreUnchanged(t *testing.T) {
	require.EqualValues(t, uint64(unpacedDigest), decisionDigest(newMixedPool(), func(ticket *Ticket, now time.Time, running, waiting int) {
		ticket.UpdateLoad(now, Load{
			Running: running,
			Waiting: waiting,
		})
	}))
}

// pacedEngines returns engines with paces, the first of them with the first pace.
func pacedEngines(now time.Time, paces ...pace.Reading) *Pool {
	var servers []ServerInfo
	for i := range paces {
		info := engine(ident.ServerName(fmt.Sprint("e", i)), "n1", "north")
		info.Slots = 12
		servers = append(servers, info)
	}
	pool := newPool(servers...)
	for i, reading := range paces {
		pool.servers[ident.ServerName(fmt.Sprint("e", i))].pace.Record(now, reading)
		pool.isPaced = pool.isPaced || reading.IsKnown()
	}
	return pool
}

// candidatesByName returns the candidates for a prompt by their server.
func candidatesByName(t *testing.T, pool *Pool, now time.Time, criteria Criteria) map[ident.ServerName]pacing.Candidate {
	t.Helper()
	candidates, verdict := pool.Candidates(now, criteria)
	require.Equal(t, Found, verdict)
	byName := make(map[ident.ServerName]pacing.Candidate)
	for _, candidate := range candidates {
		byName[candidate.Server] = candidate
	}
	return byName
}

// Load: a prompt for a slow, a usual and a fast engine.
func TestPaceScalesCandidates(t *testing.T) {
	byName := candidatesByName(t, pacedEngines(start, 2, 1, 0.5), start, newCriteria(1))
	require.Equal(t, 2*byName["e1"].PrefillTime, byName["e0"].PrefillTime)
	require.Equal(t, byName["e1"].PrefillTime, 2*byName["e2"].PrefillTime)
	require.Equal(t, []int{7, 12, 12}, []int{byName["e0"].Slots, byName["e1"].Slots, byName["e2"].Slots})
	require.Greater(t, byName["e0"].AnswerCost, byName["e1"].AnswerCost)
	require.Greater(t, byName["e1"].AnswerCost, byName["e2"].AnswerCost)
}

// Guards against an engine that is given no answer at all for being slow.
func TestSlowestEngineKeepsHalfOfItsSlots(t *testing.T) {
	byName := candidatesByName(t, pacedEngines(start, 40, 1, 1, 1), start, newCriteria(1))
	require.Equal(t, 6, byName["e0"].Slots)
}

// Guards against room that is left idle where all engines are slow, or the only one.
func TestEquallySlowEnginesKeepTheirSlots(t *testing.T) {
	for _, paces := range [][]pace.Reading{{2}, {2, 2, 2}} {
		for _, candidate := range candidatesByName(t, pacedEngines(start, paces...), start, newCriteria(1)) {
			require.Equal(t, 12, candidate.Slots)
		}
	}
}

// Load: answers of 2 s with 3 s left, at engines of twice and half the usual pace.
func TestLongAnswerAvoidsEngineThatCannotEndInTime(t *testing.T) {
	pool := pacedEngines(start, 2, 0.5)
	criteria := newCriteria(1)
	criteria.Deadline = start.Add(3 * time.Second)
	byName := candidatesByName(t, pool, start, criteria)
	require.Equal(t, outlastsCost, byName["e0"].OtherCost)
	require.Zero(t, byName["e1"].OtherCost)
	criteria.Deadline = start.Add(10 * time.Second)
	require.Zero(t, candidatesByName(t, pool, start, criteria)["e0"].OtherCost, "time enough")
	criteria.Deadline = start.Add(500 * time.Millisecond)
	byName = candidatesByName(t, pool, start, criteria)
	require.Zero(t, byName["e0"].OtherCost, "what no engine can do is no reason to avoid one")
}

// Load: a long prompt while an engine with running answers works at four times the usual pace.
func TestLongPromptAvoidsEngineWhoseAnswersWouldPause(t *testing.T) {
	pool := pacedEngines(start, 4, 1)
	for _, s := range pool.servers {
		s.otherInFlight = 5
	}
	criteria := newCriteria(1)
	criteria.Prompt = 1500
	criteria.EventGap = 300 * time.Millisecond
	byName := candidatesByName(t, pool, start, criteria)
	require.Equal(t, 5*pausedAnswerCost, byName["e0"].OtherCost)
	require.Zero(t, byName["e1"].OtherCost)
	criteria.Prompt = 200
	require.Zero(t, candidatesByName(t, pool, start, criteria)["e0"].OtherCost, "a short prompt")
}

// Guards against a pace that counts twice: in the reading, and in what is learnt from answers.
func TestLearntTimesAreThoseOfUsualPace(t *testing.T) {
	info := engine("a", "n1", "north")
	plain := engine("p", "n1", "north")
	plain.Kind = backend.KindService
	for _, server := range []ServerInfo{info, plain} {
		usual, slow := newPool(server), newPool(server)
		now := start
		for i := range uint64(50) {
			for _, pool := range []*Pool{usual, slow} {
				reading, took := pace.Reading(1), 100*time.Millisecond
				if pool == slow {
					reading, took = 2, 200*time.Millisecond
				}
				ticket, _ := pool.Take(now, newCriteria(i))
				ticket.UpdateLoad(now, Load{
					Pace: reading,
				})
				ticket.RecordFirstByte(now.Add(took))
				ticket.Done(now.Add(took), Answered)
			}
			now = now.Add(time.Second)
		}
		name := server.Name
		require.InEpsilon(t, usual.servers[name].slowness, slow.servers[name].slowness, 0.2)
		require.InEpsilon(t, usual.responseTime, slow.responseTime, 0.01)
		require.InDelta(t, usual.secondsPerToken["m"], slow.secondsPerToken["m"], 20e-6)
	}
}

// Guards against levels that are lost with the leader that passed them on, and against levels that
// outlast the server.
func TestSharedLevelOutlastsLeaderButNotServer(t *testing.T) {
	info := engine("a", "n1", "north")
	info.Pace = 1.6
	pool := newPool(info)
	require.Equal(t, pace.Reading(1.6), pool.LevelOf(start, "a"))
	info.Pace = 0
	pool.UpdateServers([]ServerInfo{info}, nil)
	require.Equal(t, pace.Reading(1.6), pool.LevelOf(start, "a"))
	info.Incarnation = "2"
	pool.UpdateServers([]ServerInfo{info}, nil)
	require.Zero(t, pool.LevelOf(start, "a"))
}

// Guards against a reading that is sent on more than once, or for a server that is gone.
func TestReadingsAreTakenOnce(t *testing.T) {
	pool := newPool(engine("a", "n1", "north"), engine("b", "n1", "north"))
	for _, name := range []ident.ServerName{"a", "b"} {
		pool.recordPace(start, pool.servers[name], 2)
	}
	pool.UpdateServers(nil, []ident.ServerName{"b"})
	require.Equal(t, []pace.ServerReading{{
		Server:      "a",
		Incarnation: "1",
		Reading:     2,
	}}, pool.TakeReadings())
	require.Empty(t, pool.TakeReadings())
}

func TestServersAreCountedByPace(t *testing.T) {
	counts := pacedEngines(start, 0.5, 1, 1.1, 3, 0).CountPaces(start)
	require.Equal(t, PaceCounts{
		Fast:    1,
		Usual:   2,
		Slow:    1,
		Unknown: 1,
	}, counts)
}

func BenchmarkPacedCandidates(b *testing.B) {
	readings := make([]pace.Reading, 64)
	for i := range readings {
		readings[i] = pace.Reading(0.5 + float64(i%4)/2)
	}
	pool := pacedEngines(start, readings...)
	criteria := newCriteria(1)
	criteria.Deadline = start.Add(3 * time.Second)
	criteria.EventGap = 300 * time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		pool.Candidates(start, criteria)
	}
}
