package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
)

const (
	// reserveLimit is how long a pacer may take to answer: a way between regions and
	// back with something to spare. After it the prompt goes by this host's own clock.
	reserveLimit = 100 * time.Millisecond
	// silentPacer is how long a pacer that did not answer isn't asked.
	silentPacer = 1500 * time.Millisecond
)

// pacers knows whom to ask about which engine.
type pacers struct {
	clocks pacing.Clocks
	mu     sync.Mutex
	hosts  []pacing.Host
	silent map[ident.HostID]time.Time
}

func (p *pacers) set(hosts []pacing.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// of gives the pacer of an engine; known is false where it did not answer lately.
func (p *pacers) of(now time.Time, server ident.ServerName, region ident.Region) (pacing.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := pacing.Pacer(p.hosts, server, region)
	return host, host.Name != "" && now.After(p.silent[host.Name])
}

func (p *pacers) fail(now time.Time, host ident.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = make(map[ident.HostID]time.Time)
	}
	p.silent[host] = now.Add(silentPacer)
}

// Paced implements gatewaypeer.Handler.
func (g *Gateway) Paced(prompt gatewaypeer.Prompt) time.Duration {
	now := time.Now()
	return g.pacers.clocks.Reserve(now, prompt.Server, prompt.Reading).Sub(now)
}

// Reserve implements relay.Knowledge: it gives the instant at which to send a prompt
// to an engine.
func (g *Gateway) Reserve(ctx context.Context, server ident.ServerName, region ident.Region, reading time.Duration, priority int) time.Time {
	now := time.Now()
	prompt := gatewaypeer.Prompt{
		Server:   server,
		Reading:  reading,
		Priority: priority,
	}
	pacer, answers := g.pacers.of(now, server, region)
	if !answers || pacer.Name == g.options.Settings.Host.Name {
		return now.Add(g.Paced(prompt))
	}
	limited, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	wait, err := g.peers.Reserve(limited, pacer.Address, prompt)
	if err == nil {
		return time.Now().Add(wait)
	}
	if ctx.Err() == nil {
		g.log.Info("pacer does not answer", zap.String("Pacer", string(pacer.Name)), zap.String("Server", string(server)), zap.Error(err))
		g.pacers.fail(now, pacer.Name)
	}
	return now.Add(g.Paced(prompt))
}
