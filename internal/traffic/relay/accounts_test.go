package relay

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

func accountWithKey(t *testing.T, name ident.AccountName, keys ...string) account.Account {
	listed := account.Account{
		Name: name,
	}
	for _, key := range keys {
		digest, isValid := account.Digest(key)
		require.True(t, isValid)
		listed.Keys = append(listed.Keys, digest)
	}
	return listed
}

// withAccounts returns the environment's routes with client accounts.
func (w *testEnv) withAccounts(accounts ...account.Account) *routetable.Table {
	changed := *w.table.Configuration()
	changed.Accounts = accounts
	return routetable.New(&changed)
}

// echoAccount answers with what the server was told of the client.
func echoAccount(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "account="+r.Header.Get("Account")+" key="+r.Header.Get("Key")+" priority="+r.Header.Get("Priority"))
}

func rankedRoute() route.Route {
	ranked := safeRoute()
	ranked.Priority = 2
	return ranked
}

func keyHeader(key string) http.Header {
	return http.Header{
		"Key":     {key},
		"Account": {"forged"},
	}
}

// Guards against a server that learns a client's key, or believes a forged account.
func TestServerLearnsTheAccountButNotTheKey(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	env.serve("a", echoAccount)
	boats := accountWithKey(t, "boats", "k1")
	boats.Priority, boats.HasPriority = 0, true
	env.table = env.withAccounts(boats, accountWithKey(t, "notes", "k2"))
	require.Equal(t, "account=boats key= priority=0", env.ask(http.MethodGet, "1", keyHeader("k1")).body)
	require.Equal(t, "account=notes key= priority=2", env.ask(http.MethodGet, "2", keyHeader("k2")).body)
}

// Guards against a key that reaches the second server of a repeated request.
func TestRepeatedRequestDoesNotForwardTheKey(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	var sends atomic.Int64
	echo := func(w http.ResponseWriter, r *http.Request) {
		if sends.Add(1) == 1 {
			breakOff(w, r)
		}
		echoAccount(w, r)
	}
	env.serve("a", echo)
	env.serve("b", echo)
	env.table = env.withAccounts(accountWithKey(t, "boats", "k1"))
	require.Equal(t, "account=boats key= priority=2", env.ask(http.MethodGet, "1", keyHeader("k1")).body)
	require.Len(t, env.arrivals(), 2)
}

func TestRequestNeedsAKnownKey(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	env.serve("a", echoAccount)
	env.table = env.withAccounts(accountWithKey(t, "boats", "k1"), accountWithKey(t, "no-keys"))
	for _, key := range []string{"", "k2", "K1"} {
		got := env.ask(http.MethodGet, "1", keyHeader(key))
		require.Equal(t, http.StatusUnauthorized, got.status, "key %q", key)
		require.Equal(t, "Bearer", got.header.Get("WWW-Authenticate"))
	}
	require.Empty(t, env.arrivals())
}

func TestAnonymousRouteNeedsNoKey(t *testing.T) {
	anonymous := rankedRoute()
	anonymous.Anonymous = true
	env := newTestEnv(t, anonymous)
	env.serve("a", echoAccount)
	env.table = env.withAccounts(accountWithKey(t, "boats", "k1"))
	require.Equal(t, "account= key= priority=2", env.ask(http.MethodGet, "1", http.Header{}).body)
	require.Equal(t, "account=boats key= priority=2", env.ask(http.MethodGet, "2", keyHeader("k1")).body)
}

func TestHeadersAreForwardedWithoutAccounts(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	env.serve("a", echoAccount)
	require.Equal(t, "account=forged key=k1 priority=2", env.ask(http.MethodGet, "1", keyHeader("k1")).body)
}

// Guards against clients that wait for an answer which is known: their key was removed.
func TestRemovedKeyIsRefusedAtOnce(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	earlier := env.withAccounts(accountWithKey(t, "boats", "k1"))
	env.table = routetable.NewAfter(earlier, env.withAccounts(accountWithKey(t, "boats", "k2")).Configuration())
	env.isOutOfTouch = true
	started := time.Now()
	require.Equal(t, http.StatusUnauthorized, env.ask(http.MethodGet, "1", keyHeader("k1")).status)
	require.Less(t, time.Since(started), newerRoutesWait/2)
}

// Guards against a host that refuses a new key since it has an older configuration.
func TestUnknownKeyWaitsForANewerConfiguration(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	env.serve("a", echoAccount)
	newer := env.withAccounts(accountWithKey(t, "boats", "k1", "k2"))
	env.table = env.withAccounts(accountWithKey(t, "boats", "k1"))
	env.newerRoutes <- newer
	require.Equal(t, http.StatusOK, env.ask(http.MethodGet, "1", keyHeader("k2")).status)
	env.isOutOfTouch = true
	got := env.ask(http.MethodGet, "2", keyHeader("k3"))
	require.Equal(t, http.StatusServiceUnavailable, got.status, "a host that is out of touch can't say that the key is unknown")
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// Guards against a request that runs although its key was removed while it waited.
func TestRemovedKeyStopsAWaitingRequest(t *testing.T) {
	env := newTestEnv(t, rankedRoute())
	env.table = env.withAccounts(accountWithKey(t, "boats", "k1"))
	withoutKey := env.withAccounts(accountWithKey(t, "boats"))
	removeKey := func(w http.ResponseWriter, r *http.Request) {
		env.setTable(withoutKey)
		refuse(w, r)
	}
	env.serve("a", removeKey)
	env.serve("b", removeKey)
	got := env.ask(http.MethodGet, "1", keyHeader("k1"))
	require.Equal(t, http.StatusUnauthorized, got.status)
	require.Len(t, env.arrivals(), 1)
}

func TestAccountPriorityGoesBeforeTheRoutes(t *testing.T) {
	urgencyOf := func(routePriority int, owner *account.Account) int {
		s := requestState{
			route: &route.Route{
				Priority: routePriority,
			},
			account: owner,
		}
		return s.urgency()
	}
	urgent := &account.Account{
		HasPriority: true,
	}
	patient := &account.Account{
		Priority:    3,
		HasPriority: true,
	}
	require.Less(t, urgencyOf(2, urgent), urgencyOf(0, patient))
	require.Less(t, urgencyOf(0, patient), urgencyOf(1, patient))
	require.Less(t, urgencyOf(1, nil), urgencyOf(2, &account.Account{}))
	require.Less(t, urgencyOf(2, nil), urgencyOf(0, patient))
}

// Guards against a scheduler that doesn't learn whose prompt it is, or by which weight the account
// shares; and against an account where the configuration has none.
func TestPromptNamesItsAccount(t *testing.T) {
	open := safeRoute()
	open.Anonymous = true
	env := newTestEnv(t, open)
	env.serve("e", echoAccount)
	env.serveEngine("m")
	ask := func(id, key string) *pacing.Prompt {
		header := keyHeader(key)
		header.Set("Weights", "m")
		require.Equal(t, http.StatusOK, env.ask(http.MethodGet, id, header).status)
		return env.lastPrompt.Load()
	}
	require.Empty(t, ask("1", "k1").Account)
	large, small := accountWithKey(t, "boats", "k1"), accountWithKey(t, "notes", "k2")
	large.Limit.Rate, small.Limit.Rate = 3e6, 1e6
	env.remaining = 100
	env.table = env.withAccounts(large, small)
	boats := ask("2", "k1")
	require.Equal(t, ident.AccountName("boats"), boats.Account)
	require.InDelta(t, 1.5, boats.Weight, 1e-9)
	require.InDelta(t, 0.5, ask("3", "k2").Weight, 1e-9)
	nobody := ask("4", "")
	require.Equal(t, noAccount, nobody.Account)
	require.InDelta(t, 1, nobody.Weight, 1e-9)
}
