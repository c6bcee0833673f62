// Package upstream sends requests to backend servers over connections of its own,
// one request at a time on each, and tells what of a request can have arrived.
//
// It isn't built on http.Transport, which sends a request again by itself when a
// kept connection turns out stale, and which gives a connection back before
// anybody has compared whose answer came on it.
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
//		// proven: not one byte of the request left
//	}
//	defer exchange.Close()
//	body, err := io.ReadAll(exchange.Response.Body)
//	if err == nil && ours(exchange.Response) {
//		exchange.Keep()
//	}
//
// A connection goes back to the pool only by Keep, and only where its answer has
// been read to its end and nothing is left over on it.
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
	"time"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"
)

const (
	// dialTimeout is how long a connection may take to come about: several ways
	// between regions (30 ms each). An opening packet that is dropped is sent again
	// only after a second, so waiting longer seldom helps.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay without a receipt before the
	// connection counts as broken: a server without power gives no sign.
	userTimeout = 2 * time.Second
	// defaultIdle is how long a connection is kept whose server doesn't say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off what a server says: a request that crosses its close
	// would be lost.
	idleMargin = 500 * time.Millisecond
	// freshIdle is how long a connection may have been idle to carry a request
	// that may not be repeated: if the server drops it just then, the request
	// counts as one that may have run.
	freshIdle = 700 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is
	// read: it fits in the window of a connection.
	inlineBody = 4 << 10
	bufferSize = 2 << 10
)

// Client keeps connections to backend servers. The zero value works; it is safe
// for use by many goroutines.
type Client struct {
	// Dialed counts connections opened; nil counts nothing.
	Dialed func()
	mu     sync.Mutex
	idle   map[string][]*connection
	closed bool
	sweep  time.Time
}

// Request is one request to one server.
type Request struct {
	Address string
	// Deadline is when the whole exchange is given up; zero is never.
	Deadline time.Time
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	// Once asks for a connection that is new or was in use just now.
	Once bool
}

// SendError is a request without an answer.
type SendError struct {
	// Arrived is false only where not one byte of the request has left.
	Arrived bool
	// Dead tells that the server's machine refused a connection or gave no sign.
	Dead  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if !e.Arrived {
		return "not sent: " + e.Cause.Error()
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// MayHaveArrived tells whether anything of the request can have reached the server.
func MayHaveArrived(err error) bool {
	var failed *SendError
	return !errors.As(err, &failed) || failed.Arrived
}

// NotReached tells that no connection to the server came about.
func NotReached(err error) bool {
	var failed *SendError
	return errors.As(err, &failed) && failed.Dead
}

// connection is one connection with its reader.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleSince time.Time
	closeAt   time.Time
}

// Exchange is a request with the header of its answer. Close ends it.
type Exchange struct {
	Response *http.Response
	client   *Client
	conn     *connection
	stop     func() bool
	// writer writes a long body.
	writer  tomb.Tomb
	written atomic.Bool
	kept    bool
}

// Send sends a request and reads the header of its answer. When the context ends,
// the connection is cut, at once and whatever is under way on it.
func (c *Client) Send(ctx context.Context, request Request) (*Exchange, error) {
	conn, err := c.take(ctx, &request)
	if err != nil {
		return nil, &SendError{
			Dead:  ctx.Err() == nil,
			Cause: err,
		}
	}
	exchange := &Exchange{
		client: c,
		conn:   conn,
		stop:   context.AfterFunc(ctx, func() { _ = conn.Close() }),
	}
	if err := exchange.run(&request); err != nil {
		exchange.Close()
		return nil, &SendError{
			Arrived: true,
			Cause:   err,
		}
	}
	return exchange, nil
}

func (e *Exchange) run(request *Request) error {
	if err := e.conn.SetDeadline(request.Deadline); err != nil {
		return errors.Wrap(err, "deadline")
	}
	if err := e.write(request); err != nil {
		return err
	}
	response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // Close cuts the connection
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	if response.StatusCode < http.StatusOK {
		return errors.Errorf("answer: found status %d, allowed a final one", response.StatusCode)
	}
	e.Response = response
	return nil
}

// write writes the request. A long body is written beside the reading of the
// answer: a server may answer before it has read the body, and would wait for us
// to read while we wait for it. Such a connection is kept only if the body was
// written whole: the server may read on later, and must find no other bytes there.
func (e *Exchange) write(request *Request) error {
	head := encodeHead(request)
	if len(request.Body) <= inlineBody {
		if _, err := e.conn.Write(append(head, request.Body...)); err != nil {
			return errors.Wrap(err, "write")
		}
		e.written.Store(true)
		return nil
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Wrap(err, "write")
	}
	e.writer.Go(func() error {
		if _, err := e.conn.Write(request.Body); err != nil {
			return err // the reader of the answer meets it too
		}
		e.written.Store(true)
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
		if perConnection(name) {
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

// perConnection tells the headers that concern one connection only, and those
// that this package writes itself (RFC 9110, 7.6.1).
func perConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// RemovePerConnection removes the headers that concern one connection only, those
// that Connection names among them.
func RemovePerConnection(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for name := range header {
		if perConnection(name) && name != "Content-Length" {
			header.Del(name)
		}
	}
}

// Keep gives the connection back for another request. The answer must have been
// read to its end and found to be the request's own.
func (e *Exchange) Keep() {
	if e.kept || !e.written.Load() || e.Response.Close || e.conn.reader.Buffered() > 0 {
		return
	}
	if !e.stop() {
		return // the context has ended, and the connection with it
	}
	e.kept = true
	e.client.give(e.conn, idleLimit(e.Response.Header))
}

// Close ends the exchange. A connection that was not kept is cut, and with it
// whatever the server still does for the request.
func (e *Exchange) Close() {
	e.stop()
	if !e.kept {
		_ = e.conn.Close()
	}
}

// idleLimit reads how long the server keeps an idle connection.
func idleLimit(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err != nil || !strings.EqualFold(name, "timeout") {
			continue
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return defaultIdle
}
