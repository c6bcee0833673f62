package backend

import (
	"math"
	"strconv"
	"strings"

	"cicadaloom/internal/domain/unit"
)

// Signals is what the header of a server's answer says about the requests that the server
// accepts.
type Signals struct {
	RequestLimit RequestLimit
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
