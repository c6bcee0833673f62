// Package plain is the client of plain services: services without a model,
// such as a dispatch desk or a booking system, to which requests are passed on
// as they came.
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
//		// ask another replica
//	}
//
// Any answer that came whole is an answer, also one with an error status: it is
// the service's word to its caller. Only a refusal with the proof that the
// request was not run, or no whole answer, is a Refusal.
package plain

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/meter"
	"cicadaloom/internal/wire/engineapi"
)

const (
	answerLimit = 8 << 20
	reportLimit = 64 << 10
)

// ErrForeignAnswer tells that an answer names another request than was sent.
var ErrForeignAnswer = errors.New("answer of another request")

// Refusal is a request that got no answer; see httpsend.
type Refusal = httpsend.Refusal

// Client asks plain services. The zero Client works.
type Client struct {
	http httpsend.Client
}

// Count counts what the connections carry. It comes before the first request.
func (c *Client) Count(counted *meter.Meter) {
	c.http.Meter = counted
}

// Request is a caller's request, to be passed on.
type Request struct {
	Method string
	// Path has the query too.
	Path      string
	Header    http.Header
	Body      []byte
	RequestID ident.RequestID
	// Deadline tells the service until when the answer is of use; the request
	// itself ends by its context only.
	Deadline time.Time
	// Once marks a request that may not be repeated: it gets a connection of its own.
	Once bool
}

// Answer is a service's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do passes a request on. Just one of its results is nil.
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
	return request.read(reply.Response)
}

// read takes an answer that is this request's, and whole. An answer that names
// another request proves nothing of this one, whatever it says.
func (r *Request) read(response *http.Response) (*Answer, *Refusal) {
	defer func() { _ = response.Body.Close() }()
	named := response.Header.Get(engineapi.HeaderRequest)
	if named != "" && named != string(r.RequestID) {
		return nil, &Refusal{
			Status: response.StatusCode,
			Sent:   true,
			Cause:  errors.Wrapf(ErrForeignAnswer, "request %q answered as %q", r.RequestID, named),
		}
	}
	if httpsend.HasNotRunProof(response) {
		return nil, httpsend.ReadRefusal(response, true)
	}
	body, err := httpsend.ReadBody(response.Body, answerLimit)
	if err != nil {
		return nil, &Refusal{
			Status: response.StatusCode,
			Sent:   true,
			Cause:  err,
		}
	}
	return &Answer{
		Status: response.StatusCode,
		Header: passedOn(response.Header),
		Body:   body,
	}, nil
}

func (r *Request) header() http.Header {
	header := passedOn(r.Header)
	header.Set(engineapi.HeaderRequest, string(r.RequestID))
	if !r.Deadline.IsZero() {
		header.Set(engineapi.HeaderDeadline, engineapi.FormatDeadline(r.Deadline))
	}
	return header
}

// Report asks a service for its load.
func (c *Client) Report(ctx context.Context, address string) (engineapi.PlainReport, error) {
	body, err := c.http.Get(ctx, address, engineapi.PathReport, reportLimit)
	if err != nil {
		return engineapi.PlainReport{}, err
	}
	return engineapi.DecodePlainReport(body)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
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

func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		return http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
