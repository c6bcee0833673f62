package gateway

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/gatewaypeer"
)

const (
	// exchangeEvery is between two words to the holder.
	exchangeEvery = 250 * time.Millisecond
	// urgentEvery is between two words while requests wait for weights.
	urgentEvery = 40 * time.Millisecond
	// gossipEvery is between two words to some other peer.
	gossipEvery = time.Second
	// exchangeLimit has room for a configuration's text on a slow link.
	exchangeLimit = 900 * time.Millisecond
)

// exchange tells the holder what is asked for, and some peer now and then what
// everybody should know.
func (g *Gateway) exchange() error {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	every := exchangeEvery
	var last, gossip time.Time
	holderLost := false
	for {
		urgent := false
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-g.missed:
			urgent = true
		}
		now := time.Now()
		if urgent && now.Sub(last) < g.fleetPace(urgentEvery) {
			continue
		}
		last = now
		if paced := g.fleetPace(exchangeEvery); paced != every {
			every = paced
			ticker.Reset(every)
		}
		if err := g.askPeer(toHolder); (err != nil) != holderLost {
			holderLost = err != nil
			g.logHolder(err)
		}
		if now.Sub(gossip) > gossipEvery {
			gossip = now
			if err := g.askPeer(toSomePeer); err != nil {
				g.log.Debug("no word from peer", zap.Error(err))
			}
		}
	}
}

func (g *Gateway) logHolder(err error) {
	if err != nil {
		g.log.Info("holder is lost", zap.Error(err))
		return
	}
	g.log.Info("holder answers again")
}

// listener is whom a word goes to.
type listener struct {
	// address finds it, empty where there is none.
	address func(c *control) string
	// plans tells that it wants to know what this host was asked for.
	plans bool
}

var (
	toHolder = listener{
		address: (*control).holderAddress,
		plans:   true,
	}
	toSomePeer = listener{
		address: (*control).somePeer,
	}
)

// askPeer exchanges words with another host, if there is one to listen.
func (g *Gateway) askPeer(to listener) error {
	out := g.wordFor(to)
	if out.address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(g.context(), exchangeLimit)
	defer cancel()
	theirs, err := g.peers.Exchange(ctx, out.address, out.word)
	if err != nil {
		g.peers.Drop(out.address)
		return err
	}
	g.post(wordHeard{word: theirs})
	return nil
}

// wordFor gives the next word to tell, and the address of who listens, empty where there
// is none or the host ends.
func (g *Gateway) wordFor(to listener) outgoing {
	reply := make(chan outgoing, 1)
	g.post(wantsWord{
		to:    to,
		reply: reply,
	})
	select {
	case out := <-reply:
		return out
	case <-g.tomb.Dying():
		return outgoing{}
	}
}

// outgoing is a word and whom to tell it.
type outgoing struct {
	address string
	word    gatewaypeer.Word
}

// wantsWord asks the control for the next word to tell.
type wantsWord struct {
	to    listener
	reply chan<- outgoing
}

func (m wantsWord) apply(now time.Time, c *control) {
	out := outgoing{
		address: m.to.address(c),
	}
	if out.address != "" {
		out.word = c.greeting(now)
		if m.to.plans {
			out.word.Demand = c.takeDemand()
		}
	}
	m.reply <- out
}

// holderAddress gives where the holder listens, empty where this host is it or
// nobody is known to be.
func (c *control) holderAddress() string {
	if c.tenure != nil || c.holder == c.options.Settings.Host.Name {
		return ""
	}
	return c.addressOf(c.holder)
}

// somePeer picks a peer, or a seed where none is known.
func (c *control) somePeer() string {
	own := c.options.Settings.Listen.Peers
	var addresses []string
	for _, host := range c.hosts {
		if host.address != own {
			addresses = append(addresses, host.address)
		}
	}
	if len(addresses) == 0 || c.configuration == nil {
		for _, seed := range *c.seeds.Load() {
			if seed != own {
				addresses = append(addresses, seed)
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	sort.Strings(addresses)
	return addresses[rand.IntN(len(addresses))]
}

// SetSeeds replaces the peers that are asked where no other is known.
func (g *Gateway) SetSeeds(seeds []string) {
	g.seeds.Store(&seeds)
}

func (c *control) takeDemand() []gatewaypeer.Demand {
	var all []gatewaypeer.Demand
	for service, pool := range c.pools {
		if c.configuration.Services[service].Engine == nil {
			continue
		}
		for weights, demand := range pool.TakeDemand() {
			all = append(all, gatewaypeer.Demand{
				Service: service,
				Weights: weights,
				Demand:  loading.Demand(demand),
			})
		}
	}
	return all
}

// wordHeard brings a peer's word.
type wordHeard struct {
	word gatewaypeer.Word
}

func (m wordHeard) apply(now time.Time, c *control) {
	c.hear(now, &m.word)
}

// hear takes in what a peer tells.
func (c *control) hear(now time.Time, word *gatewaypeer.Word) {
	c.endFormerTerm(word.Token)
	if len(word.Packed) > 0 && (c.configuration == nil || word.Version > c.configuration.Version) {
		if text, err := unpack(word.Packed); err != nil {
			c.log.Warn("configuration refused", zap.String("From", string(word.Host)), zap.Error(err))
		} else {
			c.install(now, text, "peer "+string(word.Host))
		}
	}
	if len(word.Suspects) > 0 {
		suspectHeard{event: suspects.Told{
			Suspects: word.Suspects,
		}}.apply(now, c)
	}
	if len(word.Engines) > 0 && c.tenure == nil {
		holdings := make([]loading.Holding, 0, len(word.Engines))
		for i := range word.Engines {
			holdings = append(holdings, word.Engines[i].Holding)
		}
		c.hearHoldings(now, holdings)
	}
}

// Exchange implements gatewaypeer.Handler.
func (g *Gateway) Exchange(ctx context.Context, theirs gatewaypeer.Word) (gatewaypeer.Word, error) {
	reply := make(chan gatewaypeer.Word, 1)
	g.post(wordAsked{
		word:  theirs,
		reply: reply,
	})
	select {
	case ours := <-reply:
		return ours, nil
	case <-g.tomb.Dying():
		return gatewaypeer.Word{}, errors.New("the host stops")
	case <-ctx.Done():
		return gatewaypeer.Word{}, ctx.Err()
	}
}

// wordAsked brings a peer's word that wants an answer.
type wordAsked struct {
	word  gatewaypeer.Word
	reply chan<- gatewaypeer.Word
}

func (m wordAsked) apply(now time.Time, c *control) {
	c.hear(now, &m.word)
	if c.tenure != nil && len(m.word.Demand) > 0 {
		c.hearDemand(now, m.word.Region, m.word.Demand)
	}
	m.reply <- c.word(m.word.Version)
}

// hearDemand takes in what another host was asked for. What waits for weights is
// planned for at once.
func (c *control) hearDemand(now time.Time, region ident.Region, told []gatewaypeer.Demand) {
	waits := false
	for i := range told {
		planner, known := c.planners[told[i].Service]
		if !known {
			continue
		}
		planner.Ask(now, region, told[i].Weights, told[i].Demand)
		waits = waits || told[i].Waiting > 0
	}
	if waits {
		c.plan(now)
	}
}
