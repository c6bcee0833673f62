package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/domain/ident"
)

// borrowTimeout is how long a watcher may take to lend a retry: several round trips
// within a region. The request's caller waits meanwhile.
const borrowTimeout = 60 * time.Millisecond

// Borrow implements relay.ControlPlane: the watchers of the data centre lend the tokens that
// its hosts have transferred to them. A watcher lends to itself.
func (g *Gateway) Borrow(ctx context.Context, service ident.ServiceName) bool {
	watchers := g.watchers.Load()
	if watchers.isEmpty() {
		return g.Lend(service)
	}
	for _, watcher := range watchers.near {
		if ctx.Err() != nil {
			return false
		}
		limitedCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		granted, err := g.peers.Borrow(limitedCtx, watcher, service)
		cancel()
		if err != nil {
			g.log.Debug("borrowing a retry failed", zap.String("Reader", watcher), zap.Error(err))
		}
		if granted {
			return true
		}
	}
	return false
}

// Lend implements gatewaypeer.Handler.
func (g *Gateway) Lend(service ident.ServiceName) bool {
	return g.budget.Lend(time.Now(), service)
}
