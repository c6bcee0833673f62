package hostlist_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/peer/hostlist"
	standin "cicadaloom/internal/standin/hostlist"
)

const (
	testTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// A server that has left stays in the list for a while, and may get new work in that
// time. The lag is the platform's; the simulated list must have it too, and an
// unreachable list must be an error, not an empty list.
func TestListFollowsChangesWithLag(t *testing.T) {
	ctx := context.Background()
	list := standin.New(standin.Options{
		Lag: 60 * time.Millisecond,
	})
	address, err := list.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, list.Stop()) }()
	client := hostlist.Client{
		Address: address,
	}
	defer client.Close()
	host := backend.Server{
		Name:    "p 1/2",
		Kind:    backend.KindEngine,
		State:   backend.StateLive,
		Address: "127.0.0.1:1",
	}
	listIs := func(want ...backend.Server) func() bool {
		return func() bool {
			servers, err := client.List(ctx)
			return err == nil && len(servers) == len(want) && (len(want) == 0 || servers[0] == want[0])
		}
	}
	require.True(t, listIs()())
	require.NoError(t, standin.Register(ctx, address, host))
	require.Eventually(t, listIs(host), testTimeout, pollInterval)
	leaving := host
	leaving.State = backend.StateLeaving
	before := time.Now()
	require.NoError(t, standin.Register(ctx, address, leaving))
	require.Eventually(t, listIs(leaving), testTimeout, pollInterval)
	require.GreaterOrEqual(t, time.Since(before), 60*time.Millisecond)
	require.NoError(t, standin.Deregister(ctx, address, host.Name))
	require.Eventually(t, listIs(), testTimeout, pollInterval)

	list.Faults.Set(standin.Faults{
		Down: true,
	})
	_, err = client.List(ctx)
	require.Error(t, err, "a list that is down is not an empty list")
}
