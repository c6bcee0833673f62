package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/domain/route"
)

// withoutBudget gives the host an empty retry budget.
func (w *testEnv) withoutBudget() {
	w.handler.Budget = retries.New(retries.Options{
		Window: time.Second,
	})
}

// A crashed server refuses connections. Requests that were sent there first must not
// be refused because the retry budget is spent: they reached no server, so the send to
// another server is the first that arrives, and not a retry.
func TestSendThatReachedNoServerIsNotARetry(t *testing.T) {
	w := newTestEnv(t, route.Route{
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

// Servers fail many requests of a host that has no retry tokens left, while other hosts
// have many. A request is sent again for as long as other hosts lend tokens, and not once
// more.
func TestRetryIsBorrowedWhenOwnBudgetIsSpent(t *testing.T) {
	w := newTestEnv(t, route.Route{
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
