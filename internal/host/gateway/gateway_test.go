package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

func TestHostServesOnceConfigured(t *testing.T) {
	f := newFleet(t)
	f.start("a")
	status, _ := f.request("a")
	require.Equal(t, http.StatusServiceUnavailable, status, "no configuration yet")
	require.False(t, f.isReady("a"))
	f.serve("old", "one")
	f.keyValue.write("configuration", configuration(4, "old"))
	f.eventually(func() bool { return f.isReady("a") }, "ready")
	f.eventually(func() bool { _, body := f.request("a"); return body == "one" }, "served")
}

// After a power loss of all hosts callers arrive before a host has read the
// configuration. Rejected callers would find no host that knows more, and their requests
// would be lost.
func TestStartingHostHoldsRequestsUntilConfigured(t *testing.T) {
	f := newFleet(t)
	f.serve("old", "one")
	f.start("a")
	bodies := make(chan string)
	const callers = 20
	for range callers {
		go func() {
			_, body := f.request("a")
			bodies <- body
		}()
	}
	f.eventually(func() bool { return f.hosts["a"].handler.InFlight() == callers }, "all wait")
	f.keyValue.write("configuration", configuration(4, "old"))
	for range callers {
		require.Equal(t, "one", <-bodies)
	}
}

// The key-value service is unavailable when a host starts. For a moment it may come back;
// after that callers are refused at once.
func TestHostWithoutConfigurationRefusesCallers(t *testing.T) {
	f := newFleet(t)
	f.keyValue.setUnavailable("", true)
	f.start("a")
	status, _ := f.request("a")
	require.Equal(t, http.StatusServiceUnavailable, status)
	asked := time.Now()
	status, _ = f.request("a")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Less(t, time.Since(asked), routesWait/2, "held no longer")
}

// A new configuration is installed, then an entry comes that can't be decoded, and then an
// older configuration. The new one must stay in force, and the other servers in use.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFleet(t)
	f.serve("old", "one")
	f.serve("new", "two")
	f.keyValue.write("configuration", configuration(4, "old"))
	f.start("a")
	f.eventually(func() bool { _, body := f.request("a"); return body == "one" }, "the first")
	f.keyValue.write("servers/strange", 7)
	f.keyValue.write("configuration", configuration(9, "new"))
	f.eventually(func() bool { _, body := f.request("a"); return body == "two" }, "the second")
	f.keyValue.write("configuration", configuration(8, "old"))
	f.keyValue.write("configuration", "no configuration")
	time.Sleep(100 * time.Millisecond)
	for range 20 {
		_, body := f.request("a")
		require.Equal(t, "two", body)
	}
}

// One server reports that it is leaving, another one's entry is removed. Neither may get
// new requests.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	f := newFleet(t)
	address := f.serve("old", "one")
	f.serve("old", "two")
	f.serve("old", "three")
	f.keyValue.write("configuration", configuration(4, "old"))
	f.start("a")
	seen := make(map[string]bool)
	f.eventually(func() bool { _, body := f.request("a"); seen[body] = true; return seen["one"] && seen["two"] }, "all are used")
	f.keyValue.write("servers/one", entry{
		Service: "old",
		Address: address,
		Life:    "1",
		Leaving: true,
	})
	f.keyValue.delete("servers/two")
	const drain = 3 * time.Second // what a deployment allows
	require.Eventually(t, func() bool {
		for range 30 {
			if _, body := f.request("a"); body != "three" {
				return false
			}
		}
		return true
	}, drain, 10*time.Millisecond)
	for range 30 {
		_, body := f.request("a")
		require.Equal(t, "three", body)
	}
}

// The key-value service becomes unavailable while a host runs, and another host starts: it
// gets the configuration from the peer that its settings name.
func TestHostStartedInOutageGetsConfigurationFromSeed(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(4, "old"))
	f.start("a")
	f.eventually(func() bool { return f.hosts["a"].Routes() != nil }, "a has a configuration")
	f.keyValue.setUnavailable("", true)
	f.start("b", f.listen["a"].Peers)
	f.eventually(func() bool { return f.hosts["b"].Routes() != nil }, "b has a configuration")
	require.Equal(t, route.Version(4), f.hosts["b"].Routes().Configuration().Version)
}

// The key-value service rejects one host and serves the others. That host must still get
// changes, from its peers.
func TestHostWithoutStoreGetsChangesFromPeers(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(4, "old"))
	f.start("a")
	f.start("b")
	f.eventually(func() bool { return f.hosts["a"].Routes() != nil && f.hosts["b"].Routes() != nil }, "both have a configuration")
	f.eventually(func() bool {
		return f.keyValue.value("servers-ours/hosts/north-1/a") != "" && f.keyValue.value("servers-ours/hosts/north-1/b") != ""
	}, "both have an entry")
	f.eventually(func() bool { return f.hosts["b"].knownHostCount.Load() == 2 }, "b knows of a")
	f.keyValue.setUnavailable("b", true)
	f.keyValue.write("configuration", configuration(5, "new"))
	f.eventually(func() bool { return f.hosts["b"].Routes().Configuration().Version == 5 }, "b gets the change")
}

func engineConfiguration() route.Configuration {
	c := configuration(4, "models")
	c.Services["models"] = route.Service{
		Name: "models",
		Engine: &route.Engine{
			Memory:         100 * unit.Gibibyte,
			AdapterSlots:   2,
			LoadsPerSecond: 2,
			Models: []route.Model{
				{
					Name:          "m",
					Memory:        60 * unit.Gibibyte,
					StoreLoadTime: time.Second,
				},
				{
					Name:          "n",
					Memory:        60 * unit.Gibibyte,
					StoreLoadTime: time.Second,
				},
			},
		},
	}
	return c
}

func (f *fleet) leaders() []string {
	var leaders []string
	for name, host := range f.hosts {
		if term := host.activeTerm.Load(); term != nil && term.mayOrder() {
			leaders = append(leaders, name)
		}
	}
	return leaders
}

// One of two hosts is the leader and loads the declared models. It stops, and the other
// continues with a greater fencing number. They never send orders at the same time.
func TestOneHostAtATimeSendsOrders(t *testing.T) {
	f := newFleet(t)
	f.serve("models", "one")
	f.serve("models", "two")
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.start("b")
	f.eventually(func() bool { return len(f.engines.sentOrders()) >= 2 }, "both models are loaded")
	require.Len(t, f.leaders(), 1)
	first := f.engines.sentOrders()[0]
	f.stop(string(first.Leader))
	f.eventually(func() bool { return len(f.leaders()) == 1 }, "the other takes over")
	f.keyValue.delete("servers/one")
	f.serve("models", "three")
	f.eventually(func() bool {
		orders := f.engines.sentOrders()
		return orders[len(orders)-1].Leader != first.Leader
	}, "the other sends orders")
	orders := f.engines.sentOrders()
	last := orders[0].Fencing
	for _, order := range orders {
		require.GreaterOrEqual(t, order.Fencing, last)
		require.Equal(t, order.Fencing == first.Fencing, order.Leader == first.Leader)
		last = order.Fencing
	}
}

// The leader loses its connection to the key-value service. It must stop sending orders
// before another host may start: its lease expires for itself no later than for the
// service.
func TestIsolatedLeaderStopsBeforeNextStarts(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.eventually(func() bool { return len(f.leaders()) == 1 }, "a holds")
	f.start("b")
	f.keyValue.setUnavailable("a", true)
	f.eventually(func() bool {
		leaders := f.leaders()
		require.LessOrEqual(t, len(leaders), 1)
		return len(leaders) == 1 && leaders[0] == "b"
	}, "b holds")
}

// The leader's process or machine is suspended, and resumes after its lease has expired.
// It must not send orders that it had decided on. A clock that can't be read must not
// allow orders either.
func TestLeaderSendsNothingAfterLeaseExpiry(t *testing.T) {
	term := &leaderTerm{}
	term.firstOrderNanos.Store(steadyNanos() - int64(time.Second))
	steadySent, bootSent := steadyNanos(), bootNanos()
	term.extendLease(steadySent, bootSent, leaderLeaseDuration)
	require.True(t, term.mayOrder())
	term.extendLease(steadySent-int64(leaderLeaseDuration), bootSent, leaderLeaseDuration)
	require.False(t, term.mayOrder(), "process suspended")
	term.extendLease(steadySent, bootSent-int64(leaderLeaseDuration), leaderLeaseDuration)
	require.False(t, term.mayOrder(), "machine suspended")
	term.extendLease(steadySent, bootSent, leaderLeaseDuration)
	term.firstOrderNanos.Store(steadyNanos() + int64(time.Second))
	require.False(t, term.mayOrder(), "may not start yet")
	term.firstOrderNanos.Store(0)
	term.ended.Store(true)
	require.False(t, term.mayOrder(), "knows of a later leader")
}

// An engine refuses an order since it has seen a later leader. The refused host must send
// no more orders in its term.
func TestFencedLeaderEndsItsTerm(t *testing.T) {
	c := &control{
		Gateway: &Gateway{
			options: Options{
				Engines: fencing{},
			},
			log:   zap.NewNop(),
			inbox: make(chan controlEvent, 1),
		},
		term: &leaderTerm{
			token: 3,
		},
	}
	c.term.extendLease(steadyNanos(), bootNanos(), time.Minute)
	term := c.term
	c.sendOrder("models", &listedEngine{
		Server: loading.Server{
			Server: backend.Server{
				Name:    "one",
				Address: "one:1",
			},
		},
	}, backend.CountedOrder{
		Server: "one",
	})
	require.Eventually(t, term.ended.Load, 5*time.Second, time.Millisecond)
	require.Equal(t, ident.FencingNumber(3), term.token)
}
