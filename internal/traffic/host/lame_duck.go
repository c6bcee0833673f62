package host

import (
	"context"
	"time"
)

// announceStop reports at the health page that the host stops, and waits until
// the balancer has had time to notice. If the host closed its address at once,
// callers that the balancer still sends there would be refused, and with
// hundreds of planned stops a day each would cost some requests. It does
// nothing if the host was drained before.
func (h *Host) announceStop(ctx context.Context) {
	if h.callers == nil || h.Stopping() {
		return
	}
	h.callers.AnnounceStop()
	timer := time.NewTimer(h.lameDuck)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
