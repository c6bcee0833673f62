package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Times of a planned stop, counted from its signal. The platform asks once a
// second whether a host is ready, and takes it out after two misses.
const (
	// serveOn is how long new requests are served as usual, with the word to close
	// the connection: clients still come meanwhile.
	serveOn = 3 * time.Second
	// leastLeft is what is kept of the grace for the end of the process itself, and
	// lastAnswers for the answers to what is still under way then.
	leastLeft   = 500 * time.Millisecond
	lastAnswers = 400 * time.Millisecond
	idlePoll    = 50 * time.Millisecond
)

// Stop ends the host and cuts no request that ends within the grace. It first says
// that it is not ready and serves on, until the platform and the clients have had
// time to go elsewhere; each answer closes its connection. It gives back what it
// holds, so that another host can go on at once. Then it takes no more
// connections, lets what is under way finish, and ends.
func (g *Gateway) Stop(ctx context.Context) error {
	begun := time.Now()
	if g.stopping.CompareAndSwap(false, true) {
		close(g.stopBegun)
	}
	end := begun.Add(g.options.Settings.Bounds.Grace - leastLeft)
	answersEnd := end.Add(-lastAnswers)
	g.handler.StopBy(begun.Add(serveOn), answersEnd)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	g.waitUntilIdle(ctx, begun.Add(serveOn), answersEnd)
	g.endRequests()
	err := g.callers.Stop(ctx)
	g.tomb.Kill(nil)
	if dead := g.tomb.Wait(); err == nil {
		err = dead
	}
	g.close(ctx)
	return errors.Wrap(err, "stop")
}

// close ends what listens and what is connected.
func (g *Gateway) close(ctx context.Context) {
	g.endRequests()
	for name, err := range map[string]error{
		"callers": g.callers.Stop(ctx),
		"ready":   g.ready.Stop(ctx),
		"metrics": g.metrics.Stop(ctx),
		"peers":   g.server.Stop(),
	} {
		if err != nil {
			g.log.Warn("not closed in order", zap.String("Listener", name), zap.Error(err))
		}
	}
	g.peers.Close()
	g.up.Close()
}

// waitUntilIdle waits until an instant, and on until nothing is under way or
// another instant has come.
func (g *Gateway) waitUntilIdle(ctx context.Context, from, until time.Time) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.After(until) || now.After(from) && g.handler.UnderWay() == 0 {
				return
			}
		}
	}
}
