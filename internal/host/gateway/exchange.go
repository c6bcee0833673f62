package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/peer/gatewaypeer"
)

const (
	// Intervals between two messages to the leader, or to a watcher.
	leaderExchangeInterval  = 250 * time.Millisecond
	watcherExchangeInterval = 400 * time.Millisecond
	// startupExchangeInterval applies while the host has no view of the key-value service.
	startupExchangeInterval = 100 * time.Millisecond
	// Intervals while requests wait for weights.
	urgentLeaderInterval  = 40 * time.Millisecond
	urgentWatcherInterval = 100 * time.Millisecond
	// gossipInterval is between two messages to random peers, urgentGossipInterval while this host
	// may be missing changes: several peers in a row may hang.
	gossipInterval       = time.Second
	urgentGossipInterval = 200 * time.Millisecond
	// maxGossips is how many of these messages may wait for a reply.
	maxGossips = 6
	// exchangeTimeout leaves time for a configuration's text on a slow link. It is doubled
	// after each exchange that took longer, up to maxExchangeTimeout: where a large fleet
	// starts at once, all hosts of a data centre ask two watchers for all entries, and calls
	// that are given up and repeated would keep them from ever being answered.
	exchangeTimeout    = 900 * time.Millisecond
	maxExchangeTimeout = 4 * exchangeTimeout
)

// runExchanges sends this host's demand to the leader, or to a watcher that relays it.
func (g *Gateway) runExchanges() error {
	var picker watcherPicker
	var lastExchange time.Time
	isFailing := false
	for g.tomb.Alive() {
		isUrgent := g.waitForExchange()
		now := time.Now()
		if isUrgent && now.Sub(lastExchange) < g.currentUrgentInterval() {
			continue
		}
		lastExchange = now
		if err := g.exchangeOnce(now, &picker); (err != nil) != isFailing {
			isFailing = err != nil
			g.isExchangeFailing.Store(isFailing)
			g.logExchangeState(err)
			if isFailing {
				g.requestGossip()
			}
		}
	}
	return nil
}

// waitForExchange waits until the next message is due, and returns true if a request
// that waits for weights or a configuration ended the wait early.
func (g *Gateway) waitForExchange() bool {
	timer := time.NewTimer(g.currentExchangeInterval())
	defer timer.Stop()
	select {
	case <-g.tomb.Dying():
	case <-timer.C:
	case <-g.exchangeWanted:
		return true
	}
	return false
}

// currentExchangeInterval is the interval between messages to a watcher or to the leader.
// It grows with the number of hosts that ask the leader.
func (g *Gateway) currentExchangeInterval() time.Duration {
	if g.storeAnsweredAt().IsZero() {
		return startupExchangeInterval
	}
	if !g.watchers.Load().isEmpty() {
		return watcherExchangeInterval/2 + rand.N(watcherExchangeInterval)
	}
	return stretch(leaderExchangeInterval, g.leaderPeerCount.Load())
}

func (g *Gateway) currentUrgentInterval() time.Duration {
	if !g.watchers.Load().isEmpty() {
		return urgentWatcherInterval
	}
	return stretch(urgentLeaderInterval, g.leaderPeerCount.Load())
}

// exchangeOnce calls a watcher or, where none is available, the leader.
func (g *Gateway) exchangeOnce(now time.Time, picker *watcherPicker) error {
	watcher := picker.pick(now, g.watchers.Load())
	if watcher == "" {
		return g.exchangeWith(leaderRecipient)
	}
	err := g.exchangeWith(recipient{
		address:      func(*control) string { return watcher },
		takesDemand:  true,
		returnsFleet: true,
	})
	if err != nil {
		picker.markUnavailable(watcher, now.Add(g.currentWatcherBackoff()))
		g.log.Info("watcher does not answer", zap.String("Reader", watcher), zap.Error(err))
	}
	return err
}

func (g *Gateway) logExchangeState(err error) {
	if err != nil {
		g.log.Info("exchange with leader or watcher failed", zap.Error(err))
		return
	}
	g.log.Info("exchange with leader or watcher recovered")
}

// recipient selects the peer that gets a message, and what the message contains.
type recipient struct {
	// address finds the peer's address, empty where there is none.
	address func(c *control) string
	// takesDemand tells that the recipient gets this host's demand and returns the
	// inventory of engines; returnsFleet that it returns the entries of servers and hosts.
	takesDemand  bool
	returnsFleet bool
}

var leaderRecipient = recipient{
	address:     (*control).leaderAddress,
	takesDemand: true,
}

// isStoreUnavailable tells that the key-value service has not answered this host for
// some time.
func (g *Gateway) isStoreUnavailable() bool {
	return !isFreshView(g.ownViewNanos())
}

// exchangeWith exchanges messages with another host, if the recipient has an address.
func (g *Gateway) exchangeWith(to recipient) error {
	out := g.buildMessage(to)
	if out.address == "" {
		return nil
	}
	return g.send(&out, to)
}

// send sends a message and applies the reply.
func (g *Gateway) send(out *outgoingMessage, to recipient) error {
	timeout := g.currentExchangeTimeout()
	ctx, cancel := context.WithTimeout(g.context(), timeout)
	defer cancel()
	received, err := g.peers.Exchange(ctx, out.address, out.message)
	if err != nil {
		if ctx.Err() != nil {
			g.exchangeTimeout.Store(int64(min(2*timeout, maxExchangeTimeout)))
		}
		g.peers.Drop(out.address)
		return err
	}
	g.exchangeTimeout.Store(int64(exchangeTimeout))
	g.post(messageReceived{message: received})
	if to.returnsFleet && !g.notePeerView(received.StoreAnsweredAt) {
		return errors.New("the reader itself hears nothing of the key-value service")
	}
	return nil
}

// currentExchangeTimeout is longer than exchangeTimeout only while the host has no view of the
// fleet: later a silent watcher must be noticed soon.
func (g *Gateway) currentExchangeTimeout() time.Duration {
	if !g.storeAnsweredAt().IsZero() {
		return exchangeTimeout
	}
	return max(time.Duration(g.exchangeTimeout.Load()), exchangeTimeout)
}

// buildMessage returns the next message and its destination; the address is empty where
// there is none or the host ends.
func (g *Gateway) buildMessage(to recipient) outgoingMessage {
	reply := make(chan outgoingMessage, 1)
	g.post(messageRequested{
		to:    to,
		reply: reply,
	})
	select {
	case out := <-reply:
		return out
	case <-g.tomb.Dying():
		return outgoingMessage{}
	}
}

// outgoingMessage is a message and its destination.
type outgoingMessage struct {
	address string
	message gatewaypeer.Message
}

// messageRequested asks the control goroutine for the next message to a recipient.
type messageRequested struct {
	to    recipient
	reply chan<- outgoingMessage
}

func (e messageRequested) apply(now time.Time, c *control) {
	out := outgoingMessage{
		address: e.to.address(c),
	}
	if out.address != "" {
		out.message = c.baseMessage(now)
		if e.to.takesDemand {
			out.message.Demand = c.takeDemand()
			out.message.Paces = c.takePaces()
			out.message.WantsInventory = true
			out.message.KnownInventory = c.inventory.Cursor()
		}
		if e.to.returnsFleet {
			out.message.WantsFleet = true
			out.message.TakesPackedFleet = true
			out.message.KnownFleetRevision = c.fleetEntries.Revision()
			out.message.TokenTransfers = c.budget.TakeSurplus(now)
		}
	}
	e.reply <- out
}

// leaderAddress returns the leader's address, empty where this host is the leader or
// no leader is known.
func (c *control) leaderAddress() string {
	if c.term != nil || c.leader == c.options.Settings.Host.Name {
		return ""
	}
	return c.hostAddress(c.leader)
}

// SetSeeds replaces the peers that are asked where no other is known. It is safe for
// many goroutines.
func (g *Gateway) SetSeeds(seeds []string) {
	g.seeds.Store(&seeds)
}

// demandKey identifies demand that is added up before it is sent to the leader.
type demandKey struct {
	service ident.ServiceName
	weights request.Weights
}

// takeDemand returns this host's demand since the last call, together with the demand
// that it relays for others, and clears both.
func (c *control) takeDemand() []gatewaypeer.Demand {
	for service, pool := range c.pools {
		if c.configuration.Services[service].Engine == nil {
			continue
		}
		for weights, demand := range pool.TakeDemand() {
			c.addDemand(service, weights, loading.Demand(demand))
		}
	}
	all := make([]gatewaypeer.Demand, 0, len(c.pendingDemand))
	for key, demand := range c.pendingDemand {
		all = append(all, gatewaypeer.Demand{
			Service: key.service,
			Weights: key.weights,
			Demand:  demand,
		})
	}
	clear(c.pendingDemand)
	return all
}

// addDemand adds demand to what will be sent to the leader.
func (c *control) addDemand(service ident.ServiceName, weights request.Weights, demand loading.Demand) {
	key := demandKey{
		service: service,
		weights: weights,
	}
	c.pendingDemand[key] = c.pendingDemand[key].Add(demand)
}

// messageReceived is a peer's reply.
type messageReceived struct {
	message gatewaypeer.Message
}

func (e messageReceived) apply(now time.Time, c *control) {
	c.receive(now, &e.message)
}

// receive applies a peer's message.
func (c *control) receive(now time.Time, message *gatewaypeer.Message) {
	c.endOutdatedTerm(message.LeaderToken)
	if len(message.PackedConfiguration) > 0 && (c.configuration == nil || message.ConfigurationVersion > c.configuration.Version) {
		if text, err := decompress(message.PackedConfiguration, maxConfigurationBytes); err != nil {
			c.log.Warn("configuration refused", zap.String("From", string(message.Host)), zap.Error(err))
		} else {
			c.installConfiguration(now, text, "peer "+string(message.Host))
		}
	}
	if len(message.Suspects) > 0 {
		suspectsReported{
			events: []suspects.Event{suspects.Received{
				Suspects: message.Suspects,
			}},
		}.apply(now, c)
	}
	c.receiveBrittleness(message)
	if message.Fleet != nil {
		c.peerStoreFailedAt = message.StoreFailedAt
		if message.StoreAnsweredAt.After(message.StoreFailedAt) {
			c.noteStoreFailure(message.StoreFailedAt) // before the removals around it are applied
		}
		if len(message.PackedFleet) > 0 && !c.applyPackedFleet(now, message) {
			return
		}
		c.applyEvents(now, c.fleetEntries.ApplyUpdate(message.Fleet))
		if c.fleetEntries.Revision() > 0 && !c.serversKnown.Swap(true) {
			c.hostsChanged = true
		}
	}
	if message.Inventory != nil && c.term == nil {
		before := c.inventory.Cursor()
		c.applyEngineUpdates(now, before, c.inventory.Apply(now, message.Inventory))
	}
}

// receiveBrittleness applies a peer's statements about services. A watcher passes new ones on at once.
func (c *control) receiveBrittleness(message *gatewaypeer.Message) {
	for _, statement := range message.Brittleness {
		if !c.backpressure.LearnBrittleness(statement) {
			continue
		}
		c.log.Info("service is brittle", zap.String("Service", string(statement.Service)),
			zap.Float64("MaxRefusals", float64(statement.MaxRefusals)), zap.String("From", string(message.Host)))
		if c.watchers.Load().isOwn() {
			c.requestExchange()
		}
	}
}

// Exchange implements gatewaypeer.Handler.
func (g *Gateway) Exchange(ctx context.Context, received gatewaypeer.Message) (gatewaypeer.Message, error) {
	reply := make(chan gatewaypeer.Message, 1)
	g.post(exchangeReceived{
		message: received,
		reply:   reply,
	})
	select {
	case response := <-reply:
		return response, nil
	case <-g.tomb.Dying():
		return gatewaypeer.Message{}, errors.New("the host stops")
	case <-ctx.Done():
		return gatewaypeer.Message{}, ctx.Err()
	}
}

// exchangeReceived is a peer's message that expects a reply.
type exchangeReceived struct {
	message gatewaypeer.Message
	reply   chan<- gatewaypeer.Message
}

func (e exchangeReceived) apply(now time.Time, c *control) {
	c.receive(now, &e.message)
	c.budget.Receive(now, e.message.TokenTransfers)
	if len(e.message.Demand) > 0 {
		c.receiveDemand(now, e.message.Region, e.message.Demand)
	}
	c.receivePaces(now, e.message.Paces)
	e.reply <- c.buildReply(now, &e.message)
}

// receiveDemand applies another host's demand: the leader plans by it, other hosts
// forward it. If requests wait for weights it is forwarded at once.
func (c *control) receiveDemand(now time.Time, region ident.Region, received []gatewaypeer.Demand) {
	hasWaiting := false
	for i := range received {
		demand := &received[i]
		hasWaiting = hasWaiting || demand.Waiting > 0
		if c.term == nil {
			c.addDemand(demand.Service, demand.Weights, demand.Demand)
		} else if planner, known := c.planners[demand.Service]; known {
			planner.AddDemand(now, region, demand.Weights, demand.Demand)
		}
	}
	switch {
	case !hasWaiting:
	case c.term == nil:
		c.ReportMissingWeights()
	default:
		c.isPlanUrgent = true
	}
}
