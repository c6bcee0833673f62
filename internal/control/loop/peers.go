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
		Leads:     c.orders.Leads(),
	})
	c.runOrders(c.orders.Step(now, leaderWord(c.membership.Leader(now), c.membership.Roster(now), c.membership.Self.Host)))
	c.newHomes(now)
	c.countHosts(now)
	c.show(now)
	for _, peer := range c.membership.Targets(now, c.orders.Leading()) {
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
	live := c.membership.Live(now)
	if c.sameHosts(live) && c.acquaintedYet {
		return
	}
	c.shareDuties(now)
	c.runClaims(now, c.claims.Step(now, claims.Homes{
		Hosts: live,
	}))
}

// exchange begins an exchange. Where one with the peer is under way, the news
// that has come since goes as soon as that ends.
func (c *control) exchange(now time.Time, peer membership.Peer) {
	if peer.Address == "" {
		return
	}
	if _, under := c.exchanging[peer.Host]; under {
		c.exchanging[peer.Host] = true
		return
	}
	c.exchanging[peer.Host] = false
	ours := c.knowledge(now, peer)
	c.work(c.callTimeout(), func(ctx context.Context) {
		theirs, err := c.pool.Exchange(ctx, peer.Address, ours)
		c.send(exchanged{
			peer:   peer,
			theirs: theirs,
			more:   ours.More,
			err:    err,
		})
	})
}

// acquaintance is how far this host and a peer have told each other.
type acquaintance struct {
	// theirs is how far this host has taken in the peer's word, ours the other way.
	theirs entryhost.Marks
	ours   entryhost.Marks
	// wantsReports and allReports are the peer's wishes.
	wantsReports bool
	allReports   bool
}

func (c *control) acquaintance(host ident.HostID) *acquaintance {
	known, found := c.acquainted[host]
	if !found {
		known = &acquaintance{}
		c.acquainted[host] = known
	}
	return known
}

// knowledge is what this host tells a peer, by its record.
func (c *control) knowledge(now time.Time, peer membership.Peer) entryhost.Knowledge {
	known := c.acquaintance(peer.Host)
	word := c.membership.Word(now, peer.Host, known.ours.Peers)
	servers := c.reportsFor(known, reports.Reader{
		Host:   peer.Host,
		Region: peer.Region,
	})
	knowledge := entryhost.Knowledge{
		Peers: word.Peers,
		Beats: word.Beats,
		Told: entryhost.Marks{
			Epoch:   c.epoch,
			Peers:   word.Through,
			Reports: servers.Through,
		},
		From:         known.ours,
		Have:         known.theirs,
		Documents:    c.documents.Since(peer.Documents),
		Suspects:     c.suspected.Some(mostSuspects),
		Leaving:      c.leaving(),
		WantsReports: !c.direct,
		AllReports:   !c.direct && c.orders.Leading(),
		Reports:      servers,
		More:         word.More || servers.More,
	}
	// With many hosts the reports say more than the few peers that a host hears.
	if c.direct {
		knowledge.Loads = c.routing.Loads()
	}
	return knowledge
}

// mostSuspects bounds a word's part on suspects.
const mostSuspects = 64

// acquaint takes note of how far the two have told each other. A host that has
// lost its memory is told everything again: its word does not know this host's
// epoch, or it finds that a word begins after the place that it has come to.
func (c *control) acquaint(theirs *entryhost.Knowledge) {
	known := c.acquaintance(theirs.Sender().Host)
	known.wantsReports = theirs.WantsReports
	known.allReports = theirs.AllReports
	known.ours = entryhost.Marks{}
	if theirs.Have.Epoch == c.epoch {
		known.ours = theirs.Have
	}
	if known.theirs.Epoch != theirs.Told.Epoch {
		known.theirs = entryhost.Marks{
			Epoch: theirs.Told.Epoch,
		}
	}
	if theirs.From.Peers <= known.theirs.Peers {
		known.theirs.Peers = max(known.theirs.Peers, theirs.Told.Peers)
	}
	if theirs.From.Reports <= known.theirs.Reports {
		known.theirs.Reports = max(known.theirs.Reports, theirs.Told.Reports)
	}
}

// exchanged is the end of an exchange that this host began.
type exchanged struct {
	peer   membership.Peer
	theirs entryhost.Knowledge
	// more tells that this host had more to tell than fitted in.
	more bool
	err  error
}

func (m exchanged) apply(now time.Time, c *control) {
	again := c.exchanging[m.peer.Host]
	delete(c.exchanging, m.peer.Host)
	if m.err != nil {
		return
	}
	c.learn(now, m.theirs)
	if again || m.more || m.theirs.More {
		c.exchange(now, m.theirs.Sender())
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
	m.answer <- c.knowledge(now, m.theirs.Sender())
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
	sender := theirs.Sender()
	if sender.Host == "" {
		return
	}
	c.acquaint(&theirs)
	c.membership.Step(now, membership.Heard{
		From: sender.Host,
		Word: membership.Word{
			Peers: theirs.Peers,
			Beats: theirs.Beats,
		},
	})
	c.learnDocuments(now, theirs.Documents)
	c.learnReports(now, sender.Host, theirs.Reports)
	c.routing.Step(now, routing.PeerLoads{
		Host:  sender.Host,
		Loads: theirs.Loads,
	})
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
