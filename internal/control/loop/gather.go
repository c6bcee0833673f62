package loop

import (
	"context"
	"sync"
	"time"

	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/domain/ident"
)

// gathered is what all hosts that answered have given.
type gathered[T any] struct {
	answers []T
	hosts   []ident.HostID
	// missing are hosts that were asked and gave no answer, and those that are
	// remembered but have fallen silent.
	missing []ident.HostID
}

// gather asks every host that can be asked, this one among them, all at once.
func gather[T any](ctx context.Context, l *Loop, ask func(ctx context.Context, peer membership.Peer) (T, error)) (gathered[T], error) {
	hosts, err := inquire(ctx, l, func(now time.Time, c *control) asking {
		return c.asking(now)
	})
	if err != nil {
		return gathered[T]{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout())
	defer cancel()
	answers := make([]T, len(hosts.peers))
	failures := make([]error, len(hosts.peers))
	var group sync.WaitGroup
	for i := range hosts.peers {
		group.Go(func() {
			answers[i], failures[i] = ask(ctx, hosts.peers[i])
		})
	}
	group.Wait()
	got := gathered[T]{
		missing: hosts.silent,
	}
	for i := range hosts.peers {
		if failures[i] != nil {
			got.missing = append(got.missing, hosts.peers[i].Host)
			continue
		}
		got.hosts = append(got.hosts, hosts.peers[i].Host)
		got.answers = append(got.answers, answers[i])
	}
	return got, nil
}

// asking is which hosts to ask, and which are known but can't be.
type asking struct {
	peers  []membership.Peer
	silent []ident.HostID
}

func (c *control) asking(now time.Time) asking {
	result := asking{
		peers: c.membership.Answering(now),
	}
	answering := make(map[ident.HostID]bool, len(result.peers))
	for i := range result.peers {
		answering[result.peers[i].Host] = true
	}
	for _, known := range c.membership.All() {
		if !answering[known.Host] {
			result.silent = append(result.silent, known.Host)
		}
	}
	return result
}
