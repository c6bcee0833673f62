package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/peer/tunnelpeer"
	"cicadaloom/internal/peer/upstream"
)

const (
	// probeTimeout is how long a probe may take.
	probeTimeout = 300 * time.Millisecond
	// tunnelTimeout is how long a peer may take to connect to a server, and forPeerTimeout how
	// long this host tries for a peer: less, so that the peer learns that it is the server that
	// does not answer. Between regions a round trip takes 60 ms.
	tunnelTimeout  = 250 * time.Millisecond
	forPeerTimeout = 150 * time.Millisecond
	// otherTimeout is how long a connection to another server may take, by which this host shows a
	// peer that it is not cut off itself.
	otherTimeout = 75 * time.Millisecond
	// minDialEvidence is how long a connection must have been opening for the end of its time to
	// say anything about the server.
	minDialEvidence = 120 * time.Millisecond
	// maxTunnels bounds the connections that this host has open for peers, and with them the
	// memory and processor time that it gives them.
	maxTunnels = 256
)

// tunnels are the connections between this host and servers that lead through a peer, and
// those that it opens for peers. It is safe for many goroutines.
type tunnels struct {
	paths paths.Table
	// connections are to the peers. They are apart from those for messages, which are closed
	// when a message gets no answer.
	connections grpcpeer.Pool
	hosts       atomic.Pointer[[]pacing.Host]
	// forPeers counts the connections that this host has open for peers.
	forPeers atomic.Int64
	// openedAt is when a peer last opened a connection for this host, by steadyNanos; 0 for
	// never.
	openedAt atomic.Int64
	// isProbing is set while a probe is under way.
	isProbing atomic.Bool
}

// setHosts replaces the hosts to connect through. Connections stay open to all known hosts: one
// that has lost its entry may still run, and requests may be in progress through it.
func (t *tunnels) setHosts(hosts []pacing.Host, known map[ident.HostID]*hostInfo) {
	t.hosts.Store(&hosts)
	addresses := make(map[string]bool, len(known))
	for _, host := range known {
		addresses[host.address] = true
	}
	t.connections.CloseOthers(addresses)
}

// hasPeers reports whether there are other hosts.
func (t *tunnels) hasPeers() bool {
	hosts := t.hosts.Load()
	return hosts != nil && len(*hosts) > 1
}

// count returns how many connections this host has open for peers.
func (t *tunnels) count() int64 {
	return t.forPeers.Load()
}

// detourValidity is how long a connection that a peer has opened shows that peers reach servers.
const detourValidity = 2 * time.Second

// isCutOffAlone reports whether this host is cut off from servers that a peer reaches. Where
// servers have failed for all, no host would be better placed.
func (t *tunnels) isCutOffAlone() bool {
	openedAt := t.openedAt.Load()
	return openedAt > 0 && steadyNanos()-openedAt < int64(detourValidity) && t.paths.IsCutOff()
}

// PathTo implements relay.ControlPlane.
func (g *Gateway) PathTo(server paths.Server, address string) upstream.Path {
	choice := g.tunnels.paths.Choose(time.Now(), server)
	if choice.Probe {
		g.probe(server, address)
	}
	if !choice.Detour || !g.tunnels.hasPeers() {
		return upstream.Path{
			Dial: func(ctx context.Context) (net.Conn, error) { return g.dialDirectly(ctx, server, address) },
		}
	}
	return upstream.Path{
		IsDetour: true,
		Dial:     func(ctx context.Context) (net.Conn, error) { return g.dialDetour(ctx, server, address) },
	}
}

// dialDetour connects to a server through a peer, or directly if no peer reaches any server: the
// host then has no reason to take itself for cut off.
func (g *Gateway) dialDetour(ctx context.Context, server paths.Server, address string) (net.Conn, error) {
	conn, err := g.dialThroughPeer(ctx, server)
	if err == nil || ctx.Err() != nil || errors.Is(err, tunnelpeer.ErrUnreachable) {
		return conn, err
	}
	return g.dialDirectly(ctx, server, address)
}

// tunnelPeers returns the peers to connect through, in the order in which to try them.
func (g *Gateway) tunnelPeers() []pacing.Host {
	hosts := g.tunnels.hosts.Load()
	if hosts == nil {
		return nil
	}
	own := paths.Location{
		Host:   g.options.Settings.Host.Name,
		Region: g.options.Settings.Host.Region,
	}
	return g.tunnels.paths.Peers(time.Now(), own, *hosts, rand.Uint64())
}

// dialDirectly connects to a server, and records whether that works.
func (g *Gateway) dialDirectly(ctx context.Context, server paths.Server, address string) (net.Conn, error) {
	started := time.Now()
	conn, err := g.options.DialServer(ctx, address)
	if err != nil && ctx.Err() != nil && time.Since(started) < minDialEvidence {
		return nil, err // the client has left, or its deadline was near
	}
	change := g.tunnels.paths.RecordDirect(server, err == nil)
	g.logPathChange(change)
	if err == nil {
		return conn, nil
	}
	if change.DetourBegins {
		g.upstreamClient.DropIdle(address)
	}
	if change.NeedsProof {
		g.proveCutOff()
	}
	if g.tunnels.hasPeers() {
		return nil, errors.Wrap(upstream.ErrDetourOpen, err.Error())
	}
	return nil, err
}

func (g *Gateway) logPathChange(change paths.Change) {
	switch {
	case !change.Changed:
	case change.IsCutOff:
		g.log.Warn("this host is cut off from servers, and connects to them through peers")
	default:
		g.log.Info("this host connects to servers directly again")
	}
}

// dialThroughPeer connects to a server through the first peer that can. The error is
// tunnelpeer.ErrUnreachable if none can, and one reaches other servers.
func (g *Gateway) dialThroughPeer(ctx context.Context, server paths.Server) (net.Conn, error) {
	lastErr := errors.New("no peer can connect to the server")
	for _, peer := range g.tunnelPeers() {
		conn, err := g.openTunnel(ctx, peer.Address, server)
		switch {
		case err == nil:
			g.tunnels.openedAt.Store(steadyNanos())
			return conn, nil
		case ctx.Err() != nil:
			return nil, err
		case errors.Is(err, tunnelpeer.ErrUnreachable):
			g.tunnels.paths.RecordUnreachable(server)
			lastErr = err
		default:
			g.tunnels.paths.RecordUnable(time.Now(), peer.Name)
		}
		g.log.Debug("peer can't connect to server", zap.String("Peer", string(peer.Name)),
			zap.String("Server", string(server.Name)), zap.Error(err))
	}
	return nil, lastErr
}

func (g *Gateway) openTunnel(ctx context.Context, address string, server paths.Server) (net.Conn, error) {
	client := tunnelpeer.Client{
		Pool: &g.tunnels.connections,
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	return client.Dial(ctx, address, server)
}

// probe finds out whether this host can connect to a server directly again.
func (g *Gateway) probe(server paths.Server, address string) {
	g.goProbe(func() paths.Change {
		return g.tunnels.paths.RecordDirect(server, g.tryConnecting(address) == nil)
	})
}

// proveCutOff finds out whether this host is cut off from all servers.
func (g *Gateway) proveCutOff() {
	g.goProbe(func() paths.Change {
		for _, pool := range *g.pools.Load() {
			if server, found := pool.AnyServer(rand.Uint64(), ""); found && g.tryConnecting(server.Address) == nil {
				return g.tunnels.paths.RecordProof(true)
			}
		}
		return g.tunnels.paths.RecordProof(false)
	})
}

// goProbe runs a probe in the background, unless one is under way.
func (g *Gateway) goProbe(probe func() paths.Change) {
	if !g.tomb.Alive() || !g.tunnels.isProbing.CompareAndSwap(false, true) {
		return
	}
	g.tomb.Go(func() error {
		defer g.tunnels.isProbing.Store(false)
		g.logPathChange(probe())
		return nil
	})
}

// tryConnecting returns why a server accepts no connection of this host, nil if it does.
func (g *Gateway) tryConnecting(address string) error {
	ctx, cancel := context.WithTimeout(g.context(), probeTimeout)
	defer cancel()
	conn, err := g.options.DialServer(ctx, address)
	if err != nil {
		return err
	}
	_ = conn.Close() // only whether it opens matters
	return nil
}

// OpenForPeer implements gatewaypeer.Handler. It connects directly, so that a connection leads
// through one peer at most, and only to servers that this host knows and uses itself.
func (g *Gateway) OpenForPeer(ctx context.Context, server paths.Server) (net.Conn, error) {
	if g.stopping.Load() || g.tunnels.paths.IsCutOff() {
		return nil, tunnelpeer.ErrUnable
	}
	address := g.addressOf(server)
	if address == "" {
		return nil, tunnelpeer.ErrUnreachable
	}
	if !g.tunnels.paths.Reaches(server) {
		return nil, g.whyUnreached(ctx, server)
	}
	if g.tunnels.forPeers.Add(1) > maxTunnels {
		g.tunnels.forPeers.Add(-1)
		return nil, tunnelpeer.ErrUnable
	}
	dialCtx, cancel := context.WithTimeout(ctx, forPeerTimeout)
	defer cancel()
	conn, err := g.dialDirectly(dialCtx, server, address)
	if err != nil {
		g.tunnels.forPeers.Add(-1)
		return nil, g.whyUnreached(ctx, server)
	}
	return &countedConn{
		Conn:  conn,
		count: &g.tunnels.forPeers,
	}, nil
}

// whyUnreached returns what a peer learns of a server that this host can't connect to. Only a host
// that connects to another server at the same time says that this one is unreachable: otherwise it
// may be cut off itself.
func (g *Gateway) whyUnreached(ctx context.Context, server paths.Server) error {
	ctx, cancel := context.WithTimeout(ctx, otherTimeout)
	defer cancel()
	for _, pool := range *g.pools.Load() {
		other, found := pool.AnyServer(rand.Uint64(), server.Name)
		if !found {
			continue
		}
		conn, err := g.options.DialServer(ctx, other.Address)
		if err == nil {
			_ = conn.Close() // only whether it opens matters
			return tunnelpeer.ErrUnreachable
		}
	}
	return tunnelpeer.ErrUnable
}

// addressOf returns a server's address, empty if this host doesn't know the server or sends
// it no new requests.
func (g *Gateway) addressOf(server paths.Server) string {
	for _, pool := range *g.pools.Load() {
		if address, known := pool.AddressOf(server.Name, server.Incarnation); known {
			return address
		}
	}
	return ""
}

// countedConn counts as open until its first Close.
type countedConn struct {
	net.Conn
	count    *atomic.Int64
	isClosed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.isClosed.CompareAndSwap(false, true) {
		c.count.Add(-1)
	}
	return c.Conn.Close()
}
