// Package plain is the HTTP client of plain services: backend servers without models,
// such as a dispatch desk or a booking system. It forwards requests without
// their hop-by-hop headers, and adds the request id and the deadline.
//
// Client is used by the dispatch of requests and by the control loop. It is safe for
// concurrent use, and the package starts no goroutines but those of net/http.
//
// # Usage
//
//	var client plain.Client
//	defer client.Close()
//	answer, refusal := client.Do(ctx, address, &plain.Request{
//		Method:    http.MethodPost,
//		Path:      "/dispatch",
//		Header:    header,
//		Body:      body,
//		RequestID: request,
//		Once:      true,
//	})
//	if refusal != nil && refusal.ProvesNotRun() {
//		// try another replica
//	}
//
// Every complete response is an Answer, also one with an error status: it is for the
// caller. Only a response with the proof that the request was not run, or the lack of a
// complete response, is a Refusal.
package plain

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/meter"
	"cicadaloom/internal/wire/engineapi"
)

const (
	maxAnswerBytes = 8 << 20
	maxReportBytes = 64 << 10
)

// ErrMismatchedAnswer says that a response has the id of another request than was sent.
var ErrMismatchedAnswer = errors.New("answer of another request")

// Refusal is a request without a usable answer; see httpsend.
type Refusal = httpsend.Refusal

// Client sends requests to plain services. The zero Client is ready to use.
type Client struct {
	http httpsend.Client
}

// UseMeter makes the client count the bytes of its connections. It must be called
// before the first request.
func (c *Client) UseMeter(connMeter *meter.Meter) {
	c.http.Meter = connMeter
}

// UseHeldBytes bounds what the client holds of the bodies that it is reading. It must be called before
// the first request.
func (c *Client) UseHeldBytes(budget *heldbytes.Budget) {
	c.http.HeldBytes = budget
}

// Request is a caller's request to forward.
type Request struct {
	Method string
	// Path includes the query.
	Path      string
	Header    http.Header
	Body      []byte
	RequestID ident.RequestID
	// Deadline tells the service until when the answer is useful. The request itself
	// ends only with its context.
	Deadline time.Time
	// Once marks a request that must not be sent twice: it gets a connection of its
	// own.
	Once bool
}

// Answer is the complete response of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signals is what the response says about the requests that the service accepts.
	Signals backend.Signals
}

// Do forwards a request. Exactly one of the results is nil.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Answer, *Refusal) {
	reply, err := c.http.Send(httpsend.Request{
		Context: ctx,
		Method:  request.Method,
		Address: address,
		Path:    request.Path,
		Header:  request.header(),
		Body:    request.Body,
		Once:    request.Once,
	})
	if err != nil {
		return nil, httpsend.NewUnanswered(reply, err)
	}
	return c.readAnswer(address, request, reply.Response)
}

// readAnswer reads a response, which must be complete and belong to this request. A
// response with the id of another request proves nothing about this one, whatever it
// says.
func (c *Client) readAnswer(address string, request *Request, response *http.Response) (*Answer, *Refusal) {
	defer func() { _ = response.Body.Close() }()
	answeredID := response.Header.Get(engineapi.HeaderRequest)
	if answeredID != "" && answeredID != string(request.RequestID) {
		return nil, &Refusal{
			Status: response.StatusCode,
			Sent:   true,
			Cause:  errors.Wrapf(ErrMismatchedAnswer, "request %q answered as %q", request.RequestID, answeredID),
		}
	}
	if httpsend.HasNotRunProof(response) {
		return nil, httpsend.ReadRefusal(response, true)
	}
	body, err := c.http.ReadBody(address, response, maxAnswerBytes)
	if err != nil {
		return nil, &Refusal{
			Status: response.StatusCode,
			Sent:   true,
			Cause:  err,
		}
	}
	return &Answer{
		Status:  response.StatusCode,
		Header:  forwardedHeader(response.Header),
		Body:    body,
		Signals: engineapi.ParseSignals(response.Header),
	}, nil
}

func (r *Request) header() http.Header {
	header := forwardedHeader(r.Header)
	header.Set(engineapi.HeaderRequest, string(r.RequestID))
	if !r.Deadline.IsZero() {
		header.Set(engineapi.HeaderDeadline, engineapi.FormatDeadline(r.Deadline))
	}
	return header
}

// FetchReport fetches the report of a service on its load.
func (c *Client) FetchReport(ctx context.Context, address string) (engineapi.PlainReport, error) {
	body, err := c.http.Get(ctx, address, engineapi.PathReport, maxReportBytes)
	if err != nil {
		return engineapi.PlainReport{}, err
	}
	return engineapi.DecodePlainReport(body)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
// Content-Length is set anew from the body.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
}

// forwardedHeader copies a header without its hop-by-hop fields.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	if forwarded == nil {
		return http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
