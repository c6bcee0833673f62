package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/domain/ident"
)

// borrowLimit is how long a reader may take to lend a retry: a way within a region and
// back, several times over. The request's caller waits meanwhile.
const borrowLimit = 60 * time.Millisecond

// Borrow implements relay.Knowledge: the readers of the data centre have what its hosts
// could spare. A reader lends to itself.
func (g *Gateway) Borrow(ctx context.Context, service ident.ServiceName) bool {
	following := g.following.Load()
	if following.none() {
		return g.Lend(service)
	}
	for _, reader := range following.near {
		if ctx.Err() != nil {
			return false
		}
		limited, cancel := context.WithTimeout(ctx, borrowLimit)
		granted, err := g.peers.Borrow(limited, reader, service)
		cancel()
		if err != nil {
			g.log.Debug("no retry borrowed", zap.String("Reader", reader), zap.Error(err))
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
