package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/registry"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/gatewaypeer"
)

// message is something that the control takes in.
type message interface {
	apply(now time.Time, c *control)
}

// post gives a message to the control. It waits for room, but not beyond the
// host's end.
func (g *Gateway) post(m message) {
	select {
	case g.inbox <- m:
	case <-g.tomb.Dying():
	}
}

// control is the state that only the control goroutine touches.
type control struct {
	*Gateway
	configuration *route.Configuration
	// packed is the configuration as the operator wrote it, for peers without it.
	packed   []byte
	registry registry.Machine
	hosts    map[ident.HostID]*peer
	holder   ident.HostID
	// tenure is set while this host is the holder, and planners with it.
	tenure   *tenure
	planners map[ident.ServiceName]*loading.Planner
	asking   map[ident.ServerName]time.Time
	// unheard has the engines that gave no report when last asked.
	unheard map[ident.ServerName]bool
	// holdings is the holder's word on the engines, fleet the entries of servers and hosts.
	holdings holdings.Table
	fleet    entries.Cache
	// storeFailed is when the key-value service last failed a call of this host, or of
	// the one that tells it of the service; peerFailed is what that one said last.
	storeFailed time.Time
	peerFailed  time.Time
	// relayed is what others have told this host of their demand, for the holder.
	relayed  map[demandKey]loading.Demand
	pools    map[ident.ServiceName]*balance.Pool
	suspects suspects.Machine
	dirty    bool
	// hostsChanged tells that the hosts that can be reached are other ones now.
	hostsChanged bool
	// tickedAt is when the last tick came, late how many in a row came late.
	tickedAt time.Time
	late     int
	gauges   gauges
	// planSoon tells that something asked for waits for a plan, plannedAt when the last
	// one began, planCost how long it took.
	planSoon  bool
	plannedAt time.Time
	planCost  time.Duration
	// holderFresh tells that the holder's word went when last looked at.
	holderFresh bool
}

// peer is another host.
type peer struct {
	address    string
	dataCentre ident.DataCentre
	region     ident.Region
	power      float64
	// began is when its process started, by its own clock: good for a preference.
	began time.Time
	// missingSince is set once the host's entry is gone. Its part of what hosts
	// share stays its own for a while: it may live on without the service.
	missingSince time.Time
}

const (
	// tick is how often the control looks at what is due.
	tick = 100 * time.Millisecond
	// forgetHost is how long a host without an entry still counts.
	forgetHost = 20 * time.Second
)

func newControl(g *Gateway) *control {
	return &control{
		Gateway: g,
		hosts:   make(map[ident.HostID]*peer),
		asking:  make(map[ident.ServerName]time.Time),
		unheard: make(map[ident.ServerName]bool),
		relayed: make(map[demandKey]loading.Demand),
		pools:   make(map[ident.ServiceName]*balance.Pool),
		gauges:  newGauges(g.options.Metrics),
	}
}

func (c *control) run() error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case m := <-c.inbox:
			m.apply(time.Now(), c)
		case now := <-ticker.C:
			c.tick(now)
		}
		if c.planSoon {
			c.plan(time.Now())
		}
		c.publish(time.Now())
	}
}

func (c *control) tick(now time.Time) {
	c.noteLateness(now)
	for name, host := range c.hosts {
		if !host.missingSince.IsZero() && now.Sub(host.missingSince) > forgetHost {
			delete(c.hosts, name)
			c.hostsChanged = true
		}
	}
	c.noteHolder(now)
	if now.Sub(c.gauges.shownAt) > time.Second {
		c.dirty = true // a missing entry may have become a gone one
		c.holdings.Forget(now, func(name ident.ServerName) bool { _, there := c.registry.Of(name); return there })
		c.gauges.show(now, c)
	}
	c.plan(now)
}

// noteHolder has servers described anew when the holder's word begins or ceases to go.
func (c *control) noteHolder(now time.Time) {
	if fresh := c.holdings.Fresh(now); fresh != c.holderFresh {
		c.holderFresh = fresh
		c.dirty = true
	}
}

const (
	// lateTick is a tick that comes so late that the host can't do its duties: the
	// machine is slow, or stood still.
	lateTick = 4 * tick
	// lateTicks is how many of them in a row end a holder's tenure.
	lateTicks = 3
)

// noteLateness has a holder give up whose machine has become slow. It would still
// keep its lease, and give an order every few seconds, by reports that are too old:
// models that rise get no replicas in the meantime, and nobody else may give any.
func (c *control) noteLateness(now time.Time) {
	late := !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > lateTick
	c.tickedAt = now
	if !late {
		c.late = 0
		return
	}
	c.late++
	c.log.Info("control is late", zap.Int("Times", c.late))
	if c.late >= lateTicks && c.tenure != nil {
		c.tenure.ended.Store(true)
	}
}

// publish brings the pools up to date with what is known of servers.
func (c *control) publish(now time.Time) {
	if c.hostsChanged {
		c.publishHosts()
	}
	if !c.dirty || c.configuration == nil {
		return
	}
	c.dirty = false
	byService := make(map[ident.ServiceName][]balance.Server, len(c.pools))
	for _, registration := range c.registry.Servers(now) {
		service := registration.Server.Service
		if _, declared := c.pools[service]; !declared {
			continue // an entry of a service that nobody has declared
		}
		byService[service] = append(byService[service], c.describe(&registration))
	}
	hosts := len(c.hosts)
	c.knownHosts.Store(int64(hosts))
	for service, pool := range c.pools {
		pool.SetServers(byService[service])
		if declared, known := c.configuration.Services[service]; known && declared.MaxConnections > 0 {
			pool.SetPerServer(perServer(declared.MaxConnections, hosts))
		}
	}
	c.budget.SetHosts(max(hosts, 1))
}

// publishHosts brings up to date what follows from the hosts that can be reached.
func (c *control) publishHosts() {
	c.hostsChanged = false
	reachable := c.reachable()
	mayPace := withoutReaders(reachable)
	c.pacers.set(mayPace)
	following := c.readers(reachable)
	c.following.Store(&following)
	c.directAskers.Store(int64(askers(reachable)))
	c.warm(mayPace, &following)
	youngest := true
	for _, host := range c.hosts {
		youngest = youngest && (!host.missingSince.IsZero() || !host.began.After(processStart))
	}
	c.youngest.Store(youngest)
}

// warm opens connections to the hosts that this one will soon ask, and no others: those to
// all hosts of a large fleet would take most of a host's memory.
func (c *control) warm(mayPace []pacing.Host, following *readers) {
	addresses := append(following.addresses(), c.holderAddress())
	for _, host := range pacing.AllPacers(mayPace) {
		addresses = append(addresses, host.Address)
	}
	for _, address := range addresses {
		if address == "" || address == c.options.Settings.Listen.Peers {
			continue
		}
		if err := c.peers.Warm(address); err != nil {
			c.log.Debug("peer not reached", zap.String("Address", address), zap.Error(err))
		}
	}
}

// reachable gives the hosts that have an entry, sorted by name.
func (c *control) reachable() []pacing.Host {
	hosts := make([]pacing.Host, 0, len(c.hosts))
	for name, host := range c.hosts {
		if host.missingSince.IsZero() {
			hosts = append(hosts, pacing.Host{
				Name:       name,
				Address:    host.address,
				DataCentre: host.dataCentre,
				Region:     host.region,
				Power:      host.power,
			})
		}
	}
	slices.SortFunc(hosts, func(a, b pacing.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// perServer is this host's part of the connections of a server. Clients spread
// unevenly over hosts, and seldom press on all at once: so it is twice an even
// part.
func perServer(connections, hosts int) int {
	return max(2*connections/max(hosts, 1), 2)
}

// describe joins a server's entry with the holder's newer word on it.
func (c *control) describe(registration *backend.Registration) balance.Server {
	server := balance.Server{
		Server:      registration.Server,
		Incarnation: registration.Report.Incarnation,
		Slots:       registration.Report.Slots,
		Leaving:     registration.Report.Leaving,
		Running:     -1,
	}
	if c.configuration.Services[registration.Server.Service].Engine == nil {
		server.Kind = backend.KindService
		return server
	}
	server.Kind = backend.KindEngine
	word, told := c.holdings.Of(registration.Server.Name)
	if told && c.holderFresh && word.Incarnation == server.Incarnation {
		server.Holds = word.Holds
		server.Retiring = word.Retiring
		server.Running = word.Running
		server.Waiting = word.Waiting
		return server
	}
	server.Holds = registration.Report.Holds()
	return server
}

// install takes a newer configuration into force. An older one is never taken, by
// whatever way it comes: it would undo what callers have already seen.
func (c *control) install(now time.Time, text []byte, from string) {
	decoded, err := c.options.Layout.DecodeConfiguration(text)
	if err != nil {
		c.log.Warn("configuration refused", zap.String("From", from), zap.Error(err))
		return
	}
	if c.configuration != nil && decoded.Version <= c.configuration.Version {
		return
	}
	c.configuration = decoded
	c.packed = pack(text)
	place := balance.Place{
		DataCentre: c.options.Settings.Host.DataCentre,
		Region:     c.options.Settings.Host.Region,
	}
	pools := make(map[ident.ServiceName]*balance.Pool, len(decoded.Services))
	for name := range decoded.Services {
		if pools[name] = c.pools[name]; pools[name] == nil {
			pools[name] = balance.NewPool(place)
		}
	}
	c.pools = pools
	c.dirty = true
	c.publish(now)
	c.Gateway.pools.Store(&pools)
	if c.routes.Swap(routetable.New(decoded)) == nil {
		close(c.routesKnown)
	}
	c.log.Info("configuration in force", zap.Int64("Version", int64(decoded.Version)), zap.String("From", from),
		zap.Int("Routes", len(decoded.Routes)), zap.Int("Services", len(decoded.Services)))
}

// greeting is what this host tells a peer that it asks for its word.
func (c *control) greeting(now time.Time) gatewaypeer.Word {
	host := &c.options.Settings.Host
	greeting := gatewaypeer.Word{
		Host:       host.Name,
		DataCentre: host.DataCentre,
		Region:     host.Region,
		Suspects:   c.suspects.Some(toldSuspects),
		LastOrder:  c.lastOrderAt(now),

		StoreHeard:  c.storeHeard(),
		StoreFailed: c.viewFailed(),
	}
	if c.configuration != nil {
		greeting.Version = c.configuration.Version
	}
	if c.tenure != nil {
		greeting.Token = c.tenure.token
	}
	return greeting
}

// viewFailed is when the service last failed whoever this host's view of it comes from.
// Where that is a peer, this host's own failures say nothing of the service: who heard of
// them would wait for the entries of servers that are gone, as after an outage.
func (c *control) viewFailed() time.Time {
	if c.readerHeard.Load() > c.ownRead() {
		return c.peerFailed
	}
	return c.storeFailed
}

// lastOrderAt is the latest instant at which this process may have given an order. Where
// the clock that counts through a suspension can't be read, that is now.
func (c *control) lastOrderAt(now time.Time) time.Time {
	boot := bootClock()
	if boot == 0 || processBoot == 0 {
		return now
	}
	return now.Add(-time.Duration(boot - max(c.lastOrder.Load(), processBoot)))
}

// answer is what this host answers to a peer: with the greeting, a newer configuration
// than theirs and, if they want it, what has changed in the fleet and at the engines.
func (c *control) answer(now time.Time, theirs *gatewaypeer.Word) gatewaypeer.Word {
	word := c.greeting(now)
	if theirs.Version < word.Version {
		word.Packed = c.packed
	}
	if theirs.WantsFleet {
		update := c.fleet.Since(theirs.FleetKnown)
		word.Fleet = &update
	}
	if theirs.WantsHoldings && c.holdings.Fresh(now) {
		update := c.holdings.Since(theirs.HoldingsKnown)
		word.Holdings = &update
	}
	return word
}
