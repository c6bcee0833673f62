package relay

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
)

// crashOnCaller breaks off each request of one caller, and answers all others.
func crashOnCaller(caller string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Caller") == caller {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "answer")
	}
}

func fromCaller(caller string) http.Header {
	return http.Header{
		"Caller": {caller},
	}
}

// requireLostOrRefused requires that a request failed, and that its answer says "not run", and when
// to come back, if it was not sent to any server, and only then.
func (w *testEnv) requireLostOrRefused(id string, got reply) {
	w.t.Helper()
	if slices.ContainsFunc(w.arrivals(), func(arrival string) bool { return strings.HasSuffix(arrival, " "+id) }) {
		require.Equal(w.t, http.StatusBadGateway, got.status)
		return
	}
	require.Equal(w.t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(w.t, got.header.Get("Retry-After"))
}

// Guards against a request without a body that crashes servers for as long as its caller repeats it.
func TestRequestWithoutBodyThatCrashesServersIsRefused(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, crashOnCaller("crashing"))
	}
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
		w.requireLostOrRefused(id, w.ask(http.MethodGet, id, fromCaller("crashing")))
	}
	require.LessOrEqual(t, len(w.arrivals()), 3)
}

// Guards against a request that crashes servers and is not recognised because its query differs
// each time.
func TestRequestThatCrashesServersIsRefusedUnderAnotherQuery(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, crashOnCaller("crashing"))
	}
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
		header := fromCaller("crashing")
		header.Set("Query", "?page="+id)
		w.requireLostOrRefused(id, w.ask(http.MethodGet, id, header))
	}
	require.LessOrEqual(t, len(w.arrivals()), 3)
}

// Guards against a request that crashes servers and is not recognised because it comes from
// another address each time.
func TestRequestThatCrashesServersIsRefusedFromAnotherAddress(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, breakOff)
	}
	for _, address := range []string{"r1", "r2", "r3", "r4", "r5"} {
		w.requireLostOrRefused(address, w.ask(http.MethodGet, address, fromCaller(address)))
	}
	require.LessOrEqual(t, len(w.arrivals()), 3)
}

// Guards against a request without a body that takes a second round of servers before it is
// refused, although it was lost at two of them in the first.
func TestRequestLostAtTwoServersInARowIsRefused(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, breakOff)
	}
	w.delaysCrashes = true
	for _, id := range []string{"r1", "r2", "r3"} {
		w.requireLostOrRefused(id, w.ask(http.MethodGet, id, nil))
		w.confirmCrashes()
	}
	require.Len(t, w.arrivals(), 2)
}

// Guards against accounts that are refused because another account's request to the same path
// crashes servers.
func TestSameRequestOfAnotherAccountIsServed(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.table = w.withAccounts(accountWithKey(t, "boats", "k1"), accountWithKey(t, "notes", "k2"))
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Account") == "boats" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "answer")
		})
	}
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		w.ask(http.MethodGet, id, keyHeader("k1"))
	}
	require.LessOrEqual(t, len(w.arrivals()), 3)
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "r5", keyHeader("k2")).status)
}

// Guards against a common request that is refused because copies of it were in flight at two
// servers of a service that went down as a whole.
func TestCopiesInFlightAtWholeServiceThatCrashesAreServedAfter(t *testing.T) {
	w := newTestEnv(t, unsafeRoute())
	var isDown atomic.Bool
	isDown.Store(true)
	var inFlight sync.WaitGroup
	inFlight.Add(2)
	for _, name := range []ident.ServerName{"a", "b"} {
		w.serve(name, func(w http.ResponseWriter, _ *http.Request) {
			if isDown.Load() {
				inFlight.Done()
				inFlight.Wait()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "answer")
		})
	}
	w.pool.SetServerLimit(balance.ServerLimit{
		Own: 1,
	})
	var clients sync.WaitGroup
	for _, id := range []string{"r1", "r2"} {
		clients.Go(func() { w.ask(http.MethodGet, id, nil) })
	}
	clients.Wait()
	require.Len(t, w.arrivals(), 2)
	isDown.Store(false)
	require.Eventually(t, func() bool { return w.ask(http.MethodGet, "r3", nil).status == http.StatusOK }, 5*time.Second, 100*time.Millisecond)
}

// Guards against a request that is sent after it has become known, while it waited for a server,
// that servers crash under it.
func TestRequestIsRefusedIfServersCrashUnderItWhileItWaits(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("a", answerWith(http.StatusOK, "answer"))
	servers := w.servers
	w.pool.SetServers(nil)
	answered := make(chan reply, 1)
	header := fromCaller("crashing")
	header.Set("Text", "poison")
	go func() { answered <- w.ask(http.MethodPost, "r1", header) }()
	require.Eventually(t, func() bool { return w.countSuspectsAsked() > 0 }, 5*time.Second, time.Millisecond)
	waiting := request.Request{
		Host: "desk.example",
		Path: "/x",
		Body: []byte("poison"),
	}
	w.recordCrashes(waiting.Fingerprint(""), "b", "c")
	w.pool.SetServers(servers)
	w.requireLostOrRefused("r1", <-answered)
	require.Empty(t, w.arrivals())
}

// Guards against callers of a service that goes down as a whole who are refused later because they
// all send the same request.
func TestRequestAnsweredBeforeServiceWentDownIsServedAfter(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	var isDown atomic.Bool
	for _, name := range []ident.ServerName{"a", "b", "c"} {
		w.serve(name, func(w http.ResponseWriter, _ *http.Request) {
			if isDown.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "answer")
		})
	}
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "r1", fromCaller("proxy")).status)
	isDown.Store(true)
	for _, id := range []string{"r2", "r3", "r4"} {
		require.Equal(t, http.StatusBadGateway, w.ask(http.MethodGet, id, fromCaller("proxy")).status)
	}
	isDown.Store(false)
	require.Eventually(t, func() bool { return w.ask(http.MethodGet, "r5", fromCaller("proxy")).status == http.StatusOK }, 5*time.Second, 100*time.Millisecond)
}
