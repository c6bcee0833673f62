package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Times of a planned stop, counted from its signal. The platform checks once a
// second whether a host is ready, and removes it after two failed checks.
const (
	// drainTime is how long new requests are served as usual, with a header that closes the
	// connection: clients still arrive meanwhile.
	drainTime = 3 * time.Second
	// lastStreamMargin is how much sooner streams are refused: the signal may reach the process
	// late, and a stream that begins at the end of drainTime may not end within the grace period.
	lastStreamMargin = 200 * time.Millisecond
	// processExitTime is what is reserved of the grace period for the end of the process
	// itself, and finalAnswerTime for the answers to requests still in progress then.
	processExitTime  = 500 * time.Millisecond
	finalAnswerTime  = 400 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
)

// Stop ends the host and cuts no request that ends within the grace period. It first
// reports that it is not ready and continues to serve, until the platform and the clients
// have had time to move to other hosts; each answer closes its connection. It releases
// the leader key, so that another host can take over at once. Then it accepts no more
// connections, lets the requests in progress finish, and ends.
func (g *Gateway) Stop(ctx context.Context) error {
	start := time.Now()
	if g.stopping.CompareAndSwap(false, true) {
		close(g.stopStarted)
	}
	end := start.Add(g.options.Settings.Bounds.Grace - processExitTime)
	answersEnd := end.Add(-finalAnswerTime)
	g.handler.StopBy(start.Add(drainTime-lastStreamMargin), answersEnd)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	g.waitUntilIdle(ctx, start.Add(drainTime), answersEnd)
	g.cancelRequests()
	err := g.callerServer.Stop(ctx)
	g.tomb.Kill(nil)
	if tombErr := g.tomb.Wait(); err == nil {
		err = tombErr
	}
	g.close(ctx)
	return errors.Wrap(err, "stop")
}

// close closes all listeners and connections.
func (g *Gateway) close(ctx context.Context) {
	g.cancelRequests()
	for name, err := range map[string]error{
		"callers": g.callerServer.Stop(ctx),
		"ready":   g.readinessServer.Stop(ctx),
		"metrics": g.metrics.Stop(ctx),
		"peers":   g.peerServer.Stop(),
	} {
		if err != nil {
			g.log.Warn("not closed in order", zap.String("Listener", name), zap.Error(err))
		}
	}
	g.peers.Close()
	g.tunnels.connections.Close()
	g.upstreamClient.Close()
}

// waitUntilIdle waits until the earliest instant, and from then on until no request is in
// progress or the latest instant has come.
func (g *Gateway) waitUntilIdle(ctx context.Context, earliest, latest time.Time) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.After(latest) || now.After(earliest) && g.handler.InFlight() == 0 && g.tunnels.count() == 0 {
				return
			}
		}
	}
}
