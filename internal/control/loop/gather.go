package loop

import (
	"context"
	"time"

	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/domain/ident"
)

// gathered has the replies of all hosts that answered.
type gathered[T any] struct {
	replies []T
	hosts   []ident.HostID
	// missing are hosts that were asked and did not answer, and known hosts that no
	// longer send heartbeats.
	missing []ident.HostID
}

// gather asks this host and every peer that still sends heartbeats, all concurrently.
func gather[T any](ctx context.Context, l *Loop, fetch func(ctx context.Context, peer membership.Peer) (T, error)) (gathered[T], error) {
	targets, err := runOnControl(ctx, l, func(now time.Time, c *control) gatherTargets {
		return c.findGatherTargets(now)
	})
	if err != nil {
		return gathered[T]{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	replies := make([]T, len(targets.peers))
	failures := make([]error, len(targets.peers))
	runConcurrently(len(targets.peers), func(i int) {
		replies[i], failures[i] = fetch(ctx, targets.peers[i])
	})
	result := gathered[T]{
		missing: targets.silent,
	}
	for i := range targets.peers {
		if failures[i] != nil {
			result.missing = append(result.missing, targets.peers[i].Host)
			continue
		}
		result.hosts = append(result.hosts, targets.peers[i].Host)
		result.replies = append(result.replies, replies[i])
	}
	return result, nil
}

// runConcurrently runs the jobs concurrently and waits for all of them.
func runConcurrently(jobs int, job func(i int)) {
	var group tomb.Tomb
	// Started from inside, so that the tomb stays alive until the last job is started.
	group.Go(func() error {
		for i := range jobs {
			group.Go(func() error {
				job(i)
				return nil
			})
		}
		return nil
	})
	_ = group.Wait() // no job returns an error
}

// gatherTargets are the hosts to ask, and the known hosts that can't be asked.
type gatherTargets struct {
	peers  []membership.Peer
	silent []ident.HostID
}

func (c *control) findGatherTargets(now time.Time) gatherTargets {
	result := gatherTargets{
		peers: c.membership.RespondingPeers(now),
	}
	responding := make(map[ident.HostID]bool, len(result.peers))
	for i := range result.peers {
		responding[result.peers[i].Host] = true
	}
	for _, known := range c.membership.KnownPeers() {
		if !responding[known.Host] {
			result.silent = append(result.silent, known.Host)
		}
	}
	return result
}
