// Package upstream sends requests to backend servers over its own HTTP/1.1 connections, one
// request at a time on each, and reports for a failed request whether any of it may have
// arrived.
//
// It isn't built on http.Transport, which resends a request by itself when a kept
// connection turns out to be closed, and which reuses a connection before the caller has
// checked whose response came on it.
//
// A Client keeps idle connections in a pool per address, under one mutex. Package relay
// calls Client.Send from the goroutine that serves a request; it gets an Exchange, which
// belongs to that goroutine. A long request body is written by a goroutine of the Exchange.
//
// # Usage
//
//	var client upstream.Client
//	defer client.Close()
//	exchange, err := client.Send(ctx, upstream.Request{
//		Address:  "10.0.0.7:8080",
//		Deadline: deadline,
//		Method:   "POST",
//		Target:   "/v1/notes",
//		Host:     "notes.example",
//		Header:   header,
//		Body:     body,
//	})
//	if err != nil && !upstream.MayHaveArrived(err) {
//		// proof that not one byte of the request left
//	}
//	defer exchange.Close()
//	body, err := io.ReadAll(exchange.Response.Body)
//	if err == nil && isOurs(exchange.Response) {
//		exchange.Release()
//	}
//
// A server may send without end. The package bounds what it holds of that: the head of an answer,
// interim answers, which end the exchange, chunk sizes and trailers. The caller bounds what it keeps
// of the body.
//
// An answer without a length ends with its connection. If the request could not be written in full,
// such an answer is not complete, and reading it fails.
//
// A connection returns to the pool only by Release or ReleaseUnfinished, and only if its response
// has been read to the end and no further bytes have arrived on it. An answer is known by its
// request's id, which all sends of a request share, so a connection on which one send was
// answered carries no other one.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/peer/httpanswer"
)

const (
	// dialTimeout is how long a connection may take to open: several round trips between
	// regions (30 ms each). A lost SYN packet is retransmitted only after a second, so a
	// longer timeout seldom helps.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the connection
	// counts as broken: a server that has lost power closes nothing.
	userTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the server doesn't say.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the time that a server says: a request that is sent
	// while the server closes the connection would be lost.
	idleMargin = 500 * time.Millisecond
	// maxFreshIdle is how long a connection may have been idle to carry a request that must
	// not be repeated: if the server closes it just then, the request counts as one that
	// may have run.
	maxFreshIdle = 700 * time.Millisecond
	// maxInlineBodyBytes is the size up to which a body is written before the response is
	// read: it fits in a connection's window.
	maxInlineBodyBytes = 4 << 10
	// readBufferBytes is the buffer of a connection. It also bounds the line of a chunk's size, with
	// its extensions, and the trailers of an answer.
	readBufferBytes = 2 << 10
	// maxHeadBytes bounds the status line and the header of an answer.
	maxHeadBytes = 32 << 10
	// maxUnfinished is how many ids of requests that may be sent again a connection remembers; one
	// that would have more is closed.
	maxUnfinished = 32
)

// Client keeps connections to backend servers. The zero value is ready for use; it is safe
// for use by many goroutines.
type Client struct {
	// OnDial is called for each connection opened; nil for no call.
	OnDial func()
	// OnStrayBytes is called for each idle connection on which bytes arrived that belong to no
	// request; nil for no call.
	OnStrayBytes func()
	mu           sync.Mutex
	idle         map[string][]*connection
	closed       bool
	lastSweep    time.Time
}

// Path is how to connect to a server. The zero value opens a plain TCP connection.
type Path struct {
	// IsDetour is whether connections go through a peer. Each then carries one request, so that
	// none is left when the direct path works again, or when the peer stops.
	IsDetour bool
	// Dial opens a connection to the server; nil for a plain TCP connection.
	Dial func(ctx context.Context) (net.Conn, error)
}

// ErrHeadTooLong is the cause of an answer's failure whose status line and header do not end.
var ErrHeadTooLong = errors.New("the head of the answer is over the limit")

// ErrDetourOpen is the cause of a failure to connect after which a detour can be tried.
var ErrDetourOpen = errors.New("the server may be reached through a peer")

// Request is one request to one server.
type Request struct {
	Address string
	Path    Path
	// ID names the request; all of its sends have the same.
	ID string
	// Deadline is when the whole exchange is abandoned; zero for never.
	Deadline time.Time
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	// NeedsFresh asks for a connection that is new or was used within the last
	// maxFreshIdle.
	NeedsFresh bool
}

// SendError is the error of a request without a response.
type SendError struct {
	// MayHaveArrived is false only if not one byte of the request has left.
	MayHaveArrived bool
	// Unreached reports that no connection opened although the caller still waited.
	Unreached bool
	Cause     error
}

// Error implements error.
func (e *SendError) Error() string {
	if !e.MayHaveArrived {
		return "not sent: " + e.Cause.Error()
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// MayHaveArrived reports whether any part of the request may have reached the server.
func MayHaveArrived(err error) bool {
	var sendError *SendError
	return !errors.As(err, &sendError) || sendError.MayHaveArrived
}

// IsUnreached reports that no connection to the server could be opened.
func IsUnreached(err error) bool {
	var sendError *SendError
	return errors.As(err, &sendError) && sendError.Unreached
}

// HasDetour reports that no connection could be opened, and that a detour can be tried.
func HasDetour(err error) bool {
	return IsUnreached(err) && errors.Is(err, ErrDetourOpen)
}

// connection is a connection with its buffered reader.
type connection struct {
	net.Conn
	source   *source
	reader   *bufio.Reader
	address  string
	isDetour bool
	// requests counts the requests that were sent on the connection.
	requests  int
	idleSince time.Time
	closeAt   time.Time
	// unfinished are the ids of requests that were answered here and may be sent again. A copy of
	// such an answer may still come: it would be taken for that of the next send.
	unfinished []string
}

// ConnectionInfo describes the connection that a request was sent on.
type ConnectionInfo struct {
	// LocalAddress is this host's end, or the peer's address for a detour; nil without a connection.
	LocalAddress net.Addr
	// Requests counts the requests that it has carried, with the last one.
	Requests int
}

// String returns the local address ("ip:port"), empty without a connection.
func (c ConnectionInfo) String() string {
	if c.LocalAddress == nil {
		return ""
	}
	return c.LocalAddress.String()
}

// Exchange is a request with the header of its response. Close ends it.
type Exchange struct {
	Response      *http.Response
	client        *Client
	conn          *connection
	requestID     string
	detachContext func() bool
	// bodyWriter writes a long body.
	bodyWriter  tomb.Tomb
	bodyWritten atomic.Bool
	released    bool
}

// Send sends a request and reads the header of its response. When the context ends, the
// connection is closed at once, even in the middle of a message.
func (c *Client) Send(ctx context.Context, request Request) (*Exchange, error) {
	conn, err := c.acquire(ctx, &request)
	if err != nil {
		return nil, &SendError{
			Unreached: ctx.Err() == nil,
			Cause:     err,
		}
	}
	exchange := &Exchange{
		client:        c,
		conn:          conn,
		requestID:     request.ID,
		detachContext: context.AfterFunc(ctx, func() { _ = conn.Close() }),
	}
	if err := exchange.roundTrip(&request); err != nil {
		exchange.Close()
		if errors.Is(err, syscall.ETIMEDOUT) {
			c.DropIdle(request.Address) // what silenced this connection may have silenced others
		}
		return nil, &SendError{
			MayHaveArrived: true,
			Cause:          err,
		}
	}
	return exchange, nil
}

// Connection describes the connection of the exchange, which must not be released yet.
func (e *Exchange) Connection() ConnectionInfo {
	return ConnectionInfo{
		LocalAddress: e.conn.LocalAddr(),
		Requests:     e.conn.requests,
	}
}

func (e *Exchange) roundTrip(request *Request) error {
	e.conn.requests++
	if err := e.conn.SetDeadline(request.Deadline); err != nil {
		return errors.Wrap(err, "deadline")
	}
	if err := e.writeRequest(request); err != nil {
		return err
	}
	e.conn.source.beginHead(maxHeadBytes)
	response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // Close cuts the connection
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	head := e.conn.source.endHead()
	if err := httpanswer.Check(response, &head); err != nil {
		return errors.Wrap(err, "answer")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &closeDelimitedBody{
			ReadCloser: response.Body,
			exchange:   e,
		}
	}
	e.Response = response
	return nil
}

// writeRequest writes the request. A long body is written by a goroutine while the response
// is read: a server that answers before it has read the body would otherwise wait for this
// host to read, while this host waits for the server. The connection is reused only if the
// whole body was written: the server may read on later, and must not find other bytes
// there.
func (e *Exchange) writeRequest(request *Request) error {
	head := encodeHead(request)
	if len(request.Body) <= maxInlineBodyBytes {
		if _, err := e.conn.Write(append(head, request.Body...)); err != nil {
			return errors.Wrap(err, "write")
		}
		e.bodyWritten.Store(true)
		return nil
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Wrap(err, "write")
	}
	e.bodyWriter.Go(func() error {
		if _, err := e.conn.Write(request.Body); err != nil {
			return err
		}
		e.bodyWritten.Store(true)
		return nil
	})
	return nil
}

func encodeHead(request *Request) []byte {
	head := make([]byte, 0, 512+len(request.Body))
	head = append(head, request.Method...)
	head = append(head, ' ')
	head = append(head, request.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, request.Host...)
	head = append(head, "\r\n"...)
	for name, values := range request.Header {
		if isHopByHop(name) {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if len(request.Body) > 0 || hasBody(request.Method) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.Body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// isHopByHop reports whether a header concerns one connection only (RFC 9110, 7.6.1), or is
// written by this package itself.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// RemoveHopByHop removes the headers that concern one connection only, including those that
// the Connection header names.
func RemoveHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for name := range header {
		if isHopByHop(name) && name != "Content-Length" {
			header.Del(name)
		}
	}
}

// ReleaseUnfinished does as Release for a response after which the request may be sent again. The
// connection carries none of its further sends.
func (e *Exchange) ReleaseUnfinished() {
	if len(e.conn.unfinished) >= maxUnfinished {
		return
	}
	e.conn.unfinished = append(e.conn.unfinished, e.requestID)
	e.Release()
}

// Release returns the connection to the pool. The response must have been read to its end
// and checked to be the request's own, and the request must not be sent again.
func (e *Exchange) Release() {
	if e.released || !e.bodyWritten.Load() || e.Response.Close || !hasFraming(e.Response) || e.conn.reader.Buffered() > 0 {
		return
	}
	if !e.detachContext() {
		return // the context has ended and closes the connection
	}
	e.released = true
	e.client.putIdle(e.conn, idleTimeout(e.Response.Header))
}

// hasFraming reports whether a response says where it ends. The connection of another may end with
// it, also where its status allows no body.
func hasFraming(response *http.Response) bool {
	return response.Header.Get("Content-Length") != "" || len(response.TransferEncoding) > 0
}

// Close ends the exchange. A connection that was not released is closed, and with it the
// server's work on the request ends.
func (e *Exchange) Close() {
	e.detachContext()
	if !e.released {
		_ = e.conn.Close()
	}
}

// idleTimeout returns how long the server keeps an idle connection, less idleMargin.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err != nil || !strings.EqualFold(name, "timeout") {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return defaultIdleTimeout
}
