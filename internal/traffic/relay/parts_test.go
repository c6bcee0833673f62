package relay

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
)

// crashOnPart breaks off each request that has a part in its prompt, and streams events to others.
func crashOnPart(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(strings.Fields(r.Header.Get("Parts")), part) {
			panic(http.ErrAbortHandler)
		}
		events(3, 0)(w, r)
	}
}

func withParts(parts string) http.Header {
	return http.Header{
		"Parts": {parts},
		"Text":  {parts},
	}
}

// Guards against requests that go on crashing servers because only a part of their prompt is the
// same.
func TestRequestsWithPartThatCrashesServersAreRefused(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	for _, name := range []ident.ServerName{"a", "b", "c", "d", "e", "f"} {
		w.serve(name, crashOnPart("dead"))
	}
	for _, last := range []string{"11", "12", "13", "14", "15", "16"} {
		require.Equal(t, http.StatusOK, w.ask(http.MethodPost, "harmless"+last, withParts("1 2 "+last)).status)
		require.NotEqual(t, http.StatusOK, w.ask(http.MethodPost, "crashing"+last, withParts("1 dead "+last)).status)
	}
	crashes := slices.DeleteFunc(w.arrivals(), func(arrival string) bool { return !strings.Contains(arrival, "crashing") })
	require.LessOrEqual(t, len(crashes), 5)
}

// Guards against a request that is sent after it has become known, while it waited for a server,
// that servers crash under a part of its prompt.
func TestRequestIsRefusedIfPartCrashesServersWhileItWaits(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", crashOnPart("dead"))
	servers := w.servers
	for i := range servers {
		servers[i].Leaving = true
	}
	w.pool.SetServers(servers)
	answered := make(chan reply, 1)
	go func() { answered <- w.ask(http.MethodPost, "r1", withParts("1 dead 11")) }()
	require.Eventually(t, func() bool { return w.countSuspectsAsked() > 0 }, 5*time.Second, time.Millisecond)
	w.crashUnderParts("", 3, 0xdead)
	got := <-answered
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, w.arrivals())
}

// crashUnderParts makes it known that servers of a build have crashed under a prompt with some parts.
func (w *testEnv) crashUnderParts(build ident.Build, crashes int, ids ...uint64) {
	lost := suspects.LostAttempt{
		WasAnswered: true,
	}
	for _, id := range ids {
		lost.Parts = append(lost.Parts, suspects.Part{
			Service: "desk",
			Build:   build,
			ID:      id,
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range crashes {
		lost.ServerIncarnation.Incarnation = ident.Incarnation(strconv.Itoa(i))
		w.recordLoss(&lost)
	}
}

// Guards against sending requests to a build of the software that crashes under a part of their
// prompts, and against refusing them while another build runs.
func TestRequestAvoidsBuildThatCrashesUnderPart(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serveBuild("v1", "a", events(3, 0))
	w.serveBuild("v2", "b", crashOnPart("dead"))
	w.serveBuild("v2", "c", crashOnPart("dead"))
	w.crashUnderParts("v2", 3, 0xdead)
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		require.Equal(t, http.StatusOK, w.ask(http.MethodPost, id, withParts("1 dead "+id[1:])).status)
	}
	for _, arrival := range w.arrivals() {
		require.Contains(t, arrival, "a ")
	}
}

// Guards against a stream that another build goes on with since its own crashes under a part of the
// prompt, and against sending it to its own.
func TestStreamOfCrashingBuildIsNotResumed(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serveBuild("v1", "a", events(3, 0))
	w.serveBuild("v2", "b", events(3, 0))
	w.RecordStream("began", "b", streams.Origin{
		Service: "desk",
		Build:   "v2",
	})
	w.crashUnderParts("v2", 3, 0xdead)
	header := withParts("1 dead 11")
	header.Set("Began", "began")
	header.Set("After", "1")
	require.Equal(t, http.StatusServiceUnavailable, w.ask(http.MethodPost, "r1", header).status)
	require.Empty(t, w.arrivals())
}

// Guards against parts of harmless prompts that are suspected because their streams were cut by crashes
// after they had begun.
func TestPartsOfStreamThatHasBegunAreNoSuspects(t *testing.T) {
	w := newTestEnv(t, streamRoute(false))
	for _, name := range []ident.ServerName{"a", "b", "c", "d"} {
		w.serve(name, events(3, 2))
	}
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		w.ask(http.MethodPost, id, withParts("1 2 "+id[1:]))
	}
	require.Len(t, w.arrivals(), 4)
	require.False(t, w.Suspects().HasParts())
}

// Guards against harmless streams that don't go on after a crash since a part of their prompt was
// suspected before they began.
func TestStreamOfSuspectPartGoesOnOnceBegun(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", events(4, 2))
	w.crashUnderParts("", 1, 2)
	answered := make(chan reply, 1)
	go func() { answered <- w.ask(http.MethodPost, "r1", withParts("1 2 11")) }()
	require.Eventually(t, func() bool { return len(w.arrivals()) == 1 }, 5*time.Second, time.Millisecond)
	w.serve("b", events(4, 0))
	got := <-answered
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(4), got.body)
}

// Guards against one request with a suspect part that crashes several servers.
func TestRequestOfSuspectPartIsNotRepeated(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.serve("a", crashOnPart("dead"))
	w.serve("b", crashOnPart("dead"))
	w.crashUnderParts("", 1, 0xdead)
	require.Equal(t, http.StatusBadGateway, w.ask(http.MethodPost, "r1", withParts("1 dead 11")).status)
	require.Len(t, w.arrivals(), 1)
}

// Guards against parts that count as harmless though no server has begun an answer to them.
func TestErrorOrCommentProvesNoPartHarmless(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"error": answerWith(http.StatusNotFound, "none"),
		"comment": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, ": comment\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, streamRoute(true))
			w.serve("a", answer)
			w.ask(http.MethodPost, "r1", withParts("1 dead 11"))
			w.crashUnderParts("", 3, 0xdead)
			require.Equal(t, http.StatusServiceUnavailable, w.ask(http.MethodPost, "r2", withParts("1 dead 12")).status)
		})
	}
}
