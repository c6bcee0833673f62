// Package orders makes the placement true without ever overcommitting a
// server: it elects the leader, keeps the plan in the key-value service, sends
// orders to model engines and settles them by the engines' reports.
//
// Machine is a deterministic state machine. Every entry host runs one; the one
// that holds the lease on LeaderKey leads, the others follow.
//
// # The rules
//
//   - An order is sent only after the page that records it is known to be
//     written, and the same id is sent again until a report settles it.
//   - A plan write compares the term key, the head key and the pages that it
//     replaces. A paused former leader fails on the term; a write whose answer
//     was lost and that lands late fails on the head.
//   - An order that is not settled is in doubt: its memory stays reserved and
//     its weights get no other order on that server. Engines that check fencing
//     also end the doubt by a report with a greater fencing number, or of
//     another incarnation. For others doubt lasts into the next incarnation:
//     a late order would be carried out there.
//   - Reserved memory is what the newest report lists plus every load in doubt.
//
// # Usage
//
//	machine := orders.New(orders.Settings{
//		Host: "entry-1",
//	})
//	for _, command := range machine.Step(now, event) {
//		// carry it out, then Step with its answer
//	}
//	// Step with Tick at machine.NextTick()
//
// Every GrantLease, ReadLeader, AcquireLeadership, ReadPlan and WritePlan must
// be answered by its event, with a failure if need be. SendOrder is answered by
// OrderAnswered or not at all.
//
// # What engines must do
//
// An engine carries out an order id at most once in an incarnation, starts each
// incarnation empty, and never reports At smaller than before. It counts weights
// as resident from the start of their load to the end of their unload, and as
// not ready while either is at work. It lists every order that it took or refused
// in Settled at last, but for those that its fencing check refused, and keeps
// more of them than Settings.OrdersPerServer.
//
// # What is left to senders
//
// A copy of a settled order, which is gone from the plan, can still harm an
// engine that ignores fencing where the copy reaches a later incarnation: it is
// carried out there, and nothing has reserved its memory. Nothing in the plan can
// stop it, so senders give up at SendOrder.Deadline, and a host that wakes from a
// pause drops what it had not sent.
package orders

import (
	"maps"
	"slices"
	"time"

	"cicadaloom/internal/control/placement"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// phase is where a machine stands on its way to leadership.
type phase string

const (
	phaseFollowing phase = "Following"
	phaseAcquiring phase = "Acquiring"
	phaseReading   phase = "Reading"
	phaseLeading   phase = "Leading"
)

// Machine decides on leadership, plan and orders of one entry host.
type Machine struct {
	settings Settings

	phase      phase
	lease      store.LeaseID
	leaseUntil time.Time
	leaseAsked bool
	resigned   bool
	pollAt     time.Time
	word       LeaderWord
	leader     ident.HostID
	// read is the leader's fencing number as this host last read it.
	read ident.FencingNumber
	term term
	// sequence numbers commands; waiting is the one whose answer is due.
	sequence int64
	waiting  int64

	head    head
	pages   map[string]ident.Revision
	pending *draft
	planAt  time.Time
	ledAt   time.Time
	counter int64

	documents  []*document.Document
	docsAt     ident.Revision
	models     []document.Model
	servers    map[ident.ServerName]*server
	names      []ident.ServerName
	dispatches map[ident.OrderID]*dispatch
	demand     map[demandKey]DemandRate
	pace       pace

	blocked []placement.Blocked
	// oversized is a page that the service would not take.
	oversized string
	recent    []NotedMove
	moves     map[placement.Reason]int
}

// term is a leader's proof: its fencing number and the revision of the term key.
type term struct {
	Fencing  ident.FencingNumber
	Revision ident.Revision
}

// head is the plan's head key: every plan write replaces it.
type head struct {
	Documents ident.Revision
	Revision  ident.Revision
}

// New returns a machine that follows.
func New(settings Settings) *Machine {
	return &Machine{
		settings:   settings.withDefaults(),
		phase:      phaseFollowing,
		pages:      make(map[string]ident.Revision),
		servers:    make(map[ident.ServerName]*server),
		dispatches: make(map[ident.OrderID]*dispatch),
		demand:     make(map[demandKey]DemandRate),
		moves:      make(map[placement.Reason]int),
	}
}

// Step takes in one event and returns what is to be done, in order.
func (m *Machine) Step(now time.Time, event Event) []Command {
	var commands []Command
	switch event := event.(type) {
	case Documents:
		m.onDocuments(event)
	case Servers:
		m.onServers(now, event)
	case Report:
		m.onReport(event)
	case Demand:
		m.onDemand(event)
	case LeaseGranted:
		commands = m.onLeaseGranted(now, event)
	case LeaseLost:
		m.onLeaseLost(now, event)
	case LeaderRead:
		commands = m.onLeaderRead(now, event)
	case LeaderWord:
		m.onLeaderWord(now, event)
	case PlanRead:
		commands = m.onPlanRead(now, event)
	case SwapAnswered:
		commands = m.onSwapAnswered(now, event)
	case Resign:
		commands = m.onResign(now)
	case Rejoin:
		m.onRejoin(now)
	case OrderAnswered, Tick:
	}
	commands = append(commands, m.checkLease(now)...)
	commands = append(commands, m.poll(now)...)
	commands = append(commands, m.retryRead(now)...)
	commands = append(commands, m.plan(now)...)
	return append(commands, m.send(now)...)
}

// Leader names the host that leads, as this one last read or heard.
func (m *Machine) Leader() ident.HostID {
	return m.leader
}

// NextTick is when the machine wants a Tick at the latest.
func (m *Machine) NextTick() time.Time {
	if m.phase == phaseFollowing || m.phase == phaseAcquiring {
		return m.pollAt
	}
	next := m.planAt
	for _, d := range m.dispatches {
		if d.sendAt.Before(next) {
			next = d.sendAt
		}
	}
	return next
}

func (m *Machine) onDocuments(event Documents) {
	if event.Revision < m.docsAt {
		return
	}
	m.documents = event.Documents
	m.docsAt = event.Revision
	byName := make(map[ident.ModelName]document.Model)
	for _, doc := range event.Documents {
		for i := range doc.Models {
			if _, taken := byName[doc.Models[i].Name]; !taken {
				byName[doc.Models[i].Name] = doc.Models[i]
			}
		}
	}
	m.models = m.models[:0]
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		m.models = append(m.models, byName[name])
	}
}
