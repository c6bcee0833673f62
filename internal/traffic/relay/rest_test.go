package relay

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
