package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/unit"
)

const (
	simTick      = 10 * time.Millisecond
	simObjective = 800 * time.Millisecond
	simEventGap  = 300 * time.Millisecond
	simSlots     = 12
)

// simAnswer is an answer at a simulated engine. Work is left at a usual pace.
type simAnswer struct {
	host      int
	ticket    *Ticket
	waiter    *pacing.Waiter
	criteria  Criteria
	booked    pacing.Ticket
	arrivedAt time.Time
	sendAt    time.Time
	deadline  time.Time
	prefill   time.Duration
	decode    time.Duration
	started   bool
	stalled   time.Duration
	isLate    bool
	isLong    bool
}

// simEngine reads one prompt at a time, while which its running answers pause.
type simEngine struct {
	pace.Tracker
	level   float64
	inSpell bool
	until   time.Time
	answers []*simAnswer
	// flickers is whether the engine has no lasting level: its pace is another one ten times a second.
	flickers bool
}

func (e *simEngine) paceNow(now time.Time, random *rand.Rand) float64 {
	if e.flickers {
		if !now.Before(e.until) {
			e.level = 0.6 + 3.4*random.Float64()
			e.until = now.Add(100 * time.Millisecond)
		}
		return e.level
	}
	if !now.Before(e.until) {
		e.inSpell = !e.inSpell
		length := 100 + 900*random.Float64()
		if !e.inSpell {
			length = 5000 * random.ExpFloat64()
		}
		e.until = now.Add(time.Duration(length) * time.Millisecond)
	}
	if e.inSpell {
		return e.level * 2.5
	}
	return e.level
}

// fleetSim is hosts that send prompts to engines through one prompt scheduler.
type fleetSim struct {
	tellsPace bool
	random    *rand.Rand
	now       time.Time
	engines   map[ident.ServerName]*simEngine
	names     []ident.ServerName
	pools     []*Pool
	queue     pacing.Queue
	waiting   []*simAnswer
	// total and inTime count the requests with a short and with a long answer.
	total  [2]int
	inTime [2]int
	nextID pacing.Ticket
}

func newFleetSim(tellsPace bool, seed uint64) *fleetSim {
	return newSizedFleetSim(tellsPace, seed, 8, 12)
}

func newSizedFleetSim(tellsPace bool, seed uint64, hosts, engines int) *fleetSim {
	sim := &fleetSim{
		tellsPace: tellsPace,
		random:    rand.New(rand.NewPCG(56, seed)),
		now:       start,
		engines:   make(map[ident.ServerName]*simEngine),
	}
	for i := range engines {
		name := ident.ServerName(fmt.Sprint("e", i))
		sim.names = append(sim.names, name)
		sim.engines[name] = &simEngine{
			level:   []float64{0.6, 1, 1.6}[i%3],
			inSpell: true,
		}
	}
	for range hosts {
		sim.pools = append(sim.pools, newPool(sim.infos()...))
	}
	return sim
}

// infos describes the engines as the leader reports them.
func (f *fleetSim) infos() []ServerInfo {
	var infos []ServerInfo
	for _, name := range f.names {
		info := engine(name, "n1", "north")
		info.Slots = simSlots
		info.Running = len(f.engines[name].answers)
		if f.tellsPace && f.engines[name].IsKnown(f.now) {
			info.Pace = pace.Reading(f.engines[name].Estimate(f.now).Level)
		}
		infos = append(infos, info)
	}
	return infos
}

// arrive sends a prompt of some 1,100 tokens, or a third of that for a short answer.
func (f *fleetSim) arrive() {
	f.nextID++
	answer := &simAnswer{
		host:      f.random.IntN(len(f.pools)),
		booked:    f.nextID,
		arrivedAt: f.now,
		deadline:  f.now.Add(6 * time.Second),
	}
	tokens, output := unit.Tokens(800+f.random.IntN(600)), unit.Tokens(172)
	if f.random.IntN(3) == 0 {
		tokens, output = tokens/3, 68
	}
	answer.isLong = output > 68
	f.total[indexOf(answer.isLong)]++
	answer.prefill = time.Duration(tokens) * 52 * time.Microsecond
	answer.decode = time.Duration(output) * 12 * time.Millisecond
	criteria := f.criteria(answer, tokens, output)
	candidates, verdict := f.pools[answer.host].Candidates(f.now, criteria)
	if verdict != Found {
		return
	}
	reservation, waiter := f.queue.Reserve(f.now, &pacing.Prompt{
		Candidates: candidates,
		Ticket:     answer.booked,
		Objective:  f.now.Add(simObjective),
		AbandonAt:  f.now.Add(1300 * time.Millisecond),
		MayWait:    true,
	})
	switch {
	case reservation.Booked:
		f.send(answer, criteria, reservation)
	case waiter != nil:
		answer.waiter = waiter
		answer.criteria = criteria
		f.waiting = append(f.waiting, answer)
	}
}

func indexOf(isLong bool) int {
	if isLong {
		return 1
	}
	return 0
}

func (f *fleetSim) criteria(answer *simAnswer, tokens, output unit.Tokens) Criteria {
	return Criteria{
		Weights:  weights,
		Prompt:   tokens,
		Output:   output,
		Deadline: answer.deadline,
		EventGap: simEventGap,
		Random:   f.random.Uint64(),
		Parts: []request.PromptPart{{
			ID:     f.random.Uint64(),
			Tokens: tokens,
		}},
	}
}

func (f *fleetSim) send(answer *simAnswer, criteria Criteria, reservation pacing.Reservation) {
	answer.ticket = f.pools[answer.host].TakeReserved(f.now, criteria, reservation)
	if answer.ticket == nil {
		f.queue.Release(f.now, reservation.Server, answer.booked)
		return
	}
	answer.sendAt = reservation.SendAt
	e := f.engines[reservation.Server]
	e.answers = append(e.answers, answer)
}

// step lets the engines work for one tick.
func (f *fleetSim) step() {
	f.now = f.now.Add(simTick)
	f.queue.GrantFree(f.now)
	f.waiting = slices.DeleteFunc(f.waiting, func(answer *simAnswer) bool {
		select {
		case reservation := <-answer.waiter.Granted:
			f.send(answer, answer.criteria, reservation)
			return true
		default:
		}
		if f.now.Sub(answer.arrivedAt) <= 1300*time.Millisecond {
			return false
		}
		f.queue.Remove(answer.waiter)
		return true
	})
	for _, name := range f.names {
		f.work(name, f.engines[name])
	}
}

// work lets an engine read the first prompt, or all running answers go on.
func (f *fleetSim) work(name ident.ServerName, e *simEngine) {
	current := e.paceNow(f.now, f.random)
	progress := time.Duration(float64(simTick) / current)
	var reads *simAnswer
	for i, answer := range e.answers {
		if i < simSlots && !answer.started && !f.now.Before(answer.sendAt) {
			reads = answer
			break
		}
	}
	if reads != nil {
		if reads.prefill -= progress; reads.prefill <= 0 {
			f.begin(e, reads, current)
		}
	}
	remaining := e.answers[:0]
	for _, answer := range e.answers {
		switch {
		case !answer.started:
		case reads != nil:
			answer.stalled += simTick
			answer.isLate = answer.isLate || answer.stalled+time.Duration(48*current)*time.Millisecond > simEventGap
		default:
			answer.stalled = 0
			answer.decode -= progress
		}
		if answer.started && answer.decode <= 0 || f.now.After(answer.deadline) {
			f.end(name, answer)
			continue
		}
		remaining = append(remaining, answer)
	}
	e.answers = remaining
}

func (f *fleetSim) begin(e *simEngine, answer *simAnswer, current float64) {
	answer.started = true
	answer.isLate = f.now.Sub(answer.arrivedAt) > simObjective
	load := Load{
		Running: len(e.answers),
	}
	if f.tellsPace {
		load.Pace = pace.NewReading(current)
		e.Record(f.now, load.Pace)
	}
	answer.ticket.UpdateLoad(f.now, load)
	answer.ticket.RecordFirstByte(f.now)
}

func (f *fleetSim) end(name ident.ServerName, answer *simAnswer) {
	result := Silent
	if answer.decode <= 0 {
		result = Answered
		if !answer.isLate {
			f.inTime[indexOf(answer.isLong)]++
		}
	}
	f.pools[answer.host].RecordStream(answer.isLate)
	answer.ticket.Done(f.now, result)
	f.queue.Release(f.now, name, answer.booked)
}

// shareInTime plays a load of prompts a second for three seeds, and returns which share of them
// callers get in time.
func shareInTime(tellsPace bool, perSecond float64, ticks int) float64 {
	inTime, total := 0, 0
	for seed := range uint64(3) {
		sim := newFleetSim(tellsPace, seed)
		for tick := range ticks {
			if tick%100 == 0 {
				for _, pool := range sim.pools {
					pool.UpdateServers(sim.infos(), nil) // a second old at most
				}
			}
			if sim.random.Float64() < perSecond*simTick.Seconds() {
				sim.arrive()
			}
			sim.step()
		}
		inTime += sim.inTime[0] + sim.inTime[1]
		total += sim.total[0] + sim.total[1]
	}
	return float64(inTime) / float64(total)
}

// Load: prompts at a fifth, at a third and at two thirds of what twelve engines can do, at levels of
// 0.6, 1 and 1.6 with spells of 0.1 to 1 s at 2.5 times the level.
func TestMoreCallersAreInTimeWithPace(t *testing.T) {
	for _, perSecond := range []float64{15, 30, 60} {
		without, with := shareInTime(false, perSecond, 4000), shareInTime(true, perSecond, 4000)
		t.Logf("%v a second: in time %.3f without pace, %.3f with it", perSecond, without, with)
		require.Greater(t, with, without)
	}
}

// Load: as many prompts as the engines can do, and more. Every slot is taken then, whatever is known
// of paces.
func TestOverloadIsServedWithPace(t *testing.T) {
	for _, perSecond := range []float64{75, 90} {
		without, with := shareInTime(false, perSecond, 1500), shareInTime(true, perSecond, 1500)
		t.Logf("%v a second: in time %.3f without pace, %.3f with it", perSecond, without, with)
		require.Greater(t, with, without-0.03)
	}
}
