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

// watching is a host's watch as the service keeps it.
type watching struct {
	id       WatchID
	position ident.Revision
	dead     bool // the connection died without a word
}

type host struct {
	machine *Machine
	life    int
	watch   watching
	// served is what the invariants compare each step with.
	served map[ident.TeamName]Version
}

// submission is an operator's edit with the answer so far.
type submission struct {
	EditSubmitted
	host     int
	life     int
	result   EditResult // nil: none yet
	called   int
	returned int
}

func (s *submission) final() bool {
	_, unknown := s.result.(Unknown)
	return s.result != nil && !unknown
}

type message struct {
	host    int
	life    int
	request bool
	deliver func()
}

// world is several hosts, their operators, the service and the network between
// them. Every choice is made by pick.
type world struct {
	t       require.TestingT
	pick    func(label string, n int) int
	now     time.Time
	step    int
	kv      *modelStore
	hosts   []*host
	pending []message
	edits   []*submission
}

func newWorld(t require.TestingT, hosts int, pick func(string, int) int) *world {
	w := &world{
		t:    t,
		pick: pick,
		now:  epoch,
		kv:   newModelStore(),
	}
	for i := range hosts {
		w.hosts = append(w.hosts, &host{})
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	h := w.hosts[i]
	*h = host{
		life: h.life + 1,
		machine: New(Config{
			Seed: uint64(100*i + h.life),
		}),
		served: make(map[ident.TeamName]Version),
	}
	w.feed(i, CapacityChanged{
		Servers: twoServers,
	})
	w.feed(i, Started{
		Watch: i%3 != 2, // every third host learns from its peers only
	})
}

func (w *world) feed(i int, event Event) {
	for _, command := range w.hosts[i].machine.Step(w.now, event) {
		w.carryOut(i, command)
	}
}

func (w *world) carryOut(i int, command Command) {
	h := w.hosts[i]
	life := h.life
	switch command := command.(type) {
	case List:
		w.request(i, func() { w.serveList(i, life, command) })
	case Read:
		w.request(i, func() {
			w.answer(i, life, ReadAnswered{
				Call:   command.Call,
				Entry:  w.kv.entries[command.Key],
				Failed: w.kv.down,
			})
		})
	case Swap:
		w.request(i, func() { w.serveSwap(i, life, command) })
	case Watch:
		h.watch = watching{
			id:       command.Watch,
			position: command.After,
		}
	case StopWatch:
		h.watch = watching{}
	case AnswerEdit:
		w.answered(i, command)
	case Complain:
		require.Fail(w.t, "complaint", "%v", command.Cause)
	}
}

func (w *world) request(i int, serve func()) {
	w.pending = append(w.pending, message{
		host:    i,
		life:    w.hosts[i].life,
		request: true,
		deliver: serve,
	})
}

func (w *world) answer(i, life int, event Event) {
	w.pending = append(w.pending, message{
		host: i,
		life: life,
		deliver: func() {
			w.feed(i, event)
		},
	})
}

func (w *world) serveList(i, life int, command List) {
	if w.kv.down {
		w.answer(i, life, ListFailed{
			Call: command.Call,
		})
		return
	}
	lag := ident.Revision(w.pick("lag", 4) / 2) // a lagging reader, sometimes
	w.answer(i, life, ListingRead{
		Call:    command.Call,
		Listing: w.kv.list(max(w.kv.revision-lag, 0)),
	})
}

func (w *world) serveSwap(i, life int, command Swap) {
	if w.kv.down {
		w.answer(i, life, NewSwapAnswered(command.Call, store.SwapResult{}, store.ErrUnavailable))
		return
	}
	switch w.pick("swap", 6) {
	case 0: // the client gives up first, the swap arrives after that
		w.answer(i, life, NewSwapAnswered(command.Call, store.SwapResult{}, store.ErrUnknownOutcome))
		w.request(i, func() { w.kv.swap(command.Swap) })
	case 1: // it takes effect, the answer is lost, the client says so
		w.kv.swap(command.Swap)
		w.answer(i, life, NewSwapAnswered(command.Call, store.SwapResult{}, store.ErrUnknownOutcome))
	case 2: // it takes effect, and nothing ever comes back
		w.kv.swap(command.Swap)
	default:
		w.answer(i, life, NewSwapAnswered(command.Call, w.kv.swap(command.Swap), nil))
	}
}

func (w *world) answered(i int, command AnswerEdit) {
	for _, s := range w.edits {
		if s.Edit == command.Edit {
			require.False(w.t, s.final(), "%s answered twice: %v, %v", s.Edit, s.result, command.Result)
			require.Equal(w.t, i, s.host)
			s.result = command.Result
			s.returned = w.step
		}
	}
}

// deliver hands over a pending message, keeping it for a second time if asked.
func (w *world) deliver(at int, twice bool) {
	m := w.pending[at]
	if !twice || m.request {
		w.pending = slices.Delete(w.pending, at, at+1)
	}
	// An answer to a former life finds nobody; a request is on its way already.
	if m.request || w.hosts[m.host].life == m.life {
		m.deliver()
	}
}

func (w *world) submit(i int, event EditSubmitted) {
	event.Edit = ident.EditID(fmt.Sprintf("edit-%d", len(w.edits)+1))
	event.Deadline = w.now.Add(time.Duration(1+w.pick("deadline", 20)) * time.Second)
	w.edits = append(w.edits, &submission{
		EditSubmitted: event,
		host:          i,
		life:          w.hosts[i].life,
		called:        w.step,
	})
	w.feed(i, event)
}

// submitAgain is the operator who got no clear answer, at any host.
func (w *world) submitAgain(s *submission, i int) {
	lost := s.result == nil && w.hosts[s.host].life != s.life
	if _, unknown := s.result.(Unknown); !unknown && !lost {
		return
	}
	s.Again = true
	s.Deadline = w.now.Add(5 * time.Second)
	s.host, s.life, s.result = i, w.hosts[i].life, nil
	w.feed(i, s.EditSubmitted)
}

// watchStep lets a host's watch deliver one batch, leaving out skip changes.
func (w *world) watchStep(i, skip int) {
	h := w.hosts[i]
	if w.kv.down || h.watch.id == 0 || h.watch.dead {
		return
	}
	batch := store.Batch{
		Revision: w.kv.revision,
	}
	for _, entry := range w.kv.log {
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
	h.watch.position = w.kv.revision
	w.feed(i, WatchDelivered{
		Watch: h.watch.id,
		Batch: batch,
	})
}

// gossip lets host to ask host from; the answer may be late, lost or doubled.
func (w *world) gossip(from, to int) {
	w.tell(from, to, w.hosts[to].machine.Revision())
}

// tell sends a word that leaves out documents up to a revision, which may be
// more than the receiver can do without.
func (w *world) tell(from, to int, since ident.Revision) {
	word := w.hosts[from].machine.Since(since)
	w.answer(to, w.hosts[to].life, PeerSpoke{
		Word: word,
	})
}
