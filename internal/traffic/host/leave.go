package host

import (
	"context"
	"time"
)

// leave lets the balancer find out that the host stops before it does. A host
// that closed its address at once would turn callers away whom the balancer had
// not yet stopped sending: hundreds of planned stops a day would each cost some.
// A host that was drained has been left already.
func (h *Host) leave(ctx context.Context) {
	if h.callers == nil || h.Stopping() {
		return
	}
	h.callers.Leave()
	timer := time.NewTimer(h.lameDuck)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
