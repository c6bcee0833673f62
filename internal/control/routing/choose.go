package routing

import (
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/admission"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/splitmix"
)

// ErrNoReplica says that no backend server can take the request now.
var ErrNoReplica = errors.New("no replica takes work")

// MaxTried bounds the backend servers that one request may be sent to.
const MaxTried = 4

// Request is what a choice needs to know of a request.
type Request struct {
	Now time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Dice are random bits of this request, the same for each of its choices.
	Dice uint64
	// Prefix is a hash of the request's beginning; requests with the same one
	// find their prompt in the same replica's cache.
	Prefix uint64
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// Confined asks for one of the two replicas that the content points to. All
	// hosts find the same two, so that however many copies of a request come
	// through however many hosts, no more than two replicas run it.
	Confined bool
	// Tried are the servers that have had the request, in the first NumTried.
	Tried    [MaxTried]ident.ServerName
	NumTried int
	// Alone asks for a replica with nothing else under way.
	Alone bool
	// Elsewhere asks for a replica in another region instead of this one.
	Elsewhere bool
	// Version, where set, is the only one that can go on with a stream's answer.
	Version ident.Version
}

// Choice is where a request should go.
type Choice struct {
	Replica *Replica
	// Wait is the expected time to the first token.
	Wait time.Duration
}

// Policy picks a replica for a request. The policies other than LeastCost are
// baselines that measurements compare it with.
type Policy interface {
	Choose(target *Target, request *Request) (Choice, error)
}

// NewPolicy gives the policy of a name that the settings allow.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case "", NameLeastCost:
		return LeastCost{}, nil
	case NameRandom:
		return Random{}, nil
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameLeastReported:
		return LeastReported{}, nil
	}
	return nil, errors.Errorf("routing policy %q: found %q, allowed LeastCost, Random, RoundRobin, LeastReported", name, name)
}

// Names of the policies in the settings.
const (
	NameLeastCost     = "LeastCost"
	NameRandom        = "Random"
	NameRoundRobin    = "RoundRobin"
	NameLeastReported = "LeastReported"
)

// Costs that are not measured times.
const (
	// guessPrompt and guessGeneration stand in until a server has answered.
	guessPrompt     = 50 * time.Millisecond
	guessGeneration = 100 * time.Millisecond
	// cacheSaves is the part of the first token's time that a cached prefix saves.
	cacheSaves = 0.8
	// coldSurcharge is added to the cost of a replica in its slow start.
	coldSurcharge = 40 * time.Millisecond
	// silentSurcharge is added where no trusted report stands behind the figures.
	silentSurcharge = 20 * time.Millisecond
)

// sampled is how many random candidates LeastCost looks at beside the one whose
// cache the request's prefix points to.
const sampled = 2

// LeastCost takes the cheapest of a few random candidates and the replica that
// the request's prefix points to.
type LeastCost struct{}

// Choose implements Policy.
func (LeastCost) Choose(target *Target, request *Request) (Choice, error) {
	from, to := 0, target.nearby
	if request.Elsewhere {
		from, to = target.nearby, len(target.Replicas)
	}
	if choice, found := cheapest(target, request, from, to); found {
		return choice, nil
	}
	return Choice{}, ErrNoReplica
}

func cheapest(target *Target, request *Request, from, to int) (Choice, bool) {
	best := Choice{}
	if from == to {
		return best, false
	}
	home := target.home(request.Prefix, from, to)
	consider(&best, target, request, home, home)
	if request.Confined {
		consider(&best, target, request, target.second(request.Fingerprint, home, from, to), home)
		return best, best.Replica != nil
	}
	count := uint64(to - from)
	dice := splitmix.Mix(request.Dice + uint64(request.NumTried))
	for range sampled {
		consider(&best, target, request, from+int(dice%count), home)
		dice = splitmix.Mix(dice)
	}
	if best.Replica != nil {
		return best, true
	}
	// Everything drawn was tried, ejected or busy: look at all of them.
	for i := from; i < to; i++ {
		consider(&best, target, request, i, home)
	}
	return best, best.Replica != nil
}

// second gives the other replica that a content points to beside its home.
func (t *Target) second(fingerprint uint64, home, from, to int) int {
	second, highest := home, uint64(0)
	for i := from; i < to; i++ {
		if weight := t.Replicas[i].weight(fingerprint); i != home && weight > highest {
			second, highest = i, weight
		}
	}
	return second
}

// home gives the replica whose cache is likely to have a prefix, by rendezvous
// hashing: every host finds the same one without any table, and when a replica
// comes or goes only its own prefixes move.
func (t *Target) home(prefix uint64, from, to int) int {
	home, highest := from, uint64(0)
	for i := from; i < to; i++ {
		if weight := t.Replicas[i].weight(prefix); weight > highest {
			home, highest = i, weight
		}
	}
	return home
}

// weight orders the replicas for a hash, which is random bits as the seed is.
func (r *Replica) weight(hash uint64) uint64 {
	weight := (hash ^ r.seed) * 0x9e3779b97f4a7c15
	return (weight ^ weight>>32) * 0x9e3779b97f4a7c15
}

func consider(best *Choice, target *Target, request *Request, index, home int) {
	replica := &target.Replicas[index]
	if !replica.usable(request) {
		return
	}
	wait := replica.Wait(request.Now, index == home)
	if best.Replica == nil || wait < best.Wait {
		best.Replica = replica
		best.Wait = wait
	}
}

func (r *Replica) usable(request *Request) bool {
	for i := range request.NumTried {
		if request.Tried[i] == r.Server {
			return false
		}
	}
	if r.far != request.Elsewhere {
		return false
	}
	if request.Alone && !r.Gauge.Idle() {
		return false
	}
	if request.Version != "" && request.Version != r.Version {
		return false
	}
	return !r.Gauge.Ejected(request.Now) && r.absentUntil.Load() <= request.Now.UnixNano()
}

// Wait gives the expected time to the first token at a replica.
func (r *Replica) Wait(now time.Time, cached bool) time.Duration {
	prompt := r.Gauge.Prompt()
	generation := r.Gauge.Generation()
	queue := r.Gauge.Queue(now)
	slots := r.Gauge.Slots()
	wait := r.wayBack + time.Duration(queue/slots*float64(prompt))
	if queue >= slots {
		wait += time.Duration((queue - slots + 1) / slots * float64(prompt+generation))
	}
	cold := now.Before(r.warmFrom)
	if cached && !cold {
		prompt = time.Duration(float64(prompt) * (1 - cacheSaves))
	}
	wait += prompt
	if cold {
		wait += coldSurcharge
	}
	if !r.Gauge.Known(now) {
		wait += silentSurcharge
	}
	return wait
}

// Load gives what is believed of a replica's server, for admission.
func (r *Replica) Load(now time.Time) admission.Load {
	return admission.Load{
		Queue: r.Gauge.Queue(now),
		Slots: r.Gauge.Slots(),
		Empty: r.wayBack + r.Gauge.Prompt(),
		Whole: r.Gauge.Prompt() + r.Gauge.Generation(),
	}
}
