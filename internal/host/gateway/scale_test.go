package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
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
