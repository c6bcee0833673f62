package orders

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/domain/unit"
)

// fakeHost is an entry host: a machine and the commands that it waits for.
type fakeHost struct {
	machine *Machine
	queue   []Command
	frozen  bool
	lease   store.LeaseID
	// slowClock stands for a host that believes in its lease for ever.
	slowClock bool
}

// flight is an order on its way.
type flight struct {
	server ident.ServerName
	order  backend.Order
}

// world is entry hosts, engines and the service, with all in between.
type world struct {
	now      time.Time
	kv       *fakeStore
	engines  []*fakeEngine
	hosts    []*fakeHost
	flights  []flight
	late     []store.Swap
	doc      *document.Document
	docsAt   ident.Revision
	moves    int
	settings Settings
	// What a story lets go wrong in passes; nil lets all work.
	hold  func(flight) bool
	fails func(Command) fault
	deaf  func(*fakeHost) bool
	// stalled engines take orders and do not get them done.
	stalled bool
	// watch is called after each pass.
	watch func()
}

// declare replaces the document and tells all hosts that are awake.
func (w *world) declare(models ...document.Model) {
	w.doc = oneDocument(models...)
	w.docsAt++
	w.tellAll()
}

// depose ends the leader's lease and freezes it, and returns it with its successor.
func (w *world) depose() (*fakeHost, *fakeHost) {
	former := w.leader()
	former.frozen = true
	w.kv.lapse(former.lease)
	for range 100 {
		if w.leader() == nil {
			w.pass()
		}
	}
	return former, w.leader()
}

func newWorld(hosts int, doc *document.Document, engines ...*fakeEngine) *world {
	w := &world{
		now:     epoch,
		kv:      newFakeStore(),
		engines: engines,
		doc:     doc,
		docsAt:  1,
		settings: Settings{
			Pages: 2,
		},
	}
	for i := range hosts {
		settings := w.settings
		settings.Host = ident.HostID(fmt.Sprintf("entry-%d", i))
		w.hosts = append(w.hosts, &fakeHost{
			machine: New(settings),
		})
	}
	w.tellAll()
	return w
}

// engine makes a model engine; every second data centre is in region b.
func newEngine(number int, memory unit.Bytes, checks bool) *fakeEngine {
	return &fakeEngine{
		info: backend.Server{
			Name:       ident.ServerName(fmt.Sprintf("gpu-%d", number)),
			Kind:       backend.KindEngine,
			State:      backend.StateLive,
			Address:    fmt.Sprintf("address-%d", number),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", number%3)),
			Region:     ident.Region([]string{"a", "b"}[number%2]),
		},
		checks: checks,
		memory: memory,
		known:  make(map[ident.OrderID]bool),
	}
}

func (w *world) servers() []backend.Server {
	var servers []backend.Server
	for _, e := range w.engines {
		if !e.unlisted {
			servers = append(servers, e.info)
		}
	}
	return servers
}

func (w *world) tellAll() {
	for _, h := range w.hosts {
		w.tell(h, Servers{
			Servers: w.servers(),
		})
		w.tell(h, Documents{
			Documents: []*document.Document{w.doc},
			Revision:  w.docsAt,
		})
	}
}

func (w *world) tell(h *fakeHost, event Event) {
	if h.frozen {
		return
	}
	h.queue = append(h.queue, h.machine.Step(w.now, event)...)
}

func (w *world) report(h *fakeHost, report *backend.Report) {
	w.tell(h, Report{
		Report:     report,
		ReceivedAt: w.now,
	})
}

// fault is what happens to one call of the key-value service.
type fault int

const (
	faultNone   fault = iota
	faultRefuse       // not written, and said so
	faultLost         // not written, answer lost
	faultAnswer       // written, answer lost
	faultLate         // answer lost, written later
	faults            // their number
)

// serve carries out the oldest command of a host.
func (w *world) serve(h *fakeHost, f fault) {
	if len(h.queue) == 0 {
		return
	}
	command := h.queue[0]
	h.queue = h.queue[1:]
	switch command := command.(type) {
	case GrantLease:
		w.grant(h, f)
	case DropLease:
		w.kv.lapse(command.Lease)
	case ReadLeader:
		entry := w.kv.entries[LeaderKey]
		entry.Key = LeaderKey
		w.tell(h, LeaderRead{
			Entry:  entry,
			Failed: f != faultNone,
		})
	case AcquireLeadership:
		w.tell(h, w.swap(command.Sequence, command.Swap, f))
	case WritePlan:
		w.tell(h, w.swap(command.Sequence, command.Swap, f))
	case ReadPlan:
		w.tell(h, PlanRead{
			Sequence: command.Sequence,
			Entries:  w.kv.list(),
			Failed:   f != faultNone,
		})
	case SendOrder:
		w.flights = append(w.flights, flight{
			server: command.Server,
			order:  command.Order,
		})
	case Note:
		w.moves++
	}
}

func (w *world) grant(h *fakeHost, f fault) {
	if f != faultNone {
		w.tell(h, LeaseLost{})
		return
	}
	w.kv.granted++
	h.lease = w.kv.granted
	w.kv.leases[h.lease] = true
	w.keep(h)
}

// keep tells a host that its lease goes on, as far as its clock can tell.
func (w *world) keep(h *fakeHost) {
	until := w.now.Add(6 * time.Second)
	if h.slowClock {
		until = until.Add(time.Hour)
	}
	w.tell(h, LeaseGranted{
		Lease: h.lease,
		Until: until,
	})
}

func (w *world) swap(sequence int64, swap store.Swap, f fault) SwapAnswered {
	answer := SwapAnswered{
		Sequence: sequence,
		Outcome:  SwapUnknown,
	}
	switch f {
	case faultRefuse:
		answer.Outcome = SwapUnavailable
	case faultLost:
	case faultLate:
		w.late = append(w.late, swap)
	case faultAnswer:
		w.kv.swap(swap)
	default:
		answer.Result = w.kv.swap(swap)
		answer.Outcome = SwapConflict
		if answer.Result.Swapped {
			answer.Outcome = SwapDone
		}
	}
	return answer
}

func (w *world) engine(name ident.ServerName) *fakeEngine {
	for _, e := range w.engines {
		if e.info.Name == name {
			return e
		}
	}
	return nil
}

// deliver lets a flight arrive; a repeated one stays on its way as well.
func (w *world) deliver(index int, repeated bool) {
	arrived := w.flights[index]
	if !repeated {
		w.flights = slices.Delete(w.flights, index, index+1)
	}
	engine := w.engine(arrived.server)
	if w.retired(engine, arrived.order) {
		return
	}
	engine.take(arrived.order)
}

// retired tells of a copy that no rule of the plan can stop: its order was
// settled in an earlier life of an engine that ignores fencing and is gone from
// the plan. Senders must see to it that such a copy never arrives; see the
// package comment.
func (w *world) retired(engine *fakeEngine, order backend.Order) bool {
	if engine.checks || order.Incarnation == engine.incarnation() {
		return false
	}
	for _, entry := range w.kv.entries {
		if bytes.Contains(entry.Value, []byte(`"`+string(order.ID)+`"`)) {
			return false
		}
	}
	return true
}

// calm lets everything work for some seconds: one pass is half a second.
func (w *world) calm(passes int) {
	for range passes {
		w.pass()
	}
}

func (w *world) pass() {
	w.now = w.now.Add(500 * time.Millisecond)
	for _, h := range w.hosts {
		if h.frozen {
			continue
		}
		if h.lease != 0 && w.kv.leases[h.lease] {
			w.keep(h)
		} else if h.lease != 0 {
			lost := h.lease
			h.lease = 0
			w.tell(h, LeaseLost{
				Lease: lost,
			})
		}
		w.tell(h, Tick{})
		for len(h.queue) > 0 {
			w.serve(h, w.faultOf(h.queue[0]))
		}
	}
	w.deliverAll()
	for _, e := range w.engines {
		for len(e.working) > 0 && !w.stalled {
			e.finish(0, false)
		}
		if e.silent {
			continue
		}
		report := e.report()
		for _, h := range w.hosts {
			if w.deaf == nil || !w.deaf(h) {
				w.report(h, report)
			}
		}
	}
	if w.watch != nil {
		w.watch()
	}
}

func (w *world) faultOf(command Command) fault {
	if w.fails == nil {
		return faultNone
	}
	return w.fails(command)
}

func (w *world) deliverAll() {
	for i := 0; i < len(w.flights); {
		if w.hold != nil && w.hold(w.flights[i]) {
			i++
			continue
		}
		w.deliver(i, false)
	}
}

func (w *world) leader() *fakeHost {
	for _, h := range w.hosts {
		if !h.frozen && h.machine.Leading() {
			return h
		}
	}
	return nil
}

// readyAt lists the engines on which a model is ready, in whatever version.
func (w *world) readyAt(model ident.ModelName, version ident.Version) []*fakeEngine {
	var ready []*fakeEngine
	for _, e := range w.engines {
		if slices.ContainsFunc(e.residents, func(resident backend.Resident) bool {
			return resident.Ready && resident.Model == model && resident.Adapter == "" &&
				(version == "" || resident.Version == version)
		}) {
			ready = append(ready, e)
		}
	}
	return ready
}

// String shows the world where a check fails.
func (w *world) String() string {
	var text strings.Builder
	for _, e := range w.engines {
		fmt.Fprintf(&text, "\n%s checks=%v memory=%d leaving=%v fencing=%d", e.incarnation(), e.checks, e.memory, e.leaving, e.fencing)
		fmt.Fprintf(&text, " residents=%v working=%v settled=%v", e.residents, e.working, e.settled)
	}
	for i, h := range w.hosts {
		fmt.Fprintf(&text, "\nhost %d frozen=%v %+v", i, h.frozen, h.machine.State(w.now))
	}
	for _, entry := range w.kv.list() {
		fmt.Fprintf(&text, "\n%s@%d %s", entry.Key, entry.Revision, entry.Value)
	}
	fmt.Fprintf(&text, "\ndocument %+v, flights %v", w.doc, w.flights)
	return text.String()
}
