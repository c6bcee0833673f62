package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/splitmix"
)

// BenchmarkTake measures one choice among the engines of a large service.
func BenchmarkTake(b *testing.B) {
	servers := make([]ServerInfo, 0, 64)
	for i := range 64 {
		servers = append(servers, engine(ident.ServerName(fmt.Sprint("e", i)), "n1", "north"))
	}
	pool := newPool(servers...)
	b.ReportAllocs()
	for i := range b.N {
		ticket, verdict := pool.Take(start, newCriteria(uint64(i)))
		if verdict != Found {
			b.Fatal("no server was found")
		}
		ticket.Done(start, Left)
	}
}

// newPlannedPool returns a pool of 850 servers without models in seven data centres, of which the
// own one has a queue.
func newPlannedPool() *Pool {
	var servers []ServerInfo
	for i := range 850 {
		servers = append(servers, plainServer(ident.ServerName(fmt.Sprint("s", i)), ident.DataCentre(fmt.Sprint("n", 1+i%7)), "north"))
	}
	pool := newPool(servers...)
	pool.SetSpill(SpillOn)
	for _, s := range pool.servers {
		s.updateLoad(6, 0)
		if s.info.DataCentre == "n1" {
			s.updateLoad(6, 6)
		}
	}
	return pool
}

// BenchmarkDrawDestination measures what the plan adds to one of 1,000 requests a second at a host,
// with its update ten times a second.
func BenchmarkDrawDestination(b *testing.B) {
	pool := newPlannedPool()
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%1000 == 0 {
			for _, s := range pool.servers {
				s.loadAt = now // answers tell loads
			}
		}
		pool.drawDestination(now, splitmix.Mix(uint64(i)))
	}
}

// newPacedFleet returns a pool of 850 engines that name paces. Each holds 13 of 1,400 models, so that a
// model has some eight engines.
func newPacedFleet() *Pool {
	var servers []ServerInfo
	for i := range 850 {
		info := engine(ident.ServerName(fmt.Sprint("e", i)), "n1", "north")
		info.Slots = 12
		info.Pace = pace.Reading(0.5 + float64(i%4)/2)
		info.Holds = nil
		for j := range 13 {
			info.Holds = append(info.Holds, request.Weights{
				Model: ident.ModelName(fmt.Sprint("m", (i*13+j)%1400)),
			})
		}
		servers = append(servers, info)
	}
	return newPool(servers...)
}

// decidePaced does for one prompt what pools do on account of paces.
func decidePaced(pool *Pool, now time.Time, criteria *Criteria, candidates []pacing.Candidate) int {
	pool.paced = pool.paced[:0]
	candidates = candidates[:0]
	pool.eachAvailable(now, criteria, func(s *server, _ float64) {
		estimate := s.pace.Estimate(now)
		prefillTime := scale(50*time.Millisecond, estimate.Current)
		pool.paced = append(pool.paced, pool.describePaced(now, s, criteria, prefillTime, estimate))
		candidates = append(candidates, pacing.Candidate{
			PrefillTime: prefillTime,
			AnswerCost:  pool.answerCost(s, criteria, estimate),
			Slots:       s.info.Slots,
		})
	})
	return len(pool.comparePaced(candidates))
}

func pacedCriteria() *Criteria {
	criteria := newCriteria(1)
	criteria.Weights.Model = "m700"
	criteria.Deadline = start.Add(time.Minute)
	criteria.EventGap = 300 * time.Millisecond
	return &criteria
}

// Guards against a decision that allocates for each request or candidate.
func TestPacedAndPlannedDecisionsAllocateNothing(t *testing.T) {
	pool, criteria, candidates := newPacedFleet(), pacedCriteria(), make([]pacing.Candidate, 0, 64)
	require.InDelta(t, 8, decidePaced(pool, start, criteria, candidates), 1)
	require.Zero(t, testing.AllocsPerRun(100, func() { decidePaced(pool, start, criteria, candidates) }))
	planned := newPlannedPool()
	for _, s := range planned.servers {
		s.loadAt = start
	}
	planned.drawDestination(start, 1)
	require.Zero(t, testing.AllocsPerRun(100, func() { planned.drawDestination(start, 1) }))
}

// BenchmarkPacedDecision measures what paces add to the choice for one prompt.
func BenchmarkPacedDecision(b *testing.B) {
	pool, criteria, candidates := newPacedFleet(), pacedCriteria(), make([]pacing.Candidate, 0, 64)
	b.ReportAllocs()
	for i := range b.N {
		decidePaced(pool, start.Add(time.Duration(i%1000)*time.Millisecond), criteria, candidates)
	}
}
