package gatewaypeer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/control/entries"
	"cicadaloom/internal/control/holdings"
	"cicadaloom/internal/control/loading"
	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/store"
	"cicadaloom/internal/wire/gatewaypeerpb"
)

// The receiver must decode what the sender encoded; instants travel as how long ago they
// were.
func TestMessageSurvivesEncoding(t *testing.T) {
	now := time.Now()
	sent := Message{
		Host:                 "a",
		DataCentre:           "north-1",
		Region:               "north",
		ConfigurationVersion: 7,
		PackedConfiguration:  []byte("packed"),
		LeaderToken:          5,
		LastOrderAt:          now.Add(-time.Second),
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
		Paces: []pace.ServerReading{{
			Server:      "one",
			Incarnation: "1",
			Reading:     2.5,
		}},
		Brittleness: []backend.ServiceBrittleness{{
			Service: "booking",
			Brittleness: backend.Brittleness{
				MaxRefusals: 12,
				StatedAt:    now.Add(-time.Second),
			},
		}},
		WantsFleet:         true,
		WantsInventory:     true,
		KnownFleetRevision: 40,
		KnownInventory: holdings.Cursor{
			FencingNumber: 5,
			LastChange:    12,
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
		Inventory: &holdings.Update{
			Cursor: holdings.Cursor{
				FencingNumber: 5,
				LastChange:    13,
			},
			ReportedAt: now.Add(-time.Second),
			Engines: []holdings.Engine{
				{
					Inventory: loading.Inventory{
						Server:      "one",
						Incarnation: "1",
						Weights: []request.Weights{
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
						Pace:     1.5,
					},
					InventoryChange: 11,
					LoadChange:      13,
				},
				{
					Inventory: loading.Inventory{
						Server:  "two",
						Running: 1,
					},
					LoadChange: 12,
					LoadOnly:   true,
				},
			},
		},
		TokenTransfers: []retries.Transfer{{
			Service: "models",
			Tokens:  3,
		}},
		StoreAnsweredAt: now.Add(-time.Second),
		StoreFailedAt:   now.Add(-time.Minute),
	}
	received := decodeMessage(encodeMessage(&sent))
	for _, instants := range [][2]*time.Time{
		{&sent.LastOrderAt, &received.LastOrderAt},
		{&sent.Inventory.ReportedAt, &received.Inventory.ReportedAt},
		{&sent.StoreAnsweredAt, &received.StoreAnsweredAt},
		{&sent.StoreFailedAt, &received.StoreFailedAt},
		{&sent.Brittleness[0].StatedAt, &received.Brittleness[0].StatedAt},
	} {
		require.WithinDuration(t, *instants[0], *instants[1], time.Second)
		*instants[1] = *instants[0]
	}
	require.Equal(t, sent, received)
	none := decodeMessage(encodeMessage(&Message{}))
	require.True(t, none.StoreAnsweredAt.IsZero())
	require.True(t, none.StoreFailedAt.IsZero())
	require.Nil(t, none.Fleet)
	require.Nil(t, none.Inventory)
	require.Empty(t, none.Brittleness)
}

// Guards against a peer's rate that is none, and is spread among all hosts.
func TestStatementWithoutRateIsDropped(t *testing.T) {
	for rate, isValid := range map[float64]bool{0: true, 12: true, -1: false, math.NaN(): false, math.Inf(1): false} {
		received := decodeMessage(&gatewaypeerpb.Word{
			BrittleServices: []*gatewaypeerpb.BrittleService{{
				Service:     "booking",
				MaxRefusals: rate,
				Age:         1,
			}},
		})
		require.Equal(t, isValid, len(received.Brittleness) > 0, "%v", rate)
	}
}
