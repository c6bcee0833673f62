// Package hostlist is the client of the platform's list of live and leaving hosts.
//
// # Usage
//
//	client := hostlist.Client{
//		Address: "127.0.0.1:9100",
//	}
//	defer client.Close()
//	servers, err := client.List(ctx)
//
// The list lags: a host in it may be gone, and a new one may be missing.
package hostlist

import (
	"context"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/meter"
	"cicadaloom/internal/wire/engineapi"
)

// listLimit bounds the list: some 300 bytes a host, for 10,000 hosts and more.
const listLimit = 4 << 20

// Client asks the host list at Address.
type Client struct {
	Address string
	http    httpsend.Client
}

// Count counts what the connections carry. It comes before the first request.
func (c *Client) Count(counted *meter.Meter) {
	c.http.Meter = counted
}

// List fetches the whole list. An error says nothing of the hosts: the list
// that came before it stays the best that is known.
func (c *Client) List(ctx context.Context) ([]backend.Server, error) {
	body, err := c.http.Get(ctx, c.Address, engineapi.PathHosts, listLimit)
	if err != nil {
		return nil, err
	}
	return engineapi.DecodeHosts(body)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}
