package loop

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/reports"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/entryhost"
)

// errStopping answers calls while the loop stops.
var errStopping = errors.New("this host is ending")

// tickPeers steps the heartbeat and starts the exchanges that are due.
func (c *control) tickPeers(now time.Time) {
	if now.Before(c.nextExchangeAt) {
		return
	}
	c.nextExchangeAt = now.Add(c.options.Settings.Control.ExchangeInterval)
	c.membership.Step(now, membership.Tick{
		DocumentsRevision: c.documents.Revision(),
		Stopping:          c.stopping.Load(),
		LeaderFencing:     c.orders.HeldFencing(),
	})
	c.runOrderCommands(c.orders.Step(now, leaderHint(c.membership.Leader(now), c.membership.Roster(now), c.membership.Self.Host)))
	c.updateLiveHosts(now)
	c.updateHostCount(now)
	c.updateLimiter(now)
	c.updateGauges(now)
	for _, peer := range c.membership.Targets(now, c.orders.IsLeading()) {
		c.exchange(now, peer)
	}
}

// updateHostCount tells routing among how many hosts the link's budget is divided.
func (c *control) updateHostCount(now time.Time) {
	count := 0
	for _, peer := range c.membership.LivePeers(now) {
		if peer.Region == c.membership.Self.Region {
			count++
		}
	}
	c.routing.Step(now, routing.HostCount{
		InRegion: count,
	})
	c.tableOutdated = true
}

// updateLiveHosts passes the live hosts to the claims machine when they have changed.
func (c *control) updateLiveHosts(now time.Time) {
	live := c.membership.LiveHosts(now)
	if c.replaceLiveHosts(live) && c.hasDuties {
		return
	}
	c.updateDuties(now)
	c.runClaimCommands(now, c.claims.Step(now, claims.LiveHosts{
		Hosts: live,
	}))
}

// exchange starts an exchange with a peer. If one is in flight, another follows
// when it ends, with the changes that have come meanwhile.
func (c *control) exchange(now time.Time, peer membership.Peer) {
	if peer.Address == "" {
		return
	}
	if _, inFlight := c.exchanging[peer.Host]; inFlight {
		c.exchanging[peer.Host] = true
		return
	}
	c.exchanging[peer.Host] = false
	message := c.buildMessage(now, peer)
	c.startWorker(c.callTimeout(), func(ctx context.Context) {
		reply, err := c.pool.Exchange(ctx, peer.Address, message)
		c.send(exchangeDone{
			peer:    peer,
			reply:   reply,
			hasMore: message.HasMore,
			err:     err,
		})
	})
}

// peerState is how far this host and a peer have received each other's changes.
type peerState struct {
	// received is this host's cursor in the peer's changes, acknowledged the
	// peer's cursor in this host's.
	received     entryhost.Cursors
	acknowledged entryhost.Cursors
	// wantsReports and allReports are what the peer asked for in its last message.
	wantsReports bool
	allReports   bool
}

func (c *control) peerState(host ident.HostID) *peerState {
	state, found := c.peerStates[host]
	if !found {
		state = &peerState{}
		c.peerStates[host] = state
	}
	return state
}

// buildMessage returns this host's message to a peer: the changes that the peer has
// not acknowledged.
func (c *control) buildMessage(now time.Time, peer membership.Peer) entryhost.Message {
	state := c.peerState(peer.Host)
	hosts := c.membership.MessageFor(now, peer.Host, state.acknowledged.Peers)
	servers := c.reportsMessage(state, reports.Recipient{
		Host:   peer.Host,
		Region: peer.Region,
	})
	message := entryhost.Message{
		Peers:      hosts.Peers,
		Heartbeats: hosts.Heartbeats,
		SentThrough: entryhost.Cursors{
			Epoch:   c.epoch,
			Peers:   hosts.ThroughVersion,
			Reports: servers.ThroughVersion,
		},
		SentAfter:       state.acknowledged,
		ReceivedThrough: state.received,
		Documents:       c.documents.MessageSince(peer.DocumentsRevision),
		Suspects:        c.suspectMachine.MostUrgent(maxSuspects),
		LeavingServers:  c.leavingToSend(),
		WantsReports:    !c.pollsEveryServer,
		WantsAllRegions: !c.pollsEveryServer && c.orders.IsLeading(),
		Reports:         servers,
		HasMore:         hosts.HasMore || servers.HasMore,
	}
	// With many hosts the servers' reports show the load better than the requests
	// in flight of the few peers that a host exchanges with.
	if c.pollsEveryServer {
		message.ServerLoads = c.routing.InFlight()
	}
	return message
}

// maxSuspects limits the suspects in one message.
const maxSuspects = 64

// updateCursors records how far this host and the sender have received each
// other's changes. A host that has lost its memory is sent everything again: its
// message does not carry this host's epoch, or it finds that a message begins after
// the cursor that it has reached.
func (c *control) updateCursors(message *entryhost.Message) {
	state := c.peerState(message.Sender().Host)
	state.wantsReports = message.WantsReports
	state.allReports = message.WantsAllRegions
	state.acknowledged = entryhost.Cursors{}
	if message.ReceivedThrough.Epoch == c.epoch {
		state.acknowledged = message.ReceivedThrough
	}
	if state.received.Epoch != message.SentThrough.Epoch {
		state.received = entryhost.Cursors{
			Epoch: message.SentThrough.Epoch,
		}
	}
	if message.SentAfter.Peers <= state.received.Peers {
		state.received.Peers = max(state.received.Peers, message.SentThrough.Peers)
	}
	if message.SentAfter.Reports <= state.received.Reports {
		state.received.Reports = max(state.received.Reports, message.SentThrough.Reports)
	}
}

// exchangeDone is the end of an exchange that this host started.
type exchangeDone struct {
	peer  membership.Peer
	reply entryhost.Message
	// hasMore reports whether some changes did not fit into this host's message.
	hasMore bool
	err     error
}

func (m exchangeDone) apply(now time.Time, c *control) {
	again := c.exchanging[m.peer.Host]
	delete(c.exchanging, m.peer.Host)
	if m.err != nil {
		return
	}
	c.receiveMessage(now, m.reply)
	if again || m.hasMore || m.reply.HasMore {
		c.exchange(now, m.reply.Sender())
	}
}

// exchangeRequest is an exchange that a peer started.
type exchangeRequest struct {
	message entryhost.Message
	answer  chan entryhost.Message
}

// Exchange implements entryhost.Handler.
func (l *Loop) Exchange(ctx context.Context, message entryhost.Message) (entryhost.Message, error) {
	answer := make(chan entryhost.Message, 1)
	if !l.send(exchangeRequest{
		message: message,
		answer:  answer,
	}) {
		return entryhost.Message{}, errStopping
	}
	return await(ctx, l, answer)
}

func (m exchangeRequest) apply(now time.Time, c *control) {
	c.receiveMessage(now, m.message)
	m.answer <- c.buildMessage(now, m.message.Sender())
}

// await waits for an answer of the control goroutine.
func await[T any](ctx context.Context, l *Loop, answer <-chan T) (T, error) {
	var zero T
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.tomb.Dying():
		return zero, errStopping
	}
}

// receiveMessage applies a peer's message. Every part carries a version or an
// instant that orders it, so that old or repeated parts change nothing.
func (c *control) receiveMessage(now time.Time, message entryhost.Message) {
	sender := message.Sender()
	if sender.Host == "" {
		return
	}
	c.updateCursors(&message)
	c.membership.Step(now, membership.PeerMessageReceived{
		From: sender.Host,
		Message: membership.Message{
			Peers:      message.Peers,
			Heartbeats: message.Heartbeats,
		},
	})
	c.receiveDocuments(now, message.Documents)
	c.receivePeerReports(now, sender.Host, message.Reports)
	c.routing.Step(now, routing.PeerInFlight{
		Host:     sender.Host,
		Requests: message.ServerLoads,
	})
	for _, leaving := range message.LeavingServers {
		c.routing.Step(now, leaving)
	}
	if c.suspectMachine.Step(now, suspects.Received{
		Suspects: message.Suspects,
	}) {
		c.suspects.Store(c.suspectMachine.View())
	}
	c.tableOutdated = true
}
