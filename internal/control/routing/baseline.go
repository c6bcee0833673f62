package routing

import (
	"sync/atomic"

	"cicadaloom/internal/domain/splitmix"
)

// Random takes a random usable replica.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(target *Target, request *Request) (Choice, error) {
	return firstUsableFrom(target, request, splitmix.Mix(request.Random+uint64(request.NumTried)))
}

// RoundRobin takes the replicas in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Policy.
func (r *RoundRobin) Choose(target *Target, request *Request) (Choice, error) {
	return firstUsableFrom(target, request, r.next.Add(1))
}

// LeastReported takes the replica whose last report has the shortest queue.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(target *Target, request *Request) (Choice, error) {
	var best *Replica
	for i := range target.Replicas {
		replica := &target.Replicas[i]
		if !replica.isUsable(request) {
			continue
		}
		if best == nil || replica.LoadTracker.reportedQueue.Load() < best.LoadTracker.reportedQueue.Load() {
			best = replica
		}
	}
	return newChoice(best, request)
}

func firstUsableFrom(target *Target, request *Request, start uint64) (Choice, error) {
	count := uint64(len(target.Replicas))
	for i := range count {
		replica := &target.Replicas[(start+i)%count]
		if replica.isUsable(request) {
			return newChoice(replica, request)
		}
	}
	return Choice{}, ErrNoReplica
}

func newChoice(replica *Replica, request *Request) (Choice, error) {
	if replica == nil {
		return Choice{}, ErrNoReplica
	}
	return Choice{
		Replica:      replica,
		ExpectedTTFT: replica.ExpectedTTFT(request.Now, false),
	}, nil
}
