package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
)

func unsafeRoute() route.Route {
	return route.Route{
		Kind:        route.Unsafe,
		MaxAttempts: 1,
		Timeout:     5 * time.Second,
	}
}

func safeRoute() route.Route {
	return route.Route{
		Kind:        route.Safe,
		MaxAttempts: 2,
		Timeout:     5 * time.Second,
	}
}

func streamRoute(resumable bool) route.Route {
	return route.Route{
		Kind:        route.Stream,
		Resumable:   resumable,
		MaxAttempts: 2,
		Timeout:     5 * time.Second,
	}
}

// A server breaks off after it has read a request that must not be repeated. The request
// may have run: it must not be sent again, nor be reported as not run.
func TestUnsafeRequestThatMayHaveRunIsNotResent(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", breakOff)
	w.serve("b", breakOff)
	got := w.ask(http.MethodPost, "r1", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Len(t, w.arrivals(), 1)
}

// A server answers 503 without the proof that it did not run the request. The caller must
// not see a 503, which would let it send the request again.
func TestUnavailableWithoutProofBecomesBadGateway(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", answerWith(http.StatusServiceUnavailable, "full"))
	require.Equal(t, http.StatusBadGateway, w.ask(http.MethodPost, "r1", nil).status)
	require.Len(t, w.arrivals(), 1)
}

// With the server's proof a request of any kind goes to another server. If all servers
// refuse, the caller learns that the request has not run and when to retry.
func TestProvedRefusalIsRetriedElsewhere(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", refuse)
	w.serve("b", answerWith(http.StatusOK, "sent"))
	for range 6 {
		got := w.ask(http.MethodPost, "r1", nil)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "sent", got.body)
	}
	all := newTestEnv(t, unsafeRoute())
	all.serve("a", refuse)
	all.serve("b", refuse)
	got := all.ask(http.MethodPost, "r1", http.Header{"Left": {"200ms"}})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// A repeatable request fails at one server and is answered by another. If both fail, the
// server's failure answer is passed on unchanged.
func TestSafeRequestIsRetriedElsewhere(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("a", answerWith(http.StatusInternalServerError, "broken"))
	w.serve("b", answerWith(http.StatusOK, "found"))
	for range 6 {
		require.Equal(t, "found", w.ask(http.MethodGet, "r1", nil).body)
	}
	both := newTestEnv(t, safeRoute())
	both.serve("a", answerWith(http.StatusInternalServerError, "broken"))
	both.serve("b", answerWith(http.StatusInternalServerError, "broken"))
	got := both.ask(http.MethodGet, "r1", nil)
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Equal(t, "broken", got.body)
	require.NotEmpty(t, got.header.Get("Signed"))
	require.Len(t, both.arrivals(), 2)
}

// A server sends an answer that belongs to another request, or that no server of the
// service has signed. Its bytes must not reach the client.
func TestForeignAnswersAreNotPassedOn(t *testing.T) {
	for _, forge := range []func(http.Header){
		func(h http.Header) { h.Set("Id", "somebody") },
		func(h http.Header) { h.Del("Signed") },
	} {
		w := newTestEnv(t, unsafeRoute())
		w.serve("a", func(to http.ResponseWriter, r *http.Request) {
			forge(to.Header())
			answerWith(http.StatusOK, "a secret")(to, r)
		})
		got := w.ask(http.MethodPost, "r1", nil)
		require.Equal(t, http.StatusBadGateway, got.status)
		require.NotContains(t, got.body, "secret")
	}
}

// An answer is cut on the way. The client must not take the part for the whole answer.
func TestCutAnswerIsNotPassedOn(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Content-Length", "100")
		_, _ = to.Write([]byte("half"))
		to.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	require.Equal(t, http.StatusBadGateway, w.ask(http.MethodPost, "r1", nil).status)
}

// A server crashes in the middle of an event. A resumable stream continues at the next
// event from another server; the client gets each event once, under the first server's
// header. A stream that is not resumable is cut, so that the client can't take it for
// complete.
func TestResumableStreamContinuesOrIsCut(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", events(9, 4))
	w.serve("b", events(9, 4))
	first := w.ask(http.MethodPost, "r1", nil)
	require.Error(t, first.err, "both cut at the fourth")
	require.Equal(t, wholeStream(3), first.body)

	resumed := newTestEnv(t, streamRoute(true))
	cutOnce := func(to http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			events(9, 4)(to, r)
			return
		}
		events(9, 0)(to, r)
	}
	resumed.serve("a", cutOnce)
	resumed.serve("b", cutOnce)
	got := resumed.ask(http.MethodPost, "r1", nil)
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(9), got.body)
	require.Len(t, resumed.arrivals(), 2)
	require.Equal(t, resumed.arrivals()[0], got.header.Get("Signed")+" r1", "the first server's header")
}

func TestNonResumableStreamIsCut(t *testing.T) {
	w := newTestEnv(t, streamRoute(false))
	w.serve("a", events(9, 4))
	w.serve("b", events(9, 0))
	for range 6 {
		got := w.ask(http.MethodPost, "r1", nil)
		if got.err != nil {
			require.Equal(t, wholeStream(3), got.body)
			return
		}
	}
	t.Fatal("a was never chosen")
}

// A server leaves out an event, or starts again in the middle. The client must get neither
// a gap nor an event twice.
func TestOutOfOrderEventsAreNotPassedOn(t *testing.T) {
	w := newTestEnv(t, streamRoute(false))
	w.serve("a", func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Content-Type", "text/event-stream")
		_, _ = to.Write([]byte("id: 1\ndata: x\n\nid: 3\ndata: y\n\n"))
	})
	got := w.ask(http.MethodPost, "r1", nil)
	require.Error(t, got.err)
	require.Equal(t, "id: 1\ndata: x\n\n", got.body)
}

// A client leaves while the server works on its request. The server must see its connection
// close within half a second, so that it stops.
func TestServerConnectionClosesWhenClientLeaves(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	started, stopped := make(chan struct{}), make(chan struct{})
	w.serve("a", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	opened := make(chan error, 1)
	go func() { _, err := w.open(ctx, http.MethodPost, "r1", nil); opened <- err }()
	<-started
	cancel()
	require.Error(t, <-opened)
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server still works")
	}
}

// Nothing answers. At the route's timeout a request gets its final answer: "may have run"
// if it was sent, "not run" if it wasn't.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	slow := unsafeRoute()
	slow.Timeout = 100 * time.Millisecond
	w := newTestEnv(t, slow)
	w.serve("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	started := time.Now()
	require.Equal(t, http.StatusGatewayTimeout, w.ask(http.MethodPost, "r1", nil).status)
	require.Less(t, time.Since(started), 400*time.Millisecond)

	noServers := newTestEnv(t, slow)
	got := noServers.ask(http.MethodPost, "r1", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, noServers.arrivals())
}

// The connection's deadline fires just before the context's. The client must get a timeout
// and not a broken connection, and a request that may be repeated must not be sent again.
func TestConnectionDeadlineCountsAsTimeout(t *testing.T) {
	for _, r := range []route.Route{unsafeRoute(), safeRoute()} {
		now := time.Now()
		recorder := httptest.NewRecorder()
		s := &requestState{
			handler: &Handler{
				Log:      zap.NewNop(),
				Metrics:  NewMetrics(metrics.NewSet()),
				Now:      func() time.Time { return now },
				Shutdown: context.Background(),
			},
			ctx:      context.Background(),
			writer:   recorder,
			route:    &r,
			deadline: now,
			sends:    1,
		}
		s.history.RecordSend("0")
		require.False(t, s.retryOrEnd(context.Background(), &sendResult{
			result: balance.Broken,
			reason: "i/o timeout",
		}))
		require.Equal(t, http.StatusGatewayTimeout, recorder.Code)
	}
}

// No server holds the weights. The request waits, reports the missing weights, and is sent
// as soon as a server holds them.
func TestRequestWaitsForMissingWeights(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", events(2, 0))
	w.servers[0].Kind = backend.KindEngine
	w.pool.SetServers(w.servers)
	answered := make(chan reply, 1)
	go func() { answered <- w.ask(http.MethodPost, "r1", http.Header{"Weights": {"m"}}) }()
	require.Eventually(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.missingReported > 0
	}, 2*time.Second, time.Millisecond)
	require.Empty(t, w.arrivals())
	w.servers[0].Holds = []request.Weights{{
		Model: "m",
	}}
	w.pool.SetServers(w.servers)
	require.Equal(t, wholeStream(2), (<-answered).body)
}

// A client asks for a model or an adapter that is not declared. The request is refused at
// once and does not count as demand: otherwise the leader would try to load the weights for
// ever.
func TestUndeclaredWeightsAreRefusedAtOnce(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", events(2, 0))
	w.table.Configuration().Services = map[ident.ServiceName]route.Service{
		"desk": {
			Name: "desk",
			Engine: &route.Engine{
				Models: []route.Model{{
					Name: "m",
				}},
			},
		},
	}
	started := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, w.ask(http.MethodPost, "r1", http.Header{"Weights": {"other"}}).status)
	require.Less(t, time.Since(started), time.Second)
	require.Empty(t, w.pool.TakeDemand())
	require.Equal(t, wholeStream(2), w.ask(http.MethodPost, "r1", http.Header{"Weights": {"m"}}).body)
}

// A stream arrives late in a planned stop. It would be cut at the end and is refused at
// once, while a short request is still served.
func TestPlannedStopRefusesRequestsItWouldCut(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", events(2, 0))
	now := time.Now()
	w.handler.StopBy(now.Add(-time.Millisecond), now.Add(10*time.Second))
	got := w.ask(http.MethodPost, "r1", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, w.arrivals())

	short := newTestEnv(t, unsafeRoute())
	short.serve("a", answerWith(http.StatusOK, "sent"))
	short.handler.StopBy(now, now.Add(10*time.Second))
	require.Equal(t, "sent", short.ask(http.MethodPost, "r1", nil).body)
	short.handler.StopBy(now, now.Add(time.Second))
	require.Equal(t, http.StatusServiceUnavailable, short.ask(http.MethodPost, "r2", nil).status)
}

// Guards against a request whose body ends late in a planned stop and that is sent on, and cut off.
func TestRequestWhoseBodyEndsLateInPlannedStopIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		route   route.Route
		grace   time.Duration
		allowed bool
	}{
		"order":                  {route: unsafeRoute(), grace: time.Second},
		"repeatable":             {route: safeRoute(), grace: time.Second},
		"stream":                 {route: streamRoute(true), grace: time.Second},
		"order, long grace":      {route: unsafeRoute(), grace: 10 * time.Second, allowed: true},
		"repeatable, long grace": {route: safeRoute(), grace: 10 * time.Second, allowed: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, c.route)
			w.serve("a", answerWith(http.StatusOK, "ran"))
			text, finish := io.Pipe()
			r, err := http.NewRequest(http.MethodPost, w.front.URL+"/x", text)
			require.NoError(t, err)
			r.Host = "desk.example"
			r.Header.Set("Id", "r1")
			answered := make(chan *http.Response, 1)
			go func() {
				response, err := http.DefaultTransport.RoundTrip(r)
				assert.NoError(t, err)
				answered <- response
			}()
			_, err = io.WriteString(finish, "the beginning")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return w.handler.InFlight() == 1 }, 5*time.Second, time.Millisecond)
			now := time.Now()
			w.handler.StopBy(now, now.Add(c.grace))
			_, err = io.WriteString(finish, " and the end")
			require.NoError(t, err)
			require.NoError(t, finish.Close())
			response := <-answered
			defer response.Body.Close()
			if c.allowed {
				require.Equal(t, http.StatusOK, response.StatusCode)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
			require.Empty(t, w.arrivals())
		})
	}
}

// Guards against a request that waits for a server until late in a planned stop, and is sent on then.
func TestRequestThatWaitedUntilLateInPlannedStopIsNotSent(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	answered := make(chan reply, 1)
	go func() { answered <- w.ask(http.MethodPost, "r1", nil) }()
	require.Eventually(t, func() bool { return w.handler.InFlight() == 1 }, 5*time.Second, time.Millisecond)
	now := time.Now()
	w.handler.StopBy(now, now.Add(time.Second))
	w.serve("a", answerWith(http.StatusOK, "ran"))
	require.Equal(t, http.StatusServiceUnavailable, (<-answered).status)
	require.Less(t, time.Since(now), time.Second)
	require.Empty(t, w.arrivals())
}

// The host must exit while a request is in flight: the request gets its final answer
// instead of a closed connection.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	started := make(chan struct{})
	w.serve("a", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	answered := make(chan reply, 1)
	go func() { answered <- w.ask(http.MethodPost, "r1", nil) }()
	<-started
	w.shutdown()
	require.Equal(t, http.StatusGatewayTimeout, (<-answered).status)
}

// One request crashes each server that runs it, and its client sends it again under new
// ids. After two crashes it reaches no server any more, while another text from the same
// client is served.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, func(to http.ResponseWriter, r *http.Request) {
			if body, err := io.ReadAll(r.Body); err != nil || string(body) == "poison" {
				panic(http.ErrAbortHandler)
			}
			events(2, 0)(to, r)
		})
	}
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
		w.requireLostOrRefused(id, w.ask(http.MethodPost, id, http.Header{"Text": {"poison"}}))
	}
	require.LessOrEqual(t, len(w.arrivals()), 3)
	require.Equal(t, wholeStream(2), w.ask(http.MethodPost, "r6", http.Header{"Text": {"bread"}}).body)
}

// Failed requests are counted by their log lines. Each request must have exactly one line,
// whichever way it ended.
func TestRequestIsLoggedOnce(t *testing.T) {
	for _, answer := range []http.HandlerFunc{answerWith(http.StatusOK, "sent"), answerWith(http.StatusInternalServerError, "broken"), breakOff, refuse, events(3, 0)} {
		w := newTestEnv(t, streamRoute(false))
		core, lines := observer.New(zap.InfoLevel)
		w.handler.Log = zap.New(core)
		w.serve("a", answer)
		w.ask(http.MethodPost, "r1", http.Header{"Left": {"200ms"}})
		require.Equal(t, 1, lines.FilterMessage("answered").Len())
	}
}

func TestUnknownHostAndMissingRoutesAreRefused(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	w.serve("a", answerWith(http.StatusOK, "sent"))
	response, err := http.Post(w.front.URL+"/x", "text/plain", nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode, "another host")
	w.table = nil
	require.Equal(t, http.StatusServiceUnavailable, w.ask(http.MethodPost, "r1", nil).status)
}

// Engines get more prompts than they can process. A prompt that no engine could start in
// time must be refused at once, with the time to retry: otherwise it waits at one until
// its caller leaves, and the engine still processes it.
func TestPromptThatNoEngineCanStartInTimeIsRefused(t *testing.T) {
	w := newTestEnv(t, route.Route{
		Kind:    route.Safe,
		Timeout: 10 * time.Second,
	})
	model := ident.ModelName("m")
	w.serve("e", func(to http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(to, "answer") })
	w.serveEngine(model)
	header := http.Header{
		"Weights": {string(model)},
	}
	require.Equal(t, http.StatusOK, w.ask("GET", "1", header).status)
	beyondQueueTimeout := pacing.QueueTimeout(0, 0) + 400*time.Millisecond
	w.queue.Reserve(time.Now(), &pacing.Prompt{
		Candidates: []pacing.Candidate{{
			Server:      "e",
			PrefillTime: beyondQueueTimeout,
		}},
	})
	started := time.Now()
	refused := w.ask("GET", "2", header)
	require.Less(t, time.Since(started), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, beyondQueueTimeout.Seconds(), retryAfter, 0.5)
	require.Equal(t, []string{"e 1"}, w.arrivals())
}
