package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/domain/route"
)

// withoutBudget leaves a host no retries of its own.
func (w *world) withoutBudget() {
	w.handler.Budget = retries.New(retries.Options{
		Window: time.Second,
	})
}

// A server has crashed and refuses connections. Requests that were sent there first were
// refused as the retry budget was spent, though they had reached nobody: the send to
// another server is the first that arrives, and not a retry.
func TestASendThatReachedNobodyIsNoRetry(t *testing.T) {
	w := newWorld(t, route.Route{
		Kind:        route.Unsafe,
		MaxAttempts: 1,
		Timeout:     time.Second,
	})
	w.withoutBudget()
	w.serve("crashed", func(http.ResponseWriter, *http.Request) {}).Close()
	w.serve("sound", func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusOK) })
	for range 20 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, "r1", nil).status)
	}
}

// Servers fail many requests of one host, which has no retries left, while others have
// plenty. A request is sent again for as long as others lend, and not one more time.
func TestARetryIsBorrowedWhenOnesOwnAreSpent(t *testing.T) {
	w := newWorld(t, route.Route{
		Kind:        route.Safe,
		MaxAttempts: 2,
		Timeout:     time.Second,
	})
	w.withoutBudget()
	w.lends = 3
	w.serve("failing", func(to http.ResponseWriter, _ *http.Request) { to.WriteHeader(http.StatusInternalServerError) })
	for range 10 {
		require.Equal(t, http.StatusInternalServerError, w.ask(http.MethodGet, "r1", nil).status)
	}
	require.Len(t, w.arrivals(), 10+3)
}
