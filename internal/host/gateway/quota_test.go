package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// accountsConfiguration has one account with keys and a limit of requests a second.
func accountsConfiguration(version route.Version, rate account.Amount, keys ...string) route.Configuration {
	changed := configuration(version, "old")
	listed := account.Account{
		Name: "boats",
		Limit: account.Limit{
			Unit:  account.Requests,
			Rate:  rate,
			Burst: rate,
		},
	}
	for _, key := range keys {
		digest, _ := account.Digest(key)
		listed.Keys = append(listed.Keys, digest)
	}
	changed.Accounts = []account.Account{listed}
	return changed
}

// startFleet starts hosts that know each other, and a backend server.
func startFleet(t *testing.T, hosts int, of route.Configuration) (*fleet, []string) {
	f := newFleet(t)
	f.keyValue.write("configuration", of)
	f.serve("old", "a")
	var names []string
	for i := range hosts {
		names = append(names, "h"+strconv.Itoa(i))
		f.start(names[i])
	}
	for _, name := range names {
		f.eventually(func() bool {
			return f.isReady(name) && f.hosts[name].knownHostCount.Load() == int64(hosts)
		}, name+" knows the others")
	}
	return f, names
}

func (f *fleet) countServed(names []string, key string, duration time.Duration) int {
	served := 0
	for until := time.Now().Add(duration); time.Now().Before(until); {
		for _, name := range names {
			switch status, body := f.requestWithKey(name, key); status {
			case http.StatusOK:
				served++
			default:
				require.Equal(f.t, http.StatusTooManyRequests, status, body)
			}
		}
	}
	return served
}

// Guards against a limit that each host keeps for itself.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	const rate = 40
	f, names := startFleet(t, 3, accountsConfiguration(1, rate, "k1"))
	f.countServed(names, "k1", 1500*time.Millisecond)
	served := f.countServed(names, "k1", 2*time.Second)
	require.LessOrEqual(t, served, 2*rate+rate)
	require.GreaterOrEqual(t, served, 2*rate*3/4)
}

// Guards against an account that is refused everything once its quota pool is lost.
func TestLimitIsServedAfterLossOfThePool(t *testing.T) {
	const rate = 40
	f, names := startFleet(t, 3, accountsConfiguration(1, rate, "k1"))
	f.countServed(names, "k1", 500*time.Millisecond)
	pool, _ := f.hosts[names[0]].quota.choice.Use(bootTime())
	var left []string
	for _, name := range names {
		if f.listen[name].Peers == pool {
			f.keyValue.setUnavailable(name, true)
			f.stop(name)
			continue
		}
		left = append(left, name)
	}
	require.Len(t, left, 2)
	f.eventually(func() bool { return f.countServed(left, "k1", 200*time.Millisecond) > 0 }, "requests are served")
	served := f.countServed(left, "k1", 2*time.Second)
	require.LessOrEqual(t, served, 2*rate+rate)
	require.GreaterOrEqual(t, served, 2*rate/3)
}

// Guards against hosts that serve a removed key, or refuse a new one, after a change.
func TestKeysChangeOnAllHosts(t *testing.T) {
	f, names := startFleet(t, 3, accountsConfiguration(1, 10_000, "k1"))
	f.keyValue.write("configuration", accountsConfiguration(2, 10_000, "k2"))
	status, body := f.requestWithKey(names[0], "k2")
	require.Equal(t, http.StatusOK, status, body)
	for _, name := range names {
		f.eventually(func() bool {
			status, _ := f.requestWithKey(name, "k1")
			return status == http.StatusUnauthorized
		}, "the removed key is refused by "+name)
	}
	require.Equal(t, ident.AccountName("boats"), f.hosts[names[0]].Routes().Accounts().Find("k2").Name)
}
