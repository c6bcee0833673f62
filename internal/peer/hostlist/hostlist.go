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
// The list lags behind: a host in it may be gone, and a new one may be missing.
package hostlist

import (
	"context"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/meter"
	"cicadaloom/internal/wire/engineapi"
)

// maxListBytes limits the list: some 300 bytes a host, for 10,000 hosts and more.
const maxListBytes = 4 << 20

// Client fetches the host list from Address.
type Client struct {
	Address string
	http    httpsend.Client
}

// UseMeter makes the client count the bytes of its connections. It must be called
// before the first request.
func (c *Client) UseMeter(connMeter *meter.Meter) {
	c.http.Meter = connMeter
}

// List fetches the whole list. An error says nothing about the hosts: the previous list
// remains the best information.
func (c *Client) List(ctx context.Context) ([]backend.Server, error) {
	body, err := c.http.Get(ctx, c.Address, engineapi.PathHosts, maxListBytes)
	if err != nil {
		return nil, err
	}
	return engineapi.DecodeHosts(body)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}
