package pacing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// prompt is one that waits for up to a second and has 0.4 s for its first event.
func prompt(now time.Time, ticket Ticket, names ...ident.ServerName) *Prompt {
	candidates := engines(10*time.Millisecond, names...)
	for i := range candidates {
		candidates[i].Places = 2
	}
	return &Prompt{
		Candidates: candidates,
		Ticket:     ticket,
		Objective:  now.Add(400 * time.Millisecond),
		GiveUp:     now.Add(time.Second),
		Holds:      true,
	}
}

// fill takes all places of an engine and what may wait for one.
func fill(t *testing.T, q *Queue, now time.Time, name ident.ServerName) time.Time {
	for i := range most(2) {
		slot, waiter := q.Ask(now, prompt(now, Ticket(1000+i), name))
		require.Nil(t, waiter)
		require.True(t, slot.Booked)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

func granted(w *Waiter) bool {
	return len(w.Granted) > 0
}

// 40 prompts waited for the places of an engine that all of them had been sent to, while
// another was idle that had just loaded their model. What waits at the pacer must go to
// whichever engine is free, as soon as its host asks with it.
func TestAPromptGoesToTheEngineThatIsFree(t *testing.T) {
	var q Queue
	now := fill(t, &q, start, "full")
	_, waiter := q.Ask(now, prompt(now, 1, "full"))
	require.NotNil(t, waiter)
	q.Grant(now.Add(50 * time.Millisecond))
	require.False(t, granted(waiter))
	q.Leave(waiter)
	slot, _ := q.Ask(now.Add(50*time.Millisecond), prompt(now, 1, "full", "loaded"))
	require.True(t, slot.Booked)
	require.Equal(t, ident.ServerName("loaded"), slot.Server)
}

// A place comes free, and the first to have come can't be in time any more. First come,
// first served, everybody would be as late; the one that still can be in time goes first.
// A more urgent kind goes before both.
func TestTheMostUrgentPromptGoesFirst(t *testing.T) {
	var q Queue
	now := fill(t, &q, start, "e")
	late := prompt(now, 1, "e")
	late.Objective = now
	urgent := prompt(now, 3, "e")
	urgent.Priority = -1
	urgent.Objective = now.Add(time.Second)
	var waiters []*Waiter
	for _, one := range []*Prompt{late, prompt(now, 2, "e"), urgent} {
		_, waiter := q.Ask(now, one)
		require.NotNil(t, waiter)
		waiters = append(waiters, waiter)
	}
	ended := []Ticket{1000, 1001, urgent.Ticket}
	for i, next := range []int{2, 1, 0} {
		now = now.Add(50 * time.Millisecond)
		q.Ended(now, "e", ended[i])
		require.True(t, granted(waiters[next]), "after %d", i)
	}
}

// A newcomer finds a place free that one who has waited for it has not been given yet. It
// must not take it before its turn.
func TestNobodyOvertakesWhoIsMoreUrgent(t *testing.T) {
	var q Queue
	now := fill(t, &q, start, "e")
	_, waiter := q.Ask(now, prompt(now, 1, "e"))
	require.NotNil(t, waiter)
	later := now.Add(100 * time.Millisecond)
	q.places["e"].end(later, 1000)
	slot, second := q.Ask(later, prompt(later, 2, "e"))
	require.False(t, slot.Booked)
	require.NotNil(t, second)
	q.Grant(later)
	require.True(t, granted(waiter))
	require.False(t, granted(second))
}

// A host dies with all that it had sent to an engine, and never says that it has ended.
// The engine says that nothing runs there: its places must not stay taken.
func TestPlacesOfALostHostComeFree(t *testing.T) {
	var q Queue
	now := fill(t, &q, start, "e")
	_, waiter := q.Ask(now, prompt(now, 1, "e"))
	require.NotNil(t, waiter)
	now = now.Add(loadLag)
	q.Heard(now, []Load{{Server: "e", Load: 0}})
	require.True(t, granted(waiter))
}

// In a fleet of 240 engines their words come by way of the holder and a reader, and are
// two seconds old. One from before the prompts that run there must not free their places:
// others would be sent there, and wait for seconds behind them.
func TestAnOldWordFreesNoPlaces(t *testing.T) {
	var q Queue
	now := fill(t, &q, start, "e").Add(2 * time.Second)
	q.Heard(now, []Load{{Server: "e", Load: 0}})
	slot, waiter := q.Ask(now, prompt(now, 1, "e"))
	require.False(t, slot.Booked)
	require.NotNil(t, waiter)
}

// A pacer has just begun and counts nothing, but the engine is full of what an earlier
// one had sent there. It goes by the engine's word.
func TestANewPacerGoesByTheEnginesWord(t *testing.T) {
	var q Queue
	q.Heard(start, []Load{{Server: "e", Load: most(2)}})
	_, waiter := q.Ask(start, prompt(start, 1, "e"))
	require.NotNil(t, waiter)
	now := start.Add(loadTrust + time.Second)
	q.Grant(now)
	require.True(t, granted(waiter), "a word that is old says nothing")
}

// So many wait before a prompt that its caller will have left when its turn comes. It is
// refused at once, with how long that lasts, and not when it has waited in vain.
func TestWhoWouldWaitInVainIsRefusedAtOnce(t *testing.T) {
	var q Queue
	now := fill(t, &q, start, "e")
	for ticket := Ticket(1); ; ticket++ {
		slot, waiter := q.Ask(now, prompt(now, ticket, "e"))
		if waiter != nil {
			require.Less(t, ticket, Ticket(10))
			continue
		}
		require.True(t, slot.Full)
		require.Greater(t, slot.Ahead, time.Second)
		break
	}
}

// caller is one prompt of a played load, and what became of it.
type caller struct {
	arrived time.Time
	// asks is when it asks next: a caller that is refused comes back once.
	asks     time.Time
	cameBack bool
	waiter   *Waiter
	// begins is when an engine begins to read its prompt, zero where none ever does.
	begins time.Time
	sent   time.Time
	server ident.ServerName
}

// fleet has, for each engine, when its answers end, in order.
type fleet map[ident.ServerName][]time.Time

// begin gives when an engine with so many places begins a prompt that is sent to it at an
// instant.
func (f fleet) begin(server ident.ServerName, at time.Time, places int) time.Time {
	if running := f[server]; len(running) >= places && running[len(running)-places].After(at) {
		return running[len(running)-places]
	}
	return at
}

func (f fleet) run(server ident.ServerName, until time.Time) {
	f[server] = append(f[server], until)
	slices.SortFunc(f[server], time.Time.Compare)
}

// load is a model that is asked for more than its engines have places for.
type load struct {
	engines []ident.ServerName
	places  int
	answer  time.Duration
	every   time.Duration
	callers int
	// calming callers come after them, one every calm.
	calm    time.Duration
	calming int
	// pacers is how many queues the callers are dealt out to; 0 stands for one.
	pacers int
}

// comeBack is when a caller that is refused asks again.
const comeBack = 1500 * time.Millisecond

// Half more is asked for than four engines have places for, for 20 s; a first event is in
// time after 0.4 s, and callers leave after 2 s. Worked off in the order of arrival at
// the engines that the clocks of reading choose, hardly anybody is in time. From the
// queue, those who are served are: at least half of what the places allow.
func TestUnderOverloadWhoIsServedIsInTime(t *testing.T) {
	played := load{
		engines: []ident.ServerName{"a", "b", "c", "d"},
		places:  8,
		answer:  1500 * time.Millisecond,
		every:   31 * time.Millisecond,
		callers: 640,
	}
	const objective, patience = 400 * time.Millisecond, 2 * time.Second
	first := share(played.firstComeFirstServed(patience), objective)
	queued := share(played.queued(objective, patience, patience-500*time.Millisecond), objective)
	t.Logf("in time: %.2f first come first served, %.2f from the queue", first, queued)
	const capacity = 1 / 1.5
	require.Greater(t, queued, capacity/2)
	require.Greater(t, queued, 2*first)
}

// Engines are lost, and for 8 s a third more is asked for than the others have places for;
// then there is room again. Callers stay for 4.8 s, and come back once where they are
// refused. Refused after little more than their objective, they came back into the same
// crowd, and 7 in 100 were never served. With patience 2 in 100 are not, and more are in
// time.
func TestWhoWaitsIsServedAfterTheCrowd(t *testing.T) {
	played := load{
		engines: []ident.ServerName{"a", "b", "c", "d"},
		places:  8,
		answer:  1500 * time.Millisecond,
		every:   35 * time.Millisecond,
		callers: 228,
		calm:    70 * time.Millisecond,
		calming: 60,
	}
	const objective, stay = 1200 * time.Millisecond, 4800 * time.Millisecond
	hasty := played.queued(objective, stay, objective+100*time.Millisecond)
	patient := played.queued(objective, stay, Patience(objective, 1))
	const ever = 3 * stay
	t.Logf("served: %.3f and %.3f; in time: %.3f and %.3f", share(hasty, ever), share(patient, ever), share(hasty, objective), share(patient, objective))
	require.Less(t, 2*(1-share(patient, ever)), 1-share(hasty, ever))
	require.GreaterOrEqual(t, share(patient, objective), share(hasty, objective)-0.02)
}

// Four engines hold the models of three groups, and for some seconds a tenth more is asked
// for than they have places for. With a pacer for each group, each sends what it takes for
// free until the engines' words come, and prompts wait at engines behind what is more
// urgent, or push running answers out. A region of some hundred hosts has to have one.
func TestOnePacerCountsAllPlaces(t *testing.T) {
	played := load{
		engines: []ident.ServerName{"a", "b", "c", "d"},
		places:  12,
		answer:  2 * time.Second,
		every:   38 * time.Millisecond,
		callers: 300,
	}
	const objective, stay = 1200 * time.Millisecond, 4800 * time.Millisecond
	waited := func(pacers int) float64 {
		played.pacers = pacers
		long := 0
		callers := played.queued(objective, stay, Patience(objective, 1))
		for _, c := range callers {
			if c.begins.Sub(c.sent) > 200*time.Millisecond {
				long++
			}
		}
		return float64(long) / float64(len(callers))
	}
	three, one := waited(3), waited(1)
	t.Logf("waited at an engine: %.2f with three pacers, %.2f with one", three, one)
	require.Greater(t, three, 0.1, "the load shows the cause")
	require.Zero(t, one)
	hosts := make([]Host, 295)
	for i := range hosts {
		hosts[i] = Host{
			Name:   ident.HostID("h" + strconv.Itoa(i)),
			Region: ident.Region("r" + strconv.Itoa(i%2)),
		}
	}
	require.Len(t, AllPacers(hosts), 2, "one in each region")
}

// share is the part of callers whose prompt begins in time.
func share(callers []*caller, objective time.Duration) float64 {
	inTime := 0
	for _, c := range callers {
		if !c.begins.IsZero() && c.begins.Sub(c.arrived) <= objective {
			inTime++
		}
	}
	return float64(inTime) / float64(len(callers))
}

func (l *load) arrivals() []*caller {
	random := rand.New(rand.NewPCG(11, 12))
	now := start
	callers := make([]*caller, l.callers+l.calming)
	every := l.every
	for i := range callers {
		if i >= l.callers {
			every = l.calm
		}
		now = now.Add(time.Duration(random.ExpFloat64() * float64(every)))
		callers[i] = &caller{
			arrived: now,
			asks:    now,
		}
	}
	return callers
}

func (l *load) prompt(now time.Time, ticket Ticket, objective, wait time.Duration) *Prompt {
	candidates := engines(15*time.Millisecond, l.engines...)
	for i := range candidates {
		candidates[i].Places = l.places
	}
	return &Prompt{
		Candidates: candidates,
		Ticket:     ticket,
		Objective:  now.Add(objective),
		GiveUp:     now.Add(wait),
		Holds:      true,
	}
}

// firstComeFirstServed sends each prompt at once to the engine that has least to read.
func (l *load) firstComeFirstServed(patience time.Duration) []*caller {
	var clocks Clocks
	engines := make(fleet)
	callers := l.arrivals()
	for i, c := range callers {
		slot := clocks.Reserve(c.arrived, l.prompt(c.arrived, Ticket(i), 0, patience))
		begins := engines.begin(slot.Server, slot.At, l.places)
		if begins.Sub(c.arrived) <= patience {
			c.begins = begins
			engines.run(slot.Server, begins.Add(l.answer))
		}
	}
	return callers
}

// queued has the prompts wait at their pacer, each for so long at most.
func (l *load) queued(objective, patience, wait time.Duration) []*caller {
	queues := make([]Queue, max(l.pacers, 1))
	engines := make(fleet)
	callers := l.arrivals()
	over := callers[len(callers)-1].arrived.Add(2*patience + comeBack)
	told := start
	for now := start; now.Before(over); now = now.Add(10 * time.Millisecond) {
		if now.Sub(told) >= time.Second {
			told = now
			for i := range queues {
				queues[i].Heard(now, engines.loads(now))
			}
		}
		l.end(queues, callers, now)
		for i, c := range callers {
			if asks := !c.asks.IsZero() && !c.asks.After(now); asks {
				l.ask(&queues[i%len(queues)], engines, c, now, l.prompt(c.asks, Ticket(i), objective, wait))
			}
		}
		for i := range queues {
			queues[i].Grant(now)
		}
		for i, c := range callers {
			l.take(&queues[i%len(queues)], engines, c, now)
		}
	}
	return callers
}

// loads gives what runs at the engines, or waits there.
func (f fleet) loads(now time.Time) []Load {
	var loads []Load
	for server, ends := range f {
		load := Load{
			Server: server,
		}
		for _, at := range ends {
			if at.After(now) {
				load.Load++
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// ask has a caller's prompt sent or wait. One that is refused comes back, if it has not yet.
func (l *load) ask(q *Queue, engines fleet, c *caller, now time.Time, prompt *Prompt) {
	c.asks = time.Time{}
	slot, waiter := q.Ask(now, prompt)
	c.waiter = waiter
	switch {
	case slot.Booked:
		l.send(engines, c, slot)
	case slot.Full:
		c.refused(now)
	}
}

func (c *caller) refused(now time.Time) {
	if !c.cameBack {
		c.cameBack = true
		c.asks = now.Add(comeBack)
	}
}

// take sends what the queue has granted, and refuses what has waited for long enough.
func (l *load) take(q *Queue, engines fleet, c *caller, now time.Time) {
	switch {
	case c.waiter == nil:
	case granted(c.waiter):
		l.send(engines, c, <-c.waiter.Granted)
		c.waiter = nil
	case now.After(c.waiter.prompt.GiveUp):
		q.Leave(c.waiter)
		c.waiter = nil
		c.refused(now)
	}
}

func (l *load) send(engines fleet, c *caller, slot Slot) {
	c.server = slot.Server
	c.sent = slot.At
	c.begins = engines.begin(slot.Server, slot.At, l.places)
	engines.run(slot.Server, c.begins.Add(l.answer))
}

// end gives back the places of answers that are complete.
func (l *load) end(queues []Queue, callers []*caller, now time.Time) {
	for i, c := range callers {
		if c.server != "" && !c.begins.Add(l.answer).After(now) {
			queues[i%len(queues)].Ended(now, c.server, Ticket(i))
			c.server = ""
		}
	}
}

// BenchmarkAsk is one prompt that is granted at once and ended, at 850 engines, 24 of
// which have its model, while 400 others wait for others.
func BenchmarkAsk(b *testing.B) {
	var q Queue
	var names []ident.ServerName
	for i := range 850 {
		names = append(names, ident.ServerName("e"+string(rune('0'+i%10))+string(rune('0'+i/10%10))+string(rune('0'+i/100))))
	}
	for _, name := range names {
		q.at(name)
	}
	for i := range 400 {
		q.add(&Waiter{
			prompt: prompt(start, Ticket(i), names[24+i%800]),
		})
	}
	candidates := prompt(start, 0, names[:24]...)
	now := start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		candidates.Ticket = Ticket(i)
		slot, _ := q.Ask(now, candidates)
		p := q.at(cmp.Or(slot.Server, names[0]))
		p.end(now, candidates.Ticket)
	}
}

// BenchmarkGrant is one place that comes free at one of 120 full engines, while 400 prompts
// wait, each for 12 of them: 1.7 ms when each prompt counted the places anew, 0.2 ms now.
func BenchmarkGrant(b *testing.B) {
	const places = 12
	var q Queue
	var names []ident.ServerName
	for i := range 120 {
		names = append(names, ident.ServerName("e"+strconv.Itoa(i)))
		for ticket := range places {
			q.at(names[i]).send(start, Ticket(places*i+ticket))
		}
	}
	for i := range 400 {
		waiting := prompt(start, Ticket(10000+i), names[i%100:i%100+12]...)
		for j := range waiting.Candidates {
			waiting.Candidates[j].Places = places
		}
		q.add(&Waiter{
			Granted: make(chan Slot, 1),
			prompt:  waiting,
		})
	}
	now := start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond / 100)
		q.Ended(now, names[i%len(names)], Ticket(1<<20+i))
	}
}
