package openloop

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// targetDownTime is how long a target gets no requests after a failed connection.
const targetDownTime = time.Second

// balancer distributes requests over targets, like the platform's load balancer.
type balancer struct {
	targets []target
}

type target struct {
	address string
	// downUntil is in Unix nanoseconds; 0 if no connection has failed.
	downUntil atomic.Int64
}

// pick returns the target that the random number selects, or the next one that is
// not down. If all are down it returns the selected one: it may be up again.
func (b *balancer) pick(random uint64, now time.Time) *target {
	count := uint64(len(b.targets))
	for i := range count {
		candidate := &b.targets[(random+i)%count]
		if now.UnixNano() >= candidate.downUntil.Load() {
			return candidate
		}
	}
	return &b.targets[random%count]
}

func (t *target) markDown(now time.Time) {
	t.downUntil.Store(now.Add(targetDownTime).UnixNano())
}

// isDialError reports that no connection was established, so nothing of the request
// can have been sent.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
