// Package engine is the client of model engines: chat completions, orders,
// reports, cache events and cancels.
//
// # Usage
//
//	var client engine.Client
//	defer client.Close()
//	stream, err := client.Chat(ctx, address, engine.Call{
//		Body:      body,
//		RequestID: request,
//		AttemptID: attempt,
//		Deadline:  deadline,
//		Stream:    true,
//	})
//	var refusal *engine.Refusal
//	if errors.As(err, &refusal) && refusal.ProvesNotRun() {
//		// ask another engine
//	}
//	defer stream.Close()
//	for {
//		event, err := stream.Next() // Chunk, Whole or End
//	}
//
// Each answer is tied to its attempt: the engine echoes X-Attempt-Id and says
// its X-Incarnation, and what does not match is ErrForeignAnswer.
package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/peer/meter"
	"cicadaloom/internal/wire/engineapi"
)

const (
	reportLimit      = 4 << 20
	cacheEventsLimit = 4 << 20
	orderAnswerLimit = 64 << 10
)

// ErrForeignAnswer tells that an answer belongs to another attempt or another
// life of the server than was asked. The request was sent and may have run.
var ErrForeignAnswer = errors.New("answer of another attempt or incarnation")

// Refusal is a chat that got no answer; see httpsend.
type Refusal = httpsend.Refusal

// Client asks engines. The zero Client works.
type Client struct {
	http httpsend.Client
}

// Count counts what the connections carry. It comes before the first request.
func (c *Client) Count(counted *meter.Meter) {
	c.http.Meter = counted
}

// Call is one chat completion request to one engine.
type Call struct {
	// Body is the request as the caller sent it, in the OpenAI form.
	Body      []byte
	RequestID ident.RequestID
	AttemptID ident.AttemptID
	// Incarnation is the life of the engine that is asked; empty takes any.
	Incarnation ident.Incarnation
	// Priority 0 goes first.
	Priority int
	// Deadline tells the engine until when the answer is of use. The call
	// itself ends by its context only.
	Deadline time.Time
	// ResumeAt counts the tokens that came before; the stream begins after them.
	ResumeAt int
	// Stream says whether Body asks for a stream.
	Stream bool
	// Once marks a request that may not be repeated: it gets a connection of its own.
	Once bool
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Chat sends a request and returns when the answer begins. Its error is a
// *Refusal or ErrForeignAnswer. The context rules the stream too.
func (c *Client) Chat(ctx context.Context, address string, call Call) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	reply, err := c.http.Send(httpsend.Request{
		Context: ctx,
		Method:  http.MethodPost,
		Address: address,
		Path:    engineapi.PathChat,
		Header:  call.header(),
		Body:    call.Body,
		Once:    call.Once,
	})
	if err != nil {
		cancel()
		return nil, httpsend.Unanswered(reply, err)
	}
	if err := call.accept(reply.Response); err != nil {
		_ = reply.Response.Body.Close()
		cancel()
		return nil, err
	}
	return newStream(ctx, cancel, reply.Response, &call), nil
}

func (c *Call) header() http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(engineapi.HeaderRequest, string(c.RequestID))
	header.Set(engineapi.HeaderAttempt, string(c.AttemptID))
	header.Set(engineapi.HeaderPriority, strconv.Itoa(c.Priority))
	if !c.Deadline.IsZero() {
		header.Set(engineapi.HeaderDeadline, engineapi.FormatDeadline(c.Deadline))
	}
	if c.ResumeAt > 0 {
		header.Set(engineapi.HeaderResumeAt, strconv.Itoa(c.ResumeAt))
	}
	return header
}

// accept checks that an answer is this call's and no refusal.
//
// It guards against an engine, or something before it, that mixes up answers:
// a caller would read a neighbour's text, or a neighbour's "not run" would
// send a dispatch twice. So the proof too counts only with this attempt's id.
func (c *Call) accept(response *http.Response) error {
	ours := response.Header.Get(engineapi.HeaderAttempt) == string(c.AttemptID)
	if response.StatusCode != http.StatusOK {
		return httpsend.Refused(response, ours && httpsend.SaysNotRun(response))
	}
	if !ours {
		return errors.Wrapf(ErrForeignAnswer, "attempt %q answered as %q",
			c.AttemptID, response.Header.Get(engineapi.HeaderAttempt))
	}
	incarnation := ident.Incarnation(response.Header.Get(engineapi.HeaderIncarnation))
	if c.Incarnation != "" && incarnation != c.Incarnation {
		return errors.Wrapf(ErrForeignAnswer, "asked incarnation %q, answered by %q", c.Incarnation, incarnation)
	}
	return nil
}

// Cancel tells an engine that nobody waits for an attempt any more. It is a
// hint: an attempt that the engine does not know is no error.
func (c *Client) Cancel(ctx context.Context, address string, attempt ident.AttemptID) error {
	status, _, err := c.http.Fetch(httpsend.Request{
		Context: ctx,
		Method:  http.MethodDelete,
		Address: address,
		Path:    engineapi.PathRequests + url.PathEscape(string(attempt)),
	}, orderAnswerLimit)
	if err != nil {
		return err
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return errors.Errorf("cancel at %s: status %d", address, status)
	}
	return nil
}

// Report asks an engine for its word on itself.
func (c *Client) Report(ctx context.Context, address string) (backend.Report, error) {
	body, err := c.http.Get(ctx, address, engineapi.PathReport, reportLimit)
	if err != nil {
		return backend.Report{}, err
	}
	return engineapi.DecodeReport(body)
}

// CacheEvents asks for the cache events after a number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (engineapi.CacheEvents, error) {
	path := engineapi.PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	body, err := c.http.Get(ctx, address, path, cacheEventsLimit)
	if err != nil {
		return engineapi.CacheEvents{}, err
	}
	return engineapi.DecodeCacheEvents(body)
}

// SendOrder gives an engine an order once. An error means that the order may
// or may not have arrived, so that it can still take effect; not accepted,
// with the reason, means that it never will.
func (c *Client) SendOrder(ctx context.Context, address string, order backend.Order) (bool, string, error) {
	body, err := engineapi.EncodeOrder(order)
	if err != nil {
		return false, "", err
	}
	status, body, err := c.http.Fetch(httpsend.Request{
		Context: ctx,
		Method:  http.MethodPost,
		Address: address,
		Path:    engineapi.PathOrders,
		Body:    body,
		Once:    true,
	}, orderAnswerLimit)
	if err != nil {
		return false, "", err
	}
	if status != http.StatusAccepted && status != http.StatusConflict {
		return false, "", errors.Errorf("order %s at %s: status %d", order.ID, address, status)
	}
	answer, err := engineapi.DecodeOrderAnswer(body)
	if err != nil {
		return false, "", err
	}
	if answer.Accepted != (status == http.StatusAccepted) {
		return false, "", errors.Errorf("order %s at %s: status %d contradicts the body", order.ID, address, status)
	}
	return answer.Accepted, answer.Reason, nil
}
