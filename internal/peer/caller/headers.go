package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/traffic/dispatch"
)

// Headers that a caller may send.
const (
	// HeaderDeadline is the instant at which the caller stops waiting (RFC 3339).
	HeaderDeadline = "Cicadaloom-Deadline"
	// HeaderTimeout is the same as a duration since the arrival of the request, such as
	// "1.5s"; HeaderDeadline takes precedence.
	HeaderTimeout = "Cicadaloom-Timeout"
	// HeaderClass names the caller's class in the team's document.
	HeaderClass = "Cicadaloom-Class"
	// HeaderCaller names the caller, for logs.
	HeaderCaller = "Cicadaloom-Caller"
	// HeaderIdempotencyKey marks repetitions of one request: of those with the same key
	// at most one is run.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequest is the id of the request; one is generated if it is absent.
	HeaderRequest = "X-Request-Id"
)

// ownHeaderPrefix is the prefix of this system's own headers.
const ownHeaderPrefix = "Cicadaloom-"

// Response headers.
const (
	// HeaderRun says whether a failed request was run.
	HeaderRun = "Cicadaloom-Run"
	// HeaderReplayed marks the stored answer of an earlier run.
	HeaderReplayed    = "Cicadaloom-Replayed"
	headerRetryAfter  = "Retry-After"
	headerRetryMillis = "Retry-After-Ms"
	headerShouldRetry = "X-Should-Retry"
)

const (
	maxIdentifierLength = 200
	maxTimeout          = 24 * time.Hour
)

// parseHeaders builds a request from its headers.
func (s *Server) parseHeaders(request *http.Request, now time.Time) (dispatch.Request, error) {
	result := dispatch.Request{
		ID: ident.NewRequestID(),
	}
	// The request id comes first: a refusal because of another header is recorded
	// under it.
	for _, header := range []struct {
		name   string
		target *string
	}{
		{
			name:   HeaderRequest,
			target: (*string)(&result.ID),
		},
		{
			name:   HeaderCaller,
			target: (*string)(&result.Caller),
		},
		{
			name:   HeaderClass,
			target: (*string)(&result.Class),
		},
		{
			name:   HeaderIdempotencyKey,
			target: (*string)(&result.IdempotencyKey),
		},
	} {
		if err := readIdentifier(request.Header, header.name, header.target); err != nil {
			return result, err
		}
	}
	deadline, err := s.deadline(request.Header, now)
	if err != nil {
		return result, err
	}
	result.Deadline = deadline
	return result, nil
}

// readIdentifier reads a header whose value goes into logs, entries of the key-value
// service and other headers. Bytes outside printable ASCII could forge a log line or
// another header there, so they are refused.
func readIdentifier(headers http.Header, name string, target *string) error {
	values := headers.Values(name)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 {
		return errors.Errorf("%s: found %d of them, allowed one", name, len(values))
	}
	value := values[0]
	if value == "" || len(value) > maxIdentifierLength {
		return errors.Errorf("%s: found %d characters, allowed 1 to %d", name, len(value), maxIdentifierLength)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r > '~' }) {
		return errors.Errorf("%s: found %q, allowed printable ASCII", name, value)
	}
	*target = value
	return nil
}

// deadline returns the deadline from the headers, or the default one.
func (s *Server) deadline(headers http.Header, now time.Time) (time.Time, error) {
	if text := headers.Get(HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, errors.Errorf("%s: found %q, allowed an instant such as 2026-12-02T10:00:00Z", HeaderDeadline, text)
		}
		return s.limitDeadline(deadline, now), nil
	}
	if text := headers.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > maxTimeout {
			return time.Time{}, errors.Errorf("%s: found %q, allowed a time such as 1.5s, up to 24h", HeaderTimeout, text)
		}
		return s.limitDeadline(now.Add(timeout), now), nil
	}
	return now.Add(s.Settings.DefaultDeadline), nil
}

// limitDeadline moves a deadline that is later than the settings allow to the latest
// allowed one.
func (s *Server) limitDeadline(deadline, now time.Time) time.Time {
	latest := now.Add(s.Settings.MaxDeadline)
	if deadline.After(latest) {
		return latest
	}
	return deadline
}
