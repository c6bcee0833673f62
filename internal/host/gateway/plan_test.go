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

// Of 295 hosts each told the holder, many times a second, that something waits, and it
// planned at each word. It had no time left for reports and its lease, and lost its key
// 14 times on a calm day. It plans by a clock, and takes a part of its time for it.
func TestTheHolderPlansByAClock(t *testing.T) {
	now := time.Now()
	c := &control{
		configuration: &route.Configuration{},
		tenure:        &tenure{},
		plannedAt:     now,
	}
	require.False(t, c.planDue(now.Add(planSoonEvery)))
	require.True(t, c.planDue(now.Add(planEvery)))
	c.hearDemand(now, "north", []gatewaypeer.Demand{{
		Service: "models",
		Weights: request.Weights{
			Model: "m",
		},
		Demand: loading.Demand{
			Waiting: 1,
		},
	}})
	require.True(t, c.planSoon)
	require.False(t, c.planDue(now.Add(planSoonEvery-1)))
	require.True(t, c.planDue(now.Add(planSoonEvery)))
	c.planCost = 40 * time.Millisecond
	require.False(t, c.planDue(now.Add(planSoonEvery)), "it would take most of the time")
	require.True(t, c.planDue(now.Add(200*time.Millisecond)))
	c.planCost = 7 * time.Second
	require.True(t, c.planDue(now.Add(mostPlanEvery)), "the machine stood still meanwhile")
}

// What several hosts of a data centre are asked for comes to the holder added up.
func TestDemandIsAddedUpOnItsWay(t *testing.T) {
	c := &control{
		Gateway: &Gateway{
			missed: make(chan struct{}, 1),
		},
		configuration: &route.Configuration{},
		relayed:       make(map[demandKey]loading.Demand),
	}
	for _, adapter := range []ident.AdapterName{"a1", "a1", "a2"} {
		c.hearDemand(time.Now(), "north", []gatewaypeer.Demand{{
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
	require.Len(t, c.missed, 1, "what waits is passed on at once")
	told := c.takeDemand()
	require.Len(t, told, 2)
	total := told[0].Plus(told[1].Demand)
	require.Equal(t, loading.Demand{
		Requests: 6,
		Missed:   3,
		Waiting:  3,
		Work:     1.5,
	}, total)
	require.Empty(t, c.takeDemand())
}
