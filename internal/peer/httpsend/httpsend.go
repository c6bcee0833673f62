// Package httpsend sends HTTP requests to backend servers and to the platform. It sends
// a request that may have an effect at most once, and reports whether any part of a
// request can have reached the server.
//
// Client is the base of the clients in the packages engine, plain, weights and
// hostlist. Refusal is how those for backend servers report a request without a usable
// answer. Besides net/http's own, the package starts no goroutines.
//
// # Usage
//
//	var client httpsend.Client
//	defer client.Close()
//	reply, err := client.Send(httpsend.Request{
//		Context: ctx,
//		Method:  http.MethodPost,
//		Address: "127.0.0.1:9000",
//		Path:    "/v1/chat/completions",
//		Body:    body,
//		Once:    true,
//	})
//	if err != nil && !reply.Sent {
//		// no connection was established, so nothing was run
//	}
//
// An answer that is not valid HTTP/1 (package httpanswer) is an error: the request may have run.
// An answer without a length whose connection breaks is not complete: reading its body fails, also
// if the connection breaks while the request is still being written. Transport does the same for
// programs that use net/http directly.
//
// The package follows no redirects and uses neither a proxy nor HTTP/2: each of these
// could send a request a second time without the caller's knowledge.
package httpsend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/peer/meter"
)

const (
	idleTimeout               = 30 * time.Second
	maxIdleConnections        = 4096
	maxIdleConnectionsPerHost = 128
	maxHeaderBytes            = 32 << 10
)

// Client sends requests. The zero Client is ready to use; it is safe for concurrent
// use. Close closes its idle connections.
type Client struct {
	// Meter counts the bytes of the connections; nil counts nothing. It must be set
	// before the first request.
	Meter *meter.Meter
	// HeldBytes bounds what is held of all bodies that are being read; nil for no bound.
	HeldBytes *heldbytes.Budget
	initOnce  sync.Once
	pooled    *Transport
	unpooled  *Transport
}

// Request is one request. Address is host:port; Path may have a query.
type Request struct {
	Context context.Context
	Method  string
	Address string
	Path    string
	Header  http.Header
	Body    []byte
	// Once sends the request over a connection of its own, for a request that must not
	// be sent twice: see Client.Send.
	Once bool
}

// Reply is a response, or what is known without one.
type Reply struct {
	Response *http.Response // nil after an error
	// Sent is false only if no connection to the server was established, so that no
	// byte of the request can have reached it.
	Sent bool
}

// Send sends the request and returns when the header of the response has arrived. The
// caller closes the body of the response.
//
// Send guards against a hidden second send. http.Transport by itself repeats a request
// when a reused connection turns out to be dead. It does so even after it has written
// bytes, if the request counts as idempotent (a GET or HEAD, or any request with an
// Idempotency-Key header) and its body is empty or can be rewound by GetBody. One
// attempt would then run twice. Two measures prevent it: a body is given without
// GetBody, so the transport has nothing to send again; and a request with Once, or one
// without a body and with a method that may have an effect, uses a connection of its
// own, and the transport repeats only on reused connections. Once also avoids the
// uncertainty about a request that meets an idle connection just closed by the server.
//
// Sent comes from the transport's trace: GotConn is called before the first byte of a
// request is written, on every connection that is tried.
func (c *Client) Send(request Request) (Reply, error) {
	c.initOnce.Do(c.init)
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	})
	built, err := buildRequest(ctx, &request)
	if err != nil {
		return Reply{}, err
	}
	response, err := c.transportFor(&request).RoundTrip(built) //nolint:bodyclose // the caller closes it
	reply := Reply{
		Response: response,
		Sent:     connected.Load(),
	}
	return reply, errors.Wrapf(err, "%s %s", request.Method, request.Address)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.initOnce.Do(c.init)
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

func (c *Client) init() {
	c.pooled = newTransport(c.Meter)
	c.unpooled = newTransport(c.Meter)
	c.unpooled.DisableKeepAlives = true
}

func newTransport(connMeter *meter.Meter) *Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return NewTransport(&http.Transport{
		DialContext:            connMeter.Dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnectionsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	})
}

func (c *Client) transportFor(request *Request) *Transport {
	if request.Once || (len(request.Body) == 0 && !isSafe(request.Method)) {
		return c.unpooled
	}
	return c.pooled
}

// isSafe reports whether a method asks for no effect (RFC 9110, 9.2.1).
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func buildRequest(ctx context.Context, request *Request) (*http.Request, error) {
	target, err := url.Parse("http://" + request.Address + request.Path)
	if err != nil {
		return nil, errors.Wrap(err, "address and path")
	}
	if !strings.HasPrefix(request.Path, "/") {
		return nil, errors.Errorf("path %q does not begin with a slash", request.Path)
	}
	built, err := http.NewRequestWithContext(ctx, request.Method, target.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if request.Header != nil {
		built.Header = request.Header.Clone()
	}
	built.GetBody = nil
	if len(request.Body) > 0 {
		built.Body = io.NopCloser(bytes.NewReader(request.Body))
		built.ContentLength = int64(len(request.Body))
	}
	return built, nil
}

// ReadBody reads the body of a server's answer to its end, up to limit bytes, as far as HeldBytes has
// room. See ReadHeldBody.
func (c *Client) ReadBody(server string, response *http.Response, limit int64) ([]byte, error) {
	hold := c.HeldBytes.Hold()
	defer hold.Release()
	hold.UseServer(server)
	return ReadHeldBody(response.Body, -1, limit, &hold) // an answer to HEAD has a length and no body
}

// Fetch sends a request and reads the response, up to limit bytes. It returns the
// status and the body, whatever the status is.
func (c *Client) Fetch(request Request, limit int64) (int, []byte, error) {
	reply, err := c.Send(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = reply.Response.Body.Close() }()
	body, err := c.ReadBody(request.Address, reply.Response, limit)
	return reply.Response.StatusCode, body, err
}

// Get fetches a path, up to limit bytes; a status other than 200 is an error.
func (c *Client) Get(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	status, body, err := c.Fetch(Request{
		Context: ctx,
		Method:  http.MethodGet,
		Address: address,
		Path:    path,
	}, limit)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("GET %s%s: status %d", address, path, status)
	}
	return body, nil
}
