// Package httpsend sends HTTP requests to backend servers and to the platform,
// those with an effect at most once, and tells whether anything of a request
// can have arrived.
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
//		// proven: no connection came about, so nothing was run
//	}
//
// The package neither follows redirects nor uses a proxy nor HTTP/2: each of
// these could send a request a second time without its user's knowledge.
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

	"cicadaloom/internal/peer/meter"
)

const (
	idleTimeout         = 30 * time.Second
	idleConnections     = 4096
	idleConnectionsHost = 128
	maxHeaderBytes      = 64 << 10
)

// ErrTooLarge tells that a body is larger than its reader allows.
var ErrTooLarge = errors.New("body larger than allowed")

// Client sends requests. The zero Client works; Close lets its idle
// connections go. It is safe for use by many goroutines.
type Client struct {
	// Meter counts what the connections carry; nil counts nothing. It is set
	// before the first request.
	Meter  *meter.Meter
	start  sync.Once
	pooled *http.Transport
	fresh  *http.Transport
}

// Request is one request. Address is host:port; Path may carry a query.
type Request struct {
	Context context.Context
	Method  string
	Address string
	Path    string
	Header  http.Header
	Body    []byte
	// Once sends over a connection of its own, for a request that may not be
	// repeated: see Client.Send.
	Once bool
}

// Reply is an answer, or what is known without one.
type Reply struct {
	Response *http.Response // nil after an error
	// Sent is false only where no connection to the server came about, so that
	// not one byte of the request can have reached it.
	Sent bool
}

// Send sends the request and returns when the answer's header is there. The
// user closes the body of the response.
//
// The guard against a hidden second send: http.Transport sends a request again
// by itself when a kept-alive connection turns out dead, and it does so after
// bytes were written where the request counts as idempotent: a GET or HEAD, or
// anything with an Idempotency-Key header, whose body is empty or can be
// rewound by GetBody. A dispatch would then run twice under one attempt. It
// holds by two things: a body is given without GetBody, so the transport has
// nothing to send again; and a request with Once, or one with no body and a
// method that may have an effect, goes over a connection of its own, where the
// transport never retries, since it does so only on reused connections. Once
// also spares the doubt about a request that meets an idle connection which
// the server has just closed.
//
// Sent is taken from the transport's own trace: GotConn comes before the first
// byte of a request is written, on every connection that is tried.
func (c *Client) Send(request Request) (Reply, error) {
	c.start.Do(c.init)
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	})
	built, err := build(ctx, &request)
	if err != nil {
		return Reply{}, err
	}
	response, err := c.transport(&request).RoundTrip(built) //nolint:bodyclose // the user closes it
	reply := Reply{
		Response: response,
		Sent:     connected.Load(),
	}
	return reply, errors.Wrapf(err, "%s %s", request.Method, request.Address)
}

// Close closes the connections that no request uses.
func (c *Client) Close() {
	c.start.Do(c.init)
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func (c *Client) init() {
	c.pooled = newTransport(c.Meter)
	c.fresh = newTransport(c.Meter)
	c.fresh.DisableKeepAlives = true
}

func newTransport(counted *meter.Meter) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            counted.Dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    idleConnectionsHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
}

func (c *Client) transport(request *Request) *http.Transport {
	if request.Once || (len(request.Body) == 0 && !safe(request.Method)) {
		return c.fresh
	}
	return c.pooled
}

// safe tells the methods that ask for no effect (RFC 9110, 9.2.1).
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func build(ctx context.Context, request *Request) (*http.Request, error) {
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

// ReadBody reads a body to its end, which must come within the limit.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if int64(len(read)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return read, nil
}

// Fetch sends a request and reads its whole answer. It returns the status with
// the body, whatever the status says.
func (c *Client) Fetch(request Request, limit int64) (int, []byte, error) {
	reply, err := c.Send(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = reply.Response.Body.Close() }()
	body, err := ReadBody(reply.Response.Body, limit)
	return reply.Response.StatusCode, body, err
}

// Get fetches what a path serves; a status other than 200 is an error.
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
