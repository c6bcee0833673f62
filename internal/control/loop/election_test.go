package loop

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

const (
	electionStep  = 100 * time.Millisecond
	exchangeSteps = 10
	leaseTTL      = 5 * time.Second
	// takeoverBound is the lease, one poll and the two calls that follow.
	takeoverBound = leaseTTL + orders.DefaultLeaderPollInterval + 4*electionStep
)

// electionHost is the part of one host that takes part in elections.
type electionHost struct {
	members   membership.Machine
	orders    *orders.Machine
	cursors   map[ident.HostID]uint64
	phase     int
	lease     store.LeaseID
	renewedAt time.Time
	commands  []orders.Command
	crashed   bool
}

// election is a fleet of real membership and orders machines over one leader key.
type election struct {
	t      *testing.T
	now    time.Time
	steps  int
	hosts  []*electionHost
	byName map[ident.HostID]*electionHost
	// usesHints passes leader hints to the orders machines; without them every host
	// reads the leader key at every poll.
	usesHints bool
	// observer, if set, replaces every host's view of the fleet; otherwise each host
	// has its own, by real exchanges.
	observer       *membership.Machine
	observedLeader membership.Peer
	observedRoster *membership.Roster
	// keyValueDown is an outage of the key-value service.
	keyValueDown bool
	// hintsFrozen repeats to every host the hint that it got last.
	hintsFrozen bool
	hints       map[*electionHost]orders.LeaderHint
	entries     map[string]store.Entry
	leases      map[store.LeaseID]time.Time
	lastLease   store.LeaseID
	revision    ident.Revision
	// leaderReads counts ReadLeader; maxReadsInStep is the most in one step. Tests reset both.
	leaderReads    int
	maxReadsInStep int
}

func newElection(t *testing.T, hosts int, usesHints bool) *election {
	e := &election{
		t:         t,
		now:       testStart,
		byName:    make(map[ident.HostID]*electionHost),
		usesHints: usesHints,
		hints:     make(map[*electionHost]orders.LeaderHint),
		entries:   make(map[string]store.Entry),
		leases:    make(map[store.LeaseID]time.Time),
	}
	random := rand.New(rand.NewPCG(1, 2))
	var listed []membership.Peer
	for i := range hosts {
		dataCentre, region := locationOf(i)
		self := membership.Peer{
			Host:       ident.HostID(fmt.Sprintf("entry-%03d", i)),
			DataCentre: dataCentre,
			Region:     region,
			Address:    fmt.Sprint("10.0.0.", i),
		}
		listed = append(listed, self)
		host := &electionHost{
			members: membership.Machine{
				Self: self,
			},
			orders: orders.New(orders.Settings{
				Host: self.Host,
			}),
			cursors: make(map[ident.HostID]uint64),
			phase:   random.IntN(exchangeSteps),
		}
		e.hosts = append(e.hosts, host)
		e.byName[self.Host] = host
	}
	for _, host := range e.hosts {
		host.members.Step(e.now, membership.HostsListed{
			Hosts: listed,
		})
	}
	return e
}

func (e *election) deliver(from, to *electionHost) {
	if from.crashed || to.crashed {
		return
	}
	message := from.members.MessageFor(e.now, to.members.Self.Host, to.cursors[from.members.Self.Host])
	to.cursors[from.members.Self.Host] = message.ThroughVersion
	to.members.Step(e.now, membership.PeerMessageReceived{
		From:    from.members.Self.Host,
		Message: message,
	})
}

// newObserver returns a view of the fleet that gets every host's record at each interval.
func newObserver() *membership.Machine {
	return &membership.Machine{
		Self: membership.Peer{
			Host:     "observer",
			Stopping: true,
		},
	}
}

// observe gives the observer the records of all running hosts.
func (e *election) observe() {
	var running []membership.Peer
	for _, host := range e.hosts {
		if !host.crashed {
			running = append(running, host.members.Self)
		}
	}
	e.observer.Step(e.now, membership.PeerMessageReceived{
		Message: membership.Message{
			Peers: running,
		},
	})
	e.observedLeader = e.observer.Leader(e.now)
	e.observedRoster = e.observer.Roster(e.now)
}

// leaderHint is the hint that a host gets.
func (e *election) leaderHint(host *electionHost) orders.LeaderHint {
	self := host.members.Self.Host
	if e.observer != nil {
		return leaderHint(e.observedLeader, e.observedRoster, self)
	}
	return leaderHint(host.members.Leader(e.now), host.members.Roster(e.now), self)
}

// exchange runs one exchange interval of a host, as tickPeers does.
func (e *election) exchange(host *electionHost) {
	host.members.Step(e.now, membership.Tick{
		LeaderFencing: host.orders.HeldFencing(),
	})
	if e.usesHints {
		if !e.hintsFrozen {
			e.hints[host] = e.leaderHint(host)
		}
		e.step(host, e.hints[host])
	}
	if e.observer != nil {
		return
	}
	for _, target := range host.members.Targets(e.now, host.orders.IsLeading()) {
		peer := e.byName[target.Host]
		e.deliver(host, peer)
		e.deliver(peer, host)
	}
}

func (e *election) step(host *electionHost, event orders.Event) {
	host.commands = append(host.commands, host.orders.Step(e.now, event)...)
}

// advance runs one step. Hosts start one after the other, so that they poll at
// different instants.
func (e *election) advance() {
	e.now = e.now.Add(electionStep)
	e.steps++
	before := e.leaderReads
	for lease, until := range e.leases {
		if !e.now.Before(until) {
			e.revoke(lease)
		}
	}
	if e.observer != nil && e.steps%exchangeSteps == 1 {
		e.observe()
	}
	for i, host := range e.hosts {
		if host.crashed || e.steps <= i%30 {
			continue
		}
		if e.steps%exchangeSteps == host.phase {
			e.exchange(host)
		}
		if host.lease != 0 && !e.now.Before(host.renewedAt.Add(leaseTTL/3)) {
			e.renew(host)
		}
		e.step(host, orders.Tick{})
		queue := host.commands
		host.commands = nil
		for _, command := range queue {
			e.execute(host, command)
		}
	}
	e.maxReadsInStep = max(e.maxReadsInStep, e.leaderReads-before)
}

func (e *election) advanceBy(length time.Duration) {
	for range length / electionStep {
		e.advance()
	}
}

func (e *election) revoke(lease store.LeaseID) {
	delete(e.leases, lease)
	if e.entries[orders.LeaderKey].Lease == lease {
		delete(e.entries, orders.LeaderKey)
	}
}

func (e *election) renew(host *electionHost) {
	if e.keyValueDown {
		return
	}
	if _, found := e.leases[host.lease]; !found {
		lost := host.lease
		host.lease = 0
		e.step(host, orders.LeaseLost{
			Lease: lost,
		})
		return
	}
	host.renewedAt = e.now
	e.leases[host.lease] = e.now.Add(leaseTTL)
	e.step(host, orders.LeaseGranted{
		Lease: host.lease,
		Until: e.now.Add(leaseTTL),
	})
}

func (e *election) execute(host *electionHost, command orders.Command) {
	if _, isRead := command.(orders.ReadLeader); isRead && e.keyValueDown {
		e.leaderReads++
		e.step(host, orders.LeaderRead{
			Failed: true,
		})
		return
	}
	switch command := command.(type) {
	case orders.GrantLease:
		e.lastLease++
		host.lease = e.lastLease
		e.leases[host.lease] = e.now
		e.renew(host)
	case orders.RevokeLease:
		e.revoke(command.Lease)
		host.lease = 0
	case orders.ReadLeader:
		e.leaderReads++
		e.step(host, orders.LeaderRead{
			Entry: e.entries[orders.LeaderKey],
		})
	case orders.AcquireLeadership:
		e.step(host, e.swap(command.Sequence, command.Swap))
	case orders.WritePlan:
		e.step(host, e.swap(command.Sequence, command.Swap))
	case orders.ReadPlan:
		read := orders.PlanRead{
			Sequence: command.Sequence,
		}
		for _, entry := range e.entries {
			read.Entries = append(read.Entries, entry)
		}
		e.step(host, read)
	}
}

func (e *election) swap(sequence int64, swap store.Swap) orders.SwapAnswered {
	answer := orders.SwapAnswered{
		Sequence: sequence,
		Outcome:  orders.SwapDone,
	}
	for _, compare := range swap.Compares {
		current := e.entries[compare.Key]
		current.Key = compare.Key
		answer.Result.Current = append(answer.Result.Current, current)
		if current.Revision != compare.Revision {
			answer.Outcome = orders.SwapConflict
		}
	}
	if answer.Outcome != orders.SwapDone {
		return answer
	}
	e.revision++
	answer.Result.Swapped = true
	answer.Result.Revision = e.revision
	for _, put := range swap.Puts {
		e.entries[put.Key] = store.Entry{
			Key:      put.Key,
			Value:    put.Value,
			Lease:    put.Lease,
			Revision: e.revision,
		}
	}
	return answer
}

func (e *election) leader() *electionHost {
	for _, host := range e.hosts {
		if !host.crashed && host.orders.IsLeading() {
			return host
		}
	}
	return nil
}

// waitForTakeover advances until another host leads, and returns how long that took.
func (e *election) waitForTakeover(limit time.Duration) time.Duration {
	from := e.now
	e.maxReadsInStep = 0
	for e.leader() == nil {
		e.advance()
		require.LessOrEqual(e.t, e.now.Sub(from), limit, "no host has taken over")
	}
	return e.now.Sub(from)
}

// regularPollers returns the hosts that read the leader key at every poll, each by
// its own view.
func (e *election) regularPollers() []*electionHost {
	var pollers []*electionHost
	for _, host := range e.hosts {
		hint := e.leaderHint(host)
		if hint.Rank < orders.RegularPollers && !host.orders.IsLeading() {
			pollers = append(pollers, host)
		}
	}
	return pollers
}
