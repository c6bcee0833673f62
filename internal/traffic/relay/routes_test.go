package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/route"
)

// withoutRoutes returns a table of a configuration from before the environment's routes were added.
func (w *testEnv) withoutRoutes() *routetable.Table {
	earlier := *w.table.Configuration()
	earlier.Routes = nil
	return routetable.New(&earlier)
}

// Guards against a host that says that there is no route since it has an older configuration.
func TestUnknownRouteWaitsForANewerConfiguration(t *testing.T) {
	env := newTestEnv(t, safeRoute())
	env.serve("a", answerWith(http.StatusOK, "answer"))
	newer := env.table
	env.setTable(env.withoutRoutes())
	env.newerRoutes <- newer
	require.Equal(t, http.StatusOK, env.ask(http.MethodGet, "1", nil).status)
}

// Guards against a refusal that a client may not try again, by a host that can't tell whether its
// configuration is in force.
func TestHostOutOfTouchRefusesOnlyForAWhile(t *testing.T) {
	for name, test := range map[string]struct {
		table     func(env *testEnv) *routetable.Table
		header    http.Header
		remaining account.Amount
	}{
		"no route": {
			table: (*testEnv).withoutRoutes,
		},
		"no key": {
			table: func(env *testEnv) *routetable.Table { return env.withAccounts(accountWithKey(t, "boats", "k1")) },
		},
		"over the limit": {
			table: func(env *testEnv) *routetable.Table {
				limited := accountWithKey(t, "boats", "k1")
				limited.Limit = account.Limit{
					Unit: account.Requests,
					Rate: 1,
				}
				return env.withAccounts(limited)
			},
			header: keyHeader("k1"),
		},
		"body over the limit": {
			table: func(env *testEnv) *routetable.Table {
				limited := *env.table.Configuration()
				limited.Limits = route.Limits{
					MaxBody: 4,
				}
				return routetable.New(&limited)
			},
			header: http.Header{
				"Text": {strings.Repeat("x", 100)},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, safeRoute())
			env.serve("a", answerWith(http.StatusOK, "answer"))
			env.setTable(test.table(env))
			env.isOutOfTouch = true
			header := test.header
			if header == nil {
				header = http.Header{}
			}
			got := env.ask(http.MethodPost, "1", header)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			require.Empty(t, env.arrivals())

			env.isOutOfTouch = false
			started := time.Now()
			got = env.ask(http.MethodPost, "2", header)
			require.Contains(t, []int{http.StatusNotFound, http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusRequestEntityTooLarge}, got.status)
			require.Less(t, time.Since(started), 2*newerRoutesWait)
		})
	}
}
