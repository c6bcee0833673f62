package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/tunnelpeer"
)

// maxMessageSuspects is how many suspects a message has at most.
const maxMessageSuspects = 32

// crashProbeDelays are the pauses before each probe of a server that lost a request. A
// crashed server refuses connections at once; one whose connection was merely cut accepts
// them.
var crashProbeDelays = []time.Duration{80 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond}

// Verdict implements relay.ControlPlane.
func (g *Gateway) Verdict(fingerprint ident.Fingerprint) suspects.Verdict {
	return g.suspectView.Load().Verdict(fingerprint)
}

// ReportLostAttempt implements relay.ControlPlane: it finds out whether the server crashed
// while it served the request.
func (g *Gateway) ReportLostAttempt(loss suspects.LostAttempt) {
	if !g.tomb.Alive() {
		return // the host has stopped, and starts no goroutine any more
	}
	g.tomb.Go(func() error {
		for _, delay := range crashProbeDelays {
			g.sleep(delay)
			if errors.Is(g.tryConnecting(loss.Address), unix.ECONNREFUSED) && !g.mayStillRun(loss.ServerIncarnation) {
				g.log.Info("server crashed while it served a request", zap.String("Request", string(loss.Request)),
					zap.String("Server", string(loss.ServerIncarnation.Server)), zap.String("Incarnation", string(loss.ServerIncarnation.Incarnation)),
					zap.Uint64("Fingerprint", uint64(loss.Fingerprint)), zap.Bool("Unforeseen", loss.Unforeseen))
				g.post(suspectReported{event: loss.Crash()})
				return nil
			}
		}
		return nil
	})
}

// ReportCleared implements relay.ControlPlane.
func (g *Gateway) ReportCleared(fingerprint ident.Fingerprint) {
	g.post(suspectReported{event: suspects.Cleared{
		Fingerprint: fingerprint,
	}})
}

// maxWitnesses is how many peers are asked whether a server runs. A peer may be cut off itself, so
// they are more than those that a connection leads through.
const maxWitnesses = 8

// mayStillRun reports whether a server that refuses this host's connections may go on running: this
// host may be cut off from it. A server is down if no peer connects to it, and one of them
// connects to others, or most of them connect to none either.
func (g *Gateway) mayStillRun(server suspects.ServerIncarnation) bool {
	witnesses := g.witnesses()
	outcomes := make(chan error, len(witnesses))
	ctx, cancel := context.WithTimeout(g.context(), probeTimeout)
	defer cancel()
	for _, peer := range witnesses {
		go func() { outcomes <- g.tryThroughPeer(ctx, peer.Address, server) }()
	}
	unreachable, unable := 0, 0
	for range witnesses {
		switch err := <-outcomes; {
		case err == nil:
			return true
		case errors.Is(err, tunnelpeer.ErrUnreachable):
			unreachable++
		case errors.Is(err, tunnelpeer.ErrUnable):
			unable++
		}
	}
	return unreachable == 0 && 2*unable < len(witnesses)
}

// witnesses returns some of the other hosts, at random.
func (g *Gateway) witnesses() []pacing.Host {
	hosts := g.tunnels.hosts.Load()
	if hosts == nil {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(*hosts), func(h pacing.Host) bool { return h.Name == g.options.Settings.Host.Name })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(maxWitnesses, len(others))]
}

// tryThroughPeer returns why a peer can't connect to a server, nil if it can.
func (g *Gateway) tryThroughPeer(ctx context.Context, address string, server suspects.ServerIncarnation) error {
	conn, err := g.openTunnel(ctx, address, paths.Server{
		Name:        server.Server,
		Incarnation: server.Incarnation,
	})
	if err != nil {
		return err
	}
	_ = conn.Close() // only whether it opens matters
	return nil
}

// suspectReported is an event for the suspects.
type suspectReported struct {
	event suspects.Event
}

func (e suspectReported) apply(now time.Time, c *control) {
	if !c.suspects.Step(now, e.event) {
		return
	}
	view := c.suspects.View()
	c.suspectView.Store(view)
	if crash, isCrash := e.event.(suspects.Crash); isCrash && view.Verdict(crash.Fingerprint) == suspects.Refuse {
		c.log.Warn("request is refused from now on: servers crash while they serve it", zap.Uint64("Fingerprint", uint64(crash.Fingerprint)))
	}
}
