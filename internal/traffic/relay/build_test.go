package relay

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
)

// losesStreamAt breaks off at an event, and can't go on with that stream, but with those that other
// servers have begun.
func losesStreamAt(cut int) http.HandlerFunc {
	var begun atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("After") == "":
			begun.Store(true)
			events(9, cut)(w, r)
		case begun.Load():
			breakOff(w, r)
		default:
			events(9, 0)(w, r)
		}
	}
}

// Guards against an answer that another build of the software goes on with after its server broke
// off.
func TestAnswerIsNotContinuedByAnotherBuild(t *testing.T) {
	for range 8 {
		w := newTestEnv(t, streamRoute(true))
		w.serveBuild("v1", "a", losesStreamAt(4))
		w.serveBuild("v2", "b", losesStreamAt(4))
		got := w.ask(http.MethodPost, "r1", nil)
		require.Equal(t, http.StatusOK, got.status)
		require.Error(t, got.err, "the client must not take a part for the whole")
		require.Equal(t, wholeStream(3), got.body)
	}
}

// breaksOffOnce is a server whose streams break off unless they are resumed.
func breaksOffOnce(to http.ResponseWriter, r *http.Request) {
	if r.Header.Get("After") == "" {
		events(9, 4)(to, r)
		return
	}
	events(9, 0)(to, r)
}

// Guards against an answer that goes on at a server that has come back with other software, though
// its new entry can be read.
func TestAnswerIsNotContinuedByServerThatWasReplaced(t *testing.T) {
	w := newTestEnv(t, streamRoute(true))
	w.replaced = []ident.ServerName{"a", "b"}
	w.serveBuild("v1", "a", breaksOffOnce)
	w.serveBuild("v1", "b", breaksOffOnce)
	got := w.ask(http.MethodPost, "r1", nil)
	require.Error(t, got.err)
	require.Equal(t, wholeStream(3), got.body)
	require.Len(t, w.arrivals(), 2)
}

// Guards against an answer that is given up although a server of the same build could go on.
func TestAnswerIsContinuedByTheSameBuild(t *testing.T) {
	for range 8 {
		w := newTestEnv(t, streamRoute(true))
		for build, name := range map[ident.Build]ident.ServerName{"v1": "a", "v2": "b"} {
			w.serveBuild(build, name, breaksOffOnce)
			w.serveBuild(build, name+"-other", breaksOffOnce)
		}
		got := w.ask(http.MethodPost, "r1", nil)
		require.NoError(t, got.err)
		require.Equal(t, wholeStream(9), got.body)
		require.Len(t, w.arrivals(), 2)
		require.Equal(t, w.arrivals()[0][0], w.arrivals()[1][0], "both of one build")
	}
}
