package fairshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// job is a request that occupies one of simulated slots for some time.
type job struct {
	account   ident.AccountName
	arrived   time.Time
	length    time.Duration
	startedAt time.Time
	startTag  float64
}

const (
	simulatedSlots = 32
	simulatedAim   = 650 * time.Millisecond
	// simulatedWait is how long a job waits before its caller leaves.
	simulatedWait = 2 * time.Second
)

// discipline chooses the next job among those that wait.
type discipline interface {
	arrive(j *job)
	next(now time.Time, waiting []*job) int
	started(now time.Time, j *job)
	left(j *job)
}

// firstCome serves in the order of arrival.
type firstCome struct{}

func (firstCome) arrive(*job)                 {}
func (firstCome) next(time.Time, []*job) int  { return 0 }
func (firstCome) started(_ time.Time, _ *job) {}
func (firstCome) left(*job)                   {}

// startTimeQueue is weighted fair queueing by virtual start time.
type startTimeQueue struct {
	virtual  float64
	finishes map[ident.AccountName]float64
}

func (q *startTimeQueue) arrive(j *job) {
	j.startTag = max(q.virtual, q.finishes[j.account])
	q.finishes[j.account] = j.startTag + j.length.Seconds()
}

func (q *startTimeQueue) next(_ time.Time, waiting []*job) int {
	best := 0
	for i, j := range waiting {
		if j.startTag < waiting[best].startTag {
			best = i
		}
	}
	return best
}

func (q *startTimeQueue) started(_ time.Time, j *job) { q.virtual = max(q.virtual, j.startTag) }

// left takes back the tag of a job whose caller has left: it used nothing.
func (q *startTimeQueue) left(j *job) { q.finishes[j.account] -= j.length.Seconds() }

// deficitRoundRobin lets each account that waits use a quantum in turn.
type deficitRoundRobin struct {
	turns    []ident.AccountName
	deficits map[ident.AccountName]float64
	known    map[ident.AccountName]bool
}

const roundQuantum = 1.5

func (q *deficitRoundRobin) arrive(j *job) {
	if !q.known[j.account] {
		q.known[j.account] = true
		q.turns = append(q.turns, j.account)
	}
}

func (q *deficitRoundRobin) next(_ time.Time, waiting []*job) int {
	for {
		account := q.turns[0]
		index := slices.IndexFunc(waiting, func(j *job) bool { return j.account == account })
		if index >= 0 && q.deficits[account] >= waiting[index].length.Seconds() {
			return index
		}
		q.turns = append(q.turns[1:], account)
		if next := q.turns[0]; slices.ContainsFunc(waiting, func(j *job) bool { return j.account == next }) {
			q.deficits[next] += roundQuantum
		} else {
			q.deficits[next] = 0
		}
	}
}

func (q *deficitRoundRobin) started(_ time.Time, j *job) {
	q.deficits[j.account] -= j.length.Seconds()
}
func (q *deficitRoundRobin) left(*job) {}

// byLedger serves by standing, whether or not an account floods.
type byLedger struct {
	ledger Ledger
}

func (q *byLedger) arrive(j *job) {
	q.ledger.Account(j.arrived, j.account, 1).Wait(j.length.Seconds())
}

func (q *byLedger) next(now time.Time, waiting []*job) int {
	best := 0
	var lowest [3]int
	for i, j := range waiting {
		standing := q.ledger.Standing(now, q.ledger.Account(now, j.account, 1))
		key := [3]int{0, int(standing.Rank), standing.Step}
		if isLate(now, j) {
			key[0] = 1
		}
		if i == 0 || slices.Compare(key[:], lowest[:]) < 0 {
			best, lowest = i, key
		}
	}
	return best
}

// byFlood serves as pacing.Queue does: accounts that flood and have used their share last.
type byFlood struct {
	byLedger
}

func (q *byFlood) next(now time.Time, waiting []*job) int {
	best := 0
	var lowest [3]int
	for i, j := range waiting {
		use := q.ledger.Account(now, j.account, 1)
		var key [3]int
		if standing := q.ledger.Standing(now, use); q.ledger.IsFlooding(now, use) && standing.HasUsedShare() {
			key = [3]int{1, 0, standing.Step}
		}
		if isLate(now, j) {
			key[1] = 1
		}
		if i == 0 || slices.Compare(key[:], lowest[:]) < 0 {
			best, lowest = i, key
		}
	}
	return best
}

func isLate(now time.Time, j *job) bool { return now.Sub(j.arrived) > simulatedAim }

// inTimeFirst serves first come, first served, but the late jobs last.
type inTimeFirst struct{ firstCome }

func (inTimeFirst) next(now time.Time, waiting []*job) int {
	return max(slices.IndexFunc(waiting, func(j *job) bool { return !isLate(now, j) }), 0)
}

// startTimeInTimeFirst is startTimeQueue with the late jobs last.
type startTimeInTimeFirst struct{ startTimeQueue }

func (q *startTimeInTimeFirst) next(now time.Time, waiting []*job) int {
	best := 0
	for i, j := range waiting {
		late, bestLate := isLate(now, j), isLate(now, waiting[best])
		if bestLate && !late || late == bestLate && j.startTag < waiting[best].startTag {
			best = i
		}
	}
	return best
}

func (q *byLedger) started(now time.Time, j *job) {
	use := q.ledger.Account(now, j.account, 1)
	use.EndWait(j.length.Seconds())
	q.ledger.Charge(now, use, j.length.Seconds())
}

func (q *byLedger) left(j *job) {
	q.ledger.Account(j.arrived, j.account, 1).EndWait(j.length.Seconds())
}

// flow is what an account asks for, in parts of all slots, from an instant until another.
type flow struct {
	account ident.AccountName
	from    time.Duration
	until   time.Duration
	demand  float64
}

func drawJobs(flows []flow) []*job {
	var jobs []*job
	for i, f := range flows {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		for now := f.from; ; {
			const meanLength = 1.5
			now += time.Duration(random.ExpFloat64() * meanLength / (f.demand * simulatedSlots) * float64(time.Second))
			if now >= f.until {
				break
			}
			jobs = append(jobs, &job{
				account: f.account,
				arrived: start.Add(now),
				length:  time.Duration((0.5 + random.Float64()) * meanLength * float64(time.Second)),
			})
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.arrived.Compare(b.arrived) })
	return jobs
}

// simulate plays flows and returns their jobs. It fails if a slot stays free while a job waits.
func simulate(t require.TestingT, d discipline, flows []flow) []*job {
	jobs := drawJobs(flows)
	var waiting []*job
	var ends []time.Time
	arrived := 0
	for now := start; arrived < len(jobs) || len(waiting) > 0; now = now.Add(5 * time.Millisecond) {
		ends = slices.DeleteFunc(ends, func(at time.Time) bool { return !at.After(now) })
		for ; arrived < len(jobs) && !jobs[arrived].arrived.After(now); arrived++ {
			d.arrive(jobs[arrived])
			waiting = append(waiting, jobs[arrived])
		}
		waiting = slices.DeleteFunc(waiting, func(j *job) bool {
			isGone := now.Sub(j.arrived) > simulatedWait
			if isGone {
				d.left(j)
			}
			return isGone
		})
		for len(ends) < simulatedSlots && len(waiting) > 0 {
			i := d.next(now, waiting)
			j := waiting[i]
			waiting = slices.Delete(waiting, i, i+1)
			j.startedAt = now
			d.started(now, j)
			ends = append(ends, now.Add(j.length))
		}
		require.True(t, len(ends) == simulatedSlots || len(waiting) == 0)
	}
	return jobs
}

func disciplines() map[string]func() discipline {
	return map[string]func() discipline{
		"1 first come": func() discipline { return firstCome{} },
		"2 start time": func() discipline {
			return &startTimeQueue{
				finishes: make(map[ident.AccountName]float64),
			}
		},
		"3 round robin": func() discipline {
			return &deficitRoundRobin{
				deficits: make(map[ident.AccountName]float64),
				known:    make(map[ident.AccountName]bool),
			}
		},
		"4 in time first": func() discipline { return inTimeFirst{} },
		"5 start time, in time first": func() discipline {
			return &startTimeInTimeFirst{
				startTimeQueue: startTimeQueue{
					finishes: make(map[ident.AccountName]float64),
				},
			}
		},
		"6 ledger": func() discipline { return &byLedger{} },
		"7 floods": func() discipline { return &byFlood{} },
	}
}

// inTime returns which part of the jobs of accounts that arrive in a time starts in time.
func inTime(jobs []*job, from, until time.Duration, matches func(ident.AccountName) bool) float64 {
	count, good := 0, 0
	for _, j := range jobs {
		if at := j.arrived.Sub(start); at < from || at >= until || !matches(j.account) {
			continue
		}
		count++
		if !j.startedAt.IsZero() && j.startedAt.Sub(j.arrived) <= simulatedAim {
			good++
		}
	}
	return float64(good) / float64(max(count, 1))
}

// servedShare returns which part of the slot time that starts in a time an account gets.
func servedShare(jobs []*job, from, until time.Duration, account ident.AccountName) float64 {
	all, own := 0.0, 0.0
	for _, j := range jobs {
		if at := j.startedAt.Sub(start); j.startedAt.IsZero() || at < from || at >= until {
			continue
		}
		all += j.length.Seconds()
		if j.account == account {
			own += j.length.Seconds()
		}
	}
	return own / max(all, 1e-9)
}

func isHot(name ident.AccountName) bool   { return name == "hot" }
func isOther(name ident.AccountName) bool { return name != "hot" }
func isAny(ident.AccountName) bool        { return true }

// eightAccounts ask for 0.85 of all slots, the first for a multiple of its part for 15 s.
func eightAccounts(factor float64) []flow {
	flows := []flow{{
		account: "hot",
		from:    5 * time.Second,
		until:   20 * time.Second,
		demand:  factor * 0.85 / 8,
	}}
	for i := range 7 {
		flows = append(flows, flow{
			account: ident.AccountName(fmt.Sprint("a", i)),
			until:   25 * time.Second,
			demand:  0.85 / 8,
		})
	}
	return flows
}

func sortedNames() []string {
	var names []string
	for name := range disciplines() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Load: a hot account, all accounts over their share, an account that was idle or alone for some time.
func TestDisciplinesCompared(t *testing.T) {
	const second = time.Second
	allOver := eightAccounts(1)
	for i := range allOver {
		allOver[i].from, allOver[i].demand = 0, 1.3/8
		allOver[i].until = 25 * second
	}
	alone := []flow{
		{
			account: "first",
			until:   30 * second,
			demand:  1.2,
		},
		{
			account: "second",
			from:    15 * second,
			until:   30 * second,
			demand:  1.2,
		},
	}
	others := make(map[string]float64)
	for _, name := range sortedNames() {
		newDiscipline := disciplines()[name]
		three := simulate(t, newDiscipline(), eightAccounts(3))
		ten := simulate(t, newDiscipline(), eightAccounts(10))
		over := simulate(t, newDiscipline(), allOver)
		joined := simulate(t, newDiscipline(), alone)
		others[name] = inTime(ten, 5*second, 20*second, isOther)
		t.Logf("%s: in time, others at 3x %.2f, at 10x %.2f (hot %.2f), all over %.2f; the first of two in each s after the second joins %.2f, %.2f, %.2f, after 5 s %.2f", name,
			inTime(three, 5*second, 20*second, isOther), others[name], inTime(ten, 5*second, 20*second, isHot), inTime(over, 5*second, 25*second, isAny),
			servedShare(joined, 15*second, 16*second, "first"), servedShare(joined, 16*second, 17*second, "first"), servedShare(joined, 17*second, 18*second, "first"), servedShare(joined, 20*second, 30*second, "first"))
	}
	for _, name := range sortedNames() {
		require.GreaterOrEqual(t, others["7 floods"], others[name], name)
	}
}
