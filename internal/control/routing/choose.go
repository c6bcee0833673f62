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

// MaxTried is the maximum number of backend servers that one request is sent to.
const MaxTried = 4

// Request has the properties of a request that a choice depends on.
type Request struct {
	Now time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Random has random bits, the same for each choice of one request.
	Random uint64
	// PrefixHash is a hash of the request's beginning; requests with the same one
	// find their prompt in the same replica's cache.
	PrefixHash uint64
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// PairOnly restricts the choice to the two replicas preferred for PrefixHash and
	// Fingerprint. All hosts find the same two, so that no more than two replicas
	// run requests with one content, however many copies arrive at however many
	// hosts.
	PairOnly bool
	// Tried has the servers that have already been sent the request, in its first
	// NumTried elements.
	Tried    [MaxTried]ident.ServerName
	NumTried int
	// IdleOnly restricts the choice to replicas with no other request in flight.
	IdleOnly bool
	// OpenBy is until when the request can wait for a server that accepts none now by its own
	// word; zero if it can't.
	OpenBy time.Time
	// OtherRegion selects replicas in another region instead of this one.
	OtherRegion bool
	// Version, if set, is the only version that can continue the answer of a stream.
	Version ident.Version
}

// Choice is where a request should go.
type Choice struct {
	Replica *Replica
	// ExpectedTTFT is the expected time to the first token.
	ExpectedTTFT time.Duration
}

// Policy picks a replica for a request. The policies other than LeastCost are
// baselines to compare it with.
type Policy interface {
	Choose(target *Target, request *Request) (Choice, error)
}

// NewPolicy returns the policy of a name in the settings; the empty name is
// LeastCost.
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

// Constants of the cost, beside measured times.
const (
	// defaultPrefillTime and defaultGenerationTime are used until a server has
	// answered.
	defaultPrefillTime    = 50 * time.Millisecond
	defaultGenerationTime = 100 * time.Millisecond
	// prefixCacheSaving is the fraction of the prefill time that a cached prefix
	// saves.
	prefixCacheSaving = 0.8
	// slowStartPenalty is added to the cost of a replica in its slow start.
	slowStartPenalty = 40 * time.Millisecond
	// noReportPenalty is added to the cost of a replica that has no recent report.
	noReportPenalty = 20 * time.Millisecond
)

// sampleSize is the number of random candidates that LeastCost looks at in addition
// to the replica that is preferred for the request's prefix.
const sampleSize = 2

// LeastCost takes the cheapest of a few random candidates and the replica that is
// preferred for the request's prefix.
type LeastCost struct{}

// Choose implements Policy.
func (LeastCost) Choose(target *Target, request *Request) (Choice, error) {
	from, to := 0, target.localCount
	if request.OtherRegion {
		from, to = target.localCount, len(target.Replicas)
	}
	if choice, found := cheapestReplica(target, request, from, to); found {
		return choice, nil
	}
	return Choice{}, ErrNoReplica
}

func cheapestReplica(target *Target, request *Request, from, to int) (Choice, bool) {
	best := Choice{}
	if from == to {
		return best, false
	}
	preferred := target.preferredReplica(request.PrefixHash, from, to)
	considerReplica(&best, target, request, preferred, preferred)
	if request.PairOnly {
		considerReplica(&best, target, request, target.secondPreferredReplica(request.Fingerprint, preferred, from, to), preferred)
		return best, best.Replica != nil
	}
	count := uint64(to - from)
	random := splitmix.Mix(request.Random + uint64(request.NumTried))
	for range sampleSize {
		considerReplica(&best, target, request, from+int(random%count), preferred)
		random = splitmix.Mix(random)
	}
	if best.Replica != nil {
		return best, true
	}
	// All candidates were tried, ejected or busy: look at all replicas.
	for i := from; i < to; i++ {
		considerReplica(&best, target, request, i, preferred)
	}
	return best, best.Replica != nil
}

// secondPreferredReplica returns the index of the replica, other than preferred,
// that has the highest rendezvous weight for a content.
func (t *Target) secondPreferredReplica(fingerprint uint64, preferred, from, to int) int {
	second, highest := preferred, uint64(0)
	for i := from; i < to; i++ {
		if weight := t.Replicas[i].rendezvousWeight(fingerprint); i != preferred && weight > highest {
			second, highest = i, weight
		}
	}
	return second
}

// preferredReplica returns the index of the replica whose cache is likely to have a
// prefix, by rendezvous hashing: every host finds the same one without a shared
// table, and when a replica is added or removed only the prefixes of that replica
// move.
func (t *Target) preferredReplica(prefix uint64, from, to int) int {
	preferred, highest := from, uint64(0)
	for i := from; i < to; i++ {
		if weight := t.Replicas[i].rendezvousWeight(prefix); weight > highest {
			preferred, highest = i, weight
		}
	}
	return preferred
}

// rendezvousWeight combines a hash with the hash of the server's name, so that each
// hash orders the replicas in its own way.
func (r *Replica) rendezvousWeight(hash uint64) uint64 {
	weight := (hash ^ r.nameHash) * 0x9e3779b97f4a7c15
	return (weight ^ weight>>32) * 0x9e3779b97f4a7c15
}

func considerReplica(best *Choice, target *Target, request *Request, index, preferred int) {
	replica := &target.Replicas[index]
	if !replica.isUsable(request) {
		return
	}
	ttft := replica.ExpectedTTFT(request.Now, index == preferred)
	if best.Replica == nil || ttft < best.ExpectedTTFT {
		best.Replica = replica
		best.ExpectedTTFT = ttft
	}
}

func (r *Replica) isUsable(request *Request) bool {
	if request.hasTried(r.Server) || !r.isOpen(request) {
		return false
	}
	if r.inOtherRegion != request.OtherRegion {
		return false
	}
	if request.IdleOnly && !r.LoadTracker.IsIdle() {
		return false
	}
	if request.Version != "" && request.Version != r.Version {
		return false
	}
	return !r.LoadTracker.IsEjected(request.Now) && r.missingUntil.Load() <= request.Now.UnixNano()
}

// isOpen reports whether the server accepts the request, by its own word, in time.
func (r *Replica) isOpen(request *Request) bool {
	state := r.Pressure.State()
	opensAt := state.OpensAt()
	return !state.IsLeaving && (!opensAt.After(request.Now) || !opensAt.After(request.OpenBy))
}

func (r *Request) hasTried(server ident.ServerName) bool {
	for i := range r.NumTried {
		if r.Tried[i] == server {
			return true
		}
	}
	return false
}

// ExpectedTTFT returns the expected time to the first token (TTFT) at a replica.
func (r *Replica) ExpectedTTFT(now time.Time, hasCachedPrefix bool) time.Duration {
	prefill := r.LoadTracker.PrefillTime()
	generation := r.LoadTracker.GenerationTime()
	queue := r.LoadTracker.EstimateQueue(now)
	slots := r.LoadTracker.Slots()
	expected := r.roundTrip + time.Duration(queue/slots*float64(prefill))
	if queue >= slots {
		expected += time.Duration((queue - slots + 1) / slots * float64(prefill+generation))
	}
	inSlowStart := now.Before(r.slowStartUntil)
	if hasCachedPrefix && !inSlowStart {
		prefill = time.Duration(float64(prefill) * (1 - prefixCacheSaving))
	}
	expected += prefill
	if inSlowStart {
		expected += slowStartPenalty
	}
	if !r.LoadTracker.HasValidReport(now) {
		expected += noReportPenalty
	}
	return expected
}

// ServerLoad returns the estimated load of the replica's server, for admission.
func (r *Replica) ServerLoad(now time.Time) admission.ServerLoad {
	return admission.ServerLoad{
		Queue:       r.LoadTracker.EstimateQueue(now),
		Slots:       r.LoadTracker.Slots(),
		FirstToken:  r.roundTrip + r.LoadTracker.PrefillTime(),
		WholeAnswer: r.LoadTracker.PrefillTime() + r.LoadTracker.GenerationTime(),
	}
}
