package loop

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/permits"
)

// Permit implements dispatch.Limits.
func (l *Loop) Permit(ctx context.Context, ask permits.Ask) permits.Answer {
	return l.limiter.Acquire(ctx, ask)
}

// IssuePermit implements entryhost.Handler.
func (l *Loop) IssuePermit(ask permits.Ask) permits.Answer {
	return l.limiter.IssuePermit(ask)
}

// ReportLimitEnded implements dispatch.Limits.
func (l *Loop) ReportLimitEnded(ask permits.Ask) {
	if !l.tomb.Alive() {
		return // the host has stopped, and starts no goroutine any more
	}
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		l.limiter.Acquire(ctx, ask)
	})
}

// SettlePermit implements dispatch.Limits.
func (l *Loop) SettlePermit(issuer pacing.Host, ask permits.Ask) {
	if !l.tomb.Alive() {
		return // the host has stopped, and starts no goroutine any more
	}
	l.startWorker(l.callTimeout(), func(ctx context.Context) {
		l.limiter.Settle(ctx, issuer, ask)
	})
}

// updateLimiter tells the limiter which hosts there are. A host that sees less than half of
// those it knows may have lost touch with the others.
func (c *control) updateLimiter(now time.Time) {
	var hosts []pacing.Host
	for _, peer := range c.membership.LivePeers(now) {
		if peer.Stopping {
			continue
		}
		hosts = append(hosts, pacing.Host{
			Name:       peer.Host,
			Address:    peer.Address,
			DataCentre: peer.DataCentre,
			Region:     peer.Region,
		})
	}
	slices.SortFunc(hosts, func(a, b pacing.Host) int { return cmp.Compare(a.Name, b.Name) })
	hosts = slices.CompactFunc(hosts, func(a, b pacing.Host) bool { return a.Name == b.Name })
	c.limiter.SetHosts(hosts)
	c.isInTouch.Store(2*len(hosts) > len(c.membership.KnownPeers()))
}
