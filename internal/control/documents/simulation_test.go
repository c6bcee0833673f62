package documents

import (
	"fmt"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

// serviceWatch is a host's watch on the service's side.
type serviceWatch struct {
	id       WatchID
	position ident.Revision
	isDead   bool // the connection broke silently
}

type simulatedHost struct {
	machine     *Machine
	incarnation int
	watch       serviceWatch
	// served has the versions in force after the previous step.
	served map[ident.TeamName]Version
}

// submission is an operator's edit with its result so far.
type submission struct {
	EditSubmitted
	host        int
	incarnation int
	result      EditResult // nil if there is none yet
	called      int
	returned    int
}

func (s *submission) isFinal() bool {
	_, unknown := s.result.(Unknown)
	return s.result != nil && !unknown
}

type pendingMessage struct {
	host        int
	incarnation int
	isRequest   bool
	deliver     func()
}

// simulation has several hosts, their operators, the key-value service and the network
// between them. pick makes every random choice.
type simulation struct {
	t         require.TestingT
	pick      func(label string, n int) int
	now       time.Time
	stepCount int
	kv        *fakeStore
	hosts     []*simulatedHost
	pending   []pendingMessage
	edits     []*submission
}

func newSimulation(t require.TestingT, hosts int, pick func(string, int) int) *simulation {
	sim := &simulation{
		t:    t,
		pick: pick,
		now:  epoch,
		kv:   newFakeStore(),
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, &simulatedHost{})
		sim.restart(i)
	}
	return sim
}

func (sim *simulation) restart(i int) {
	h := sim.hosts[i]
	*h = simulatedHost{
		incarnation: h.incarnation + 1,
		machine: New(Config{
			Seed: uint64(100*i + h.incarnation),
		}),
		served: make(map[ident.TeamName]Version),
	}
	sim.step(i, CapacityChanged{
		Servers: twoServers,
	})
	sim.step(i, Started{
		ShouldWatch: i%3 != 2, // every third host gets documents from its peers only
	})
}

func (sim *simulation) step(i int, event Event) {
	for _, command := range sim.hosts[i].machine.Step(sim.now, event) {
		sim.execute(i, command)
	}
}

func (sim *simulation) execute(i int, command Command) {
	h := sim.hosts[i]
	incarnation := h.incarnation
	switch command := command.(type) {
	case List:
		sim.request(i, func() { sim.serveList(i, incarnation, command) })
	case Read:
		sim.request(i, func() {
			sim.sendAnswer(i, incarnation, ReadAnswered{
				Call:   command.Call,
				Entry:  sim.kv.entries[command.Key],
				Failed: sim.kv.isDown,
			})
		})
	case Swap:
		sim.request(i, func() { sim.serveSwap(i, incarnation, command) })
	case Watch:
		h.watch = serviceWatch{
			id:       command.Watch,
			position: command.After,
		}
	case StopWatch:
		h.watch = serviceWatch{}
	case AnswerEdit:
		sim.recordResult(i, command)
	case ReportUnreadable:
		require.Fail(sim.t, "complaint", "%v", command.Cause)
	}
}

func (sim *simulation) request(i int, serve func()) {
	sim.pending = append(sim.pending, pendingMessage{
		host:        i,
		incarnation: sim.hosts[i].incarnation,
		isRequest:   true,
		deliver:     serve,
	})
}

func (sim *simulation) sendAnswer(i, incarnation int, event Event) {
	sim.pending = append(sim.pending, pendingMessage{
		host:        i,
		incarnation: incarnation,
		deliver: func() {
			sim.step(i, event)
		},
	})
}

func (sim *simulation) serveList(i, incarnation int, command List) {
	if sim.kv.isDown {
		sim.sendAnswer(i, incarnation, ListFailed{
			Call: command.Call,
		})
		return
	}
	lag := ident.Revision(sim.pick("lag", 4) / 2) // sometimes a lagging replica answers
	sim.sendAnswer(i, incarnation, ListingRead{
		Call:    command.Call,
		Listing: sim.kv.list(max(sim.kv.revision-lag, 0)),
	})
}

func (sim *simulation) serveSwap(i, incarnation int, command Swap) {
	if sim.kv.isDown {
		sim.sendAnswer(i, incarnation, NewSwapAnswered(command.Call, store.SwapResult{}, store.ErrUnavailable))
		return
	}
	switch sim.pick("swap", 6) {
	case 0: // the client times out, and the swap arrives after that
		sim.sendAnswer(i, incarnation, NewSwapAnswered(command.Call, store.SwapResult{}, store.ErrUnknownOutcome))
		sim.request(i, func() { sim.kv.swap(command.Swap) })
	case 1: // the swap takes effect, the answer is lost, the client reports an unknown outcome
		sim.kv.swap(command.Swap)
		sim.sendAnswer(i, incarnation, NewSwapAnswered(command.Call, store.SwapResult{}, store.ErrUnknownOutcome))
	case 2: // the swap takes effect, and no answer ever comes
		sim.kv.swap(command.Swap)
	default:
		sim.sendAnswer(i, incarnation, NewSwapAnswered(command.Call, sim.kv.swap(command.Swap), nil))
	}
}

func (sim *simulation) recordResult(i int, command AnswerEdit) {
	for _, s := range sim.edits {
		if s.Edit == command.Edit {
			require.False(sim.t, s.isFinal(), "%s answered twice: %v, %v", s.Edit, s.result, command.Result)
			require.Equal(sim.t, i, s.host)
			s.result = command.Result
			s.returned = sim.stepCount
		}
	}
}

// deliver delivers a pending message and, if twice is set, keeps an answer pending to
// be delivered again.
func (sim *simulation) deliver(index int, twice bool) {
	chosen := sim.pending[index]
	if !twice || chosen.isRequest {
		sim.pending = slices.Delete(sim.pending, index, index+1)
	}
	// An answer to a previous incarnation is dropped; a request is already at the service.
	if chosen.isRequest || sim.hosts[chosen.host].incarnation == chosen.incarnation {
		chosen.deliver()
	}
}

func (sim *simulation) submit(i int, event EditSubmitted) {
	event.Edit = ident.EditID(fmt.Sprintf("edit-%d", len(sim.edits)+1))
	event.Deadline = sim.now.Add(time.Duration(1+sim.pick("deadline", 20)) * time.Second)
	sim.edits = append(sim.edits, &submission{
		EditSubmitted: event,
		host:          i,
		incarnation:   sim.hosts[i].incarnation,
		called:        sim.stepCount,
	})
	sim.step(i, event)
}

// resubmit submits an edit again, at any host, if its operator got no final result.
func (sim *simulation) resubmit(s *submission, i int) {
	lost := s.result == nil && sim.hosts[s.host].incarnation != s.incarnation
	if _, unknown := s.result.(Unknown); !unknown && !lost {
		return
	}
	s.IsResubmitted = true
	s.Deadline = sim.now.Add(5 * time.Second)
	s.host, s.incarnation, s.result = i, sim.hosts[i].incarnation, nil
	sim.step(i, s.EditSubmitted)
}

// deliverWatchBatch delivers one batch of a host's watch, without the first skip changes.
func (sim *simulation) deliverWatchBatch(i, skip int) {
	h := sim.hosts[i]
	if sim.kv.isDown || h.watch.id == 0 || h.watch.isDead {
		return
	}
	batch := store.Batch{
		Revision: sim.kv.revision,
	}
	for _, entry := range sim.kv.versions {
		if entry.Revision <= h.watch.position {
			continue
		}
		if skip > 0 {
			skip--
			continue
		}
		batch.Events = append(batch.Events, store.Event{
			Entry: entry.Entry,
		})
	}
	h.watch.position = sim.kv.revision
	sim.step(i, WatchBatchReceived{
		Watch: h.watch.id,
		Batch: batch,
	})
}

// exchange sends host from's message to host to, which may come late, twice or never.
func (sim *simulation) exchange(from, to int) {
	sim.sendPeerMessage(from, to, sim.hosts[to].machine.Revision())
}

// sendPeerMessage sends a message without the documents up to a revision. The receiver
// may lack some of those.
func (sim *simulation) sendPeerMessage(from, to int, since ident.Revision) {
	message := sim.hosts[from].machine.MessageSince(since)
	sim.sendAnswer(to, sim.hosts[to].incarnation, PeerMessageReceived{
		Message: message,
	})
}
