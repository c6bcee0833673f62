package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cicadaloom/internal/domain/unit"
)

// Signals is what the header of a server's answer says about the requests that the server
// accepts.
type Signals struct {
	RequestLimit RequestLimit
	// RestUntil is until when the server wants no requests from this host; zero if it doesn't
	// say.
	RestUntil time.Time
	// IsLeaving is whether the server is about to end.
	IsLeaving bool
	// MaxRefusals is how many requests a second the server bears to turn away for want of room,
	// from all hosts together; 0 if it doesn't say. IsFull is whether, if it does, this answer
	// turns one away.
	MaxRefusals unit.Rate
	IsFull      bool
}

// RequestLimit is what an answer says about the server's request limit: how many requests a
// second it accepts from all hosts together, until an answer names no limit.
type RequestLimit struct {
	Statement LimitStatement
	// Rate is the limit, if the statement is LimitNamed.
	Rate unit.Rate
}

// LimitStatement is the kind of a RequestLimit.
type LimitStatement int

// The statements. The zero value is that of an answer without the header.
const (
	LimitNone LimitStatement = iota
	LimitNamed
	// LimitUnreadable says nothing: a limit that was named before stays.
	LimitUnreadable
)

// maxRequestLimit is the limit from which on a server counts as one without: no fleet sends
// it as much.
const maxRequestLimit unit.Rate = 1e5

// ParseRequestLimit parses a header with a decimal number of requests a second, empty if
// the answer has none.
func ParseRequestLimit(text string) RequestLimit {
	text = strings.TrimSpace(text)
	if text == "" {
		return RequestLimit{}
	}
	rate, err := strconv.ParseFloat(text, 64)
	switch {
	case math.IsNaN(rate) || rate < 0 || err != nil && !math.IsInf(rate, 1):
		return RequestLimit{
			Statement: LimitUnreadable,
		}
	case unit.Rate(rate) >= maxRequestLimit:
		return RequestLimit{}
	}
	return RequestLimit{
		Statement: LimitNamed,
		Rate:      unit.Rate(rate),
	}
}

// ParseMaxRefusals parses a header with a decimal number of refusals a second. It returns 0 for
// an answer without the header, or with one that can't be read.
func ParseMaxRefusals(text string) unit.Rate {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate > 0) || math.IsInf(rate, 1) {
		return 0
	}
	return unit.Rate(rate)
}

// maxRest bounds the time that a Retry-After is good for.
const maxRest = 24 * time.Hour

// ParseRetryAfter parses a Retry-After header in either of its forms (RFC 9110, 10.2.3): seconds,
// which may have fractions, or a date. A date is compared with the answer's own Date, since
// clocks differ. It returns the zero time if the header names no later time.
func ParseRetryAfter(text, date string, now time.Time) time.Time {
	text = strings.TrimSpace(text)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || math.IsInf(seconds, 1) {
		if !(seconds > 0) {
			return time.Time{}
		}
		return now.Add(time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second)))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return time.Time{}
	}
	from := now
	if sentAt, err := http.ParseTime(date); err == nil {
		from = sentAt
	}
	rest := min(until.Sub(from), maxRest)
	if rest <= 0 {
		return time.Time{}
	}
	return now.Add(rest)
}
