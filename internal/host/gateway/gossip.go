package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

// gossipPeers remembers, by address, which peers have not replied yet, and until when those that
// did not are left out. The zero value is ready to use.
type gossipPeers struct {
	mu               sync.Mutex
	waiting          map[string]struct{}
	unavailableUntil map[string]time.Time
}

// gossipBackoff is how long a peer that did not reply is left out while others may.
const gossipBackoff = 3 * time.Second

// begin counts a message to a peer.
func (p *gossipPeers) begin(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[string]struct{})
		p.unavailableUntil = make(map[string]time.Time)
	}
	p.waiting[address] = struct{}{}
}

// end records whether the peer has replied.
func (p *gossipPeers) end(now time.Time, address string, replied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, address)
	delete(p.unavailableUntil, address)
	if !replied {
		p.unavailableUntil[address] = now.Add(gossipBackoff)
	}
}

func (p *gossipPeers) countWaiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// pick returns one of the addresses at random: one that isn't waited for and, if there is any, one
// that has not failed lately. It returns an empty one if all are waited for.
func (p *gossipPeers) pick(now time.Time, addresses []string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free, available []string
	for _, address := range addresses {
		if _, isWaiting := p.waiting[address]; isWaiting {
			continue
		}
		free = append(free, address)
		if !now.Before(p.unavailableUntil[address]) {
			available = append(available, address)
		}
	}
	switch {
	case len(available) > 0:
		return available[rand.IntN(len(available))]
	case len(free) > 0:
		return free[rand.IntN(len(free))]
	}
	return ""
}

// runGossip exchanges with random peers the state that every host needs. It waits for no reply: a
// peer that hangs must not hold up the next one, which may know of a change.
func (g *Gateway) runGossip() error {
	var peers gossipPeers
	g.sleep(startupExchangeInterval)
	for ; g.tomb.Alive(); g.sleepUnless(g.currentGossipInterval(), g.gossipWanted) {
		if g.hasFreshWatcher() || peers.countWaiting() >= maxGossips {
			continue
		}
		to := recipient{
			address: func(c *control) string { return peers.pick(time.Now(), c.peerAddresses()) },
			// A host that the key-value service does not answer asks for the fleet too: it may
			// answer the peer, and servers leave meanwhile.
			returnsFleet: g.isStoreUnavailable(),
		}
		out := g.buildMessage(to)
		if out.address == "" {
			continue
		}
		peers.begin(out.address)
		g.tomb.Go(func() error {
			err := g.send(&out, to)
			peers.end(time.Now(), out.address, err == nil)
			if err != nil {
				g.log.Debug("exchange with random peer failed", zap.String("Address", out.address), zap.Error(err))
			}
			return nil
		})
	}
	return nil
}

// requestGossip makes the host exchange with a random peer now: the interval that it waits for may
// have become shorter.
func (g *Gateway) requestGossip() {
	select {
	case g.gossipWanted <- struct{}{}:
	default: // one is wanted already
	}
}

// currentGossipInterval is shorter while the key-value service does not answer this host, and still
// shorter while the leader, or the watcher that it asks, does not.
func (g *Gateway) currentGossipInterval() time.Duration {
	switch {
	case g.isExchangeFailing.Load():
		return urgentGossipInterval
	case g.failingWatches.Load() > 0 || g.isStoreUnavailable():
		return watcherExchangeInterval
	}
	return gossipInterval
}

// peerAddresses returns the addresses of the hosts that this one knows, and those of seeds where it
// knows none or has no configuration yet.
func (c *control) peerAddresses() []string {
	ownAddress := c.options.Settings.Listen.Peers
	var addresses []string
	for _, host := range c.hosts {
		if host.address != ownAddress {
			addresses = append(addresses, host.address)
		}
	}
	if len(addresses) > 0 && c.configuration != nil {
		return addresses
	}
	for _, seed := range *c.seeds.Load() {
		if seed != ownAddress {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}
