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

// Types of errors, as the OpenAI API names them.
const (
	typeInvalid = "invalid_request_error"
	typeServer  = "server_error"
)

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

// fail answers with a failure. Clients that repeat by themselves are told when,
// or not to.
func (s *Server) fail(w http.ResponseWriter, failure *dispatch.Failure) error {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRun, failure.Outcome.String())
	if !failure.RetryAt.IsZero() {
		wait := max(failure.RetryAt.Sub(s.Now()), 0)
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		header.Set(headerRetryMillis, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	if failure.Final || failure.RetryAt.IsZero() {
		header.Set(headerShouldRetry, "false")
	}
	w.WriteHeader(failure.Status())
	_, err := w.Write(encodeFailure(failure))
	return err
}

// refuse answers a request of which nothing was sent.
func (s *Server) refuse(w http.ResponseWriter, code dispatch.Code, message string, retryAt time.Time) error {
	return s.fail(w, dispatch.Untouched(code, message, retryAt))
}

// turnAway answers a request that was refused before it came to the dispatcher,
// and records it.
func (s *Server) turnAway(w http.ResponseWriter, read *dispatch.Request, target string, failure *dispatch.Failure) error {
	w.Header().Set(HeaderRequest, string(read.ID))
	records := dispatch.Records{
		Log:       s.Log,
		Decisions: s.Decisions,
	}
	about := read.About(target)
	records.Failed(s.Now(), &about, failure)
	return s.fail(w, failure)
}

// turnAwayUnread does so with a request of which nothing has been read but its
// id, where that is in order: the answer has to cost little.
func (s *Server) turnAwayUnread(w http.ResponseWriter, request *http.Request, failure *dispatch.Failure) error {
	read := dispatch.Request{}
	if err := readIdentifier(request.Header, HeaderRequest, (*string)(&read.ID)); err != nil || read.ID == "" {
		read.ID = ident.NewRequestID()
	}
	return s.turnAway(w, &read, "", failure)
}
