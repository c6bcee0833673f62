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
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/registry"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/gatewaypeer"
)

// controlEvent is an input of the control goroutine, which calls apply.
type controlEvent interface {
	apply(now time.Time, c *control)
}

// post sends an event to the control goroutine. It waits for room, but not beyond the
// host's end.
func (g *Gateway) post(event controlEvent) {
	select {
	case g.inbox <- event:
	case <-g.tomb.Dying():
	}
}

// control is the state that only the control goroutine accesses.
type control struct {
	*Gateway
	configuration *route.Configuration
	// packedConfiguration is the configuration as the operator wrote it, but with digests
	// for keys, compressed, for peers that have an older one.
	packedConfiguration []byte
	packedFleet         packedFleet
	registry            registry.Table
	hosts               map[ident.HostID]*hostInfo
	leader              ident.HostID
	// term is set while this host is the leader, and planners with it: one per engine
	// service. latestToken is that of the latest term that a peer has told of.
	term        *leaderTerm
	planners    map[ident.ServiceName]*loading.Planner
	latestToken ident.FencingNumber
	engines     engineList
	// inventory is what the engines have in memory, as the leader reported it; fleetEntries
	// are the entries of servers and hosts.
	inventory    holdings.Table
	fleetEntries entries.Cache
	// storeFailedAt is when the key-value service last failed a call of this host, or of
	// the peer whose view this host uses; peerStoreFailedAt is what that peer last sent.
	storeFailedAt     time.Time
	peerStoreFailedAt time.Time
	// pendingDemand is demand for the leader that has not been sent yet: this host's own,
	// and that of the hosts that it relays for.
	pendingDemand map[demandKey]loading.Demand
	// pendingPaces are the paces that engines have named, for the leader too.
	pendingPaces  map[paceKey]pace.Reading
	pools         map[ident.ServiceName]*balance.Pool
	suspects      suspects.Machine
	suspectsEntry suspectsState
	builds        buildState
	// outdatedServers are the servers that have changed since the pools were updated;
	// poolsOutdated tells that all may have.
	outdatedServers map[ident.ServerName]struct{}
	poolsOutdated   bool
	// hostsChanged tells that the set of reachable hosts has changed since it was published.
	hostsChanged bool
	// forgotAt is when servers that are gone were last forgotten.
	forgotAt time.Time
	// lastTickAt is when the last tick came, lateTicks how many in a row came late.
	lastTickAt time.Time
	lateTicks  int
	gauges     gauges
	spills     spillReporter
	// isPlanUrgent tells that a request waits for a plan. lastPlanAt is when the last plan
	// started, lastPlanDuration how long it took.
	isPlanUrgent     bool
	lastPlanAt       time.Time
	lastPlanDuration time.Duration
	// isInventoryFresh tells that the leader's inventory was recent enough when last checked.
	isInventoryFresh bool
}

// hostInfo is a host's entry.
type hostInfo struct {
	address     string
	dataCentre  ident.DataCentre
	region      ident.Region
	cpuCapacity float64
	// startedAt is when its process started, by its own clock: precise enough for a
	// preference.
	startedAt time.Time
	// missingSince is set once the host's entry is gone. The host keeps its share of the
	// retry budget and of connections for a while: it may still run without the key-value
	// service.
	missingSince time.Time
}

const (
	// tickInterval is how often the leader's control goroutine checks for work that is due,
	// idleTickInterval how often others do: there are many, and they are woken by events.
	tickInterval     = 100 * time.Millisecond
	idleTickInterval = 500 * time.Millisecond
	// missingHostTTL is how long a host without an entry still counts.
	missingHostTTL = 20 * time.Second
	// forgetInterval is how often all servers are searched for those that are gone.
	forgetInterval = 10 * time.Second
)

func newControl(g *Gateway) *control {
	return &control{
		Gateway:         g,
		hosts:           make(map[ident.HostID]*hostInfo),
		pendingDemand:   make(map[demandKey]loading.Demand),
		pools:           make(map[ident.ServiceName]*balance.Pool),
		outdatedServers: make(map[ident.ServerName]struct{}),
		gauges:          newGauges(g.options.Metrics),
		suspects: suspects.Machine{
			Harmless: &g.harmlessParts,
		},
		builds: buildState{
			unrecordedUntil: make(map[unrecordedBuild]time.Time),
		},
	}
}

func (c *control) run() error {
	interval := idleTickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case event := <-c.inbox:
			event.apply(time.Now(), c)
		case now := <-ticker.C:
			c.handleTick(now)
		}
		if c.isPlanUrgent {
			c.plan(time.Now())
		}
		c.publish(time.Now())
		if current := c.currentTickInterval(); current != interval {
			interval = current
			ticker.Reset(interval)
		}
	}
}

func (c *control) currentTickInterval() time.Duration {
	if c.term != nil {
		return tickInterval
	}
	return idleTickInterval
}

func (c *control) handleTick(now time.Time) {
	c.checkTickDelay(now)
	c.endTermIfCutOff()
	c.updateInventoryFreshness(now)
	if now.Sub(c.gauges.updatedAt) > time.Second {
		c.forgetMissingHosts(now)
		for _, pool := range c.pools {
			pool.RevertCorrections()
		}
		c.publishBuilds(now)
		c.gauges.update(now, c)
		c.reportShares(now)
		c.spills.update(now, c.pools, c.options.Metrics, c.log)
	}
	if now.Sub(c.forgotAt) > forgetInterval {
		c.forgotAt = now
		c.inventory.Forget(now, func(name ident.ServerName) bool { _, known := c.registry.Incarnation(name); return known })
		c.backpressure.Sweep(now, c.isListed)
	}
	c.storeSuspects(now)
	c.storeBuilds(now)
	c.updateUnrecorded(now)
	c.plan(now)
}

func (c *control) forgetMissingHosts(now time.Time) {
	for name, host := range c.hosts {
		if !host.missingSince.IsZero() && now.Sub(host.missingSince) > missingHostTTL {
			delete(c.hosts, name)
			c.hostsChanged = true
		}
	}
}

// isListed reports whether an incarnation of a server has an entry.
func (c *control) isListed(name ident.ServerName, incarnation ident.Incarnation) bool {
	listed, known := c.registry.Incarnation(name)
	return known && listed == incarnation
}

// updateInventoryFreshness republishes the pools when the leader's inventory becomes
// fresh or stale.
func (c *control) updateInventoryFreshness(now time.Time) {
	if fresh := c.inventory.IsFresh(now); fresh != c.isInventoryFresh {
		c.isInventoryFresh = fresh
		c.poolsOutdated = true
	}
}

const (
	// lateTickThreshold is the time between two ticks from which on the host can't do its
	// duties: the machine is slow, or was suspended.
	lateTickThreshold = 4 * tickInterval
	// maxLateTicks is how many late ticks in a row end a leader's term.
	maxLateTicks = 3
)

// checkTickDelay ends this host's term as leader if its machine has become slow. It would
// otherwise keep its lease, and send an order every few seconds, based on reports that
// are too old: models with rising demand get no replicas meanwhile, and no other host may
// send any orders.
func (c *control) checkTickDelay(now time.Time) {
	if c.term == nil {
		c.lastTickAt, c.lateTicks = time.Time{}, 0
		return
	}
	isLate := !c.lastTickAt.IsZero() && now.Sub(c.lastTickAt) > lateTickThreshold
	c.lastTickAt = now
	if !isLate {
		c.lateTicks = 0
		return
	}
	c.lateTicks++
	c.log.Info("control goroutine is late", zap.Int("Times", c.lateTicks))
	if c.lateTicks >= maxLateTicks {
		c.term.ended.Store(true)
	}
}

// endTermIfCutOff ends this host's term as leader while it reaches no engine and others do.
func (c *control) endTermIfCutOff() {
	if c.term != nil && c.tunnels.isCutOffAlone() {
		c.term.ended.Store(true)
	}
}

// publish updates what requests see of hosts and servers.
func (c *control) publish(now time.Time) {
	if c.hostsChanged {
		c.publishHosts()
	}
	if c.configuration == nil {
		return
	}
	c.collectServerChanges(now)
	switch {
	case c.poolsOutdated:
		c.replaceServers(now)
	case len(c.outdatedServers) > 0:
		c.updateServers(now)
	}
	if c.poolsOutdated || len(c.outdatedServers) > 0 {
		c.publishBuilds(now)
	}
	c.poolsOutdated = false
	clear(c.outdatedServers)
}

// collectServerChanges marks the servers whose entries have changed.
func (c *control) collectServerChanges(now time.Time) {
	changed := c.registry.TakeChanges(now)
	for _, name := range changed {
		c.outdatedServers[name] = struct{}{}
	}
	c.engines.isOutdated = c.engines.isOutdated || len(changed) > 0
}

// replaceServers updates the pools from all registered servers.
func (c *control) replaceServers(now time.Time) {
	byService := make(map[ident.ServiceName][]balance.ServerInfo, len(c.pools))
	for _, registration := range c.registry.Servers(now) {
		service := registration.Server.Service
		if _, declared := c.pools[service]; !declared {
			continue // the configuration has no such service
		}
		byService[service] = append(byService[service], c.describeServer(now, &registration))
	}
	for service, pool := range c.pools {
		pool.SetServers(byService[service])
	}
	c.publishHostCount()
}

// updateServers updates the pools from the servers that have changed.
func (c *control) updateServers(now time.Time) {
	changed := make(map[ident.ServiceName][]balance.ServerInfo)
	removed := make(map[ident.ServiceName][]ident.ServerName)
	for name := range c.outdatedServers {
		registration, known := c.registry.Get(name)
		for service := range c.pools {
			if known && registration.Server.Service == service {
				changed[service] = append(changed[service], c.describeServer(now, &registration))
			} else {
				removed[service] = append(removed[service], name)
			}
		}
	}
	for service, pool := range c.pools {
		if len(changed[service]) > 0 || len(removed[service]) > 0 {
			pool.UpdateServers(changed[service], removed[service])
		}
	}
}

// publishHostCount updates this host's shares of what all hosts use together.
func (c *control) publishHostCount() {
	hosts := len(c.hosts)
	c.knownHostCount.Store(int64(hosts))
	for service, pool := range c.pools {
		if declared, known := c.configuration.Services[service]; known && declared.MaxConnections > 0 {
			pool.SetServerLimit(serverLimit(declared.MaxConnections, hosts))
		}
	}
	c.budget.SetHosts(max(hosts, 1))
	if c.serversKnown.Load() {
		c.quota.pool.SetHosts(hosts)
	}
}

// publishHosts updates everything that depends on the set of reachable hosts.
func (c *control) publishHosts() {
	c.hostsChanged = false
	hosts := c.reachableHosts()
	schedulerHosts := withoutWatchers(hosts)
	c.schedulers.setHosts(schedulerHosts)
	c.tunnels.setHosts(hosts, c.hosts)
	c.limiter.SetHosts(hosts)
	c.publishKeepers(hosts)
	c.quota.setHosts(hosts, c.options.Settings.Host.Region)
	watchers := c.selectWatchers(hosts)
	c.setWatchers(&watchers)
	c.leaderPeerCount.Store(int64(countLeaderPeers(hosts)))
	c.nearHostCount.Store(int64(len(pacing.InDataCentre(hosts, c.options.Settings.Host.DataCentre))))
	c.openConnections(schedulerHosts, &watchers)
	isYoungest := true
	for _, host := range c.hosts {
		isYoungest = isYoungest && (!host.missingSince.IsZero() || !host.startedAt.After(processStart))
	}
	c.isYoungest.Store(isYoungest)
	if c.configuration != nil {
		c.publishHostCount()
	}
}

// openConnections connects to the hosts that this one will soon call, and to no others:
// connections to all hosts of a large fleet would take most of a host's memory.
func (c *control) openConnections(schedulerHosts []pacing.Host, watchers *watcherSet) {
	addresses := append(watchers.addresses(), c.leaderAddress())
	for _, host := range pacing.PrimarySchedulers(schedulerHosts) {
		addresses = append(addresses, host.Address)
	}
	for _, address := range addresses {
		if address == "" || address == c.options.Settings.Listen.Peers {
			continue
		}
		if err := c.peers.Connect(address); err != nil {
			c.log.Debug("connection to peer failed", zap.String("Address", address), zap.Error(err))
		}
	}
}

// reachableHosts returns the hosts that have an entry, sorted by name.
func (c *control) reachableHosts() []pacing.Host {
	hosts := make([]pacing.Host, 0, len(c.hosts))
	for name, host := range c.hosts {
		if host.missingSince.IsZero() {
			hosts = append(hosts, pacing.Host{
				Name:        name,
				Address:     host.address,
				DataCentre:  host.dataCentre,
				Region:      host.region,
				CPUCapacity: host.cpuCapacity,
			})
		}
	}
	slices.SortFunc(hosts, func(a, b pacing.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// serverLimit bounds the requests in flight at one server, given the connections that it accepts
// and the number of hosts. Clients spread unevenly over hosts, and seldom use all hosts at full
// load at once: so a host's own limit is twice an even share. Beyond it, half of the connections
// are left for requests that other hosts are about to send, and for their idle connections.
func serverLimit(connections, hosts int) balance.ServerLimit {
	return balance.ServerLimit{
		Own:   max(2*connections/max(hosts, 1), 2),
		Total: connections / 2,
	}
}

// describeServer combines a server's entry with the leader's newer report on it.
func (c *control) describeServer(now time.Time, registration *backend.Registration) balance.ServerInfo {
	server := balance.ServerInfo{
		Server:      registration.Server,
		Incarnation: registration.Report.Incarnation,
		Slots:       registration.Report.Slots,
		Leaving:     registration.Report.Leaving,
		Unrecorded:  c.isUnrecorded(now, &registration.Server),
		Running:     -1,
	}
	if c.configuration.Services[registration.Server.Service].Engine == nil {
		server.Kind = backend.KindService
		return server
	}
	server.Kind = backend.KindEngine
	reported, found := c.inventory.Get(registration.Server.Name)
	if found && c.isInventoryFresh && reported.Incarnation == server.Incarnation {
		server.Holds = reported.Weights
		server.Retiring = reported.Retiring
		server.Running = reported.Running
		server.Waiting = reported.Waiting
		server.Pace = reported.Pace
		return server
	}
	server.Holds = registration.Report.Weights()
	return server
}

// installConfiguration puts a newer configuration into force. An older one is never
// installed, whichever source it comes from: it would undo what callers have already
// seen.
func (c *control) installConfiguration(now time.Time, text []byte, source string) {
	decoded, err := c.options.Layout.DecodeConfiguration(text)
	if err != nil {
		c.log.Warn("configuration refused", zap.String("From", source), zap.Error(err))
		return
	}
	if c.configuration != nil && decoded.Version <= c.configuration.Version {
		return
	}
	if len(decoded.Accounts) > 0 {
		if text, err = c.options.Layout.RedactConfiguration(text); err != nil {
			c.log.Warn("configuration refused", zap.String("From", source), zap.Error(err))
			return
		}
	}
	c.configuration = decoded
	location := balance.Location{
		DataCentre: c.options.Settings.Host.DataCentre,
		Region:     c.options.Settings.Host.Region,
	}
	pools := make(map[ident.ServiceName]*balance.Pool, len(decoded.Services))
	for name, service := range decoded.Services {
		if pools[name] = c.pools[name]; pools[name] == nil {
			pools[name] = balance.NewPool(location, &c.backpressure)
			pools[name].SetSpill(spillMode(c.options.Settings.Locality.Spill))
		}
		if service.Engine != nil {
			pools[name].SetTokensPerEvent(service.Engine.TokensPerEvent)
		}
	}
	c.pools = pools
	c.poolsOutdated = true
	c.engines.isOutdated = true
	c.publish(now)
	c.Gateway.pools.Store(&pools)
	c.quota.pool.SetAccounts(bootTime(), decoded.Accounts)
	table := routetable.NewAfter(c.Routes(), decoded)
	if c.routes.Swap(table) == nil {
		close(c.routesKnown)
	}
	c.packedConfiguration = compress(text)
	for _, name := range table.Accounts().WithSharedKeys() {
		c.log.Warn("a key of this account belongs to another account", zap.String("Account", string(name)))
	}
	c.log.Info("configuration in force", zap.Int64("Version", int64(decoded.Version)), zap.String("From", source),
		zap.Int("Routes", len(decoded.Routes)), zap.Int("Services", len(decoded.Services)))
}

// baseMessage is the part of a message that every peer gets.
func (c *control) baseMessage(now time.Time) gatewaypeer.Message {
	host := &c.options.Settings.Host
	message := gatewaypeer.Message{
		Host:        host.Name,
		DataCentre:  host.DataCentre,
		Region:      host.Region,
		Suspects:    c.suspects.MostUrgent(maxMessageSuspects),
		Brittleness: c.backpressure.Brittleness(now),

		StoreAnsweredAt: c.storeAnsweredAt(),
		StoreFailedAt:   c.viewFailedAt(),
	}
	if c.configuration != nil {
		message.ConfigurationVersion = c.configuration.Version
	}
	if c.term != nil {
		message.LeaderToken = c.term.token
	}
	message.LastOrderAt, message.LastOrderCovers = c.latestOrderTime(now)
	return message
}

// viewFailedAt is when the key-value service last failed the host from which this host's
// view of it comes. Where that is a peer, this host's own failures say nothing about the
// service: a host that received them would keep removed servers for a while, as it does
// after an outage.
func (c *control) viewFailedAt() time.Time {
	if c.peerViewNanos.Load() > c.ownViewNanos() {
		return c.peerStoreFailedAt
	}
	return c.storeFailedAt
}

// buildReply returns the reply to a peer's message: the base message, a configuration if
// the peer's is older and, if it asked for them, the changes in the fleet and in the
// inventory.
func (c *control) buildReply(now time.Time, received *gatewaypeer.Message) gatewaypeer.Message {
	reply := c.baseMessage(now)
	if received.ConfigurationVersion < reply.ConfigurationVersion {
		reply.PackedConfiguration = c.packedConfiguration
	}
	if received.WantsFleet {
		known := received.KnownFleetRevision
		if received.TakesPackedFleet && c.fleetEntries.NeedsAll(known) {
			reply.PackedFleet, known = c.packFleet(now)
		}
		update := c.fleetEntries.Since(known)
		reply.Fleet = &update
	}
	if received.WantsInventory && c.inventory.IsFresh(now) {
		update := c.inventory.Since(received.KnownInventory)
		reply.Inventory = &update
	}
	return reply
}
