// Package weights is the client of the platform's weight store, as far as the
// system asks it: engines fetch weights themselves, the system paces its orders
// by the store's load.
//
// # Usage
//
//	client := weights.Client{
//		Address: "127.0.0.1:9200",
//	}
//	defer client.Close()
//	status, err := client.Status(ctx)
package weights

import (
	"context"

	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/wire/engineapi"
)

const statusLimit = 64 << 10

// Client asks the weight store at Address.
type Client struct {
	Address string
	http    httpsend.Client
}

// Status tells how many loads go on and how many have ended.
func (c *Client) Status(ctx context.Context) (engineapi.WeightStatus, error) {
	body, err := c.http.Get(ctx, c.Address, engineapi.PathLoadStatus, statusLimit)
	if err != nil {
		return engineapi.WeightStatus{}, err
	}
	return engineapi.DecodeWeightStatus(body)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}
