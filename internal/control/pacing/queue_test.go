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

// newPrompt returns a prompt that waits for up to a second and has 0.4 s for its first event.
func newPrompt(now time.Time, ticket Ticket, names ...ident.ServerName) *Prompt {
	candidates := equalCandidates(10*time.Millisecond, names...)
	for i := range candidates {
		candidates[i].Slots = 2
	}
	return &Prompt{
		Candidates: candidates,
		Ticket:     ticket,
		Objective:  now.Add(400 * time.Millisecond),
		AbandonAt:  now.Add(time.Second),
		MayWait:    true,
	}
}

// fillSlots takes all slots of an engine, and sends the extra prompts that may wait for one.
func fillSlots(t *testing.T, q *Queue, now time.Time, name ident.ServerName) time.Time {
	for i := range maxInFlight(2) {
		reservation, waiter := q.Reserve(now, newPrompt(now, Ticket(1000+i), name))
		require.Nil(t, waiter)
		require.True(t, reservation.Booked)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

func isGranted(w *Waiter) bool {
	return len(w.Granted) > 0
}

// If 40 prompts have been sent to one engine and wait for its slots, they can't use another
// engine that has just loaded their model and is idle. A prompt that waits at the scheduler has
// to go to whichever engine is free, as soon as its host asks with that candidate.
func TestPromptGoesToFreeEngine(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "full")
	_, waiter := q.Reserve(now, newPrompt(now, 1, "full"))
	require.NotNil(t, waiter)
	q.GrantFree(now.Add(50 * time.Millisecond))
	require.False(t, isGranted(waiter))
	q.Remove(waiter)
	reservation, _ := q.Reserve(now.Add(50*time.Millisecond), newPrompt(now, 1, "full", "loaded"))
	require.True(t, reservation.Booked)
	require.Equal(t, ident.ServerName("loaded"), reservation.Server)
}

// A slot becomes free, and the first prompt in the queue can't be in time any more. First come,
// first served would make the next one late too; the prompt that can still be in time goes
// first. A more urgent priority goes before both.
func TestMostUrgentPromptIsGrantedFirst(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "e")
	late := newPrompt(now, 1, "e")
	late.Objective = now
	urgent := newPrompt(now, 3, "e")
	urgent.Priority = -1
	urgent.Objective = now.Add(time.Second)
	var waiters []*Waiter
	for _, submitted := range []*Prompt{late, newPrompt(now, 2, "e"), urgent} {
		_, waiter := q.Reserve(now, submitted)
		require.NotNil(t, waiter)
		waiters = append(waiters, waiter)
	}
	ended := []Ticket{1000, 1001, urgent.Ticket}
	for i, expected := range []int{2, 1, 0} {
		now = now.Add(50 * time.Millisecond)
		q.Release(now, "e", ended[i])
		require.True(t, isGranted(waiters[expected]), "after %d", i)
	}
}

// A newcomer finds a free slot that has not been granted yet to the prompt that waits for it.
// It must not take that slot.
func TestNewcomerDoesNotOvertakeWaiter(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "e")
	_, waiter := q.Reserve(now, newPrompt(now, 1, "e"))
	require.NotNil(t, waiter)
	later := now.Add(100 * time.Millisecond)
	q.usage["e"].end(later, 1000)
	reservation, second := q.Reserve(later, newPrompt(later, 2, "e"))
	require.False(t, reservation.Booked)
	require.NotNil(t, second)
	q.GrantFree(later)
	require.True(t, isGranted(waiter))
	require.False(t, isGranted(second))
}

// A host crashes after it has sent prompts to an engine, and never reports that they have
// ended. The engine reports that nothing runs there: its slots must not stay taken.
func TestSlotsOfLostHostAreFreed(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "e")
	_, waiter := q.Reserve(now, newPrompt(now, 1, "e"))
	require.NotNil(t, waiter)
	now = now.Add(maxReportAge)
	q.UpdateLoads(now, []ServerLoad{{Server: "e", Prompts: 0}})
	require.True(t, isGranted(waiter))
}

// In a fleet of 240 engines load reports come by way of the leader and a watcher, and are two
// seconds old. A report from before the prompts that run there must not free their slots:
// others would be sent there, and wait for seconds behind them.
func TestStaleLoadReportFreesNoSlots(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "e").Add(2 * time.Second)
	q.UpdateLoads(now, []ServerLoad{{Server: "e", Prompts: 0}})
	reservation, waiter := q.Reserve(now, newPrompt(now, 1, "e"))
	require.False(t, reservation.Booked)
	require.NotNil(t, waiter)
}

// A scheduler has just started and has counted nothing, but the engine is full of prompts that
// an earlier scheduler has sent. The new one uses the load that the engine reports.
func TestNewSchedulerUsesReportedLoad(t *testing.T) {
	var q Queue
	q.UpdateLoads(start, []ServerLoad{{Server: "e", Prompts: maxInFlight(2)}})
	_, waiter := q.Reserve(start, newPrompt(start, 1, "e"))
	require.NotNil(t, waiter)
	now := start.Add(reportValidity + time.Second)
	q.GrantFree(now)
	require.True(t, isGranted(waiter), "a report that is old changes nothing")
}

// So many prompts wait before a new one that it would be abandoned before its turn. It is
// refused at once, with the expected wait, and not after it has waited in vain.
func TestPromptThatWouldTimeOutIsRefusedAtOnce(t *testing.T) {
	var q Queue
	now := fillSlots(t, &q, start, "e")
	for ticket := Ticket(1); ; ticket++ {
		reservation, waiter := q.Reserve(now, newPrompt(now, ticket, "e"))
		if waiter != nil {
			require.Less(t, ticket, Ticket(10))
			continue
		}
		require.True(t, reservation.QueueFull)
		require.Greater(t, reservation.StartDelay, time.Second)
		break
	}
}

// caller is one prompt of a simulated workload, and what becomes of it.
type caller struct {
	arrived time.Time
	// submitsAt is when it submits its prompt next: a caller that is refused retries once.
	submitsAt  time.Time
	hasRetried bool
	waiter     *Waiter
	// startsAt is when an engine starts its prompt, zero if none ever does.
	startsAt time.Time
	sentAt   time.Time
	server   ident.ServerName
}

// answerEnds has, for each engine, the instants at which its answers end, in order.
type answerEnds map[ident.ServerName][]time.Time

// startTime returns when an engine with a number of slots starts a prompt that is sent to it at
// an instant.
func (ends answerEnds) startTime(server ident.ServerName, at time.Time, slots int) time.Time {
	if running := ends[server]; len(running) >= slots && running[len(running)-slots].After(at) {
		return running[len(running)-slots]
	}
	return at
}

func (ends answerEnds) addAnswer(server ident.ServerName, until time.Time) {
	ends[server] = append(ends[server], until)
	slices.SortFunc(ends[server], time.Time.Compare)
}

// countRunning returns how many answers run or wait at an engine.
func (ends answerEnds) countRunning(server ident.ServerName, now time.Time) int {
	count := 0
	for _, until := range ends[server] {
		if until.After(now) {
			count++
		}
	}
	return count
}

// workload is a model that is asked for more than its engines have slots for.
type workload struct {
	engines    []ident.ServerName
	slots      int
	answerTime time.Duration
	interval   time.Duration
	callers    int
	// After the other callers come calmCallers more, one every calmInterval.
	calmInterval time.Duration
	calmCallers  int
	// schedulers is the number of queues that the callers are divided among; 0 stands for one.
	schedulers int
}

// retryDelay is the time after which a refused caller retries.
const retryDelay = 1500 * time.Millisecond

// For 20 s, half more is asked for than four engines have slots for; a first event is in time
// after 0.4 s, and callers leave after 2 s. Served in the order of arrival at the engines that
// PrefillBacklogs chooses, hardly any prompt is in time. The queue serves in time at least half
// of what the slots allow.
func TestOverloadedQueueServesInTime(t *testing.T) {
	simulated := workload{
		engines:    []ident.ServerName{"a", "b", "c", "d"},
		slots:      8,
		answerTime: 1500 * time.Millisecond,
		interval:   31 * time.Millisecond,
		callers:    640,
	}
	const objective, callerTimeout = 400 * time.Millisecond, 2 * time.Second
	firstComeFirstServed := shareInTime(simulated.runFirstComeFirstServed(callerTimeout), objective)
	queued := shareInTime(simulated.runQueued(objective, callerTimeout, callerTimeout-500*time.Millisecond), objective)
	t.Logf("in time: %.2f first come first served, %.2f from the queue", firstComeFirstServed, queued)
	const capacity = 1 / 1.5
	require.Greater(t, queued, capacity/2)
	require.Greater(t, queued, 2*firstComeFirstServed)
}

// Engines are lost, and for 8 s a third more is asked for than the others have slots for; then
// there is room again. Callers stay for 4.8 s, and retry once if they are refused. If they are
// refused after little more than their objective, they retry into the same overload, and 7 in
// 100 are never served. With the longer queue timeout 2 in 100 are not, and more are in time.
func TestLongQueueTimeoutServesMoreAfterOverload(t *testing.T) {
	simulated := workload{
		engines:      []ident.ServerName{"a", "b", "c", "d"},
		slots:        8,
		answerTime:   1500 * time.Millisecond,
		interval:     35 * time.Millisecond,
		callers:      228,
		calmInterval: 70 * time.Millisecond,
		calmCallers:  60,
	}
	const objective, callerTimeout = 1200 * time.Millisecond, 4800 * time.Millisecond
	shortWait := simulated.runQueued(objective, callerTimeout, objective+100*time.Millisecond)
	longWait := simulated.runQueued(objective, callerTimeout, QueueTimeout(objective, 1))
	const anyTime = 3 * callerTimeout
	t.Logf("served: %.3f and %.3f; in time: %.3f and %.3f", shareInTime(shortWait, anyTime), shareInTime(longWait, anyTime), shareInTime(shortWait, objective), shareInTime(longWait, objective))
	require.Less(t, 2*(1-shareInTime(longWait, anyTime)), 1-shareInTime(shortWait, anyTime))
	require.GreaterOrEqual(t, shareInTime(longWait, objective), shareInTime(shortWait, objective)-0.02)
}

// Four engines hold the models of three groups, and for some seconds a tenth more is asked for
// than they have slots for. With a scheduler per group, each sends prompts to slots that look
// free until the engines report their load, and prompts wait at engines behind what is more
// urgent, or evict running answers. A region of some hundred hosts has to have one scheduler.
func TestSingleSchedulerCountsAllSlots(t *testing.T) {
	simulated := workload{
		engines:    []ident.ServerName{"a", "b", "c", "d"},
		slots:      12,
		answerTime: 2 * time.Second,
		interval:   38 * time.Millisecond,
		callers:    300,
	}
	const objective, callerTimeout = 1200 * time.Millisecond, 4800 * time.Millisecond
	delayedShare := func(schedulers int) float64 {
		simulated.schedulers = schedulers
		delayed := 0
		callers := simulated.runQueued(objective, callerTimeout, QueueTimeout(objective, 1))
		for _, c := range callers {
			if c.startsAt.Sub(c.sentAt) > 200*time.Millisecond {
				delayed++
			}
		}
		return float64(delayed) / float64(len(callers))
	}
	three, one := delayedShare(3), delayedShare(1)
	t.Logf("waited at an engine: %.2f with three schedulers, %.2f with one", three, one)
	require.Greater(t, three, 0.1, "the load has to reproduce the delay")
	require.Zero(t, one)
	hosts := make([]Host, 295)
	for i := range hosts {
		hosts[i] = Host{
			Name:   ident.HostID("h" + strconv.Itoa(i)),
			Region: ident.Region("r" + strconv.Itoa(i%2)),
		}
	}
	require.Len(t, PrimarySchedulers(hosts), 2, "one in each region")
}

// shareInTime returns the fraction of callers whose prompt starts within the objective.
func shareInTime(callers []*caller, objective time.Duration) float64 {
	inTime := 0
	for _, c := range callers {
		if !c.startsAt.IsZero() && c.startsAt.Sub(c.arrived) <= objective {
			inTime++
		}
	}
	return float64(inTime) / float64(len(callers))
}

func (w *workload) newCallers() []*caller {
	random := rand.New(rand.NewPCG(11, 12))
	now := start
	callers := make([]*caller, w.callers+w.calmCallers)
	interval := w.interval
	for i := range callers {
		if i >= w.callers {
			interval = w.calmInterval
		}
		now = now.Add(time.Duration(random.ExpFloat64() * float64(interval)))
		callers[i] = &caller{
			arrived:   now,
			submitsAt: now,
		}
	}
	return callers
}

func (w *workload) newPrompt(now time.Time, ticket Ticket, objective, queueTimeout time.Duration) *Prompt {
	candidates := equalCandidates(15*time.Millisecond, w.engines...)
	for i := range candidates {
		candidates[i].Slots = w.slots
	}
	return &Prompt{
		Candidates: candidates,
		Ticket:     ticket,
		Objective:  now.Add(objective),
		AbandonAt:  now.Add(queueTimeout),
		MayWait:    true,
	}
}

// runFirstComeFirstServed sends each prompt at once to the engine with the smallest backlog.
func (w *workload) runFirstComeFirstServed(callerTimeout time.Duration) []*caller {
	var backlogs PrefillBacklogs
	engines := make(answerEnds)
	callers := w.newCallers()
	for i, c := range callers {
		reservation := backlogs.Reserve(c.arrived, w.newPrompt(c.arrived, Ticket(i), 0, callerTimeout))
		startsAt := engines.startTime(reservation.Server, reservation.SendAt, w.slots)
		if startsAt.Sub(c.arrived) <= callerTimeout {
			c.startsAt = startsAt
			engines.addAnswer(reservation.Server, startsAt.Add(w.answerTime))
		}
	}
	return callers
}

// runQueued queues the prompts at their scheduler, each for queueTimeout at most.
func (w *workload) runQueued(objective, callerTimeout, queueTimeout time.Duration) []*caller {
	queues := make([]Queue, max(w.schedulers, 1))
	engines := make(answerEnds)
	callers := w.newCallers()
	endsAt := callers[len(callers)-1].arrived.Add(2*callerTimeout + retryDelay)
	reportedAt := start
	for now := start; now.Before(endsAt); now = now.Add(10 * time.Millisecond) {
		if now.Sub(reportedAt) >= time.Second {
			reportedAt = now
			for i := range queues {
				queues[i].UpdateLoads(now, engines.loads(now))
			}
		}
		w.releaseEnded(queues, callers, now)
		for i, c := range callers {
			if isDue := !c.submitsAt.IsZero() && !c.submitsAt.After(now); isDue {
				w.submit(&queues[i%len(queues)], engines, c, now, w.newPrompt(c.submitsAt, Ticket(i), objective, queueTimeout))
			}
		}
		for i := range queues {
			queues[i].GrantFree(now)
		}
		for i, c := range callers {
			w.poll(&queues[i%len(queues)], engines, c, now)
		}
	}
	return callers
}

// loads returns the number of prompts that run or wait at each engine.
func (ends answerEnds) loads(now time.Time) []ServerLoad {
	var loads []ServerLoad
	for server, engineEnds := range ends {
		load := ServerLoad{
			Server: server,
		}
		for _, at := range engineEnds {
			if at.After(now) {
				load.Prompts++
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// submit submits a caller's prompt to the queue. A refused caller retries once.
func (w *workload) submit(q *Queue, engines answerEnds, c *caller, now time.Time, prompt *Prompt) {
	c.submitsAt = time.Time{}
	reservation, waiter := q.Reserve(now, prompt)
	c.waiter = waiter
	switch {
	case reservation.Booked:
		w.send(engines, c, reservation)
	case reservation.QueueFull:
		c.scheduleRetry(now)
	}
}

func (c *caller) scheduleRetry(now time.Time) {
	if !c.hasRetried {
		c.hasRetried = true
		c.submitsAt = now.Add(retryDelay)
	}
}

// poll sends a prompt that the queue has granted, and refuses one that has waited for too long.
func (w *workload) poll(q *Queue, engines answerEnds, c *caller, now time.Time) {
	switch {
	case c.waiter == nil:
	case isGranted(c.waiter):
		w.send(engines, c, <-c.waiter.Granted)
		c.waiter = nil
	case now.After(c.waiter.prompt.AbandonAt):
		q.Remove(c.waiter)
		c.waiter = nil
		c.scheduleRetry(now)
	}
}

func (w *workload) send(engines answerEnds, c *caller, reservation Reservation) {
	c.server = reservation.Server
	c.sentAt = reservation.SendAt
	c.startsAt = engines.startTime(reservation.Server, reservation.SendAt, w.slots)
	engines.addAnswer(reservation.Server, c.startsAt.Add(w.answerTime))
}

// releaseEnded frees the slots of answers that are complete.
func (w *workload) releaseEnded(queues []Queue, callers []*caller, now time.Time) {
	for i, c := range callers {
		if c.server != "" && !c.startsAt.Add(w.answerTime).After(now) {
			queues[i%len(queues)].Release(now, c.server, Ticket(i))
			c.server = ""
		}
	}
}

// BenchmarkReserve measures one prompt that is granted at once and ended, at 850 engines, 24 of
// which have its model, while 400 prompts wait for others.
func BenchmarkReserve(b *testing.B) {
	var q Queue
	var names []ident.ServerName
	for i := range 850 {
		names = append(names, ident.ServerName("e"+string(rune('0'+i%10))+string(rune('0'+i/10%10))+string(rune('0'+i/100))))
	}
	for _, name := range names {
		q.usageOf(name)
	}
	for i := range 400 {
		q.enqueue(&Waiter{
			prompt: newPrompt(start, Ticket(i), names[24+i%800]),
		})
	}
	submitted := newPrompt(start, 0, names[:24]...)
	now := start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		submitted.Ticket = Ticket(i)
		reservation, _ := q.Reserve(now, submitted)
		usage := q.usageOf(cmp.Or(reservation.Server, names[0]))
		usage.end(now, submitted.Ticket)
	}
}

// BenchmarkGrant measures the release of one slot at one of 120 full engines, while 400 prompts
// wait, each for 12 of them: 0.2 ms; 1.7 ms if each waiter counts the slots again.
func BenchmarkGrant(b *testing.B) {
	const slots = 12
	var q Queue
	var names []ident.ServerName
	for i := range 120 {
		names = append(names, ident.ServerName("e"+strconv.Itoa(i)))
		for ticket := range slots {
			q.usageOf(names[i]).start(start, Ticket(slots*i+ticket))
		}
	}
	for i := range 400 {
		waiting := newPrompt(start, Ticket(10000+i), names[i%100:i%100+12]...)
		for j := range waiting.Candidates {
			waiting.Candidates[j].Slots = slots
		}
		q.enqueue(&Waiter{
			Granted: make(chan Reservation, 1),
			prompt:  waiting,
		})
	}
	now := start
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond / 100)
		q.Release(now, names[i%len(names)], Ticket(1<<20+i))
	}
}
