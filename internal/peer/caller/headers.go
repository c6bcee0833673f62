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
	// HeaderTimeout is the same as a length of time from the request's arrival,
	// such as "1.5s"; HeaderDeadline goes before it.
	HeaderTimeout = "Cicadaloom-Timeout"
	// HeaderClass names the caller's class in the team's document.
	HeaderClass = "Cicadaloom-Class"
	// HeaderCaller names the caller, for logs.
	HeaderCaller = "Cicadaloom-Caller"
	// HeaderKey marks repeats of one request: the same key, at most one run.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest names the request; one is made where the caller sends none.
	HeaderRequest = "X-Request-Id"
)

// ownHeaders begins the names of the headers that are this system's.
const ownHeaders = "Cicadaloom-"

// Headers of answers.
const (
	// HeaderRun says of a failed request whether it was run.
	HeaderRun = "Cicadaloom-Run"
	// HeaderReplayed marks the stored answer of a request that ran before.
	HeaderReplayed    = "Cicadaloom-Replayed"
	headerRetryAfter  = "Retry-After"
	headerRetryMillis = "Retry-After-Ms"
	headerShouldRetry = "X-Should-Retry"
)

const (
	maxIdentifier = 200
	maxDeadline   = 24 * time.Hour
)

// read takes what the headers say into a request.
func (s *Server) read(request *http.Request, now time.Time) (dispatch.Request, error) {
	result := dispatch.Request{
		ID: ident.NewRequestID(),
	}
	// The request's id comes first: a refusal for another header is looked for
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
			name:   HeaderKey,
			target: (*string)(&result.Key),
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

// readIdentifier takes a header whose text ends up in logs, pages of the
// key-value service and other headers. Bytes outside printable ASCII could
// forge a log line or another header there, so they are refused.
func readIdentifier(headers http.Header, name string, target *string) error {
	values := headers.Values(name)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 {
		return errors.Errorf("%s: found %d of them, allowed one", name, len(values))
	}
	value := values[0]
	if value == "" || len(value) > maxIdentifier {
		return errors.Errorf("%s: found %d characters, allowed 1 to %d", name, len(value), maxIdentifier)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r > '~' }) {
		return errors.Errorf("%s: found %q, allowed printable ASCII", name, value)
	}
	*target = value
	return nil
}

func (s *Server) deadline(headers http.Header, now time.Time) (time.Time, error) {
	if text := headers.Get(HeaderDeadline); text != "" {
		deadline, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, errors.Errorf("%s: found %q, allowed an instant such as 2026-12-02T10:00:00Z", HeaderDeadline, text)
		}
		return s.bounded(deadline, now), nil
	}
	if text := headers.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > maxDeadline {
			return time.Time{}, errors.Errorf("%s: found %q, allowed a time such as 1.5s, up to 24h", HeaderTimeout, text)
		}
		return s.bounded(now.Add(timeout), now), nil
	}
	return now.Add(s.Settings.DefaultDeadline), nil
}

func (s *Server) bounded(deadline, now time.Time) time.Time {
	latest := now.Add(s.Settings.MaxDeadline)
	if deadline.After(latest) {
		return latest
	}
	return deadline
}
