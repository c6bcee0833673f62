// Package pacing queues the prompts that entry hosts send to the engines of a region, picks an
// engine for each, and spaces the prompts of one engine in time.
//
// An engine prefills prompts between the decoding steps of its running answers: whatever has
// arrived since the last step is prefilled in the next one, up to a bound, and every stream of
// the engine pauses for that long. The pause between two events of a stream spans two steps. So
// prompts that arrive together, by chance and from many hosts, delay all streams of the engine,
// while the same prompts one after the other delay none.
//
// In each region one host, the prompt scheduler, tracks for every engine the instant until
// which its prefill time is booked (PrefillBacklogs), and counts the slots in use there
// (slotUsage). A host that wants to send a prompt names to the scheduler the engines that can
// answer it and the prefill time at each. It gets the engine and the instant to send at, or
// waits in the scheduler's Queue until an engine is free, and reports when the answer is
// complete. The loss of a scheduler costs some pauses and some waiting at engines, and no
// guarantee depends on it: the next scheduler starts from the load that the engines report.
//
// The scheduler chooses the engine so that engines are loaded evenly. A host alone knows what
// it has sent itself, and from reports what the others had sent a second or two ago: many hosts
// would then choose the same engine, whose streams pause for too long while other engines have
// time left.
//
// # Usage
//
//	var queue pacing.Queue
//	reservation, waiter := queue.Reserve(now, &pacing.Prompt{
//		Candidates: []pacing.Candidate{{
//			Server:      "i-7f3a91c2",
//			PrefillTime: 60 * time.Millisecond,
//			Slots:       32,
//		}},
//		Ticket:    ticket,
//		Objective: arrived.Add(route.Objective),
//		AbandonAt: arrived.Add(1300 * time.Millisecond),
//		MayWait:   true,
//	})
//	if waiter != nil {
//		reservation = <-waiter.Granted
//	}
//	// if reservation.Booked: send to reservation.Server at reservation.SendAt,
//	// and when the answer is complete:
//	queue.Release(now, reservation.Server, ticket)
//
// The owner of a Queue has to call GrantFree regularly while prompts wait, and UpdateLoads with
// the loads that engines report. A Queue starts no goroutines; a mutex guards it.
//
// PrefillBacklogs alone books prefill time in the order of arrival; the queue is tested against
// that (TestOverloadedQueueServesInTime).
//
// # Which host is the prompt scheduler
//
// Schedulers picks the schedulers by rendezvous hashing over the hosts of the engines' region,
// so that all hosts pick the same ones without communication. While hosts disagree about which
// hosts there are, an engine may have two schedulers. In a large fleet the models are divided
// among several schedulers, and two busy models that share an engine are then balanced less
// evenly.
package pacing

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"cicadaloom/internal/domain/ident"
)

// defaultPrefillGap is the time that stays free after each prompt: one decoding step and the
// variation of network delay. It keeps two prompts from being prefilled in consecutive steps,
// so that the pause between two events, which spans two steps, contains one prompt at most.
// Without it a prompt of the largest size (0.21 s) and any other next to it pause every stream
// of the engine for over 0.3 s.
const defaultPrefillGap = 25 * time.Millisecond

// maxSendDelay is the longest time for which a prompt is held back before it is sent. With a
// larger backlog the engine is overloaded: holding prompts back any longer would only make them
// late as well, while the engine's own queue orders them by priority.
const maxSendDelay = 350 * time.Millisecond

// maxBacklog bounds an engine's backlog. Between maxSendDelay and maxBacklog prompts are sent
// at once, and the backlog still shows which engine has less queued work, and when an engine is
// overloaded. The bound makes a backlog recover soon that wrong estimates have driven too high.
const maxBacklog = 2 * time.Second

// idleRetention is for how long an engine without a backlog is remembered, and the interval
// between two sweeps.
const idleRetention = 10 * time.Second

// PrefillBacklogs has, for each engine, the instant until which its prefill time is booked. The
// zero value is ready to use. Reserve is safe for concurrent use by many goroutines; a Queue
// calls the other methods under its own lock.
type PrefillBacklogs struct {
	mu        sync.Mutex
	busyUntil map[ident.ServerName]time.Time
	sweptAt   time.Time
}

// Candidate is an engine that can answer a prompt.
type Candidate struct {
	Server ident.ServerName
	Region ident.Region
	// PrefillTime is the prefill time of the prompt at this engine. OtherCost is the rest of
	// the expected time to the first byte: the network delay, the answers that run there, its
	// errors.
	PrefillTime time.Duration
	OtherCost   time.Duration
	// AnswerCost is what each answer that runs at the engine adds to the cost; 0 stands for
	// DelayPerRunningAnswer.
	AnswerCost time.Duration
	// Slots is how many answers the engine runs at once; 0 for no limit.
	Slots int
	// Occupied is how many requests the host knows to be in flight there, where it plans what
	// leaves its region, and 0 otherwise. It isn't told to the scheduler, which knows better.
	Occupied int
}

// HasFreeSlot reports whether one of the candidates has a free slot as far as the host knows.
func HasFreeSlot(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool {
		return c.Slots == 0 || c.Occupied < c.Slots
	})
}

// Prompt is a request for one of its Candidates, of which there must be at least one. It is
// booked only at a cost of at most MaxCost, and does not wait in the queue if it has such a
// bound. PrefillBacklogs books it only behind a backlog of at most MaxBacklog. 0 stands for no
// bound.
type Prompt struct {
	Candidates []Candidate
	MaxCost    time.Duration
	MaxBacklog time.Duration
	// PrefillGap is the time that the engine stays free after the prompt; 0 stands for
	// defaultPrefillGap.
	PrefillGap time.Duration
	// Ticket identifies the prompt.
	Ticket Ticket
	// Objective is the latest instant at which the first event is in time, AbandonAt the one at
	// which the prompt is abandoned. Priority ranks prompts, 0 is the most urgent.
	Objective time.Time
	AbandonAt time.Time
	Priority  int
	// MayWait is whether the prompt may wait in the queue.
	MayWait bool
	// Account is the client account that is charged for the prompt, empty where there are no
	// accounts; Weight is the weight of its share.
	Account ident.AccountName
	Weight  float64
}

// Reservation is an engine and the instant at which to send a prompt there. Index is the
// engine's position among the candidates.
type Reservation struct {
	Server ident.ServerName
	Index  int
	SendAt time.Time
	// Cost is the expected time from now to the first byte. StartDelay is the part of it before
	// the engine starts the prefill: its backlog, or the wait for a slot.
	Cost       time.Duration
	StartDelay time.Duration
	// Booked is whether the engine is reserved for the prompt; if not, the rest is an estimate.
	// QueueFull is whether no engine is expected to start the prompt before it is abandoned. If
	// neither is set, the caller may try again.
	Booked    bool
	QueueFull bool
}

// Reserve finds the candidate with the least cost, and books the prefill time of a prompt there
// unless that exceeds a bound of the prompt.
func (b *PrefillBacklogs) Reserve(now time.Time, prompt *Prompt) Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	best := b.cheapest(now, prompt.Candidates)
	if prompt.MaxCost > 0 && best.Cost > prompt.MaxCost || prompt.MaxBacklog > 0 && best.StartDelay > prompt.MaxBacklog {
		return best
	}
	best.Booked = true
	b.add(now, prompt, &best)
	return best
}

// add extends an engine's backlog by the prefill time of a prompt.
func (b *PrefillBacklogs) add(now time.Time, prompt *Prompt, reservation *Reservation) {
	prefillTime := prompt.Candidates[reservation.Index].PrefillTime
	if reservation.StartDelay <= maxSendDelay {
		prefillTime += cmp.Or(prompt.PrefillGap, defaultPrefillGap)
	}
	b.busyUntil[reservation.Server] = now.Add(min(reservation.StartDelay+prefillTime, maxBacklog))
}

// backlog returns the time until an engine has prefilled all prompts booked there.
func (b *PrefillBacklogs) backlog(now time.Time, server ident.ServerName) time.Duration {
	return max(b.busyUntil[server].Sub(now), 0)
}

func (b *PrefillBacklogs) cheapest(now time.Time, candidates []Candidate) Reservation {
	var best Reservation
	for i := range candidates {
		candidate := &candidates[i]
		backlog := b.backlog(now, candidate.Server)
		cost := backlog + candidate.PrefillTime + candidate.OtherCost
		if i == 0 || cost < best.Cost {
			best = Reservation{
				Server:     candidate.Server,
				Index:      i,
				SendAt:     now.Add(min(backlog, maxSendDelay)),
				Cost:       cost,
				StartDelay: backlog,
			}
		}
	}
	return best
}

// sweep forgets engines that have had no backlog for idleRetention.
func (b *PrefillBacklogs) sweep(now time.Time) {
	if b.busyUntil == nil {
		b.busyUntil = make(map[ident.ServerName]time.Time)
	}
	if now.Sub(b.sweptAt) < idleRetention {
		return
	}
	b.sweptAt = now
	for server, until := range b.busyUntil {
		if now.Sub(until) > idleRetention {
			delete(b.busyUntil, server)
		}
	}
}

// Host is a host that may be a prompt scheduler. CPUCapacity is in cores.
type Host struct {
	Name        ident.HostID
	Address     string
	DataCentre  ident.DataCentre
	Region      ident.Region
	CPUCapacity float64
}

// hostsPerScheduler is the number of hosts that send prompts to the schedulers of one group of
// models. Each scheduler of a region counts the slots of an engine for itself, and together
// they send more than the engine has: so there are several only where one would run out of
// processor time.
const hostsPerScheduler = 400

// SchedulersPerGroup is the number of hosts that may be the scheduler of a group: the second
// one takes over when the first does not answer.
const SchedulersPerGroup = 2

// Schedulers returns the prompt schedulers for a model's engines in a region, the primary one
// first. They are hosts of that region or, if it has none, of any.
func Schedulers(hosts []Host, model ident.ModelName, region ident.Region) []Host {
	candidates := InRegion(hosts, region)
	if len(candidates) == 0 {
		candidates = hosts
	}
	return schedulersOf(candidates, region, int(xxhash.Sum64String(string(model))%uint64(groupCount(hosts))))
}

// groupCount returns the number of groups into which models are divided, each with its own
// schedulers.
func groupCount(hosts []Host) int {
	return 1 + len(hosts)/hostsPerScheduler
}

func schedulersOf(candidates []Host, region ident.Region, group int) []Host {
	return PickStrongHosts(candidates, string(region)+"/"+strconv.Itoa(group), SchedulersPerGroup)
}

// PrimarySchedulers returns the primary scheduler of each group of each region.
func PrimarySchedulers(hosts []Host) []Host {
	var all []Host
	for region, regionHosts := range ByRegion(hosts) {
		for group := range groupCount(hosts) {
			all = append(all, schedulersOf(regionHosts, region, group)[0])
		}
	}
	return all
}

// strongFraction is the fraction of the largest CPU capacity among the hosts that makes a host
// strong.
const strongFraction = 0.5

// PickStrongHosts picks hosts for a key as PickHosts does, but first those with at least
// strongFraction of the largest CPU capacity: a host with a fifth of a core does its duties
// late while another has most of its core to spare.
func PickStrongHosts(hosts []Host, key string, limit int) []Host {
	strongest := 0.0
	for i := range hosts {
		strongest = max(strongest, hosts[i].CPUCapacity)
	}
	var strong, weak []Host
	for i := range hosts {
		if hosts[i].CPUCapacity >= strongFraction*strongest {
			strong = append(strong, hosts[i])
		} else {
			weak = append(weak, hosts[i])
		}
	}
	picked := PickHosts(strong, key, limit)
	return append(picked, PickHosts(weak, key, limit-len(picked))...)
}

// ByRegion groups hosts by region.
func ByRegion(hosts []Host) map[ident.Region][]Host {
	regions := make(map[ident.Region][]Host)
	for i := range hosts {
		regions[hosts[i].Region] = append(regions[hosts[i].Region], hosts[i])
	}
	return regions
}

// InDataCentre returns the hosts in a data centre.
func InDataCentre(hosts []Host, dataCentre ident.DataCentre) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.DataCentre != dataCentre })
}

// InRegion returns the hosts in a region.
func InRegion(hosts []Host, region ident.Region) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Region != region })
}

// PickHosts picks at most limit hosts for a key by rendezvous hashing: all callers that know
// the same hosts pick the same ones in the same order, and if one is lost the next ones move
// up.
func PickHosts(hosts []Host, key string, limit int) []Host {
	remaining := slices.Clone(hosts)
	var picked []Host
	for len(picked) < limit && len(remaining) > 0 {
		names := make([]string, 0, len(remaining))
		for i := range remaining {
			names = append(names, string(remaining[i].Name))
		}
		topName := ident.HostID(rendezvous.New(names, xxhash.Sum64String).Lookup(key))
		index := slices.IndexFunc(remaining, func(h Host) bool { return h.Name == topName })
		picked = append(picked, remaining[index])
		remaining = slices.Delete(remaining, index, index+1)
	}
	return picked
}
