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

// Suspects implements relay.ControlPlane.
func (g *Gateway) Suspects() *suspects.View {
	return g.suspectView.Load()
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
					zap.Uint64("Fingerprint", uint64(loss.Fingerprint)), zap.Bool("WasAnswered", loss.WasAnswered), zap.Bool("Unforeseen", loss.Unforeseen),
					zap.Uint64s("PromptParts", partIDs(loss.Parts)))
				g.post(suspectsReported{
					events: loss.Crashes(),
				})
				return nil
			}
		}
		return nil
	})
}

// ReportCleared implements relay.ControlPlane.
func (g *Gateway) ReportCleared(fingerprint ident.Fingerprint) {
	g.post(suspectsReported{
		events: []suspects.Event{suspects.Cleared{
			Fingerprint: fingerprint,
		}},
	})
}

// ReportHarmless implements relay.ControlPlane.
func (g *Gateway) ReportHarmless(part suspects.Part) {
	g.post(suspectsReported{
		events: []suspects.Event{suspects.HarmlessPart{
			Part: part,
		}},
	})
}

// partIDs returns the ids of parts of prompts.
func partIDs(parts []suspects.Part) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
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

// suspectsReported has events for the suspects.
type suspectsReported struct {
	events []suspects.Event
}

func (e suspectsReported) apply(now time.Time, c *control) {
	changed, isCrash := false, false
	for _, event := range e.events {
		if !c.suspects.Step(now, event) {
			continue
		}
		changed = true
		if _, reportsCrash := event.(suspects.Crash); reportsCrash {
			isCrash = true
		}
	}
	if !changed {
		return
	}
	before := c.suspectView.Swap(c.suspects.View())
	for _, event := range e.events {
		if crash, reportsCrash := event.(suspects.Crash); reportsCrash {
			c.logIfRefused(crash, before)
		}
	}
	if isCrash || c.watchers.Load().isOwn() {
		c.requestExchange() // other hosts may be about to send such a request
	}
}

func (c *control) logIfRefused(crash suspects.Crash, before *suspects.View) {
	if before.Verdict(crash.Fingerprint) != suspects.Refuse && c.suspectView.Load().Verdict(crash.Fingerprint) == suspects.Refuse {
		c.log.Warn("requests are refused from now on: servers crash while they serve them",
			zap.Uint64("Fingerprint", uint64(crash.Fingerprint)), zap.Bool("IsPromptPart", crash.Subject != suspects.WholeRequest))
	}
}
