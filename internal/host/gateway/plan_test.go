package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/gatewaypeer"
)

// With 295 hosts the leader gets messages about waiting requests many times a second.
// Planning at each of them leaves no time for reports and for its lease: it loses its key,
// 14 times in a day without faults. Plans have a minimum interval, and take a limited share
// of the time.
func TestPlansAreRateLimited(t *testing.T) {
	now := time.Now()
	c := &control{
		configuration: &route.Configuration{},
		term:          &leaderTerm{},
		lastPlanAt:    now,
	}
	require.False(t, c.isPlanDue(now.Add(urgentPlanInterval)))
	require.True(t, c.isPlanDue(now.Add(planInterval)))
	c.receiveDemand(now, "north", []gatewaypeer.Demand{{
		Service: "models",
		Weights: request.Weights{
			Model: "m",
		},
		Demand: loading.Demand{
			Waiting: 1,
		},
	}})
	require.True(t, c.isPlanUrgent)
	require.False(t, c.isPlanDue(now.Add(urgentPlanInterval-1)))
	require.True(t, c.isPlanDue(now.Add(urgentPlanInterval)))
	c.lastPlanDuration = 40 * time.Millisecond
	require.False(t, c.isPlanDue(now.Add(urgentPlanInterval)), "it would take most of the time")
	require.True(t, c.isPlanDue(now.Add(200*time.Millisecond)))
	c.lastPlanDuration = 7 * time.Second
	require.True(t, c.isPlanDue(now.Add(maxPlanInterval)), "the machine was suspended meanwhile")
}

// Demand of several hosts of a data centre is added up before it is sent to the leader.
func TestForwardedDemandIsAddedUp(t *testing.T) {
	c := &control{
		Gateway: &Gateway{
			exchangeWanted: make(chan struct{}, 1),
		},
		configuration: &route.Configuration{},
		pendingDemand: make(map[demandKey]loading.Demand),
	}
	for _, adapter := range []ident.AdapterName{"a1", "a1", "a2"} {
		c.receiveDemand(time.Now(), "north", []gatewaypeer.Demand{{
			Service: "models",
			Weights: request.Weights{
				Model:   "m",
				Adapter: adapter,
			},
			Demand: loading.Demand{
				Requests: 2,
				Missed:   1,
				Waiting:  1,
				Work:     0.5,
			},
		}})
	}
	require.Len(t, c.exchangeWanted, 1, "waiting demand is passed on at once")
	taken := c.takeDemand()
	require.Len(t, taken, 2)
	total := taken[0].Add(taken[1].Demand)
	require.Equal(t, loading.Demand{
		Requests: 6,
		Missed:   3,
		Waiting:  3,
		Work:     1.5,
	}, total)
	require.Empty(t, c.takeDemand())
}
