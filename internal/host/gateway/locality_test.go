package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	settings "cicadaloom/internal/config/gateway"
	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
)

// twoRegionPrompt is a prompt for one engine with one slot in each region. occupied is how many
// requests the host knows to be in flight at the far one.
func twoRegionPrompt(ticket pacing.Ticket, occupied int, timeout time.Duration) *pacing.Prompt {
	prompt := waitingPrompt(ticket, timeout)
	prompt.Candidates = append(prompt.Candidates, pacing.Candidate{
		Server:      "far",
		Region:      "south",
		PrefillTime: time.Millisecond,
		OtherCost:   120 * time.Millisecond,
		Slots:       1,
		Occupied:    occupied,
	})
	return prompt
}

// Guards against prompts that lose a round trip to a region that has no free slot, and against
// prompts that are refused because of old news of it.
func TestFullRegionIsAskedOnlyBeforeRefusal(t *testing.T) {
	newGateway := func() *Gateway {
		g := &Gateway{}
		g.options.Settings.Host.Region = "north"
		first, _ := g.Reserve(context.Background(), "m", twoRegionPrompt(1, 0, time.Minute))
		require.Equal(t, ident.ServerName("e"), first.Server, "the own region goes first")
		return g
	}
	reservation, _ := newGateway().Reserve(context.Background(), "m", twoRegionPrompt(2, 0, time.Minute))
	require.Equal(t, ident.ServerName("far"), reservation.Server)
	reservation, _ = newGateway().Reserve(context.Background(), "m", twoRegionPrompt(2, 1, time.Minute))
	require.False(t, reservation.Booked, "waits in the queue of its region")
	reservation, _ = newGateway().Reserve(context.Background(), "m", twoRegionPrompt(2, 1, -time.Second))
	require.Equal(t, ident.ServerName("far"), reservation.Server)
}

// Guards against leaving that an operator can't see.
func TestLeavingIsLoggedAndExported(t *testing.T) {
	pool := balance.NewPool(balance.Location{
		DataCentre: "n1",
		Region:     "north",
	}, &backpressure.Table{})
	pool.SetSpill(spillMode(settings.SpillOn))
	pool.SetServers([]balance.ServerInfo{{
		Server: backend.Server{
			Name:       "b",
			Kind:       backend.KindService,
			DataCentre: "n2",
			Region:     "north",
		},
		Slots: 1,
	}})
	now := time.Now()
	_, verdict := pool.Take(now, balance.Criteria{})
	require.Equal(t, balance.Found, verdict)
	core, logged := observer.New(zap.InfoLevel)
	set := metrics.NewSet()
	pools := map[ident.ServiceName]*balance.Pool{
		"desk": pool,
	}
	var reporter spillReporter
	reporter.update(now, pools, set, zap.New(core))
	reporter.update(now, pools, set, zap.New(core))
	require.Equal(t, 1, logged.FilterMessage("requests leave the data centre").Len())
	require.InDelta(t, 1, set.GetOrCreateGauge(`cicadaloom_locality_share{service="desk",data_centre="n2"}`, nil).Get(), 1e-9)
	require.EqualValues(t, 1, set.GetOrCreateCounter(`cicadaloom_locality_changes_total{service="desk"}`).Get())
	reporter.update(now.Add(time.Minute), pools, set, zap.New(core))
	require.Equal(t, 1, logged.FilterMessage("requests stay in the data centre again").Len())
	require.Zero(t, set.GetOrCreateGauge(`cicadaloom_locality_share{service="desk",data_centre="n2"}`, nil).Get())
}
