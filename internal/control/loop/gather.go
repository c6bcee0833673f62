package loop

import (
	"context"
	"time"

	tomb "gopkg.in/tomb.v2"

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
	atOnce(len(hosts.peers), func(i int) {
		answers[i], failures[i] = ask(ctx, hosts.peers[i])
	})
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

// atOnce does a number of jobs at once and waits for all of them.
func atOnce(jobs int, job func(i int)) {
	var group tomb.Tomb
	// Started from inside, so that the tomb lives until the last is started.
	group.Go(func() error {
		for i := range jobs {
			group.Go(func() error {
				job(i)
				return nil
			})
		}
		return nil
	})
	_ = group.Wait() // no job gives an error
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
