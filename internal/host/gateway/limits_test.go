package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// limitedServer names a request limit from an instant on, and counts what it gets.
type limitedServer struct {
	mu      sync.Mutex
	limit   float64
	arrived []time.Time
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	limit := s.limit
	s.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	if limit > 0 {
		w.Header().Set("Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	_, _ = io.WriteString(w, "limited")
}

func (s *limitedServer) setLimit(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// mostSince returns the largest number of requests in any window, from an instant on.
func (s *limitedServer) mostSince(from time.Time, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, first := range s.arrived {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range s.arrived[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// serveLimited adds a limited server.
func (f *fleet) serveLimited(service, name string) *limitedServer {
	limited := &limitedServer{}
	f.serveHandler(service, name, limited)
	return limited
}

// serveHandler adds a backend server.
func (f *fleet) serveHandler(service, name string, handler http.Handler) {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	f.keyValue.write("servers/"+name, entry{
		Service: service,
		Address: server.Listener.Addr().String(),
		Life:    "1",
	})
}

// press sends requests through all hosts until the returned function is called.
func (f *fleet) press(clientsPerHost int) func() {
	var clients tomb.Tomb
	for name := range f.hosts {
		for range clientsPerHost {
			clients.Go(func() error {
				for clients.Alive() {
					f.request(name)
					time.Sleep(20 * time.Millisecond)
				}
				return nil
			})
		}
	}
	return func() {
		clients.Kill(nil)
		require.NoError(f.t, clients.Wait())
	}
}

// Guards against hosts that together send a server more than the request limit that it names.
func TestRequestLimitHoldsOverAllHosts(t *testing.T) {
	const (
		limit  = 4.0
		window = 2 * time.Second
	)
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	limited := f.serveLimited("old", "limited")
	f.serve("old", "spare")
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		f.start(name)
	}
	for _, name := range names {
		f.eventually(func() bool { return f.isReady(name) }, name)
	}
	stop := f.press(2)
	time.Sleep(time.Second)
	limited.setLimit(limit)
	namedAt := time.Now()
	time.Sleep(5 * time.Second)
	stop()

	allowed := int(1.5*limit*window.Seconds()) + 5
	require.LessOrEqual(t, limited.mostSince(namedAt.Add(time.Second), window), allowed)
	require.NotZero(t, limited.mostSince(namedAt.Add(time.Second), window), "the limit is used")
}

// Guards against a leader that goes on with reports and orders at an engine that wants nothing
// from its host.
func TestLeaderLeavesRestingEngineAlone(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.hosts["a"].backpressure.Server("one", "1").Record(time.Now(), time.Now(), backend.Signals{
		RestUntil: time.Now().Add(time.Minute),
	})
	f.serve("models", "one")
	f.serve("models", "two")
	f.eventually(func() bool { return len(f.engines.sentOrders()) > 0 && f.engines.countReports("two") > 3 }, "orders and reports")
	require.Zero(t, f.engines.countReports("one"))
	for _, order := range f.engines.sentOrders() {
		require.Equal(t, ident.ServerName("two"), order.Server)
	}
}

// Guards against a leader that loads models on an engine that has said that it is leaving.
func TestLeaderOrdersNoLoadsOnEngineThatSaysItLeaves(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.hosts["a"].backpressure.Server("one", "1").Record(time.Now(), time.Now(), backend.Signals{
		IsLeaving: true,
	})
	f.serve("models", "one")
	f.serve("models", "two")
	f.eventually(func() bool { return len(f.engines.sentOrders()) > 0 && f.engines.countReports("one") > 3 }, "orders and reports")
	for _, order := range f.engines.sentOrders() {
		require.Equal(t, ident.ServerName("two"), order.Server)
	}
}

// Guards against an order in doubt that is forgotten while its engine rests, and against an engine
// that gets no orders any more.
func TestOrderIsSentAfterRestOfEngine(t *testing.T) {
	f := newFleet(t)
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	until := time.Now().Add(4 * time.Second)
	f.hosts["a"].backpressure.Server("one", "1").Record(time.Now(), time.Now(), backend.Signals{
		RestUntil: until,
	})
	f.serve("models", "one")
	f.eventually(func() bool { return len(f.engines.sentOrders()) > 0 }, "an order")
	require.False(t, time.Now().Before(until))
}

// Guards against hosts that send a server more than its request limit after all of them were killed.
func TestRequestLimitHoldsAfterAllHostsWereKilled(t *testing.T) {
	const (
		limit  = 4.0
		window = 2 * time.Second
	)
	f := newFleet(t)
	f.keyValue.write("configuration", configuration(1, "old"))
	limited := f.serveLimited("old", "limited")
	f.serve("old", "spare")
	names := []string{"a", "b", "c", "d"}
	f.startAll(names)
	limited.setLimit(limit)
	stop := f.press(2)
	time.Sleep(2 * time.Second)
	stop()
	killedAt := time.Now()
	f.killAll()
	f.startAll(names)
	stop = f.press(2)
	time.Sleep(3 * time.Second)
	stop()
	allowed := int(1.5*limit*window.Seconds()) + 5
	require.LessOrEqual(t, limited.mostSince(killedAt, window), allowed)
	require.NotZero(t, limited.mostSince(killedAt, window))
}
