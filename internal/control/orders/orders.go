// Package orders makes the engines' weights match the placement without ever
// overcommitting a server's memory. It elects the leader, keeps the plan in the
// key-value service, sends orders to engines, and settles orders by the engines'
// reports.
//
// Machine is a deterministic state machine without input or output of its own: it
// takes an Event and returns Commands, which its caller, the control loop, carries
// out. Every entry host runs one; the host whose lease holds LeaderKey leads, and
// the others follow. A Machine starts no goroutines and is not safe for concurrent
// use.
//
// # Rules
//
//   - An order is sent only after the plan page that records it is known to be
//     written, and is sent again under the same id until a report settles it.
//   - A plan write compares the term key, the head key and the pages that it
//     replaces. A write of a paused former leader fails on the term key. A write
//     whose answer was lost fails on the head key once another one has succeeded, so
//     the leader makes one even if it has nothing to change.
//   - An order that is not settled is in doubt: its memory stays reserved and its
//     weights get no other order on that server. For engines that check fencing,
//     a report with a greater fencing number, or of another incarnation, also ends
//     the doubt. For other engines an order stays in doubt in the next
//     incarnation, because a delayed order would be carried out there.
//   - Reserved memory is what the newest report lists plus every load in doubt.
//
// # Usage
//
//	machine := orders.New(orders.Settings{
//		Host: "entry-1",
//	})
//	for _, command := range machine.Step(now, event) {
//		// carry out the command, then call Step with its answer
//	}
//	// call Step with Tick at machine.NextTick()
//
// Every GrantLease, ReadLeader, AcquireLeadership, ReadPlan and WritePlan must be
// answered by its event, also if it fails. SendOrder is answered by OrderAnswered
// or not at all.
//
// # Requirements on engines
//
// An engine carries out an order id at most once per incarnation, starts each
// incarnation empty, and never reports a smaller At than before. It reports weights
// as resident from the start of their load to the end of their unload, and as not
// ready while either is in progress. It finally lists every order that it accepted
// or refused in Settled, except those that its fencing check refused, and keeps
// more of them than Settings.MaxOrdersPerServer.
//
// # Requirements on senders
//
// A copy of a settled order that is already removed from the plan can still harm an
// engine that ignores fencing: if the copy reaches a later incarnation, it is
// carried out there although no memory is reserved for it. The plan can't prevent
// this. Senders therefore abandon an order at SendOrder.Deadline, and a host that
// wakes up from a pause drops the orders that it had not sent.
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

// phase is a machine's state in the election.
type phase string

const (
	phaseFollowing phase = "Following"
	phaseAcquiring phase = "Acquiring"
	phaseReading   phase = "Reading"
	phaseLeading   phase = "Leading"
)

// Machine decides on the leadership, the plan and the orders of one entry host.
type Machine struct {
	settings Settings

	phase          phase
	lease          store.LeaseID
	leaseUntil     time.Time
	leaseRequested bool
	resigned       bool
	nextPollAt     time.Time
	hint           LeaderHint
	leader         ident.HostID
	// readFencing is the leader's fencing number as last read from the leader key.
	readFencing ident.FencingNumber
	term        term
	// sequence numbers the commands; awaitedSequence is the number of the command
	// whose answer is awaited, or zero.
	sequence        int64
	awaitedSequence int64

	head          head
	pageRevisions map[string]ident.Revision
	pendingDraft  *draft
	// mayLandLate is whether a write whose answer was lost may still change the plan.
	mayLandLate  bool
	nextPlanAt   time.Time
	leadingSince time.Time
	orderCounter int64

	documents         []*document.Document
	documentsRevision ident.Revision
	models            []document.Model
	servers           map[ident.ServerName]*server
	serverNames       []ident.ServerName
	deliveries        map[ident.OrderID]*delivery
	demand            map[demandKey]DemandRate
	loadLimiter       loadRateLimiter

	blocked []placement.Blocked
	// oversizedPage is the key of a page that is too large for the service.
	oversizedPage string
	recentMoves   []RecordedMove
	moveCounts    map[placement.Reason]int
}

// term identifies a leader's term: its fencing number and the revision of the term
// key.
type term struct {
	Fencing  ident.FencingNumber
	Revision ident.Revision
}

// head is the plan's head key, which every plan write replaces: the revision of the
// documents that the plan was made from, and the key's own revision.
type head struct {
	Documents ident.Revision
	Revision  ident.Revision
}

// New returns a machine that follows.
func New(settings Settings) *Machine {
	return &Machine{
		settings:      settings.withDefaults(),
		phase:         phaseFollowing,
		pageRevisions: make(map[string]ident.Revision),
		servers:       make(map[ident.ServerName]*server),
		deliveries:    make(map[ident.OrderID]*delivery),
		demand:        make(map[demandKey]DemandRate),
		moveCounts:    make(map[placement.Reason]int),
	}
}

// Step handles one event and returns the commands to carry out, in order.
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
	case LeaderHint:
		m.onLeaderHint(now, event)
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
	commands = append(commands, m.pollLeader(now)...)
	commands = append(commands, m.retryReadPlan(now)...)
	commands = append(commands, m.planAndWrite(now)...)
	return append(commands, m.sendDueOrders(now)...)
}

// Leader returns the host that leads, as last read from the leader key or reported
// by peers.
func (m *Machine) Leader() ident.HostID {
	return m.leader
}

// NextTick returns the latest time at which the machine needs a Tick.
func (m *Machine) NextTick() time.Time {
	if m.phase == phaseFollowing || m.phase == phaseAcquiring {
		return m.nextPollAt
	}
	next := m.nextPlanAt
	for _, d := range m.deliveries {
		if d.nextSendAt.Before(next) {
			next = d.nextSendAt
		}
	}
	return next
}

func (m *Machine) onDocuments(event Documents) {
	if event.Revision < m.documentsRevision {
		return
	}
	m.documents = event.Documents
	m.documentsRevision = event.Revision
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
