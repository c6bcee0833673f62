package httpsend

import (
	"fmt"
	"net/http"
	"time"

	"cicadaloom/internal/wire/engineapi"
)

// refusalLimit bounds how much of a refusal's body is kept.
const refusalLimit = 64 << 10

// Refusal is a request that got no answer of the kind asked for.
type Refusal struct {
	// Status is the HTTP status, or 0 where none came.
	Status int
	// NotRun is the server's own proof that it did not run the request.
	NotRun bool
	// RetryAfter is when the server wants to be asked again; zero if it doesn't say.
	RetryAfter time.Time
	Body       []byte
	// Sent is false only where no connection to the server came about.
	Sent bool
	// Cause is the failure behind a refusal without a status, or of its body.
	Cause error
}

// Error says how the request was refused.
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

// Unwrap gives the failure behind the refusal.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// ProvesNotRun tells whether the request provably was not run: the server
// says so, or nothing can have reached it.
func (r *Refusal) ProvesNotRun() bool {
	return r.NotRun || !r.Sent
}

// SaysNotRun tells whether an answer's header carries the server's proof that
// it did not run the request. Only the statuses by which a server refuses
// count: a proof on any other is a server out of order, and proves nothing.
func SaysNotRun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
		return response.Header.Get(engineapi.HeaderNotRun) == engineapi.NotRunProof
	default:
		return false
	}
}

// Unanswered is the refusal of a request that got no answer at all.
func Unanswered(reply Reply, cause error) *Refusal {
	return &Refusal{
		Sent:  reply.Sent,
		Cause: cause,
	}
}

// Refused reads a refusal from an answer and closes its body. A body that
// can't be read takes nothing from what the header proves.
func Refused(response *http.Response, notRun bool) *Refusal {
	defer func() { _ = response.Body.Close() }()
	body, err := ReadBody(response.Body, refusalLimit)
	if err != nil {
		body = nil
	}
	return &Refusal{
		Status:     response.StatusCode,
		NotRun:     notRun,
		RetryAfter: engineapi.ParseRetryAfter(response.Header.Get("Retry-After"), time.Now()),
		Body:       body,
		Sent:       true,
	}
}
