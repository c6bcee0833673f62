package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/peer/gatewaypeer"
)

// newControlWithEngines returns the state of a host that knows n engines of one service.
func newControlWithEngines(n int) *control {
	g := &Gateway{
		options: Options{
			Metrics: metrics.NewSet(),
			Layout: Layout{
				RegistrationPrefix: "servers/",
				HostPrefix:         "hosts/",
			},
		},
		log: zap.NewNop(),
	}
	g.watchers.Store(&watcherSet{})
	c := newControl(g)
	c.configuration = &route.Configuration{
		Services: map[ident.ServiceName]route.Service{
			"models": {
				Name:   "models",
				Engine: &route.Engine{},
			},
		},
	}
	c.pools["models"] = balance.NewPool(balance.Location{}, &g.backpressure)
	for i := range n {
		c.registry.Put(time.Now(), newEngineRegistration(i, 0))
	}
	c.publish(time.Now())
	return c
}

func newEngineRegistration(number, incarnation int) backend.Registration {
	name := ident.ServerName("e" + strconv.Itoa(number))
	return backend.Registration{
		Server: backend.Server{
			Name:    name,
			Service: "models",
		},
		Report: backend.Report{
			Server:      name,
			Incarnation: ident.Incarnation(strconv.Itoa(incarnation)),
			Residents: []backend.Resident{{
				Model: ident.ModelName("m" + strconv.Itoa(number)),
			}},
		},
	}
}

// Guards against hosts that update all servers at each change of one: in a large fleet one
// changes all the time, at all hosts.
func TestChangeOfServerCostsTheSameInLargeFleet(t *testing.T) {
	measure := func(n int) float64 {
		c := newControlWithEngines(n)
		incarnation := 0
		return testing.AllocsPerRun(20, func() {
			incarnation++
			c.registry.Put(time.Now(), newEngineRegistration(7, incarnation))
			require.Len(t, c.registry.TakeChanges(time.Now()), 1)
			c.outdatedServers["e7"] = struct{}{}
			c.publish(time.Now())
		})
	}
	require.InDelta(t, measure(1000), measure(2000), 2)
}

// Guards against a host that has nothing to do, and goes through all servers all the same.
func TestIdleTickAllocatesNothingForServers(t *testing.T) {
	measure := func(n int) float64 {
		c := newControlWithEngines(n)
		now := time.Now()
		return testing.AllocsPerRun(50, func() {
			now = now.Add(tickInterval)
			c.handleTick(now)
			c.applyEvents(now, nil)
			c.publish(now)
		})
	}
	require.InDelta(t, measure(1000), measure(2000), 1)
}

// Guards against watchers that encode all entries for each host that starts, and against a host
// that misses a change between the packed entries and the reply.
func TestPackedEntriesAreMadeOnce(t *testing.T) {
	watcher, host := newControlWithEngines(0), newControlWithEngines(0)
	write := func(key string, revision ident.Revision) {
		watcher.fleetEntries.Apply(store.Batch{
			Events: []store.Event{{
				Entry: store.Entry{
					Key:      key,
					Value:    []byte("value of " + key),
					Revision: revision,
				},
			}},
			Revision: revision,
		})
	}
	for i := range 500 {
		write("key"+strconv.Itoa(i), ident.Revision(i+1))
	}
	now := time.Now()
	first, firstRevision := watcher.packFleet(now)
	write("later", 501)
	again, revision := watcher.packFleet(now.Add(packedFleetTTL / 2))
	require.Same(t, &first[0], &again[0])
	require.Equal(t, firstRevision, revision)

	ask := gatewaypeer.Message{
		WantsFleet:       true,
		TakesPackedFleet: true,
	}
	reply := watcher.buildReply(now, &ask)
	host.receive(now, &reply)
	require.Equal(t, watcher.fleetEntries.All(), host.fleetEntries.All())

	ask.KnownFleetRevision = host.fleetEntries.Revision()
	write("last", 502)
	reply = watcher.buildReply(now, &ask)
	require.Empty(t, reply.PackedFleet, "the host has nearly all")
	require.Len(t, reply.Fleet.Events, 1)
	ask.KnownFleetRevision, ask.TakesPackedFleet = 0, false
	reply = watcher.buildReply(now, &ask)
	require.Empty(t, reply.PackedFleet, "an older host does not read it")
	require.Len(t, reply.Fleet.Events, 502)
}

// Guards against packed entries that can't be read, and a host that then believes that it knows
// the fleet.
func TestBrokenPackedEntriesAreRefused(t *testing.T) {
	host := newControlWithEngines(0)
	for _, packed := range [][]byte{[]byte("no gzip"), compress([]byte("no entries")), compress(make([]byte, maxFleetBytes+1))} {
		host.receive(time.Now(), &gatewaypeer.Message{
			PackedFleet: packed,
			Fleet: &entries.Update{
				Revision: 7,
			},
		})
		require.Zero(t, host.fleetEntries.Revision())
		require.False(t, host.serversKnown.Load())
	}
}

// Guards against idle hosts that are woken many times a second, which a machine with a fifth of a
// core pays for, and a fleet with a thousand of them.
func TestFollowerSleepsUntilItsViewIsOld(t *testing.T) {
	g := &Gateway{
		startedAt:    time.Now(),
		hostListDone: make(chan struct{}),
	}
	close(g.hostListDone)
	g.watchers.Store(&watcherSet{})
	changed := make(chan struct{})
	g.watchersChanged.Store(&changed)
	g.setWatchers(&watcherSet{
		near:          []string{"watcher:1"},
		isLargeRegion: true,
	})
	select {
	case <-changed:
	default:
		t.Fatal("what waits is not woken")
	}
	g.notePeerView(time.Now())
	returned := make(chan time.Time, 1)
	go func() {
		g.waitUntilWatchNeeded()
		returned <- time.Now()
	}()
	time.Sleep(minWatchNeedPoll)
	require.Empty(t, returned)
	g.setWatchers(&watcherSet{
		isLargeRegion: true,
	})
	select {
	case <-returned:
	case <-time.After(maxViewAge / 2):
		t.Fatal("a host that has become a watcher does not follow the service")
	}
}

// Guards against hosts that start together and give up all exchanges just before the busy
// watcher answers; and against one that waits long for a silent watcher later on.
func TestExchangeTimeoutGrowsOnlyWithoutAView(t *testing.T) {
	g := &Gateway{}
	require.Equal(t, exchangeTimeout, g.currentExchangeTimeout())
	g.exchangeTimeout.Store(int64(2 * exchangeTimeout))
	require.Equal(t, 2*exchangeTimeout, g.currentExchangeTimeout())
	g.peerViewNanos.Store(int64(time.Second))
	require.Equal(t, exchangeTimeout, g.currentExchangeTimeout())
}
