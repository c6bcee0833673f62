package pacing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// accountLoad is what one account's callers ask for.
type accountLoad struct {
	account ident.AccountName
	weight  float64
	// rate is in prompts a second, hotRate that between hotFrom and hotUntil.
	rate     float64
	hotRate  float64
	priority int
	// repeats is how often a refused caller comes back, and repeatDelay after what time; 0 is
	// the time that it is told.
	repeats     int
	repeatDelay time.Duration
	// aim is the objective, worth what an answer in time is worth; 0 stands for testAim and for 1.
	aim   time.Duration
	worth float64
	// hotTime is for how long hotRate lasts; 0 stands for the time until hotUntil.
	hotTime time.Duration
	// clump is how many callers arrive together; 0 stands for one.
	clump int
}

// objective is the time within which an answer to a caller is in time.
func (l *accountLoad) objective() time.Duration {
	return cmp.Or(l.aim, testAim)
}

// rateAt is the rate at a time since the start.
func (l *accountLoad) rateAt(now time.Duration) float64 {
	if l.hotRate > 0 && now >= hotFrom && now < hotFrom+cmp.Or(l.hotTime, hotUntil-hotFrom) {
		return l.hotRate
	}
	return l.rate
}

const (
	hotFrom  = 5 * time.Second
	hotUntil = 20 * time.Second
	loadEnds = 25 * time.Second
	// drainTime is until when the last callers, who repeat, have been answered or refused.
	drainTime  = 40 * time.Second
	testAim    = 800 * time.Millisecond
	testAnswer = 1500 * time.Millisecond
	// lateWorth is what a late answer is worth.
	lateWorth = 0.1
	// askInterval is how often a host asks again for a prompt that waits.
	askInterval = 400 * time.Millisecond
)

// accountCaller is one request of an account's caller.
type accountCaller struct {
	load     *accountLoad
	arrived  time.Time
	asksAt   time.Time
	attempt  time.Time
	repeats  int
	ticket   Ticket
	waiter   *Waiter
	server   ident.ServerName
	startsAt time.Time
	refused  int
	// refusedFree is set if it was refused while a slot was free, and hasExpired if it had waited
	// for as long as it may when it was refused.
	refusedFree bool
	hasExpired  bool
}

// sharedEngines is a simulated scheduler with some engines of 8 slots.
type sharedEngines struct {
	queue     Queue
	names     []ident.ServerName
	ends      answerEnds
	hidesName bool
	callers   []*accountCaller
	// active are the callers that wait or have a slot.
	active []*accountCaller
	// waitedFree is set if a prompt waited after a pass that left an engine free for it.
	waitedFree bool
	// lostAt is when the scheduler is lost with all that it knows; zero for never. Its successor
	// learns of the engines' loads by reports.
	lostAt time.Time
	isLost bool
}

const sharedSlots = 8

func newSharedEngines(count int) *sharedEngines {
	s := &sharedEngines{
		ends: make(answerEnds),
	}
	for i := range count {
		s.names = append(s.names, ident.ServerName(fmt.Sprintf("e%d", i)))
	}
	return s
}

// arrivals draws the callers of all loads in the order of arrival.
func arrivals(loads []accountLoad, seed uint64) []*accountCaller {
	var all []*accountCaller
	for i := range loads {
		load := &loads[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for now := time.Duration(0); ; {
			now += time.Duration(random.ExpFloat64() * float64(max(load.clump, 1)) / load.rateAt(now) * float64(time.Second))
			if now > loadEnds {
				break
			}
			for range max(load.clump, 1) {
				all = append(all, &accountCaller{
					load:    load,
					arrived: start.Add(now),
					asksAt:  start.Add(now),
					attempt: start.Add(now),
				})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *accountCaller) int { return a.arrived.Compare(b.arrived) })
	for i, c := range all {
		c.ticket = Ticket(i + 1)
	}
	return all
}

// run plays all callers to their end.
func (s *sharedEngines) run(callers []*accountCaller) {
	s.callers = callers
	arrived := 0
	for now := start; now.Before(start.Add(loadEnds + drainTime)); now = now.Add(10 * time.Millisecond) {
		for ; arrived < len(callers) && !callers[arrived].arrived.After(now); arrived++ {
			s.active = append(s.active, callers[arrived])
		}
		s.release(now)
		s.replaceScheduler(now)
		for _, c := range s.active {
			s.step(now, c)
		}
		s.queue.GrantFree(now)
		s.checkFree(now)
		for _, c := range s.active {
			if c.waiter != nil && isGranted(c.waiter) {
				s.send(c, <-c.waiter.Granted)
				c.waiter = nil
			}
		}
		s.active = slices.DeleteFunc(s.active, func(c *accountCaller) bool { return c.server == "" && c.asksAt.IsZero() })
	}
}

// reportInterval is the time between two reports of the engines' loads to a scheduler.
const reportInterval = time.Second

// replaceScheduler loses the scheduler at its time. Hosts ask the next one for the prompts that
// wait when they would have asked again.
func (s *sharedEngines) replaceScheduler(now time.Time) {
	if s.lostAt.IsZero() || now.Before(s.lostAt) {
		return
	}
	if !s.isLost {
		s.isLost = true
		s.queue = Queue{}
		for _, c := range s.active {
			c.waiter = nil
		}
	}
	if now.Sub(s.lostAt)%reportInterval != reportInterval/2 {
		return
	}
	var loads []ServerLoad
	for _, name := range s.names {
		loads = append(loads, ServerLoad{
			Server:  name,
			Prompts: s.ends.countRunning(name, now),
		})
	}
	s.queue.UpdateLoads(now, loads)
}

// checkFree checks that no prompt waits that an engine could start now.
func (s *sharedEngines) checkFree(now time.Time) {
	for _, w := range s.queue.waiting {
		if _, found := s.queue.findFree(now, w.prompt); found {
			s.waitedFree = true
		}
	}
}

// release frees the slots of answers that are complete.
func (s *sharedEngines) release(now time.Time) {
	for _, c := range s.active {
		if c.server != "" && !now.Before(c.startsAt.Add(testAnswer)) {
			s.queue.Release(now, c.server, c.ticket)
			c.server = ""
		}
	}
}

func (s *sharedEngines) step(now time.Time, c *accountCaller) {
	switch {
	case c.asksAt.IsZero() || now.Before(c.asksAt):
	case c.waiter != nil && isGranted(c.waiter):
	default:
		if c.waiter != nil {
			s.queue.Remove(c.waiter)
			c.waiter = nil
		}
		s.ask(now, c)
	}
}

func (s *sharedEngines) ask(now time.Time, c *accountCaller) {
	prompt := s.newPrompt(c)
	reservation, waiter := s.queue.Reserve(now, prompt)
	c.asksAt = now.Add(askInterval)
	switch {
	case reservation.Booked:
		s.send(c, reservation)
	case reservation.QueueFull:
		s.refuse(now, c, reservation.StartDelay)
	default:
		c.waiter = waiter
	}
}

func (s *sharedEngines) refuse(now time.Time, c *accountCaller, wait time.Duration) {
	c.asksAt = time.Time{}
	c.refused++
	c.refusedFree = c.refusedFree || s.inUse(now) < len(s.names)*sharedSlots
	c.hasExpired = c.hasExpired || now.Sub(c.attempt) >= QueueTimeout(testAim, 0)
	if c.repeats >= c.load.repeats {
		return
	}
	c.repeats++
	if c.load.repeatDelay > 0 {
		wait = c.load.repeatDelay
	}
	c.asksAt = now.Add(max(wait, time.Millisecond))
	c.attempt = c.asksAt
}

func (s *sharedEngines) send(c *accountCaller, reservation Reservation) {
	c.asksAt = time.Time{}
	c.server = reservation.Server
	c.startsAt = s.ends.startTime(reservation.Server, reservation.SendAt, sharedSlots)
	s.ends.addAnswer(reservation.Server, c.startsAt.Add(testAnswer))
}

func (s *sharedEngines) inUse(now time.Time) int {
	count := 0
	for _, name := range s.names {
		count += s.queue.usageOf(name).inUse(now)
	}
	return count
}

func (s *sharedEngines) newPrompt(c *accountCaller) *Prompt {
	candidates := equalCandidates(15*time.Millisecond, s.names...)
	for i := range candidates {
		candidates[i].Slots = sharedSlots
	}
	prompt := &Prompt{
		Candidates: candidates,
		Ticket:     c.ticket,
		Objective:  c.arrived.Add(c.load.objective()),
		AbandonAt:  c.attempt.Add(QueueTimeout(c.load.objective(), 0)),
		Priority:   c.load.priority,
		MayWait:    true,
	}
	if !s.hidesName {
		prompt.Account = c.load.account
		prompt.Weight = c.load.weight
	}
	return prompt
}

// outcomes are what the callers of some accounts got between hotFrom and hotUntil.
type outcomes struct {
	callers int
	inTime  int
	late    int
	refused int
	// worth is the sum of what all answers are worth, possible what it would be if all were in time.
	worth    float64
	possible float64
}

func (o outcomes) inTimeShare() float64 {
	return float64(o.inTime) / float64(max(o.callers, 1))
}

func (o outcomes) String() string {
	return fmt.Sprintf("%d callers, in time %.2f, late %.2f, refusals %.2f", o.callers, o.inTimeShare(), float64(o.late)/float64(max(o.callers, 1)), float64(o.refused)/float64(max(o.callers, 1)))
}

func (s *sharedEngines) outcomes(matches func(*accountLoad) bool) outcomes {
	return s.outcomesIn(hotFrom, hotUntil, matches)
}

func (s *sharedEngines) outcomesIn(from, until time.Duration, matches func(*accountLoad) bool) outcomes {
	var o outcomes
	for _, c := range s.callers {
		if !matches(c.load) || c.arrived.Before(start.Add(from)) || !c.arrived.Before(start.Add(until)) {
			continue
		}
		o.callers++
		o.possible += cmp.Or(c.load.worth, 1)
		o.refused += c.refused
		switch {
		case c.startsAt.IsZero():
		case c.startsAt.Sub(c.arrived) <= c.load.objective():
			o.inTime++
			o.worth += cmp.Or(c.load.worth, 1)
		default:
			o.late++
			o.worth += lateWorth
		}
	}
	return o
}

func isHotAccount(load *accountLoad) bool   { return load.account == "hot" }
func isOtherAccount(load *accountLoad) bool { return load.account != "hot" }

// usualLoads are eight accounts that together ask four engines for 0.85 of what they can answer,
// the first of them, named hot, for some time for more.
func usualLoads(factor float64) []accountLoad {
	const rate = 0.85 * 4 * sharedSlots / 1.5 / 8
	loads := []accountLoad{{
		account: "hot",
		rate:    rate,
		hotRate: factor * rate,
		repeats: 1,
	}}
	for i := range 7 {
		loads = append(loads, accountLoad{
			account: ident.AccountName(fmt.Sprintf("a%d", i)),
			rate:    rate,
			repeats: 1,
		})
	}
	return loads
}

// play plays loads with and without the accounts' names.
func play(t *testing.T, engines int, loads []accountLoad) (*sharedEngines, *sharedEngines) {
	fair, unfair := newSharedEngines(engines), newSharedEngines(engines)
	unfair.hidesName = true
	fair.run(arrivals(loads, 1))
	unfair.run(arrivals(loads, 1))
	for _, c := range fair.callers {
		require.False(t, c.refusedFree, "refused while a slot was free")
	}
	return fair, unfair
}
