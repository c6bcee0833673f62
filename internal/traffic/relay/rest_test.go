package relay

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
)

// askForRest refuses a request and asks for rest.
func askForRest(rest string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Rest", rest)
		refuse(w, r)
	}
}

// answerSlowly answers so late that any other server is preferred.
func answerSlowly(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(40 * time.Millisecond)
	_, _ = io.WriteString(w, "answer")
}

// Guards against a server that has asked for rest and gets requests from the same host.
func TestRestingServerGetsNoRequests(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("resting", askForRest("30"))
	w.serve("spare", answerSlowly)
	for i := range 40 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, strconv.Itoa(i), nil).status)
	}
	require.LessOrEqual(t, w.countArrivals("resting"), 1)
}

// Guards against a request that is sent again to a server that has asked for rest, since no
// other is left, or waits for it until its time is over.
func TestRequestIsRefusedAtOnceWhereAllServersRest(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("a", askForRest("20"))
	w.serve("b", askForRest("30"))
	for _, id := range []string{"first", "second"} {
		started := time.Now()
		refused := w.ask(http.MethodGet, id, nil)
		require.Less(t, time.Since(started), time.Second)
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 22, retryAfter, 3.5)
	}
	require.ElementsMatch(t, []string{"a first", "b first"}, w.arrivals())
}

// Guards against a request that is refused although a server accepts it again in time.
func TestRequestWaitsForEndOfShortRest(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	var rested atomic.Bool
	w.serve("a", func(to http.ResponseWriter, r *http.Request) {
		if rested.Swap(true) {
			_, _ = io.WriteString(to, "answer")
			return
		}
		askForRest("0.5")(to, r)
	})
	started := time.Now()
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "r1", nil).status)
	require.Greater(t, time.Since(started), 450*time.Millisecond)
	require.Len(t, w.arrivals(), 2)
}

// Guards against a request that was granted an engine before the engine asked for rest, and is
// sent there.
func TestPromptGrantedBeforeRestIsNotSent(t *testing.T) {
	requireNotSentAfter(t, backend.Signals{
		RestUntil: time.Now().Add(20 * time.Second),
	})
}

// Guards against a rest that is forgotten when the list of servers changes, or the server leaves
// it for a moment.
func TestRestOutlastsListOfServers(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("resting", askForRest("30"))
	w.serve("spare", answerSlowly)
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "first", nil).status)
	w.pool.SetServers(w.servers[1:])
	w.pool.SetServers(w.servers)
	for i := range 10 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, strconv.Itoa(i), nil).status)
	}
	require.LessOrEqual(t, w.countArrivals("resting"), 1)
}

// Guards against a server that has said that it is leaving and gets requests from the same host.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("leaving", func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Leaving", "1")
		_, _ = io.WriteString(to, "answer")
	})
	w.serve("spare", answerSlowly)
	for i := range 40 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, strconv.Itoa(i), nil).status)
	}
	require.LessOrEqual(t, w.countArrivals("leaving"), 1)
}

// Guards against a server that has said that it is leaving, and gets requests again when its
// entry returns.
func TestServerThatSaysItLeavesDoesNotReturn(t *testing.T) {
	w := newTestEnv(t, safeRoute())
	w.serve("leaving", func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Leaving", "1")
		_, _ = io.WriteString(to, "answer")
	})
	require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "first", nil).status)
	w.serve("spare", answerSlowly)
	w.pool.SetServers(w.servers[1:])
	w.pool.SetServers(w.servers)
	for i := range 10 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, strconv.Itoa(i), nil).status)
	}
	require.Equal(t, 1, w.countArrivals("leaving"))

	w.servers[0].Incarnation = "2"
	w.pool.SetServers(w.servers)
	for i := range 10 {
		w.ask(http.MethodGet, strconv.Itoa(i), nil)
	}
	require.Equal(t, 2, w.countArrivals("leaving"), "a new incarnation is asked")
}
