package openloop

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// passedOver is for how long a target without connections gets no requests.
const passedOver = time.Second

// balancer spreads requests over targets, as the platform's balancer does.
type balancer struct {
	targets []target
}

type target struct {
	address string
	// downUntil is an instant in nanoseconds of Unix time.
	downUntil atomic.Int64
}

// pick gives the target that the dice point to, or the next that is up. With
// all down it gives the one that the dice point to: one of them may be back.
func (b *balancer) pick(dice uint64, now time.Time) *target {
	count := uint64(len(b.targets))
	for i := range count {
		candidate := &b.targets[(dice+i)%count]
		if now.UnixNano() >= candidate.downUntil.Load() {
			return candidate
		}
	}
	return &b.targets[dice%count]
}

func (t *target) down(now time.Time) {
	t.downUntil.Store(now.Add(passedOver).UnixNano())
}

// neverConnected tells that nothing of a request can have been sent.
func neverConnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
