package loop

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/entryhost"
)

// errEnding answers peers while the loop ends.
var errEnding = errors.New("this host is ending")

// tickPeers counts the beat and starts the exchanges that are due.
func (c *control) tickPeers(now time.Time) {
	if now.Before(c.exchangeAt) {
		return
	}
	c.exchangeAt = now.Add(c.options.Settings.Control.ExchangeInterval)
	c.membership.Step(now, membership.Beaten{
		Documents: c.documents.Revision(),
		Stopping:  c.stopping.Load(),
	})
	c.newHomes(now)
	c.countHosts(now)
	c.show(now)
	c.lastTargets++
	for _, peer := range c.membership.Targets(now, c.lastTargets) {
		c.exchange(now, peer)
	}
}

// countHosts tells routing over how many hosts the link's budget is divided.
func (c *control) countHosts(now time.Time) {
	count := 0
	for _, peer := range c.membership.Peers(now) {
		if peer.Region == c.membership.Self.Region {
			count++
		}
	}
	c.routing.Step(now, routing.Hosts{
		InRegion: count,
	})
	c.dirty = true
}

// newHomes tells the claims who is alive, in case that has changed.
func (c *control) newHomes(now time.Time) {
	c.runClaims(now, c.claims.Step(now, claims.Homes{
		Hosts: c.membership.Live(now),
	}))
}

func (c *control) exchange(now time.Time, peer membership.Peer) {
	if c.exchanging[peer.Host] || peer.Address == "" {
		return
	}
	c.exchanging[peer.Host] = true
	ours := c.knowledge(now, peer.Documents)
	c.work(c.callTimeout(), func(ctx context.Context) {
		theirs, err := c.pool.Exchange(ctx, peer.Address, ours)
		c.send(exchanged{
			host:   peer.Host,
			theirs: theirs,
			err:    err,
		})
	})
}

// knowledge is what this host tells a peer that has every edit up to a revision.
func (c *control) knowledge(now time.Time, has ident.Revision) entryhost.Knowledge {
	return entryhost.Knowledge{
		Peers:     c.membership.Word(now, c.lastTargets),
		Documents: c.documents.Since(has),
		Loads:     c.routing.Loads(),
		Suspects:  c.suspected.All(),
		Leaving:   c.routing.Leaving(),
	}
}

// exchanged is the end of an exchange that this host began.
type exchanged struct {
	host   ident.HostID
	theirs entryhost.Knowledge
	err    error
}

func (m exchanged) apply(now time.Time, c *control) {
	delete(c.exchanging, m.host)
	if m.err == nil {
		c.learn(now, m.theirs)
	}
}

// asked is an exchange that a peer began.
type asked struct {
	theirs entryhost.Knowledge
	answer chan entryhost.Knowledge
}

// Exchange implements entryhost.Handler.
func (l *Loop) Exchange(ctx context.Context, theirs entryhost.Knowledge) (entryhost.Knowledge, error) {
	answer := make(chan entryhost.Knowledge, 1)
	if !l.send(asked{
		theirs: theirs,
		answer: answer,
	}) {
		return entryhost.Knowledge{}, errEnding
	}
	return await(ctx, l, answer)
}

func (m asked) apply(now time.Time, c *control) {
	c.learn(now, m.theirs)
	var has ident.Revision
	if len(m.theirs.Peers) > 0 {
		has = m.theirs.Peers[0].Documents
	}
	m.answer <- c.knowledge(now, has)
}

// await waits for an answer of the control goroutine.
func await[T any](ctx context.Context, l *Loop, answer <-chan T) (T, error) {
	var none T
	select {
	case got := <-answer:
		return got, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.tomb.Dying():
		return none, errEnding
	}
}

// learn takes in what a peer told. Every part carries what orders it, so that
// old or repeated news changes nothing.
func (c *control) learn(now time.Time, theirs entryhost.Knowledge) {
	c.membership.Step(now, membership.Heard{
		Peers: theirs.Peers,
	})
	c.learnDocuments(now, theirs.Documents)
	if len(theirs.Peers) > 0 {
		c.routing.Step(now, routing.PeerLoads{
			Host:  theirs.Peers[0].Host,
			Loads: theirs.Loads,
		})
	}
	for _, leaving := range theirs.Leaving {
		c.routing.Step(now, leaving)
	}
	if c.suspected.Step(now, suspects.Told{
		Suspects: theirs.Suspects,
	}) {
		c.suspects.Store(c.suspected.View())
	}
	c.dirty = true
}
