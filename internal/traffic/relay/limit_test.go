package relay

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
)

// nameLimit answers and names a request limit.
func nameLimit(limit string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit", limit)
		_, _ = io.WriteString(w, "answer")
	}
}

// countArrivals counts the requests that a server got.
func (w *testEnv) countArrivals(server string) int {
	count := 0
	for _, arrival := range w.arrivals() {
		if arrival[:len(server)] == server {
			count++
		}
	}
	return count
}

// serveEngine makes the last server an engine that holds the only model.
func (w *testEnv) serveEngine(model ident.ModelName) {
	last := &w.servers[len(w.servers)-1]
	last.Kind = backend.KindEngine
	last.Holds = []request.Weights{{Model: model}}
	w.pool.SetServers(w.servers)
	configuration := *w.table.Configuration()
	configuration.Services = map[ident.ServiceName]route.Service{
		"desk": {
			Engine: &route.Engine{
				Models: []route.Model{{Name: model}},
			},
		},
	}
	w.table = routetable.New(&configuration)
}

// Guards against a server's request limit that sends its requests away although others have room.
func TestOtherServersTakeWhatLimitDoesNotAllow(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("limited", nameLimit("1"))
	w.serve("spare", answerWith(http.StatusOK, "answer"))
	for i := range 40 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, strconv.Itoa(i), nil).status)
	}
	require.LessOrEqual(t, w.countArrivals("limited"), 3)
}

// Guards against requests that wait for a permit until their time is over.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("limited", nameLimit("0.1"))
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "told", nil).status)
	started := time.Now()
	refused := w.ask(http.MethodGet, "beyond", nil)
	require.Less(t, time.Since(started), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, retryAfter, 9.0)
	require.Equal(t, []string{"limited told"}, w.arrivals())
}

// Guards against a request that is refused although its permit is free before it has to be sent.
func TestRequestWaitsForItsPermit(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("limited", nameLimit("2"))
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "told", nil).status)
	started := time.Now()
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "waits", nil).status)
	require.Greater(t, time.Since(started), 400*time.Millisecond)
}

// requireNotSentAfter grants a prompt an engine, records a signal of the engine before the prompt
// is sent, and requires that it is not sent.
func requireNotSentAfter(t *testing.T, signals backend.Signals) {
	t.Helper()
	w := newTestEnv(t, route.Route{
		Kind:      route.Safe,
		Timeout:   10 * time.Second,
		Objective: 100 * time.Millisecond,
	})
	w.serve("engine", nameLimit("0.1"))
	w.serveEngine("m")
	w.sendDelay = time.Second
	var granted sync.WaitGroup
	granted.Go(func() { w.ask(http.MethodGet, "granted", http.Header{"Weights": {"m"}}) })
	require.Eventually(t, func() bool { return w.reservations.Load() == 1 }, time.Second, time.Millisecond)
	w.pressures.Server("engine", "1").Record(time.Now(), time.Now(), signals)
	granted.Wait()
	require.Empty(t, w.arrivals())
}

// Guards against a request that was granted an engine before the engine named its limit, and is
// sent there without a permit.
func TestPromptGrantedBeforeLimitNeedsPermit(t *testing.T) {
	requireNotSentAfter(t, backend.Signals{
		RequestLimit: backend.ParseRequestLimit("0.1"),
	})
}

// Guards against a limit that goes on after the server has stopped naming it.
func TestLimitEndsWithTheHeader(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	limit := "4"
	var mu sync.Mutex
	w.serve("limited", func(to http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if limit != "" {
			to.Header().Set("Limit", limit)
		}
		_, _ = io.WriteString(to, "answer")
	})
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "told", nil).status)
	mu.Lock()
	limit = ""
	mu.Unlock()
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "over", nil).status)
	started := time.Now()
	for i := range 20 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, strconv.Itoa(i), nil).status)
	}
	require.Less(t, time.Since(started), 2*time.Second)
}

// Guards against a request that asks again and again while no issuer of permits answers.
func TestPermitIsNotAskedForAgainAtOnceWhileNobodyDecides(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("limited", nameLimit("2"))
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "told", nil).status)
	w.isUndecided.Store(true)
	refused := w.ask(http.MethodGet, "waits", nil)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.LessOrEqual(t, w.permitsAsked.Load(), int64(8))
}
