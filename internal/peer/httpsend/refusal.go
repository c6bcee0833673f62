package httpsend

import (
	"fmt"
	"net/http"
	"time"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/wire/engineapi"
)

// maxRefusalBytes limits how much of the body of a refusal is kept.
const maxRefusalBytes = 64 << 10

// Refusal is the error of a request without a usable answer: the server refused it, or
// no complete answer arrived.
type Refusal struct {
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// NotRun is the server's own proof that it did not run the request.
	NotRun bool
	// RetryAfter is when the server wants the request to be retried; zero if it does
	// not say.
	RetryAfter time.Time
	// Signals is what the response says about the requests that the server accepts.
	Signals backend.Signals
	Body    []byte
	// Sent is false only if no connection to the server was established.
	Sent bool
	// Cause is the error behind a refusal without a status, or without a usable body.
	Cause error
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	switch {
	case !r.Sent:
		return fmt.Sprintf("not sent: %v", r.Cause)
	case r.Cause != nil:
		return fmt.Sprintf("sent, no whole answer: %v", r.Cause)
	case r.NotRun:
		return fmt.Sprintf("status %d, not run", r.Status)
	default:
		return fmt.Sprintf("status %d", r.Status)
	}
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// ProvesNotRun reports whether the request provably was not run: the server says so, or
// nothing can have reached it.
func (r *Refusal) ProvesNotRun() bool {
	return r.NotRun || !r.Sent
}

// HasNotRunProof reports whether a response carries the server's proof that it did not
// run the request. The proof counts only with a status by which servers refuse: with
// any other the server is faulty, and it proves nothing.
func HasNotRunProof(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
		return response.Header.Get(engineapi.HeaderNotRun) == engineapi.NotRunProof
	default:
		return false
	}
}

// NewUnanswered returns the Refusal of a request that got no response at all.
func NewUnanswered(reply Reply, cause error) *Refusal {
	return &Refusal{
		Sent:  reply.Sent,
		Cause: cause,
	}
}

// ReadRefusal reads a refusal from a response and closes its body. A body that cannot
// be read does not affect what the header proves.
func ReadRefusal(response *http.Response, notRun bool) *Refusal {
	defer func() { _ = response.Body.Close() }()
	body, err := ReadBody(response.Body, maxRefusalBytes)
	if err != nil {
		body = nil
	}
	retryAfter := backend.ParseRetryAfter(response.Header.Get("Retry-After"), response.Header.Get("Date"), time.Now())
	signals := engineapi.ParseSignals(response.Header)
	if notRun && response.StatusCode == http.StatusServiceUnavailable {
		signals.RestUntil = retryAfter
	}
	return &Refusal{
		Status:     response.StatusCode,
		NotRun:     notRun,
		RetryAfter: retryAfter,
		Signals:    signals,
		Body:       body,
		Sent:       true,
	}
}
