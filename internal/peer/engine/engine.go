// Package engine is the HTTP client of engines, the backend servers that serve models:
// chat completions, orders, reports, cache events and cancellation.
//
// Client sends the requests, and Client.Chat returns a Stream, from which the caller
// reads the answer. Both are used by the dispatch of requests and by the control loop.
// The package starts no goroutines but those of net/http.
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
//		// try another engine
//	}
//	defer stream.Close()
//	for {
//		event, err := stream.Next() // Chunk, Whole or End
//	}
//
// Each answer is matched to its attempt: the engine echoes X-Attempt-Id and sends its
// X-Incarnation. An answer that does not match fails with ErrMismatchedAnswer.
package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
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
	maxReportBytes      = 4 << 20
	maxCacheEventsBytes = 4 << 20
	maxOrderAnswerBytes = 64 << 10
)

// ErrMismatchedAnswer says that an answer belongs to another attempt, or comes from
// another incarnation of the server than the call asked for. The request was sent and
// may have run.
var ErrMismatchedAnswer = errors.New("answer of another attempt or incarnation")

// Refusal is a request without a usable answer; see httpsend.
type Refusal = httpsend.Refusal

// Client sends requests to engines. The zero Client is ready to use; it is safe for
// concurrent use.
type Client struct {
	http httpsend.Client
}

// UseMeter makes the client count the bytes of its connections. It must be called
// before the first request.
func (c *Client) UseMeter(connMeter *meter.Meter) {
	c.http.Meter = connMeter
}

// UseHeldBytes bounds what the client holds of the bodies that it is reading; streams are not held. It
// must be called before the first request.
func (c *Client) UseHeldBytes(budget *heldbytes.Budget) {
	c.http.HeldBytes = budget
}

// Call is one chat completion request to one engine.
type Call struct {
	// Body is the request as the caller sent it, in the OpenAI format.
	Body      []byte
	RequestID ident.RequestID
	AttemptID ident.AttemptID
	// Incarnation is the incarnation of the engine that must answer; empty accepts any.
	Incarnation ident.Incarnation
	// Priority orders the requests in the engine; 0 is the highest.
	Priority int
	// Deadline tells the engine until when the answer is useful. The call itself ends
	// only with its context.
	Deadline time.Time
	// ResumeAt is the number of tokens already received; the stream starts after them.
	ResumeAt int
	// Stream says whether Body asks for a streamed answer.
	Stream bool
	// Once marks a request that must not be sent twice: it gets a connection of its
	// own.
	Once bool
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Chat sends a request and returns when the header of the answer has arrived. Its error
// is a *Refusal or ErrMismatchedAnswer. Cancelling the context ends the stream too.
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
		return nil, httpsend.NewUnanswered(reply, err)
	}
	if err := call.checkResponse(reply.Response); err != nil {
		_ = reply.Response.Body.Close()
		cancel()
		return nil, err
	}
	return c.newStream(ctx, cancel, address, reply.Response, &call), nil
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

// checkResponse checks that a response belongs to this call and is no refusal.
//
// It guards against an engine, or a proxy before it, that mixes up answers: a caller
// would read another caller's text, or the "not run" of another attempt would let a
// request run twice. So that proof, too, counts only with the id of this attempt.
func (c *Call) checkResponse(response *http.Response) error {
	matches := response.Header.Get(engineapi.HeaderAttempt) == string(c.AttemptID)
	if response.StatusCode != http.StatusOK {
		refusal := httpsend.ReadRefusal(response, matches && httpsend.HasNotRunProof(response))
		if !matches {
			refusal.Signals = backend.Signals{}
		}
		return refusal
	}
	if !matches {
		return errors.Wrapf(ErrMismatchedAnswer, "attempt %q answered as %q",
			c.AttemptID, response.Header.Get(engineapi.HeaderAttempt))
	}
	incarnation := ident.Incarnation(response.Header.Get(engineapi.HeaderIncarnation))
	if c.Incarnation != "" && incarnation != c.Incarnation {
		return errors.Wrapf(ErrMismatchedAnswer, "asked incarnation %q, answered by %q", c.Incarnation, incarnation)
	}
	return nil
}

// Cancel tells an engine that nobody waits for an attempt any more. It is a hint: an
// attempt that the engine does not know is no error.
func (c *Client) Cancel(ctx context.Context, address string, attempt ident.AttemptID) error {
	status, _, err := c.http.Fetch(httpsend.Request{
		Context: ctx,
		Method:  http.MethodDelete,
		Address: address,
		Path:    engineapi.PathRequests + url.PathEscape(string(attempt)),
	}, maxOrderAnswerBytes)
	if err != nil {
		return err
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return errors.Errorf("cancel at %s: status %d", address, status)
	}
	return nil
}

// FetchReport fetches the report of an engine on its state.
func (c *Client) FetchReport(ctx context.Context, address string) (backend.Report, error) {
	body, err := c.http.Get(ctx, address, engineapi.PathReport, maxReportBytes)
	if err != nil {
		return backend.Report{}, err
	}
	return engineapi.DecodeReport(body)
}

// FetchCacheEvents fetches the cache events with numbers greater than after.
func (c *Client) FetchCacheEvents(ctx context.Context, address string, after int64) (engineapi.CacheEvents, error) {
	path := engineapi.PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	body, err := c.http.Get(ctx, address, path, maxCacheEventsBytes)
	if err != nil {
		return engineapi.CacheEvents{}, err
	}
	return engineapi.DecodeCacheEvents(body)
}

// SendOrder sends an order to an engine, once. The results are whether the engine
// accepted the order, and its reason. After an error the order may or may not have
// arrived, so that it can still take effect; an order that is not accepted never takes
// effect.
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
	}, maxOrderAnswerBytes)
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
