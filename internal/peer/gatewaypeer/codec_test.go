package gatewaypeer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/store"
)

// What one host tells must be what the other reads, but for instants, which are told by
// how long ago they were.
func TestAWordComesAsItWasTold(t *testing.T) {
	now := time.Now()
	told := Word{
		Host:       "a",
		DataCentre: "north-1",
		Region:     "north",
		Version:    7,
		Packed:     []byte("packed"),
		Token:      5,
		LastOrder:  now.Add(-time.Second),
		Demand: []Demand{{
			Service: "models",
			Weights: request.Weights{
				Model:   "m",
				Adapter: "a1",
			},
			Demand: loading.Demand{
				Requests: 3,
				Missed:   2,
				Waiting:  1,
				Work:     0.5,
			},
		}},
		WantsFleet:    true,
		WantsHoldings: true,
		FleetKnown:    40,
		HoldingsKnown: holdings.Mark{
			Token:   5,
			Changes: 12,
		},
		Fleet: &entries.Update{
			Revision: 42,
			Complete: true,
			Events: []store.Event{
				{
					Entry: store.Entry{
						Key:      "servers/one",
						Value:    []byte("text"),
						Revision: 41,
					},
				},
				{
					Entry: store.Entry{
						Key:      "servers/two",
						Revision: 42,
					},
					Deleted: true,
				},
			},
		},
		Holdings: &holdings.Update{
			Mark: holdings.Mark{
				Token:   5,
				Changes: 13,
			},
			Heard: now.Add(-time.Second),
			Engines: []holdings.Engine{
				{
					Holding: loading.Holding{
						Server:      "one",
						Incarnation: "1",
						Holds: []request.Weights{
							{
								Model: "m",
							},
							{
								Model:   "m",
								Adapter: "a1",
							},
						},
						Retiring: []ident.ModelName{"m"},
						Running:  4,
						Waiting:  2,
					},
					HeldChanged: 11,
					LoadChanged: 13,
				},
				{
					Holding: loading.Holding{
						Server:  "two",
						Running: 1,
					},
					LoadChanged: 12,
					LoadOnly:    true,
				},
			},
		},
		Gifts: []retries.Gift{{
			Service: "models",
			Retries: 3,
		}},
		StoreHeard:  now.Add(-time.Second),
		StoreFailed: now.Add(-time.Minute),
	}
	read := decode(encode(&told))
	for _, instants := range [][2]*time.Time{
		{&told.LastOrder, &read.LastOrder},
		{&told.Holdings.Heard, &read.Holdings.Heard},
		{&told.StoreHeard, &read.StoreHeard},
		{&told.StoreFailed, &read.StoreFailed},
	} {
		require.WithinDuration(t, *instants[0], *instants[1], time.Second)
		*instants[1] = *instants[0]
	}
	require.Equal(t, told, read)
	none := decode(encode(&Word{}))
	require.True(t, none.StoreHeard.IsZero())
	require.True(t, none.StoreFailed.IsZero())
	require.Nil(t, none.Fleet)
	require.Nil(t, none.Holdings)
}
