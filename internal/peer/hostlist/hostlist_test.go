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
	patience = 10 * time.Second
	tick     = 2 * time.Millisecond
)

// New work goes to a server that has left: the list still shows it. The lag is
// the platform's, so the stand-in has it too.
func TestTheListLags(t *testing.T) {
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
	shows := func(want ...backend.Server) func() bool {
		return func() bool {
			servers, err := client.List(ctx)
			return err == nil && len(servers) == len(want) && (len(want) == 0 || servers[0] == want[0])
		}
	}
	require.True(t, shows()())
	require.NoError(t, standin.Register(ctx, address, host))
	require.Eventually(t, shows(host), patience, tick)
	leaving := host
	leaving.State = backend.StateLeaving
	before := time.Now()
	require.NoError(t, standin.Register(ctx, address, leaving))
	require.Eventually(t, shows(leaving), patience, tick)
	require.GreaterOrEqual(t, time.Since(before), 60*time.Millisecond)
	require.NoError(t, standin.Deregister(ctx, address, host.Name))
	require.Eventually(t, shows(), patience, tick)

	list.Faults.Set(standin.Faults{
		Down: true,
	})
	_, err = client.List(ctx)
	require.Error(t, err, "a list that is down is not an empty list")
}
