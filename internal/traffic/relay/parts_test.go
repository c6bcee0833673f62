package relay

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

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
		require.Equal(t, http.StatusOK, w.ask(http.MethodPost, "sound"+last, withParts("1 2 "+last)).status)
		require.NotEqual(t, http.StatusOK, w.ask(http.MethodPost, "crashing"+last, withParts("1 dead "+last)).status)
	}
	crashes := slices.DeleteFunc(w.arrivals(), func(arrival string) bool { return !strings.Contains(arrival, "crashing") })
	require.LessOrEqual(t, len(crashes), 5)
}
