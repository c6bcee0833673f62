// Package engineapi encodes and decodes the HTTP messages that the system exchanges
// with backend servers and the platform: chat completions, orders, reports, cache
// events, the host list, the weight store and the reports of plain services.
//
// The wire structs are private to this package. Its functions copy their fields to and
// from the types of internal/domain/backend, and a value that has no counterpart there
// is an error. The functions keep no state.
//
// # Usage
//
//	body, err := engineapi.EncodeOrder(order)
//	report, err := engineapi.DecodeReport(body)
//	chat, err := engineapi.ParseChat(body) // body itself is forwarded unchanged
//
// # Source
//
// Chat completions and their server-sent events follow the published OpenAI API. The
// other messages are those of the platform, with Pascal case names.
package engineapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
)

// URL paths of engines, the host list, the weight store and plain services.
const (
	PathChat         = "/v1/chat/completions"
	PathRequests     = "/v1/requests/" // followed by the attempt's id
	PathOrders       = "/control/orders"
	PathReport       = "/control/report"
	PathCacheEvents  = "/control/cache-events"
	PathHosts        = "/hosts"
	PathWeightLoads  = "/loads"
	PathWeightStatus = "/status"
)

// Headers of requests and answers.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "X-Attempt-Id"
	HeaderPriority    = "X-Priority"
	HeaderDeadline    = "X-Deadline"
	HeaderResumeAt    = "X-Resume-At"
	HeaderIncarnation = "X-Incarnation"
	// HeaderNotRun with the value NotRunProof on a refusal is the backend server's own
	// statement that it did not run the request.
	HeaderNotRun = "X-Not-Run"
	NotRunProof  = "true"
	// HeaderRequestLimit is on all answers of a backend server in need: the requests a second
	// that it accepts from all hosts together.
	HeaderRequestLimit = "X-Request-Limit"
	// HeaderLeaving with the value 1 is on all answers of a backend server that is about to
	// end.
	HeaderLeaving = "X-Leaving"
)

// ContentTypeStream is the content type of server-sent events.
const ContentTypeStream = "text/event-stream"

// StreamEnd is the data of the event that ends a complete stream.
const StreamEnd = "[DONE]"

// FormatDeadline formats a deadline for HeaderDeadline.
func FormatDeadline(deadline time.Time) string {
	return deadline.UTC().Format(time.RFC3339Nano)
}

// ParseDeadline parses HeaderDeadline; an absent one is the zero time.
func ParseDeadline(value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, value)
	return deadline, errors.Wrap(err, "deadline")
}

// ParseCount parses a header with a number of at least 0; an absent one is 0.
func ParseCount(value string) (int, error) {
	if value == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(value)
	if err != nil {
		return 0, errors.Wrap(err, "count")
	}
	if count < 0 {
		return 0, errors.Errorf("count %d is negative", count)
	}
	return count, nil
}

// ParseSignals parses what the header of an answer says about the requests that the backend
// server accepts.
func ParseSignals(header http.Header) backend.Signals {
	return backend.Signals{
		RequestLimit: backend.ParseRequestLimit(header.Get(HeaderRequestLimit)),
		IsLeaving:    header.Get(HeaderLeaving) == "1",
	}
}

func decode[T any](body []byte, what string) (T, error) {
	var wire T
	err := json.Unmarshal(body, &wire)
	return wire, errors.Wrap(err, what)
}

func encode(wire any, what string) ([]byte, error) {
	body, err := json.Marshal(wire)
	return body, errors.Wrap(err, what)
}
