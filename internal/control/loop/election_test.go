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
	// takeoverBound is the lease and one poll, and the two calls that follow.
	takeoverBound = leaseTTL + orders.DefaultLeaderPoll + 4*electionStep
)

// electionHost is what one host has to do with leadership.
type electionHost struct {
	members membership.Machine
	orders  *orders.Machine
	have    map[ident.HostID]uint64
	phase   int
	lease   store.LeaseID
	keptAt  time.Time
	queue   []orders.Command
	dead    bool
}

// election is a fleet with real membership and real orders over one leader key.
type election struct {
	t      *testing.T
	now    time.Time
	steps  int
	hosts  []*electionHost
	byName map[ident.HostID]*electionHost
	// hinted tells the machines what peers say; without it they poll as they did
	// before there was a word.
	hinted bool
	// observer stands for every host's view where it is set; without it each
	// host has its own, by real exchanges.
	observer *membership.Machine
	observed membership.Peer
	roster   *membership.Roster
	// down is an outage of the key-value service.
	down bool
	// stuck gives every host for ever the word that it got last.
	stuck   bool
	words   map[*electionHost]orders.LeaderWord
	entries map[string]store.Entry
	leases  map[store.LeaseID]time.Time
	granted store.LeaseID
	changes ident.Revision
	// reads counts ReadLeader, mostInStep the most in one step since it was reset.
	reads      int
	mostInStep int
}

func newElection(t *testing.T, hosts int, hinted bool) *election {
	e := &election{
		t:       t,
		now:     targetStart,
		byName:  make(map[ident.HostID]*electionHost),
		hinted:  hinted,
		words:   make(map[*electionHost]orders.LeaderWord),
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]time.Time),
	}
	random := rand.New(rand.NewPCG(1, 2))
	var listed []membership.Peer
	for i := range hosts {
		dataCentre, region := placeOf(i)
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
			have:  make(map[ident.HostID]uint64),
			phase: random.IntN(exchangeSteps),
		}
		e.hosts = append(e.hosts, host)
		e.byName[self.Host] = host
	}
	for _, host := range e.hosts {
		host.members.Step(e.now, membership.Listed{
			Hosts: listed,
		})
	}
	return e
}

func (e *election) tell(from, to *electionHost) {
	if from.dead || to.dead {
		return
	}
	word := from.members.Word(e.now, to.members.Self.Host, to.have[from.members.Self.Host])
	to.have[from.members.Self.Host] = word.Through
	to.members.Step(e.now, membership.Heard{
		From: from.members.Self.Host,
		Word: word,
	})
}

// newObserver is a view of the fleet that hears every host at each interval.
func newObserver() *membership.Machine {
	return &membership.Machine{
		Self: membership.Peer{
			Host:     "observer",
			Stopping: true,
		},
	}
}

// observe tells the observer of all hosts that beat.
func (e *election) observe() {
	var beating []membership.Peer
	for _, host := range e.hosts {
		if !host.dead {
			beating = append(beating, host.members.Self)
		}
	}
	e.observer.Step(e.now, membership.Heard{
		Word: membership.Word{
			Peers: beating,
		},
	})
	e.observed = e.observer.Leader(e.now)
	e.roster = e.observer.Roster(e.now)
}

// word is what a host hears of the leadership.
func (e *election) word(host *electionHost) orders.LeaderWord {
	self := host.members.Self.Host
	if e.observer != nil {
		return leaderWord(e.observed, e.roster, self)
	}
	return leaderWord(host.members.Leader(e.now), host.members.Roster(e.now), self)
}

// exchange is one host's interval, as tickPeers does it.
func (e *election) exchange(host *electionHost) {
	host.members.Step(e.now, membership.Beaten{
		Leads: host.orders.Leads(),
	})
	if e.hinted {
		if !e.stuck {
			e.words[host] = e.word(host)
		}
		e.step(host, e.words[host])
	}
	if e.observer != nil {
		return
	}
	for _, target := range host.members.Targets(e.now, host.orders.Leading()) {
		peer := e.byName[target.Host]
		e.tell(host, peer)
		e.tell(peer, host)
	}
}

func (e *election) step(host *electionHost, event orders.Event) {
	host.queue = append(host.queue, host.orders.Step(e.now, event)...)
}

// pass lets one step go by. Hosts look at instants of their own within a poll,
// for they start one after the other.
func (e *election) pass() {
	e.now = e.now.Add(electionStep)
	e.steps++
	before := e.reads
	for lease, until := range e.leases {
		if !e.now.Before(until) {
			e.drop(lease)
		}
	}
	if e.observer != nil && e.steps%exchangeSteps == 1 {
		e.observe()
	}
	for i, host := range e.hosts {
		if host.dead || e.steps <= i%30 {
			continue
		}
		if e.steps%exchangeSteps == host.phase {
			e.exchange(host)
		}
		if host.lease != 0 && !e.now.Before(host.keptAt.Add(leaseTTL/3)) {
			e.keep(host)
		}
		e.step(host, orders.Tick{})
		queue := host.queue
		host.queue = nil
		for _, command := range queue {
			e.carryOut(host, command)
		}
	}
	e.mostInStep = max(e.mostInStep, e.reads-before)
}

func (e *election) passes(length time.Duration) {
	for range length / electionStep {
		e.pass()
	}
}

func (e *election) drop(lease store.LeaseID) {
	delete(e.leases, lease)
	if e.entries[orders.LeaderKey].Lease == lease {
		delete(e.entries, orders.LeaderKey)
	}
}

func (e *election) keep(host *electionHost) {
	if e.down {
		return
	}
	if _, held := e.leases[host.lease]; !held {
		lost := host.lease
		host.lease = 0
		e.step(host, orders.LeaseLost{
			Lease: lost,
		})
		return
	}
	host.keptAt = e.now
	e.leases[host.lease] = e.now.Add(leaseTTL)
	e.step(host, orders.LeaseGranted{
		Lease: host.lease,
		Until: e.now.Add(leaseTTL),
	})
}

func (e *election) carryOut(host *electionHost, command orders.Command) {
	if _, look := command.(orders.ReadLeader); look && e.down {
		e.reads++
		e.step(host, orders.LeaderRead{
			Failed: true,
		})
		return
	}
	switch command := command.(type) {
	case orders.GrantLease:
		e.granted++
		host.lease = e.granted
		e.leases[host.lease] = e.now
		e.keep(host)
	case orders.DropLease:
		e.drop(command.Lease)
		host.lease = 0
	case orders.ReadLeader:
		e.reads++
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
	e.changes++
	answer.Result.Swapped = true
	answer.Result.Revision = e.changes
	for _, put := range swap.Puts {
		e.entries[put.Key] = store.Entry{
			Key:      put.Key,
			Value:    put.Value,
			Lease:    put.Lease,
			Revision: e.changes,
		}
	}
	return answer
}

func (e *election) leader() *electionHost {
	for _, host := range e.hosts {
		if !host.dead && host.orders.Leading() {
			return host
		}
	}
	return nil
}

// takeover lets time go by until another host leads, and tells how long it took.
func (e *election) takeover(most time.Duration) time.Duration {
	from := e.now
	e.mostInStep = 0
	for e.leader() == nil {
		e.pass()
		require.LessOrEqual(e.t, e.now.Sub(from), most, "nobody has taken over")
	}
	return e.now.Sub(from)
}

// lookers are the hosts that look at every poll, each by its own view.
func (e *election) lookers() []*electionHost {
	var lookers []*electionHost
	for _, host := range e.hosts {
		word := e.word(host)
		if word.Rank < orders.Lookers && !host.orders.Leading() {
			lookers = append(lookers, host)
		}
	}
	return lookers
}
