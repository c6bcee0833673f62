// Package engineapi has the HTTP forms that the system shares with backend
// servers and the platform: chat completions, orders, reports, cache events,
// the host list, the weight store and the report of plain services.
//
// The wire structs stay in this package; everything is mapped by hand to and
// from the types of internal/domain/backend, and what does not map is an error.
//
// # Usage
//
//	body, err := engineapi.EncodeOrder(order)
//	report, err := engineapi.DecodeReport(body)
//	chat, err := engineapi.ParseChat(body) // body itself is forwarded as it came
//
// # Source
//
// Chat completions follow the published OpenAI API, also its server-sent
// events. The other forms are the platform's own, with Pascal case names.
package engineapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Paths of the engines, the host list, the weight store and plain services.
const (
	PathChat        = "/v1/chat/completions"
	PathRequests    = "/v1/requests/" // and the attempt's id
	PathOrders      = "/control/orders"
	PathReport      = "/control/report"
	PathCacheEvents = "/control/cache-events"
	PathHosts       = "/hosts"
	PathLoads       = "/loads"
	PathLoadStatus  = "/status"
)

// Headers of requests and answers.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "X-Attempt-Id"
	HeaderPriority    = "X-Priority"
	HeaderDeadline    = "X-Deadline"
	HeaderResumeAt    = "X-Resume-At"
	HeaderIncarnation = "X-Incarnation"
	// HeaderNotRun with the value NotRunProof on a refusal is the backend
	// server's own word that it did not run the request.
	HeaderNotRun = "X-Not-Run"
	NotRunProof  = "true"
)

// ContentTypeStream is the content type of server-sent events.
const ContentTypeStream = "text/event-stream"

// StreamEnd is the data of the event that ends a whole stream.
const StreamEnd = "[DONE]"

// FormatDeadline gives a deadline as it travels in HeaderDeadline.
func FormatDeadline(deadline time.Time) string {
	return deadline.UTC().Format(time.RFC3339Nano)
}

// ParseDeadline reads HeaderDeadline; an absent one is the zero time.
func ParseDeadline(value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, value)
	return deadline, errors.Wrap(err, "deadline")
}

// ParseCount reads a header that carries a number of at least 0; an absent one is 0.
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

// ParseRetryAfter reads a Retry-After header in either of its forms (RFC 9110,
// 10.2.3) as the instant that it means. An absent or unreadable one is the zero time.
func ParseRetryAfter(value string, now time.Time) time.Time {
	if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
		return now.Add(time.Duration(seconds) * time.Second)
	}
	if date, err := http.ParseTime(value); err == nil {
		return date
	}
	return time.Time{}
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
