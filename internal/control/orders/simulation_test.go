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

// fakeHost is an entry host: a machine and its commands that are not carried out yet.
type fakeHost struct {
	machine *Machine
	queue   []Command
	frozen  bool
	lease   store.LeaseID
	// trustsLease makes the host believe that its lease lasts, as with a slow clock.
	trustsLease bool
}

// sentOrder is an order on its way to an engine.
type sentOrder struct {
	server ident.ServerName
	order  backend.Order
}

// simulation has entry hosts, engines, the key-value service, and what is in transit
// between them.
type simulation struct {
	now               time.Time
	kv                *fakeStore
	engines           []*fakeEngine
	hosts             []*fakeHost
	inFlight          []sentOrder
	lateSwaps         []store.Swap
	doc               *document.Document
	documentsRevision ident.Revision
	moves             int
	settings          Settings
	// Faults that a test injects into passes; nil for none.
	isHeldBack    func(sentOrder) bool
	faultFor      func(Command) fault
	missesReports func(*fakeHost) bool
	// enginesStalled means that engines accept orders and never finish them.
	enginesStalled bool
	// afterPass is called after each pass.
	afterPass func()
}

// declareModels replaces the document and sends it to all hosts that are not frozen.
func (sim *simulation) declareModels(models ...document.Model) {
	sim.doc = newDocument(models...)
	sim.documentsRevision++
	sim.sendServersAndDocuments()
}

// replaceLeader expires the leader's lease and freezes it, runs until there is a new
// leader, and returns both.
func (sim *simulation) replaceLeader() (*fakeHost, *fakeHost) {
	former := sim.leader()
	former.frozen = true
	sim.kv.expireLease(former.lease)
	for range 100 {
		if sim.leader() == nil {
			sim.runPass()
		}
	}
	return former, sim.leader()
}

func newSimulation(hosts int, doc *document.Document, engines ...*fakeEngine) *simulation {
	sim := &simulation{
		now:               epoch,
		kv:                newFakeStore(),
		engines:           engines,
		doc:               doc,
		documentsRevision: 1,
		settings: Settings{
			Pages: 2,
		},
	}
	for i := range hosts {
		settings := sim.settings
		settings.Host = ident.HostID(fmt.Sprintf("entry-%d", i))
		sim.hosts = append(sim.hosts, &fakeHost{
			machine: New(settings),
		})
	}
	sim.sendServersAndDocuments()
	return sim
}

// newEngine returns an engine; every second one is in region b.
func newEngine(number int, memory unit.Bytes, checksFencing bool) *fakeEngine {
	return &fakeEngine{
		info: backend.Server{
			Name:       ident.ServerName(fmt.Sprintf("gpu-%d", number)),
			Kind:       backend.KindEngine,
			State:      backend.StateLive,
			Address:    fmt.Sprintf("address-%d", number),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", number%3)),
			Region:     ident.Region([]string{"a", "b"}[number%2]),
		},
		checksFencing:  checksFencing,
		memory:         memory,
		receivedOrders: make(map[ident.OrderID]bool),
	}
}

func (sim *simulation) servers() []backend.Server {
	var servers []backend.Server
	for _, e := range sim.engines {
		if !e.unlisted {
			servers = append(servers, e.info)
		}
	}
	return servers
}

func (sim *simulation) sendServersAndDocuments() {
	for _, h := range sim.hosts {
		sim.sendEvent(h, Servers{
			Servers: sim.servers(),
		})
		sim.sendEvent(h, Documents{
			Documents: []*document.Document{sim.doc},
			Revision:  sim.documentsRevision,
		})
	}
}

func (sim *simulation) sendEvent(h *fakeHost, event Event) {
	if h.frozen {
		return
	}
	h.queue = append(h.queue, h.machine.Step(sim.now, event)...)
}

func (sim *simulation) sendReport(h *fakeHost, sendReport *backend.Report) {
	sim.sendEvent(h, Report{
		Report:     sendReport,
		ReceivedAt: sim.now,
	})
}

// fault is what happens to one call of the key-value service.
type fault int

const (
	faultNone        fault = iota
	faultRefused           // not written, and said so
	faultNotWritten        // not written, answer lost
	faultAnswerLost        // written, answer lost
	faultWrittenLate       // answer lost, written later
	faultCount             // number of faults
)

// executeNext carries out a host's oldest command.
func (sim *simulation) executeNext(h *fakeHost, injected fault) {
	if len(h.queue) == 0 {
		return
	}
	command := h.queue[0]
	h.queue = h.queue[1:]
	switch command := command.(type) {
	case GrantLease:
		sim.grantLease(h, injected)
	case RevokeLease:
		sim.kv.expireLease(command.Lease)
	case ReadLeader:
		entry := sim.kv.entries[LeaderKey]
		entry.Key = LeaderKey
		sim.sendEvent(h, LeaderRead{
			Entry:  entry,
			Failed: injected != faultNone,
		})
	case AcquireLeadership:
		sim.sendEvent(h, sim.swap(command.Sequence, command.Swap, injected))
	case WritePlan:
		sim.sendEvent(h, sim.swap(command.Sequence, command.Swap, injected))
	case ReadPlan:
		sim.sendEvent(h, PlanRead{
			Sequence: command.Sequence,
			Entries:  sim.kv.list(),
			Failed:   injected != faultNone,
		})
	case SendOrder:
		sim.inFlight = append(sim.inFlight, sentOrder{
			server: command.Server,
			order:  command.Order,
		})
	case RecordMove:
		sim.moves++
	}
}

func (sim *simulation) grantLease(h *fakeHost, f fault) {
	if f != faultNone {
		sim.sendEvent(h, LeaseLost{})
		return
	}
	sim.kv.lastLease++
	h.lease = sim.kv.lastLease
	sim.kv.leases[h.lease] = true
	sim.renewLease(h)
}

// renewLease sends a host the time until which it holds its lease, by its own clock.
func (sim *simulation) renewLease(h *fakeHost) {
	until := sim.now.Add(6 * time.Second)
	if h.trustsLease {
		until = until.Add(time.Hour)
	}
	sim.sendEvent(h, LeaseGranted{
		Lease: h.lease,
		Until: until,
	})
}

func (sim *simulation) swap(sequence int64, swap store.Swap, f fault) SwapAnswered {
	answer := SwapAnswered{
		Sequence: sequence,
		Outcome:  SwapUnknown,
	}
	switch f {
	case faultRefused:
		answer.Outcome = SwapUnavailable
	case faultNotWritten:
	case faultWrittenLate:
		sim.lateSwaps = append(sim.lateSwaps, swap)
	case faultAnswerLost:
		sim.kv.swap(swap)
	default:
		answer.Result = sim.kv.swap(swap)
		answer.Outcome = SwapConflict
		if answer.Result.Swapped {
			answer.Outcome = SwapDone
		}
	}
	return answer
}

func (sim *simulation) engine(name ident.ServerName) *fakeEngine {
	for _, e := range sim.engines {
		if e.info.Name == name {
			return e
		}
	}
	return nil
}

// deliverOrder delivers an order; if repeated, a copy stays in flight.
func (sim *simulation) deliverOrder(index int, repeated bool) {
	arrived := sim.inFlight[index]
	if !repeated {
		sim.inFlight = slices.Delete(sim.inFlight, index, index+1)
	}
	engine := sim.engine(arrived.server)
	if sim.isRetiredCopy(engine, arrived.order) {
		return
	}
	engine.receive(arrived.order)
}

// isRetiredCopy reports whether an order is a copy that no rule of the plan can stop:
// the order was settled in an earlier incarnation of an engine that ignores fencing,
// and is removed from the plan. Senders must make sure that such a copy never
// arrives; see the package comment.
func (sim *simulation) isRetiredCopy(engine *fakeEngine, order backend.Order) bool {
	if engine.checksFencing || order.Incarnation == engine.incarnation() {
		return false
	}
	for _, entry := range sim.kv.entries {
		if bytes.Contains(entry.Value, []byte(`"`+string(order.ID)+`"`)) {
			return false
		}
	}
	return true
}

// runPasses runs a number of passes of half a second each.
func (sim *simulation) runPasses(passes int) {
	for range passes {
		sim.runPass()
	}
}

func (sim *simulation) runPass() {
	sim.now = sim.now.Add(500 * time.Millisecond)
	for _, h := range sim.hosts {
		if h.frozen {
			continue
		}
		if h.lease != 0 && sim.kv.leases[h.lease] {
			sim.renewLease(h)
		} else if h.lease != 0 {
			lost := h.lease
			h.lease = 0
			sim.sendEvent(h, LeaseLost{
				Lease: lost,
			})
		}
		sim.sendEvent(h, Tick{})
		for len(h.queue) > 0 {
			sim.executeNext(h, sim.nextFault(h.queue[0]))
		}
	}
	sim.deliverOrders()
	for _, e := range sim.engines {
		for len(e.inProgress) > 0 && !sim.enginesStalled {
			e.finishOrder(0, false)
		}
		if e.reportsStopped {
			continue
		}
		report := e.report()
		for _, h := range sim.hosts {
			if sim.missesReports == nil || !sim.missesReports(h) {
				sim.sendReport(h, report)
			}
		}
	}
	if sim.afterPass != nil {
		sim.afterPass()
	}
}

func (sim *simulation) nextFault(command Command) fault {
	if sim.faultFor == nil {
		return faultNone
	}
	return sim.faultFor(command)
}

func (sim *simulation) deliverOrders() {
	for i := 0; i < len(sim.inFlight); {
		if sim.isHeldBack != nil && sim.isHeldBack(sim.inFlight[i]) {
			i++
			continue
		}
		sim.deliverOrder(i, false)
	}
}

func (sim *simulation) leader() *fakeHost {
	for _, h := range sim.hosts {
		if !h.frozen && h.machine.IsLeading() {
			return h
		}
	}
	return nil
}

// enginesWithReady lists the engines on which a model is ready, in any version if
// none is given.
func (sim *simulation) enginesWithReady(model ident.ModelName, version ident.Version) []*fakeEngine {
	var ready []*fakeEngine
	for _, e := range sim.engines {
		if slices.ContainsFunc(e.residents, func(resident backend.Resident) bool {
			return resident.Ready && resident.Model == model && resident.Adapter == "" &&
				(version == "" || resident.Version == version)
		}) {
			ready = append(ready, e)
		}
	}
	return ready
}

// String describes the simulation for the message of a failed check.
func (sim *simulation) String() string {
	var text strings.Builder
	for _, e := range sim.engines {
		fmt.Fprintf(&text, "\n%s checks=%v memory=%d leaving=%v fencing=%d", e.incarnation(), e.checksFencing, e.memory, e.leaving, e.fencing)
		fmt.Fprintf(&text, " residents=%v working=%v settled=%v", e.residents, e.inProgress, e.settled)
	}
	for i, h := range sim.hosts {
		fmt.Fprintf(&text, "\nhost %d frozen=%v %+v", i, h.frozen, h.machine.State(sim.now))
	}
	for _, entry := range sim.kv.list() {
		fmt.Fprintf(&text, "\n%s@%d %s", entry.Key, entry.Revision, entry.Value)
	}
	fmt.Fprintf(&text, "\ndocument %+v, flights %v", sim.doc, sim.inFlight)
	return text.String()
}
