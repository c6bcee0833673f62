package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/traffic/dispatch"
)

// Error types of the OpenAI API.
const (
	typeInvalid = "invalid_request_error"
	typeServer  = "server_error"
)

// encodeFailure encodes a failure as the error object of the OpenAI API.
func encodeFailure(failure *dispatch.Failure) []byte {
	detail := errorDetail{
		Message: failure.Message,
		Type:    typeServer,
		Code:    string(failure.Code),
		Run:     failure.Outcome.String(),
	}
	if failure.Status() < http.StatusInternalServerError {
		detail.Type = typeInvalid
	}
	if !failure.RetryAt.IsZero() {
		detail.RetryAt = failure.RetryAt.UTC().Format(time.RFC3339Nano)
	}
	// A struct of strings always encodes.
	body, _ := json.Marshal(errorBody{
		Error: detail,
	})
	return body
}

// fail answers with a failure. Headers tell clients that retry by themselves when to do
// so, or not to.
func (s *Server) fail(w http.ResponseWriter, failure *dispatch.Failure) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRun, failure.Outcome.String())
	if !failure.RetryAt.IsZero() {
		wait := retryWait(s.Now(), failure.RetryAt)
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		header.Set(headerRetryMillis, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	if failure.ForbidsRetry || failure.RetryAt.IsZero() {
		header.Set(headerShouldRetry, "false")
	}
	w.WriteHeader(failure.Status())
	_, err := w.Write(encodeFailure(failure))
	return err
}

// lateRetryWait is the wait that an answer names which is written after the time to come back at:
// its host lacks processor time, and a client that came back at once would add to its load.
const lateRetryWait = time.Second

func retryWait(now, retryAt time.Time) time.Duration {
	if wait := retryAt.Sub(now); wait >= time.Millisecond {
		return wait
	}
	return lateRetryWait
}

// refuse answers a request of which nothing was sent to a backend server.
func (s *Server) refuse(w http.ResponseWriter, code dispatch.Code, message string, retryAt time.Time) error {
	return s.fail(w, dispatch.NewNotSentFailure(code, message, retryAt))
}

// reject answers a request that was refused before it reached the dispatcher, and
// records the refusal.
func (s *Server) reject(w http.ResponseWriter, incoming *dispatch.Request, target string, failure *dispatch.Failure) error {
	w.Header().Set(HeaderRequest, string(incoming.ID))
	records := dispatch.Records{
		Log:       s.Log,
		Decisions: s.Decisions,
	}
	subject := incoming.Info(target)
	records.RecordFailure(s.Now(), &subject, failure)
	return s.fail(w, failure)
}

// rejectUnread is reject for a request of which only the request id is read, and that
// only if it is valid: refusing under overload must be cheap.
func (s *Server) rejectUnread(w http.ResponseWriter, request *http.Request, failure *dispatch.Failure) error {
	incoming := dispatch.Request{}
	if err := readIdentifier(request.Header, HeaderRequest, (*string)(&incoming.ID)); err != nil || incoming.ID == "" {
		incoming.ID = ident.NewRequestID()
	}
	return s.reject(w, &incoming, "", failure)
}
