// Package weights is the client of the platform's weight store. Engines fetch weights
// from the store themselves; this system only asks for the store's load, to limit the
// rate of its load orders by it.
//
// # Usage
//
//	client := weights.Client{
//		Address: "127.0.0.1:9200",
//	}
//	defer client.Close()
//	status, err := client.FetchStatus(ctx)
package weights

import (
	"context"

	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/wire/engineapi"
)

const maxStatusBytes = 64 << 10

// Client sends requests to the weight store at Address.
type Client struct {
	Address string
	http    httpsend.Client
}

// FetchStatus returns how many loads are in progress and how many have ended.
func (c *Client) FetchStatus(ctx context.Context) (engineapi.WeightStatus, error) {
	body, err := c.http.Get(ctx, c.Address, engineapi.PathWeightStatus, maxStatusBytes)
	if err != nil {
		return engineapi.WeightStatus{}, err
	}
	return engineapi.DecodeWeightStatus(body)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}
