package routing

import (
	"sync/atomic"

	"cicadaloom/internal/domain/splitmix"
)

// Random takes any replica that is not ejected.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(target *Target, request *Request) (Choice, error) {
	return firstFrom(target, request, splitmix.Mix(request.Dice+uint64(request.NumTried)))
}

// RoundRobin takes the replicas in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Policy.
func (r *RoundRobin) Choose(target *Target, request *Request) (Choice, error) {
	return firstFrom(target, request, r.next.Add(1))
}

// LeastReported takes the replica with the shortest queue in the last reports.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(target *Target, request *Request) (Choice, error) {
	var best *Replica
	for i := range target.Replicas {
		replica := &target.Replicas[i]
		if !replica.usable(request) {
			continue
		}
		if best == nil || replica.Gauge.queue.Load() < best.Gauge.queue.Load() {
			best = replica
		}
	}
	return chosen(best, request)
}

func firstFrom(target *Target, request *Request, start uint64) (Choice, error) {
	count := uint64(len(target.Replicas))
	for i := range count {
		replica := &target.Replicas[(start+i)%count]
		if replica.usable(request) {
			return chosen(replica, request)
		}
	}
	return Choice{}, ErrNoReplica
}

func chosen(replica *Replica, request *Request) (Choice, error) {
	if replica == nil {
		return Choice{}, ErrNoReplica
	}
	return Choice{
		Replica: replica,
		Wait:    replica.Wait(request.Now, false),
	}, nil
}
