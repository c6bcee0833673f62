package gateway

import (
	"context"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/permits"
)

// Permit implements relay.ControlPlane.
func (g *Gateway) Permit(ctx context.Context, ask permits.Ask) permits.Answer {
	return g.limiter.Acquire(ctx, ask)
}

// IssuePermit implements gatewaypeer.Handler.
func (g *Gateway) IssuePermit(ask permits.Ask) permits.Answer {
	return g.limiter.IssuePermit(ask)
}

// ReportLimitEnded implements relay.ControlPlane.
func (g *Gateway) ReportLimitEnded(ask permits.Ask) {
	if !g.tomb.Alive() {
		return // the host has stopped, and starts no goroutine any more
	}
	g.tomb.Go(func() error {
		g.limiter.Acquire(g.context(), ask)
		return nil
	})
}

// SettlePermit implements relay.ControlPlane.
func (g *Gateway) SettlePermit(issuer pacing.Host, ask permits.Ask) {
	if !g.tomb.Alive() {
		return // the host has stopped, and starts no goroutine any more
	}
	g.tomb.Go(func() error {
		g.limiter.Settle(g.context(), issuer, ask)
		return nil
	})
}

// isInTouch reports whether this host's list of hosts is recent.
func (g *Gateway) isInTouch() bool {
	viewNanos := max(g.ownViewNanos(), g.peerViewNanos.Load())
	return viewNanos > 0 && isFreshView(viewNanos)
}
